"""Tests of faults of the soak that overlap."""

import asyncio
import random

import pytest

from platform_standins import documents
from platform_standins import store
from soak import faults
from soak import fleet
from soak import observations


class FakeProcess:
    """A fake process that exits on any signal."""

    def __init__(self):
        self.returncode = None

    def poll(self):
        return self.returncode

    def send_signal(self, signum):
        del signum
        self.returncode = 0

    def wait(self):
        return self.returncode


class FakeFleet:
    """A fake fleet whose nodes have fake processes."""

    def __init__(self):
        self.observed = observations.Observations(0.0)
        self.store = store.Store(random.Random(1))
        self.nodes = {
            name: fleet.Node(name, "a", "", None, FakeProcess())
            for name in ("n1", "n2")
        }
        self.shape = fleet.Shape(("a",), 2, {}, 0)
        self.spawned = []

    def spawn(self, node):
        assert node.process.poll() is not None, f"{node.name} is still running"
        node.process = FakeProcess()
        self.spawned.append(node.name)

    def send_signal(self, node, signum):
        node.process.send_signal(signum)


@pytest.mark.parametrize("seed", range(8))
async def test_concurrent_restarts_never_run_two_processes_of_a_node(
    seed, monkeypatch
):
    running_fleet = FakeFleet()
    ctx = faults.FaultContext(running_fleet, random.Random(seed))

    async def wait(shortest, longest):
        await asyncio.sleep(ctx.rng.uniform(shortest, longest) / 50)

    monkeypatch.setattr(ctx, "wait", wait)
    restarting_faults = [
        faults.kill_all_nodes,
        faults.stop_node,
        faults.kill_node,
    ]
    await asyncio.gather(*(fault(ctx) for fault in restarting_faults * 3))
    assert running_fleet.spawned
    assert all(node.should_run for node in running_fleet.nodes.values())


async def test_zone_is_evacuated_until_its_last_evacuation_is_revoked(
    monkeypatch,
):
    running_fleet = FakeFleet()
    ctx = faults.FaultContext(running_fleet, random.Random(1))
    waits = iter([0.06, 0.02, 0.04])

    async def wait(shortest, longest):
        await asyncio.sleep(next(waits))

    monkeypatch.setattr(ctx, "wait", wait)
    started = [asyncio.create_task(faults.evacuate_zone(ctx)) for _ in range(3)]
    key = documents.evacuation_key("a")
    await asyncio.sleep(0.05)
    assert [task.done() for task in started] == [False, True, True]
    assert running_fleet.store.value(key) == b"{}"
    await asyncio.gather(*started)
    assert running_fleet.store.value(key) == b""
    ends = [removal.end for removal in running_fleet.observed.evacuations]
    assert ends[1] < ends[2] < ends[0] < float("inf")
