"""Shard tables and datagrams when the store comes back from older copies."""

import asyncio

import cbor2
import pytest

from jujubeyard.node import cluster_view
from jujubeyard.node import datagrams
from jujubeyard.node import table_sync
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.store import changes
from jujubeyard.store import eras
from jujubeyard.store import revisions
from tests.utils import fakes

OWNER = table.Owner("t1", 1, "t1:1")
SERVICES = {"desk": config.Service("desk", True, 130, 3.0, 11.0, "/health")}
EARLIER, CURRENT, NEXT = 3, 4, 5


def _table(fence, revision):
    shards = tuple(
        table.Shard(first, last, OWNER, fence, "")
        for first, last in table.split_key_space(4)
    )
    return table.ShardTable("desk", shards, revision)


class Harness:
    def __init__(self, monkeypatch):
        for name in ("TICK_SECONDS", "BEHIND_SECONDS", "READ_PAUSE_SECONDS"):
            monkeypatch.setattr(table_sync, name, 0.01)
        self.view = cluster_view.ClusterView(
            changes.Prefixes("op/", "targets/", "own/"),
            None,
            None,
            fakes.RecordingJournal(),
        )
        self.view.routes = match.RouteTable(
            config.Configuration(1, (), SERVICES, 1000)
        )
        self.stored = None
        self.reads = 0
        self.era_tracker = eras.EraTracker(fakes.RecordingJournal())
        self.synchronizer = table_sync.TableSynchronizer(
            self.view, self.read, lambda: False, [], self.era_tracker
        )

    async def read(self, service):
        self.reads += 1
        return self.stored

    async def run(self, seconds=0.08):
        running = asyncio.create_task(self.synchronizer.run())
        await asyncio.sleep(seconds)
        running.cancel()

    def fence(self):
        return self.view.tables["desk"].shards[0].fence


@pytest.fixture
def harness(monkeypatch):
    return Harness(monkeypatch)


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (datagrams.Beacon({"desk": 9}, {"op/": 4}), "beacon"),
        (datagrams.Beacon({}, {}), "beacon"),
        (
            datagrams.Beacon({"desk": revisions.pack(2, 9)}, {"op/": 4}),
            "era beacon",
        ),
        (
            datagrams.Beacon({}, {"op/": revisions.pack(2, 9)}),
            "era beacon",
        ),
        (table.compare(_table(1, 5), _table(2, 8)), "update"),
        (
            table.compare(_table(1, 5), _table(2, revisions.pack(1, 8))),
            "era update",
        ),
        (
            table.compare(
                _table(1, revisions.pack(1, 50)),
                _table(2, revisions.pack(revisions.MAX_ERA, 8)),
            ),
            "era update",
        ),
    ],
)
def test_datagrams_with_eras_have_kinds_of_their_own(message, kind):
    """Nodes that know no eras would compare the revisions with their own."""
    data = datagrams.encode(message)
    assert cbor2.loads(data)[0] == kind
    assert datagrams.decode(data) == message


def test_the_largest_part_with_eras_fits_into_a_datagram():
    shards = tuple(
        table.Shard(
            65000 + number,
            65001 + number,
            table.Owner(
                f"i-{number:010x}",
                1785017313756 + number,
                f"{number}.128.164.101:65000",
            ),
            (1 << 53) - number,
            "h" * 32,
        )
        for number in range(datagrams.MAX_UPDATE_SHARDS)
    )
    newest = revisions.MAX_REVISION
    update = table.Update("n" * 20, newest - 1, newest, shards, 30)
    assert len(datagrams.encode(update)) <= datagrams.MAX_BYTES


@pytest.mark.parametrize(
    ("store_era", "sent_era", "is_taken"),
    [
        (eras.UNKNOWN_ERA, eras.UNKNOWN_ERA, True),
        (eras.UNKNOWN_ERA, CURRENT, True),
        (CURRENT, CURRENT, True),
        (CURRENT, NEXT, True),
        (CURRENT, eras.UNKNOWN_ERA, False),
    ],
)
async def test_revisions_without_an_era_say_nothing_if_the_store_has_eras(
    harness, monkeypatch, store_era, sent_era, is_taken
):
    """Tables are read from the store as if that leader were silent."""
    monkeypatch.setattr(table_sync, "LEADER_SILENCE_READ_PAUSE_SECONDS", 0.01)
    harness.era_tracker.observe(store_era)
    current = _table(1, revisions.pack(store_era, 5))
    newer = _table(2, revisions.pack(sent_era, 900))
    harness.view.apply_table(current)
    harness.stored = current
    beacon = datagrams.Beacon({"desk": current.revision}, {"op/": 4})
    if sent_era == eras.UNKNOWN_ERA:
        beacon = datagrams.Beacon({"desk": 1}, {"op/": 4})
    harness.synchronizer.handle_beacon(beacon)
    await harness.run()
    assert bool(harness.reads) is not is_taken
    harness.synchronizer.handle_update(table.compare(current, newer))
    assert harness.fence() == (2 if is_taken else 1)


@pytest.mark.parametrize(
    ("era", "number", "is_taken"),
    [
        (EARLIER, 900, False),
        (CURRENT, 4, False),
        (CURRENT, 6, True),
        (NEXT, 1, True),
    ],
)
async def test_a_table_of_an_earlier_era_replaces_no_newer_one(
    harness, era, number, is_taken
):
    """Revisions go back with the store, and are given out again."""
    harness.era_tracker.observe(NEXT)
    current = _table(1, revisions.pack(CURRENT, 5))
    other = _table(2, revisions.pack(era, number))
    harness.view.apply_table(current)
    harness.stored = other
    harness.synchronizer.handle_beacon(
        datagrams.Beacon({"desk": other.revision}, {})
    )
    await harness.run()
    assert harness.fence() == (2 if is_taken else 1)
    assert bool(harness.reads) is is_taken


@pytest.mark.parametrize(
    ("written_era", "item_era", "revision"),
    [
        (0, 0, 9),
        (0, CURRENT, revisions.pack(CURRENT, 9)),
        (EARLIER, CURRENT, revisions.pack(EARLIER, 9)),
        (CURRENT, CURRENT, revisions.pack(CURRENT, 9)),
    ],
)
def test_a_stored_table_keeps_the_era_in_which_it_was_written(
    written_era, item_era, revision
):
    """Read from a copy, it must not look newer than those that were lost."""
    body = table.encode(_table(1, 5).shards, written_era)
    item_revision = revisions.pack(item_era, 9)
    stored = table.decode("desk", body, item_revision)
    assert stored.revision == revision
    assert stored.item_revision == item_revision
    assert stored.written_era == written_era
