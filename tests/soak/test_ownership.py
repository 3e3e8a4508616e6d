"""Runs of real processes that guard the sole ownership of keys."""

import asyncio
import random

import pytest

from soak import callers
from soak import faults
from soak import fleet
from soak import observations

SETTLE_SECONDS = 6.0
FREEZES = 2
FROZEN_SECONDS = 7.0
"""Longer than any grant that is given while the store answers."""


async def _freeze_owner(running_fleet, ctx):
    """Suspends an owner until its keys have moved, and resumes it."""
    picked = ctx.pick_target("desk")
    with ctx.record_disruption("freeze", picked.name):
        picked.freeze()
        await asyncio.sleep(FROZEN_SECONDS)
        picked.thaw()
    await asyncio.sleep(1.0)


async def _play(directory, disrupt, count):
    rng = random.Random(1)
    running_fleet = fleet.Fleet(rng, directory, fleet.SHAPES["small"])
    ctx = faults.FaultContext(running_fleet, rng)
    ctx.configure()
    balancer = callers.LoadBalancer(running_fleet, rng)
    load = callers.Callers(running_fleet, balancer, rng)
    tasks = []
    try:
        await running_fleet.start()
        tasks = [asyncio.create_task(run()) for run in (balancer.run, load.run)]
        await asyncio.sleep(SETTLE_SECONDS)
        for _ in range(count):
            await disrupt(running_fleet, ctx)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await running_fleet.stop()
    running_fleet.read_records()
    return [
        str(finding)
        for finding in running_fleet.observed.findings
        if finding.rule is observations.Rule.OWNER
    ]


@pytest.mark.parametrize(("disrupt", "count"), [(_freeze_owner, FREEZES)])
def test_frozen_owner_takes_no_grant_that_waited_for_it(
    disrupt, count, tmp_path
):
    findings = asyncio.run(_play(tmp_path, disrupt, count))
    assert findings == []
