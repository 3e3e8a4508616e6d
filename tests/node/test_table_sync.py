"""Shard tables that a node gets from the leader or reads from the store."""

import asyncio

import pytest

from jujubeyard.node import cluster_view
from jujubeyard.node import datagrams
from jujubeyard.node import table_sync
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.store import changes
from tests.utils import fakes

SERVICES = {
    "desk": config.Service("desk", True, 130, 3.0, 11.0, "/health"),
    "pool": config.Service("pool", False, 130, 3.0, 11.0, "/health"),
}


def _table(fence, revision):
    owner = table.Owner("t1", 1, "t1:1")
    shards = tuple(
        table.Shard(first, last, owner, fence, "")
        for first, last in table.split_key_space(4)
    )
    return table.ShardTable("desk", shards, revision)


class Harness:
    def __init__(self, monkeypatch):
        for name in ("TICK_SECONDS", "BEHIND_SECONDS", "READ_PAUSE_SECONDS"):
            monkeypatch.setattr(table_sync, name, 0.01)
        prefixes = changes.Prefixes("op/", "targets/", "own/")
        self.view = cluster_view.ClusterView(
            prefixes, None, None, fakes.RecordingJournal()
        )
        self.view.routes = match.RouteTable(
            config.Configuration(1, (), SERVICES, 1000)
        )
        self.stored = _table(1, 5)
        self.read_services = []
        self.is_leader = False
        self.synchronizer = table_sync.TableSynchronizer(
            self.view, self.read, lambda: self.is_leader, []
        )

    async def read(self, service):
        self.read_services.append(service)
        return self.stored

    async def run(self, seconds=0.08):
        running = asyncio.create_task(self.synchronizer.run())
        await asyncio.sleep(seconds)
        running.cancel()

    def revision(self):
        return self.view.tables["desk"].revision


@pytest.fixture
def harness(monkeypatch):
    return Harness(monkeypatch)


async def test_a_missing_table_is_read_once(harness):
    await harness.run()
    assert harness.read_services == ["desk"]
    assert harness.revision() == 5


async def test_no_table_is_read_while_the_leader_has_none(harness):
    harness.synchronizer.handle_beacon(datagrams.Beacon({}, {}))
    await harness.run()
    assert not harness.read_services


async def test_an_update_of_the_current_table_is_applied_without_a_read(
    harness,
):
    harness.view.apply_table(_table(1, 5))
    harness.synchronizer.handle_update(
        table.compare(_table(1, 5), _table(2, 8))
    )
    await harness.run()
    assert harness.revision() == 8
    assert not harness.read_services


@pytest.mark.parametrize(
    ("order", "revision"),
    [
        ([0, 1], 8),
        ([1, 0], 8),
        ([0], 5),
        ([1], 5),
        ([0, 0], 5),
        ([1, 1, 0], 8),
    ],
)
async def test_an_update_in_parts_is_applied_once_complete(
    harness, order, revision
):
    harness.view.apply_table(_table(1, 5))
    update = table.compare(_table(1, 5), _table(2, 8))
    parts = table.split_update(update, 2)
    assert len(parts) == 2
    for index in order:
        harness.synchronizer.handle_update(parts[index])
    assert harness.revision() == revision


async def test_the_table_is_read_after_a_lost_part(harness):
    harness.view.apply_table(_table(1, 5))
    harness.stored = _table(2, 8)
    update = table.compare(_table(1, 5), _table(2, 8))
    harness.synchronizer.handle_update(table.split_update(update, 2)[0])
    await harness.run()
    assert harness.revision() == 8


def test_the_largest_part_fits_into_a_datagram():
    shards = tuple(
        table.Shard(
            65000 + number,
            65001 + number,
            table.Owner(
                f"i-{number:010x}",
                1785017313756 + number,
                f"{number}.128.164.101:65000",
            ),
            (1 << 40) + number,
            "h" * 32,
        )
        for number in range(datagrams.MAX_UPDATE_SHARDS)
    )
    update = table.Update("n" * 20, 1 << 30, 1 << 31, shards, 30)
    assert len(datagrams.encode(update)) <= datagrams.MAX_BYTES


async def test_the_table_is_read_after_a_missed_update(harness):
    harness.view.apply_table(_table(1, 5))
    harness.stored = _table(3, 9)
    harness.synchronizer.handle_update(
        table.compare(_table(2, 8), _table(3, 9))
    )
    await harness.run()
    assert harness.revision() == 9
    assert harness.read_services == ["desk"]


async def test_the_table_is_read_if_a_beacon_has_a_newer_revision(harness):
    harness.view.apply_table(_table(1, 5))
    harness.stored = _table(3, 9)
    harness.synchronizer.handle_beacon(datagrams.Beacon({"desk": 9}, {}))
    await harness.run()
    assert harness.revision() == 9


async def test_tables_are_read_while_the_leader_is_silent(harness, monkeypatch):
    harness.view.apply_table(_table(1, 5))
    monkeypatch.setattr(table_sync, "LEADER_SILENCE_SECONDS", 0.02)
    monkeypatch.setattr(table_sync, "LEADER_SILENCE_READ_PAUSE_SECONDS", 0.02)
    harness.stored = _table(3, 9)
    await harness.run(0.1)
    assert harness.revision() == 9


async def test_the_leader_reads_no_table_and_sends_its_revisions(harness):
    harness.view.apply_table(_table(1, 5))
    assert harness.synchronizer.make_beacon() is None
    harness.is_leader = True
    await harness.run()
    assert not harness.read_services
    assert harness.synchronizer.make_beacon().tables == {"desk": 5}


@pytest.mark.parametrize(
    "message",
    [
        datagrams.Beacon({"desk": 9}, {"op/": 4}),
        table.compare(_table(1, 5), _table(2, 8)),
    ],
)
def test_decoding_restores_an_encoded_datagram(message):
    assert datagrams.decode(datagrams.encode(message)) == message
