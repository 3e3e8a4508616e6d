"""Datagrams between a node and the leader."""

import asyncio
import contextlib
import itertools

from jujubeyard.node import datagrams
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.node import sightings
from jujubeyard.ownership import table
from jujubeyard.targets import registry
from tests.utils import fakes

PORTS = itertools.count(18300)


class Member:
    """A node's reporter, and what it was told."""

    def __init__(self, leader, leads):
        self.heard = []
        beacon = datagrams.Beacon({"desk": 7}, {})
        self.reporter = reporting.Reporter(
            lambda: leader,
            self.heard.append,
            self.heard.append,
            self.heard.append,
            lambda: beacon if leads else None,
            sightings.Sightings(registry.Registry()),
            fakes.RecordingJournal(),
        )


@contextlib.asynccontextmanager
async def _pair():
    """Yields a leader and another node, both running."""
    addresses = [settings.Address("127.77.0.2", next(PORTS)) for _ in range(2)]
    members = [Member(addresses[0], True), Member(addresses[0], False)]
    for member, address in zip(members, addresses, strict=True):
        await member.reporter.start(address)
    running = [asyncio.create_task(m.reporter.run()) for m in members]
    yield members
    for task in running:
        task.cancel()
    for member in members:
        member.reporter._transport.close()


async def test_a_node_without_calls_hears_the_leader():
    async with _pair() as (_, other):
        async with asyncio.timeout(4 * reporting.IDLE_SECONDS):
            while not other.heard:
                await asyncio.sleep(0.02)
    assert other.heard[0] == datagrams.Beacon({"desk": 7}, {})


async def test_an_update_reaches_a_node_that_counted_a_call():
    owner = table.Owner("t1", 1, "t1:1")
    shards = tuple(
        table.Shard(first, last, owner, 9, "")
        for first, last in table.divide_keys(64)
    )
    update = table.Update("desk", 1, 2, shards)
    async with _pair() as (leader, other):
        other.reporter.meter("desk").count_call(5)
        async with asyncio.timeout(4 * reporting.IDLE_SECONDS):
            while not leader.heard:
                await asyncio.sleep(0.02)
        leader.reporter.spread(update)
        await asyncio.sleep(0.1)
    assert leader.heard[0].calls == {0: 1}
    parts = [m for m in other.heard if isinstance(m, table.Update)]
    assert sum(len(part.shards) for part in parts) == 64
