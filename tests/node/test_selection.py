"""Tests of the selection of targets for calls without a key."""

import asyncio
import collections

import pytest

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import calls
from jujubeyard.scheduling import capacity
from tests.node import test_forward
from tests.node import test_waiting_room


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
    pool = keeper._pooled["pool"] = capacity.Capacity(waiting_at=now + 60.0)
    harness.client.script = [test_forward.make_answer() for _ in range(3)]
    await harness.serve("read")
    pool.controller.exponent = 1.5
    pool.controller.reported_at = now
    await harness.serve("read")
    credit = pool.credits.of(0, now)
    credit.calls = before = 1.5
    share = pool.controller.share(now)
    reply = await harness.serve("read")
    assert reply.code is code
    assert credit.calls == pytest.approx(before + share - spent, abs=0.02)


@pytest.mark.parametrize(
    ("urgencies", "is_freed", "code"),
    [
        pytest.param({"read": 0}, True, codes.ResultCode.OK, id="served"),
        pytest.param(
            {"read": 0},
            False,
            codes.ResultCode.DEADLINE_UNREACHABLE,
            id="waits in vain",
        ),
        pytest.param({}, True, codes.ResultCode.NO_TARGET, id="no waiting"),
    ],
)
async def test_a_call_waits_for_a_connection_where_calls_wait(
    harness, urgencies, is_freed, code
):
    test_waiting_room.give_priorities(harness, urgencies)
    target = harness.add_target("t1", slots=1000)
    target.load.in_flight = 120
    harness.client.script = [test_forward.make_answer()]
    task = asyncio.create_task(harness.serve("read"))
    await asyncio.sleep(0.02)
    target.load.in_flight -= is_freed * 60
    reply = await task
    assert reply.code is code
    waits = test_waiting_room.find_waits(harness)
    assert len(waits) == len(urgencies)


def _make_state(harness, name, now):
    call = calls.Call(
        "c1", "GET", "a.example", f"/{name}/", (), b"", None, now, 1.0
    )
    configuration = harness.view.routes.configuration
    (route,) = [r for r in configuration.routes if r.name == name]
    return attempts.CallState(
        call, route, configuration.services["pool"], now + 1.0
    )


@pytest.mark.parametrize("urgencies", [(0, 1), (20, 30), (10**6, 10**9)])
async def test_priorities_are_told_apart_however_large_they_are(
    harness, urgencies
):
    names = ("read", "order")
    test_waiting_room.give_priorities(
        harness, dict(zip(names, urgencies, strict=True)) | {"short": 0}
    )
    target = harness.add_target("t1")
    now = asyncio.get_running_loop().time()
    target.load.room.limit.observe_full(12, now)
    selector = harness.forwarder._selector
    pool = capacity.Capacity(waiting_at=now + 60.0)
    selector._room_keeper._pooled["pool"] = pool
    admitted = collections.Counter()
    for number in range(200):
        name = names[number % 2]
        found = await selector.select(_make_state(harness, name, now))
        if number < 2:
            pool.controller.exponent = 1.5
            pool.controller.reported_at = now
        admitted[name] += found is not None
    assert admitted["read"] > 2 * admitted["order"] > 0
