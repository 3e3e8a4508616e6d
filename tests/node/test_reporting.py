"""Datagrams that a node and the leader send each other."""

import asyncio
import contextlib
import itertools
import time

import pytest

from jujubeyard.node import datagrams
from jujubeyard.node import load_exchange
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.ownership import table
from jujubeyard.targets import loads
from jujubeyard.targets import registry
from tests.utils import fakes

PORTS = itertools.count(18300)


class RecordingTransport:
    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address))


class Node:
    """A reporter and the messages that it received."""

    def __init__(self, leader, is_leader, node_count=2):
        self.received = []
        self.registry = registry.Registry()
        beacon = datagrams.Beacon({"desk": 7}, {})
        self.reporter = reporting.Reporter(
            lambda: leader,
            self.received.append,
            self.received.append,
            self.received.append,
            lambda: beacon if is_leader else None,
            load_exchange.LoadExchange(self.registry),
            fakes.RecordingJournal(),
            lambda: node_count,
        )


@contextlib.asynccontextmanager
async def _run_pair(node_count=2):
    """Runs and yields a leader and another node."""
    addresses = [settings.Address("127.77.0.2", next(PORTS)) for _ in range(2)]
    nodes = [
        Node(addresses[0], is_leader, node_count) for is_leader in (True, False)
    ]
    for node, address in zip(nodes, addresses, strict=True):
        await node.reporter.start(address)
    tasks = [asyncio.create_task(node.reporter.run()) for node in nodes]
    yield nodes
    for task in tasks:
        task.cancel()
    for node in nodes:
        node.reporter._transport.close()


async def test_a_node_without_calls_receives_beacons():
    async with _run_pair() as (_, other):
        async with asyncio.timeout(4 * reporting.IDLE_SECONDS):
            while not other.received:
                await asyncio.sleep(0.02)
    assert other.received[0] == datagrams.Beacon({"desk": 7}, {})


async def test_a_node_that_reported_a_call_receives_updates():
    owner = table.Owner("t1", 1, "t1:1")
    shards = tuple(
        table.Shard(first, last, owner, 9, "")
        for first, last in table.split_key_space(64)
    )
    update = table.Update("desk", 1, 2, shards)
    async with _run_pair() as (leader, other):
        other.reporter.meter("desk").count_call(5)
        async with asyncio.timeout(4 * reporting.IDLE_SECONDS):
            while not leader.received:
                await asyncio.sleep(0.02)
        leader.reporter.broadcast_update(update)
        await asyncio.sleep(0.1)
    assert leader.received[0].calls == {0: 1}
    parts = [m for m in other.received if isinstance(m, table.Update)]
    assert sum(len(part.shards) for part in parts) == 64


@pytest.mark.parametrize("sender", [0, 1])
@pytest.mark.parametrize(("node_count", "count"), [(120, 2), (121, 0)])
async def test_many_nodes_send_no_loads_of_pressed_targets_at_once(
    sender, node_count, count
):
    async with _run_pair(node_count) as nodes:
        node = nodes[sender]
        now = time.monotonic()
        listing = registry.Listing("t1", "pool", "t1:1", "z1", 6, False, 0.0, 1)
        node.registry.put(listing, now)
        target = node.registry.targets["t1"]
        target.load.observe_report(loads.LoadReport(6, 12, 6, 1.0), now)
        node.registry.queue_limit("pool").observe_full(12, now)
        node.reporter._peers[("127.77.0.9", 9)] = now
        transport = RecordingTransport()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(node.reporter, "_transport", transport)
            node.reporter._send_pressed_loads()
    assert len(transport.sent) == count


async def test_a_node_that_doesn_t_lead_forgets_its_peers():
    async with _run_pair() as (_, other):
        other.reporter._peers[("127.77.0.9", 9)] = 0.0
        await asyncio.sleep(1.5 * reporting.REPORT_SECONDS)
        assert ("127.77.0.9", 9) not in other.reporter._peers
