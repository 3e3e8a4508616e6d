"""What a node knows of a call, whatever a target does on the connection."""

import asyncio

import pytest

from jujubeyard.node import protocol
from jujubeyard.node import upstream
from tests.utils import raw_server

NAMES = protocol.HeaderNames(
    call_id="X-Call",
    deadline="X-Deadline",
    expected_target="X-Expected",
    key="X-Key",
    not_run="X-Not-Run",
    signature="X-Signature",
    load="X-Load",
    target="X-Target",
    handover="X-Handover",
)
ANSWERED = upstream.SendOutcome.ANSWERED
BROKEN = upstream.SendOutcome.BROKEN
CLOSE, RESET = raw_server.CLOSE, raw_server.RESET
NO_LENGTH = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Signature: s\r\n\r\nabc"


def _call(address, call_id="c1", fresh=False, method="GET", seconds=1.0):
    headers = [("Host", "a.example"), ("X-Call", call_id)]
    return upstream.Outgoing(
        address, method, "/x/1", headers, b"", call_id, seconds, fresh
    )


@pytest.fixture
async def upstreams():
    made = upstream.Upstreams(NAMES)
    yield made
    await made.close()


@pytest.mark.parametrize(
    ("script", "outcome", "body"),
    [
        pytest.param([raw_server.answer("c1")], ANSWERED, b"ok", id="whole"),
        pytest.param([NO_LENGTH, CLOSE], ANSWERED, b"abc", id="ends by close"),
        pytest.param(
            [NO_LENGTH, 0.05, RESET], BROKEN, None, id="ends by reset"
        ),
        pytest.param(
            [raw_server.answer("c1", b"x" * 99)[:-9], CLOSE],
            BROKEN,
            None,
            id="cut short",
        ),
        pytest.param([RESET], BROKEN, None, id="reset"),
        pytest.param([CLOSE], BROKEN, None, id="closed"),
        pytest.param([b"what?\r\n\r\n", CLOSE], BROKEN, None, id="no HTTP"),
        pytest.param(
            [raw_server.answer("c0", b"old"), raw_server.answer("c1")],
            ANSWERED,
            b"ok",
            id="another call's answer first",
        ),
        pytest.param(
            [raw_server.answer("c1"), raw_server.answer("c1", b"again")],
            ANSWERED,
            b"ok",
            id="answered twice",
        ),
    ],
)
async def test_one_call(upstreams, script, outcome, body):
    async with raw_server.RawServer(script) as server:
        sent = await upstreams.send(_call(server.address))
    assert sent.outcome is outcome, sent
    assert (sent.answer.body if sent.answer else None) == body


async def test_a_silent_target_times_out(upstreams):
    async with raw_server.RawServer([1.0]) as server:
        sent = await upstreams.send(_call(server.address, seconds=0.1))
    assert sent.outcome is upstream.SendOutcome.TIMED_OUT


async def test_a_refused_connection_sent_nothing(upstreams):
    async with raw_server.RawServer() as server:
        address = server.address
    sent = await upstreams.send(_call(address))
    assert sent.outcome is upstream.SendOutcome.NOT_SENT


@pytest.mark.parametrize("method", ["GET", "DELETE", "PUT", "POST"])
async def test_no_call_is_sent_again_by_the_client(upstreams, method):
    script = [raw_server.answer("c1")], [CLOSE], [raw_server.answer("c2")]
    async with raw_server.RawServer(*script) as server:
        await upstreams.send(_call(server.address, "c1"))
        sent = await upstreams.send(_call(server.address, "c2", method=method))
        assert len(server.requests) == 2
    assert sent.outcome is BROKEN


async def test_a_late_extra_answer_is_no_answer_to_the_next_call(upstreams):
    extra = raw_server.answer("c1", b"again")
    script = (
        [raw_server.answer("c1"), 0.05, extra],
        [raw_server.answer("c2", b"second")],
    )
    async with raw_server.RawServer(*script) as server:
        await upstreams.send(_call(server.address, "c1"))
        await asyncio.sleep(0.1)
        sent = await upstreams.send(_call(server.address, "c2"))
    assert sent.answer.body == b"second"


@pytest.mark.parametrize(("fresh", "connections"), [(False, 1), (True, 2)])
async def test_connections_are_kept_unless_a_fresh_one_is_asked_for(
    upstreams, fresh, connections
):
    script = [raw_server.answer("c1")], [raw_server.answer("c2")]
    async with raw_server.RawServer(*script) as server:
        await upstreams.send(_call(server.address, "c1", fresh))
        sent = await upstreams.send(_call(server.address, "c2", fresh))
        assert server.connections == connections
    assert sent.outcome is ANSWERED
