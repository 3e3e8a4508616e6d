"""A mirror and a view that follow a store which goes back to a copy."""

import pytest
import result

from jujubeyard.node import core
from jujubeyard.node import settings
from jujubeyard.platform import documents
from jujubeyard.store import eras
from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror
from tests.utils import fakes
from tests.utils import view_steps


class ReturningStore:
    """A store that goes back to an earlier state when its history ends.

    Attributes:
        reads: For each read, the era and the items by prefix.
        events: For each watch, the era and the items; None to end the history.
    """

    def __init__(self, tracker, reads, events):
        self._tracker = tracker
        self.reads = reads
        self.events = events

    async def read_all(self, prefix, transfer=None):
        era, items = self.reads.pop(0)
        self._tracker.observe(era, eras.Source.STORE)
        return result.Ok(interface.ItemBatch(tuple(items), 10))

    async def watch(self, prefix, after, seconds, transfer=None):
        era, items = self.events.pop(0)
        self._tracker.observe(era, eras.Source.STORE)
        if items is None:
            failure = interface.Failure(interface.FailureKind.COMPACTED, "")
            return result.Err(failure)
        return result.Ok(interface.ItemBatch(tuple(items), 10))


ERAS = [
    pytest.param(3, 4, True, id="next era"),
    pytest.param(3, 3, False, id="same era"),
    pytest.param(0, 0, False, id="no era"),
]


async def _follow(view, prefix, reads, events):
    """Lets a mirror follow a store until it has nothing more to tell."""
    tracker = eras.EraTracker(fakes.RecordingJournal())
    tracker.add_listener(view.begin_era)
    store = ReturningStore(tracker, reads, events)
    store_health = health.Health(view.on_store_lost, view.on_store_recovered)
    store_mirror = mirror.Mirror(
        store, prefix, view, store_health, 0.0, fakes.RecordingJournal()
    )
    while store.reads or store.events:
        if store_mirror.revision is None:
            await store_mirror._read_all()
        else:
            await store_mirror._watch_once()


@pytest.mark.parametrize(("before", "after", "is_kept"), ERAS)
async def test_evacuation_that_the_store_loses(before, after, is_kept):
    view = view_steps.make_view()
    await _follow(
        view,
        documents.OPERATOR_PREFIX,
        [(before, []), (after, [])],
        [(before, [view_steps.EVACUATION]), (after, None)],
    )
    assert ("z1" in view.registry.evacuated_since) is is_kept


@pytest.mark.parametrize(("before", "after", "is_kept"), ERAS)
async def test_drain_that_the_store_loses(before, after, is_kept):
    view = view_steps.make_view()
    await _follow(
        view,
        documents.TARGET_PREFIX,
        [
            (before, [view_steps.make_target()]),
            (after, [view_steps.make_target()]),
        ],
        [(before, [view_steps.make_target("draining", 5)]), (after, None)],
    )
    assert bool(view.registry.targets["t1"].draining_since) is is_kept


@pytest.mark.parametrize(("before", "after", "is_kept"), ERAS)
async def test_removal_that_the_store_loses(before, after, is_kept):
    view = view_steps.make_view()
    await _follow(
        view,
        documents.TARGET_PREFIX,
        [
            (before, [view_steps.make_target()]),
            (after, [view_steps.make_target()]),
        ],
        [(before, [view_steps.NO_TARGET]), (after, None)],
    )
    assert bool(view.registry.targets["t1"].removed_at) is is_kept


ADDRESS = settings.Address("127.88.0.1", 8391)
SETTINGS = settings.NodeSettings(
    node="n1",
    zone="z1",
    listen=ADDRESS,
    readiness=ADDRESS,
    metrics=ADDRESS,
    reports=ADDRESS,
    store=ADDRESS,
    limits=settings.Limits(1.0, 1.0, 6.0, 10.0, 0.2, 64.0, 1.5, 5.0),
)


async def test_node_tells_its_view_of_eras():
    journal = fakes.RecordingJournal()
    node = core.Node(SETTINGS, journal)
    node._era_tracker.observe(3, eras.Source.STORE)
    await view_steps.read_zones(view_steps.EVACUATION)(node._view)
    node._era_tracker.observe(4, eras.Source.STORE)
    await view_steps.read_zones()(node._view)
    for session in (
        node._store_session,
        node._request_session,
        node._release_session,
        node._upstream_client._reusing_session,
        node._upstream_client._fresh_session,
    ):
        await session.close()
    assert journal.count("evacuation kept") == 1
