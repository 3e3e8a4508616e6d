"""Tests of what a node does with changes that it learns of late."""

import asyncio
import time

import pytest
import result

from jujubeyard.node import attempts
from jujubeyard.node import calls
from jujubeyard.node import cluster_view
from jujubeyard.node import owners
from jujubeyard.node import settings
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.store import changes
from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror
from jujubeyard.targets import registry
from tests.utils import fakes

DRAIN_SECONDS = 1.0
EVACUATION_SECONDS = 1.0
LIMITS = settings.Limits(
    DRAIN_SECONDS, EVACUATION_SECONDS, 6.0, 10.0, 0.2, 64.0, 1.5, 5.0
)
LATE_SECONDS = 0.8
PREFIXES = changes.Prefixes("op/", "targets/", "own/")
SERVICE = config.Service("desk", True, 130, 3.0, 11.0, "/health")
ROUTE = config.Route(
    "lookup", "a.example", "/", (), True, 1.0, 0.5, 2, urgency=1
)
UNKNOWN = result.Err(interface.Failure(interface.FailureKind.UNKNOWN, ""))


def _decode(item):
    if item.key.startswith("op/"):
        return changes.ZoneChanged("z1", True)
    if item.value is None:
        return changes.TargetRemoved("t1")
    draining = item.value == b"draining"
    return changes.TargetListed(
        registry.Listing("t1", "desk", "t1:1", "z1", 6, draining, 0.0, 1)
    )


def _batch(key: str, value: bytes | None, revision: int):
    item = interface.Item(key, value, revision, 1)
    return result.Ok(interface.ItemBatch((item,), revision))


class LateStore:
    """Lists a target, and tells of a change at once, slowly or after an outage.

    Attributes:
        answer_seconds: Time until the answer with the change.
    """

    def __init__(self, outcome, outage_seconds: float):
        self._outcome = outcome
        self._outage_seconds = outage_seconds
        self.answer_seconds = 0.0

    async def read_all(self, prefix, transfer=None):
        return _batch("targets/t1", b"ready", 1)

    async def watch(self, prefix, after, seconds, transfer=None):
        if self._outage_seconds:
            await asyncio.sleep(self._outage_seconds)
            self._outage_seconds = 0.0
            return UNKNOWN
        if self._outcome is None:
            await asyncio.Event().wait()
        outcome, self._outcome = self._outcome, None
        await asyncio.sleep(self.answer_seconds)
        return outcome


DRAINING = _batch("targets/t1", b"draining", 2)
REMOVED = _batch("targets/t1", None, 2)
EVACUATED = _batch("op/evacuate/z1", b"", 2)


def _make_state():
    call = calls.Call(
        "c1", "GET", "a.example", "/", (), b"", 7, time.monotonic(), 1.0
    )
    return attempts.CallState(call, ROUTE, SERVICE, time.monotonic() + 1.0)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(DRAINING, id="draining"),
        pytest.param(REMOVED, id="removed"),
        pytest.param(EVACUATED, id="evacuated"),
    ],
)
@pytest.mark.parametrize("late_by", ["", "outage", "slow link"])
async def test_target_whose_drain_is_learned_late_gets_no_more_keyed_calls(
    monkeypatch, change, late_by
):
    is_late = bool(late_by)
    monkeypatch.setattr(owners, "MOVE_WAIT_SECONDS", 0.0)
    monkeypatch.setattr(mirror, "RETRY_JITTER_SECONDS", 0.0)
    monkeypatch.setattr(mirror, "RETRY_SECONDS", 0.0)
    view = cluster_view.ClusterView(
        PREFIXES, _decode, None, fakes.RecordingJournal()
    )
    shard = table.Shard(0, 65535, table.Owner("t1", 1, "t1:1"), 1, "")
    view.apply_table(table.ShardTable("desk", (shard,), 1))
    late_store = LateStore(change, LATE_SECONDS if late_by == "outage" else 0.0)
    late_store.answer_seconds = LATE_SECONDS if late_by == "slow link" else 0.0
    store_mirror = mirror.Mirror(
        late_store,
        "targets/",
        view,
        health.Health(lambda _: None, lambda: None),
        0.0,
        view._log,
    )
    run = asyncio.create_task(store_mirror.run())
    await asyncio.sleep(LATE_SECONDS + 0.05 if is_late else 0.05)
    lookup = owners.OwnerLookup(view, LIMITS)
    owner = await lookup.find_owner(_make_state())
    run.cancel()
    assert store_mirror.revision == 2
    assert (owner is None) is is_late
