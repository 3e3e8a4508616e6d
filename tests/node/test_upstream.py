"""Tests of how the outcome of a call is classified, with a scripted target."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest

from jujubeyard import bodies
from jujubeyard import memory
from jujubeyard.node import protocol
from jujubeyard.node import upstream
from tests.utils import endless
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
    leaving="X-Leaving",
    cold="X-Cold",
    pause="Retry-After",
)
MAX_HELD_BYTES = 48 * bodies.MIB
ANSWERED = upstream.SendOutcome.ANSWERED
BROKEN = upstream.SendOutcome.BROKEN
CLOSE, RESET = raw_server.CLOSE, raw_server.RESET
ANSWER_WITHOUT_LENGTH = (
    b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Signature: s\r\n\r\nabc"
)


def _make_call(address, call_id="c1", fresh=False, method="GET", seconds=1.0):
    headers = [("Host", "a.example"), ("X-Call", call_id)]
    return upstream.OutgoingCall(
        address, method, "/x/1", headers, b"", call_id, seconds, fresh
    )


class ReadingClient(upstream.UpstreamClient):
    """Reads also large answers to their end, as a caller does."""

    async def send(self, call):
        result = await super().send(call)
        if result.answer is None or result.answer.stream is None:
            return result
        stream = result.answer.stream
        try:
            size = sum([len(block) async for block in stream.iter_blocks()])
        except aiohttp.ClientError as exc:
            return upstream.SendResult(BROKEN, detail=repr(exc))
        finally:
            stream.close()
        answer = upstream.Answer(
            result.answer.status, result.answer.headers, b"x" * size
        )
        return upstream.SendResult(ANSWERED, answer)


@pytest.fixture
async def client():
    created = ReadingClient(NAMES, memory.MemoryBudget(MAX_HELD_BYTES))
    yield created
    await created.close()


@pytest.mark.parametrize(
    ("script", "outcome", "body"),
    [
        pytest.param([raw_server.answer("c1")], ANSWERED, b"ok", id="whole"),
        pytest.param(
            [ANSWER_WITHOUT_LENGTH, CLOSE], ANSWERED, b"abc", id="ends by close"
        ),
        pytest.param(
            [ANSWER_WITHOUT_LENGTH, 0.05, RESET],
            BROKEN,
            None,
            id="ends by reset",
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
async def test_outcome_and_body(client, script, outcome, body):
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is outcome, result
    assert (result.answer.body if result.answer else None) == body


@pytest.mark.parametrize("more", [[], ["X-Not-Run: 1"]])
@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "999"])
async def test_status_that_is_none_of_an_answer_is_no_answer(
    client, status, more
):
    """An answer with the status 000 reached the caller as served."""
    answer = raw_server.answer("c1", b"ok", *more)
    script = [answer.replace(b"200 OK", f"{status} Odd".encode()), CLOSE]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is BROKEN, result
    assert result.answer is None


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
async def test_answer_behind_an_interim_one_is_taken(client, status):
    interim = f"HTTP/1.1 {status} Wait\r\nX-Call: c1\r\n\r\n".encode()
    script = [interim, raw_server.answer("c1")]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is ANSWERED, result
    assert result.answer.status == 200


async def test_silent_target_times_out(client):
    async with raw_server.RawServer([1.0]) as server:
        result = await client.send(_make_call(server.address, seconds=0.1))
    assert result.outcome is upstream.SendOutcome.TIMED_OUT


async def test_refused_connection_is_not_sent(client):
    async with raw_server.RawServer() as server:
        address = server.address
    result = await client.send(_make_call(address))
    assert result.outcome is upstream.SendOutcome.NOT_SENT


@pytest.mark.parametrize("fresh", [False, True])
async def test_connection_that_is_reset_at_once_carries_no_call(client, fresh):
    def reset(_, writer):
        accepted.append(writer)
        sock = writer.get_extra_info("socket")
        linger = raw_server.RESET_ON_CLOSE
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    accepted = []
    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        result = await client.send(_make_call(f"{host}:{port}", fresh=fresh))
    assert result.outcome is upstream.SendOutcome.NOT_SENT
    assert len(accepted) == 1


async def test_call_whose_time_ends_before_a_connection_is_not_sent(client):
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        host, port = listener.getsockname()
        with contextlib.ExitStack() as stack:
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex((host, port))
            result = await client.send(
                _make_call(f"{host}:{port}", seconds=0.15)
            )
    assert result.outcome is upstream.SendOutcome.NOT_SENT


@pytest.mark.parametrize("method", ["GET", "DELETE", "PUT", "POST"])
async def test_client_does_not_retry(client, method):
    script = [raw_server.answer("c1")], [CLOSE], [raw_server.answer("c2")]
    async with raw_server.RawServer(*script) as server:
        await client.send(_make_call(server.address, "c1"))
        result = await client.send(
            _make_call(server.address, "c2", method=method)
        )
        assert len(server.requests) == 2
    assert result.outcome is BROKEN


async def test_late_second_answer_is_not_used_for_next_call(client):
    extra = raw_server.answer("c1", b"again")
    script = (
        [raw_server.answer("c1"), 0.05, extra],
        [raw_server.answer("c2", b"second")],
    )
    async with raw_server.RawServer(*script) as server:
        await client.send(_make_call(server.address, "c1"))
        await asyncio.sleep(0.1)
        result = await client.send(_make_call(server.address, "c2"))
    assert result.answer.body == b"second"


async def test_large_answer_to_another_call_does_not_hold_up_the_next(client):
    large = raw_server.answer("c0", b"x" * bodies.MIB)
    script = [large, raw_server.answer("c1", b"ok")]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address, "c1"))
    assert result.outcome is ANSWERED
    assert result.answer.body == b"ok"


@pytest.mark.parametrize(("fresh", "connections"), [(False, 1), (True, 2)])
async def test_connection_is_reused_unless_fresh_one_is_required(
    client, fresh, connections
):
    script = [raw_server.answer("c1")], [raw_server.answer("c2")]
    async with raw_server.RawServer(*script) as server:
        await client.send(_make_call(server.address, "c1", fresh))
        result = await client.send(_make_call(server.address, "c2", fresh))
        assert server.connections == connections
    assert result.outcome is ANSWERED


HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Signature: s\r\n"
BLOCK = b"x" * 65536
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
OTHER_ANSWERS = raw_server.answer("c0", b"old") * 1000
MAX_SENT_BYTES = 32 * bodies.MIB


@pytest.mark.parametrize("fresh", [False, True])
@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(HEAD + b"\r\n", BLOCK, id="body without length"),
        pytest.param(
            CHUNKED_HEAD,
            b"10000\r\n" + BLOCK + b"\r\n",
            id="chunks",
        ),
        pytest.param(
            HEAD + b"Content-Length: 99999999999\r\n\r\n",
            BLOCK,
            id="body of a huge length",
        ),
        pytest.param(HEAD, b"X-More: y\r\n" * 1000, id="headers"),
        pytest.param(HEAD + b"X-Long: ", BLOCK, id="header value"),
        pytest.param(HEAD, BLOCK, id="header name"),
        pytest.param(b"HTTP/1.1 200 ", BLOCK, id="reason"),
        pytest.param(b"", BLOCK, id="no HTTP"),
        pytest.param(b"", INTERIM, id="interim answers"),
        pytest.param(b"", OTHER_ANSWERS, id="answers to other calls"),
        pytest.param(b"", b"\r\n" * 32768, id="empty lines"),
        pytest.param(CHUNKED_HEAD, b"0" * 65536, id="chunk size"),
        pytest.param(CHUNKED_HEAD + b"5;a=", BLOCK, id="chunk extension"),
        pytest.param(CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 9999, id="trailer"),
        pytest.param(
            CHUNKED_HEAD, b"1\r\nx\r\n" * 9999, id="chunks of one byte"
        ),
    ],
)
async def test_endless_bytes_of_a_target_do_not_exhaust_memory(
    client, fresh, start, repeated
):
    script = [start, raw_server.Repeat(repeated)]
    async with raw_server.RawServer(script) as server:
        result = await client.send(
            _make_call(server.address, fresh=fresh, seconds=2.5)
        )
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert result.outcome is BROKEN
    assert server.repeated_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize("repeated", [BLOCK, OTHER_ANSWERS])
async def test_endless_bytes_on_an_idle_connection_close_it(client, repeated):
    script = [raw_server.answer("c1"), 0.05, raw_server.Repeat(repeated)]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert result.outcome is ANSWERED
    assert server.repeated_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize("connections", [1, 24])
@pytest.mark.parametrize("copied", ["c1", "c0"])
async def test_copies_of_answers_of_targets_do_not_exhaust_memory(
    client, copied, connections
):
    copies = raw_server.Repeat(raw_server.answer(copied) * 700)
    script = [[raw_server.answer("c1"), copies] for _ in range(connections)]
    with endless.assert_memory_is_bounded():
        async with raw_server.RawServer(*script) as server:
            calls = [_make_call(server.address) for _ in script]
            results = await asyncio.gather(*map(client.send, calls))
    assert {result.outcome for result in results} <= {ANSWERED, BROKEN}


async def test_endless_bodies_of_many_targets_share_a_memory_limit(client):
    script = [[HEAD + b"\r\n", raw_server.Repeat(BLOCK)] for _ in range(20)]
    with endless.assert_memory_is_bounded():
        async with raw_server.RawServer(*script) as server:
            results = await asyncio.gather(
                *(
                    client.send(_make_call(server.address, seconds=2.5))
                    for _ in script
                )
            )
    assert {result.outcome for result in results} == {BROKEN}
    assert server.repeated_bytes < len(script) * MAX_SENT_BYTES


async def test_answers_that_are_not_read_stay_with_their_targets():
    budget = memory.MemoryBudget(MAX_HELD_BYTES)
    client = upstream.UpstreamClient(NAMES, budget)
    script = [[HEAD + b"\r\n", raw_server.Repeat(BLOCK)] for _ in range(20)]
    with endless.assert_memory_is_bounded():
        async with raw_server.RawServer(*script) as server:
            calls = [_make_call(server.address, seconds=5.0) for _ in script]
            results = await asyncio.gather(*map(client.send, calls))
            await asyncio.sleep(0.5)
            streams = [result.answer.stream for result in results]
            assert 0 < budget.held_bytes < MAX_HELD_BYTES
            for stream in streams:
                stream.close()
    assert budget.held_bytes == 0
    assert not any(stream.is_target_at_fault for stream in streams)
    await client.close()


COMPLETE_ANSWER = raw_server.answer("c1", b"whole body")
HEAD_BYTES = COMPLETE_ANSWER.index(b"\r\n\r\n") + 4


@pytest.mark.parametrize("end", [CLOSE, RESET])
@pytest.mark.parametrize("size", range(1, HEAD_BYTES))
async def test_answer_cut_in_its_head_is_not_passed_on(client, size, end):
    script = [COMPLETE_ANSWER[:size], 0.005, end]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is BROKEN


async def test_large_answer_with_a_malformed_header_is_not_held():
    budget = memory.MemoryBudget(MAX_HELD_BYTES)
    client = upstream.UpstreamClient(NAMES, budget)
    head = HEAD + b"X-Odd: a\x01b\r\nContent-Length: 400000\r\n\r\n"
    async with raw_server.RawServer([head, b"x" * 400_000]) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is BROKEN
    assert budget.held_bytes == 0
    await client.close()


async def test_answer_without_memory_for_it_is_no_fault_of_the_target():
    budget = memory.MemoryBudget(100)
    client = upstream.UpstreamClient(NAMES, budget)
    script = [raw_server.answer("c1", b"x" * 1000)]
    async with raw_server.RawServer(script) as server:
        result = await client.send(_make_call(server.address))
    assert result.outcome is upstream.SendOutcome.NO_MEMORY
    assert budget.held_bytes == 0
    await client.close()
