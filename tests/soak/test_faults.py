"""Faults of the soak that stop and start nodes, beside one another."""

import asyncio
import random

import pytest

from soak import faults
from soak import fleet
from soak import observations


class Process:
    """A process that ends when it is told to."""

    def __init__(self):
        self.returncode = None

    def poll(self):
        return self.returncode

    def send_signal(self, number):
        del number
        self.returncode = 0

    def wait(self):
        return self.returncode


class Fleet:
    """Nodes whose processes are fakes."""

    def __init__(self):
        self.observed = observations.Observations(0.0)
        self.nodes = {
            name: fleet.Node(name, "a", "", None, Process())
            for name in ("n1", "n2")
        }
        self.spawned = []

    def spawn(self, node):
        assert node.process.poll() is not None, f"{node.name} still runs"
        node.process = Process()
        self.spawned.append(node.name)

    def send_signal(self, node, number):
        node.process.send_signal(number)


@pytest.mark.parametrize("seed", range(8))
async def test_no_node_gets_two_processes(seed, monkeypatch):
    running_fleet = Fleet()
    ctx = faults.FaultContext(running_fleet, random.Random(seed))

    async def wait(least, most):
        await asyncio.sleep(ctx.rng.uniform(least, most) / 50)

    monkeypatch.setattr(ctx, "wait", wait)
    chosen = [faults.kill_all_nodes, faults.stop_node, faults.kill_node]
    await asyncio.gather(*(fault(ctx) for fault in chosen * 3))
    assert running_fleet.spawned
    assert all(node.should_run for node in running_fleet.nodes.values())
