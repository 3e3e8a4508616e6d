"""Tables of owners that a node learns from the leader or reads itself."""

import asyncio

import pytest

from jujubeyard.node import datagrams
from jujubeyard.node import following
from jujubeyard.node import view
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
        for first, last in table.divide_keys(4)
    )
    return table.ShardTable("desk", shards, revision)


class Bench:
    def __init__(self, monkeypatch):
        for name in ("TICK_SECONDS", "BEHIND_SECONDS", "READ_PAUSE_SECONDS"):
            monkeypatch.setattr(following, name, 0.01)
        prefixes = changes.Prefixes("op/", "targets/", "own/")
        self.view = view.View(prefixes, None, None, fakes.RecordingJournal())
        self.view.routes = match.RouteTable(
            config.Configuration(1, (), SERVICES, 1000)
        )
        self.stored = _table(1, 5)
        self.reads = []
        self.leads = False
        self.follower = following.TableFollower(
            self.view, self.read, lambda: self.leads, []
        )

    async def read(self, service):
        self.reads.append(service)
        return self.stored

    async def run(self, seconds=0.08):
        running = asyncio.create_task(self.follower.run())
        await asyncio.sleep(seconds)
        running.cancel()

    def revision(self):
        return self.view.tables["desk"].revision


@pytest.fixture
def bench(monkeypatch):
    return Bench(monkeypatch)


async def test_a_table_that_is_not_known_is_read_once(bench):
    await bench.run()
    assert bench.reads == ["desk"]
    assert bench.revision() == 5


async def test_while_the_leader_has_no_table_none_is_read(bench):
    bench.follower.take_beacon(datagrams.Beacon({}, {}))
    await bench.run()
    assert not bench.reads


async def test_an_update_that_fits_needs_no_reading(bench):
    bench.view.take_table(_table(1, 5))
    bench.follower.take_update(table.compare(_table(1, 5), _table(2, 8)))
    await bench.run()
    assert bench.revision() == 8
    assert not bench.reads


@pytest.mark.parametrize(
    ("order", "revision"),
    [([0, 1], 8), ([1, 0], 8), ([0], 5), ([1], 5)],
)
async def test_an_update_in_parts_counts_once_it_is_whole(
    bench, order, revision
):
    bench.view.take_table(_table(1, 5))
    update = table.compare(_table(1, 5), _table(2, 8))
    parts = table.divide_update(update, 2)
    assert len(parts) == 2
    for index in order:
        bench.follower.take_update(parts[index])
    assert bench.revision() == revision


async def test_after_a_part_that_was_lost_the_table_is_read(bench):
    bench.view.take_table(_table(1, 5))
    bench.stored = _table(2, 8)
    update = table.compare(_table(1, 5), _table(2, 8))
    bench.follower.take_update(table.divide_update(update, 2)[0])
    await bench.run()
    assert bench.revision() == 8


def test_the_longest_part_fits_into_a_datagram():
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


async def test_after_a_missed_update_the_table_is_read(bench):
    bench.view.take_table(_table(1, 5))
    bench.stored = _table(3, 9)
    bench.follower.take_update(table.compare(_table(2, 8), _table(3, 9)))
    await bench.run()
    assert bench.revision() == 9
    assert bench.reads == ["desk"]


async def test_a_beacon_shows_what_was_missed(bench):
    bench.view.take_table(_table(1, 5))
    bench.stored = _table(3, 9)
    bench.follower.take_beacon(datagrams.Beacon({"desk": 9}, {}))
    await bench.run()
    assert bench.revision() == 9


async def test_an_unheard_leader_s_tables_are_read(bench, monkeypatch):
    bench.view.take_table(_table(1, 5))
    monkeypatch.setattr(following, "UNHEARD_SECONDS", 0.02)
    monkeypatch.setattr(following, "UNHEARD_PAUSE_SECONDS", 0.02)
    bench.stored = _table(3, 9)
    await bench.run(0.1)
    assert bench.revision() == 9


async def test_the_leader_reads_nothing_and_tells_how_new_it_is(bench):
    bench.view.take_table(_table(1, 5))
    assert bench.follower.make_beacon() is None
    bench.leads = True
    await bench.run()
    assert not bench.reads
    assert bench.follower.make_beacon().tables == {"desk": 5}


@pytest.mark.parametrize(
    "message",
    [
        datagrams.Beacon({"desk": 9}, {"op/": 4}),
        table.compare(_table(1, 5), _table(2, 8)),
    ],
)
def test_datagrams_are_read_as_they_were_written(message):
    assert datagrams.decode(datagrams.encode(message)) == message
