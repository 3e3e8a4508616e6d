"""Hedged calls: the first answer counts, within the budget."""

import asyncio

import aiohttp

from jujubeyard import codes
from jujubeyard.gate import state
from jujubeyard.load import generator
from tests.gate import test_gate

Code = codes.ResultCode
POOLED = {"keyed": False, "warm_calls": 0, "cold_slots": 4}


async def slow_first_target(controller, factor: float) -> None:
    """Slows one of the targets."""
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


async def test_slow_idempotent_call_is_answered_by_a_second_target():
    async with test_gate.gate_before(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_first_target(controller, 200.0)
        async with asyncio.timeout(0.6):
            replies = await asyncio.gather(
                *(entry.call("read", shard=-1) for _ in range(2))
            )
    assert {reply.code for reply in replies} == {Code.OK}
    assert {reply.target for reply in replies} == {"desk-1"}


async def test_hedges_stay_within_the_budget():
    calls = 100
    async with test_gate.gate_before(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_first_target(controller, 10.0)
        sent = 0
        for _ in range(calls):
            await entry.call("read", shard=-1)
        sent = await count_started(controller)
    allowed = (calls + 20) * state.HEDGE_RATIO + state.HEDGE_BURST
    assert sent <= calls + 20 + allowed


async def count_started(controller) -> int:
    total = 0
    async with aiohttp.ClientSession() as session:
        for row in controller.manifest["service"][0]["target"]:
            url = f"http://{row['address']}/-/counts"
            async with session.get(url) as resp:
                total += (await resp.json()).get("started", 0)
    return total


async def test_non_repeatable_call_is_never_hedged():
    async with test_gate.gate_before(
        targets=2, service=POOLED, work_ms=5.0, cold_slots=4
    ) as (entry, controller):
        await warm_up(entry)
        await slow_first_target(controller, 30.0)
        before = await count_started(controller)
        replies = await asyncio.gather(
            *(
                entry.call("write", generator.make_request_id())
                for _ in range(4)
            )
        )
        after = await count_started(controller)
    assert {reply.code for reply in replies} == {Code.OK}
    assert after - before == len(replies)
