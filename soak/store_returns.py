"""Drills in which the store comes back from an older copy."""

import asyncio

from platform_standins import documents
from platform_standins import store
from soak import observations

AWAY_SECONDS = (0.2, 3.0)
"""Shortest and longest time for which the store resets all calls."""

COPY_AGE_SECONDS = (0.5, 8.0)
"""Youngest and oldest copy, reckoned from its return."""

LEASES_KEPT_SHARE = 0.3
"""Share of the copies whose leases go on."""

REWRITE_SECONDS = (0.1, 0.6)
"""Shortest and longest time until the operator writes again."""

UNLIST_SECONDS = 1.5
"""Time until entries of targets that are gone have run out again."""

RETURN_KIND = "store return"


async def return_store(ctx) -> None:
    """Takes the store back to a copy; what was written outside follows."""
    with ctx.record_disruption(RETURN_KIND, observations.EVERYWHERE):
        await _go_back(ctx)
        kv_store = ctx.fleet.store
        await ctx.wait(*REWRITE_SECONDS)
        kv_store.write_again(documents.OPERATOR_PREFIX)
        await asyncio.sleep(UNLIST_SECONDS)
        kv_store.write_again(documents.TARGET_PREFIX)


async def return_store_twice(ctx) -> None:
    """Takes the store back two times within ten seconds."""
    await return_store(ctx)
    await ctx.wait(0.0, 2.0)
    await return_store(ctx)


async def _go_back(ctx) -> None:
    """Resets all calls for a while, then serves an older copy."""
    kv_store = ctx.fleet.store
    await ctx.wait_for_store()
    kv_store.faults.mode = store.Mode.RESETS
    kv_store.wake()
    await ctx.wait(*AWAY_SECONDS)
    kv_store.go_back(
        ctx.rng.uniform(*COPY_AGE_SECONDS),
        ctx.rng.random() < LEASES_KEPT_SHARE,
    )
    kv_store.clear_faults()
