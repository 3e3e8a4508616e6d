"""Tests of the selection of targets for calls without a key."""

import asyncio

import pytest

from jujubeyard import codes
from jujubeyard.scheduling import capacity
from tests.node import test_forward


@pytest.fixture
def harness():
    return test_forward.Harness()


@pytest.mark.parametrize(
    ("in_flight", "code", "spent"),
    [
        pytest.param(0, codes.ResultCode.OK, 1.0, id="sent"),
        pytest.param(30, codes.ResultCode.OVERLOADED, 0.0, id="queue bound"),
    ],
)
async def test_only_a_call_that_is_sent_spends_credit(
    harness, in_flight, code, spent
):
    target = harness.add_target("t1", slots=1)
    target.load.in_flight = in_flight
    now = asyncio.get_running_loop().time()
    target.load.room.limit.observe_full(12, now)
    keeper = harness.forwarder._selector._room_keeper
    pool = keeper._pooled["pool"] = capacity.Capacity(waiting_at=now)
    harness.client.script = [test_forward.make_answer() for _ in range(3)]
    await harness.serve("read")
    pool.controller.exponent = 1.5
    pool.controller.reported_at = pool.waiting_at = now
    await harness.serve("read")
    credit = pool.credits.of(1, now)
    credit.calls = before = 1.5
    share = pool.controller.share(now)
    reply = await harness.serve("read")
    assert reply.code is code
    assert credit.calls == pytest.approx(before + share - spent, abs=0.02)
