"""Tests which calls are hedged and that hedges stay within the budget."""

import asyncio

import aiohttp

from jujubeyard import codes
from jujubeyard.gate import state
from jujubeyard.load import generator
from tests.gate import test_gate

Code = codes.ResultCode
POOLED = {"keyed": False, "warm_calls": 0, "cold_slots": 4}


async def slow_down_first_target(controller, factor: float) -> None:
    """Makes calls of the first target slower by a factor."""
    row = controller.manifest["service"][0]["target"][0]
    async with (
        aiohttp.ClientSession() as session,
        session.put(
            f"http://{row['address']}/-/control", json={"slow_factor": factor}
        ) as resp,
    ):
        resp.raise_for_status()


async def warm_up(entry) -> None:
    for _ in range(20):
        await entry.call("read", shard=-1)


async def test_slow_idempotent_call_is_hedged_to_a_second_target():
    async with test_gate.running_gate(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_down_first_target(controller, 200.0)
        async with asyncio.timeout(0.6):
            replies = await asyncio.gather(
                *(entry.call("read", shard=-1) for _ in range(2))
            )
    assert {reply.code for reply in replies} == {Code.OK}
    assert {reply.target for reply in replies} == {"desk-1"}


async def test_hedges_stay_within_the_budget():
    calls = 100
    async with test_gate.running_gate(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_down_first_target(controller, 10.0)
        started = 0
        for _ in range(calls):
            await entry.call("read", shard=-1)
        started = await count_started(controller)
    max_hedges = (calls + 20) * state.HEDGE_RATIO + state.HEDGE_BURST
    assert started <= calls + 20 + max_hedges


async def count_started(controller) -> int:
    total = 0
    async with aiohttp.ClientSession() as session:
        for row in controller.manifest["service"][0]["target"]:
            url = f"http://{row['address']}/-/counts"
            async with session.get(url) as resp:
                total += (await resp.json()).get("started", 0)
    return total


async def test_non_idempotent_call_is_never_hedged():
    async with test_gate.running_gate(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_down_first_target(controller, 30.0)
        started_before = await count_started(controller)
        replies = await asyncio.gather(
            *(
                entry.call("write", generator.make_request_id())
                for _ in range(4)
            )
        )
        started_after = await count_started(controller)
    assert {reply.code for reply in replies} == {Code.OK}
    assert started_after - started_before == len(replies)
