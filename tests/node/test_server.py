"""Tests of the server for callers, also during a shutdown."""

import asyncio
import gzip
import io
import socket

import pytest

from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard import connections
from jujubeyard import memory
from jujubeyard.node import body_stream
from jujubeyard.node import calls
from jujubeyard.node import departures
from jujubeyard.node import journal
from jujubeyard.node import pipelining
from jujubeyard.node import server
from jujubeyard.node import settings
from tests.node import test_upstream
from tests.utils import endless
from tests.utils import processes
from tests.utils import slow_callers

ENDLESS_SECONDS = 0.5
MAX_BODY_BYTES = 8 * bodies.MIB
MAX_HELD_BYTES = 32 * bodies.MIB
REQUEST = b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n\r\n"


class Harness:
    def __init__(self, address):
        self.address = address
        self.calls = []
        self.is_taking_bodies = True
        self.streamed_bytes = 0
        self.cancelled_calls = 0
        self.running_calls = 0
        self.most_running_calls = 0
        self.delay_seconds = 0.0
        self.delays: dict[str, float] = {}
        self.replies: dict[str, calls.Reply] = {}
        self.reply = calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, b"ok")
        self.log_output = io.StringIO()
        self.budget = memory.MemoryBudget(MAX_HELD_BYTES)
        self.server = server.CallerServer(
            self.serve,
            test_upstream.NAMES,
            journal.Journal(self.log_output, "vm-0"),
            lambda call: not call.path.startswith("/order/"),
            self.budget,
        )

    async def serve(self, call):
        if call.stream is not None and self.is_taking_bodies:
            call.limit_body(MAX_BODY_BYTES)
            try:
                async for block in call.stream.iter_blocks():
                    self.streamed_bytes += len(block)
            except body_stream.CallerFailedError:
                return calls.make_error_reply(call.stream.failure)
        self.calls.append(call)
        delay_seconds = self.delays.get(call.call_id, self.delay_seconds)
        self.running_calls += 1
        self.most_running_calls = max(
            self.most_running_calls, self.running_calls
        )
        try:
            await asyncio.sleep(delay_seconds)
        except asyncio.CancelledError:
            self.cancelled_calls += 1
            raise
        finally:
            self.running_calls -= 1
        return self.replies.get(call.call_id, self.reply)

    async def connect(self):
        return await asyncio.open_connection(
            self.address.host, self.address.port
        )


async def _read_answer(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    for line in head.split(b"\r\n"):
        name, _, text = line.partition(b": ")
        if name.lower() == b"content-length":
            return head, await reader.readexactly(int(text))
    return head, b""


@pytest.fixture
async def harness():
    address = settings.parse_address(processes.make_address())
    created = Harness(address)
    await created.server.start(address)
    yield created
    await created.server.stop_listening()
    created.server.close_idle_connections()


async def test_connection_is_reused(harness):
    reader, writer = await harness.connect()
    for _ in range(2):
        writer.write(REQUEST)
        _, body = await _read_answer(reader)
        assert body == b"ok"
    assert harness.calls[0].call_id == "c1"
    assert harness.calls[0].path == "/x/1"


async def test_idle_connection_is_closed(harness):
    """A connection left open would never answer the caller's next call."""
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    await _read_answer(reader)
    harness.server.close_idle_connections()
    assert await asyncio.wait_for(reader.read(), 1.0) == b""


async def test_call_in_progress_is_answered_during_shutdown(harness):
    harness.delay_seconds = 0.2
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    harness.server.begin_shutdown()
    harness.server.close_idle_connections()
    assert not harness.server.is_idle()
    head, body = await _read_answer(reader)
    assert body == b"ok"
    assert b"connection: close" in head.lower()
    await asyncio.sleep(0.05)
    assert harness.server.is_idle()


async def test_calls_are_refused_late_in_shutdown(harness):
    harness.server.is_refusing_calls = True
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in head.lower()
    assert not harness.calls


async def test_call_that_outlasts_the_shutdown_is_answered(harness):
    harness.delay_seconds = 10.0
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    harness.server.begin_shutdown()
    harness.server.end_calls()
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 502 ")
    assert b"Connection: close" in head
    assert harness.cancelled_calls == 1
    writer.close()


async def test_unsent_call_that_outlasts_the_shutdown_is_refused(harness):
    harness.delay_seconds = 10.0
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    harness.calls[0].progress.is_known_not_run = True
    harness.server.end_calls()
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in head
    writer.close()


async def test_call_is_cancelled_when_caller_disconnects(harness):
    harness.delay_seconds = 5.0
    _, writer = await harness.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    writer.transport.abort()
    await asyncio.sleep(0.1)
    assert harness.cancelled_calls == 1
    assert harness.server.active == 0


@pytest.mark.parametrize("key", ["x", "-1", "65536"])
async def test_invalid_key_returns_400(harness, key):
    reader, writer = await harness.connect()
    writer.write(REQUEST[:-2] + f"X-Key: {key}\r\n\r\n".encode())
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 400")


async def test_hop_by_hop_headers_are_not_passed_on(harness):
    headers = {"Keep-Alive": "timeout=5", "Connection": "close", "X": "1"}
    harness.reply = calls.Reply(codes.ResultCode.OK, 200, headers, b"ok")
    reader, writer = await harness.connect()
    writer.write(REQUEST)
    head, _ = await _read_answer(reader)
    assert b"keep-alive" not in head.lower()
    assert b"x: 1" in head.lower()


CHUNKED_REQUEST = (
    b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


async def _send_chunks(writer, count, start=CHUNKED_REQUEST, chunk=CHUNK):
    writer.write(start)
    try:
        for _ in range(count):
            writer.write(chunk)
            await writer.drain()
    except ConnectionError:
        return


async def test_endless_body_of_a_caller_is_refused_and_closed(harness):
    reader, writer = await harness.connect()
    sending = asyncio.create_task(_send_chunks(writer, 10**9))
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 413 ")
    assert b"Connection: close" in head
    async with asyncio.timeout(server.LINGER_SECONDS + 2.0):
        await sending
    assert not harness.calls


@pytest.mark.parametrize("encoding", ["gzip", "deflate", "br", "zstd", "odd"])
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(gzip.compress(b"an order", mtime=0), id="encoded"),
        pytest.param(b"not encoded", id="not encoded"),
    ],
)
async def test_body_in_any_encoding_is_taken_as_it_was_sent(
    harness, encoding, body
):
    reader, writer = await harness.connect()
    writer.write(
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n"
        b"Content-Encoding: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (encoding.encode(), len(body), body)
    )
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert [call.body for call in harness.calls] == [body]
    assert ("Content-Encoding", encoding) in harness.calls[0].headers
    writer.close()


async def _send_without_end(harness, start: bytes, repeated: bytes) -> None:
    _, writer = await harness.connect()
    try:
        async with asyncio.timeout(ENDLESS_SECONDS):
            writer.write(start)
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
    except (ConnectionError, TimeoutError):
        pass
    writer.transport.abort()


@pytest.mark.parametrize(("start", "repeated"), endless.REQUESTS)
async def test_endless_bytes_of_callers_do_not_exhaust_memory(
    harness, start, repeated
):
    with endless.assert_memory_is_bounded(MAX_HELD_BYTES):
        senders = [
            asyncio.create_task(_send_without_end(harness, start, repeated))
            for _ in range(24)
        ]
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        head, _ = await _read_answer(reader)
        await asyncio.gather(*senders)
    assert head.startswith(b"HTTP/1.1 200 ")
    writer.close()


def _upload(size: int) -> bytes:
    return REQUEST[:-2] + b"Content-Length: %d\r\n\r\n" % size


async def _send_bodies(harness, count: int, size: int):
    """Returns connections on which a body each was sent, as far as possible."""
    conns = [await harness.connect() for _ in range(count)]
    for _, writer in conns:
        writer.write(_upload(size) + b"x" * size)
    await asyncio.sleep(1.0)
    return conns


async def _close(conns) -> None:
    for _, writer in conns:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, connections.RESET_ON_CLOSE
        )
        writer.transport.abort()
    await asyncio.sleep(3 * departures.CHECK_SECONDS)


@pytest.mark.parametrize(
    ("size", "max_held_bytes"),
    [
        pytest.param(body_stream.WHOLE_BODY_BYTES, 2 * bodies.MIB, id="whole"),
        pytest.param(bodies.MIB, 4 * bodies.MIB, id="in transit"),
    ],
)
async def test_bodies_of_calls_in_progress_share_the_memory_limit(
    harness, size, max_held_bytes
):
    harness.budget.max_bytes = max_held_bytes
    harness.is_taking_bodies = False
    harness.delay_seconds = 5.0
    conns = await _send_bodies(harness, 60, size)
    answers = [asyncio.create_task(_read_answer(reader)) for reader, _ in conns]
    await asyncio.sleep(0.2)
    assert harness.calls
    assert 0 < harness.budget.held_bytes <= max_held_bytes
    heads = [answer.result()[0] for answer in answers if answer.done()]
    assert len(heads) + len(harness.calls) == len(conns)
    assert all(head.startswith(b"HTTP/1.1 429 ") for head in heads)
    assert all(b"Retry-After: " in head for head in heads)
    for answer in answers:
        answer.cancel()
    await _close(conns)
    assert harness.budget.held_bytes == 0


@pytest.mark.parametrize(
    ("start", "chunk"),
    [
        pytest.param(CHUNKED_REQUEST, CHUNK, id="chunks"),
        pytest.param(_upload(8 * bodies.MIB), b"x" * 65536, id="with length"),
    ],
)
async def test_bodies_that_no_target_takes_stay_with_their_callers(
    harness, start, chunk
):
    harness.is_taking_bodies = False
    harness.delay_seconds = 5.0
    conns = [await harness.connect() for _ in range(20)]
    with endless.assert_memory_is_bounded():
        senders = [
            asyncio.create_task(_send_chunks(writer, 120, start, chunk))
            for _, writer in conns
        ]
        await asyncio.sleep(1.0)
        for conn in harness.server._runner.server.connections:
            payload = conn._current_request and conn._current_request.content
            assert (payload._size if payload else 0) <= body_stream.STREAM_BYTES
    assert len(harness.calls) == len(conns)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)
    await _close(conns)
    assert harness.budget.held_bytes == 0


@pytest.mark.parametrize("other_bytes", [0, 10 * bodies.MIB])
async def test_answers_that_callers_do_not_read_share_a_memory_limit(
    harness, other_bytes
):
    harness.budget.hold(other_bytes)
    body = b"x" * (8 * bodies.MIB)
    harness.reply = calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, body)
    address = f"{harness.address.host}:{harness.address.port}"
    with slow_callers.connected(address, REQUEST, 12):
        await asyncio.sleep(0.5)
        conns = harness.server._runner.server.connections
        unread_bytes = sum(
            conn.transport.get_write_buffer_size() for conn in conns
        )
        assert 0 < unread_bytes <= MAX_HELD_BYTES - other_bytes
        assert harness.budget.held_bytes <= MAX_HELD_BYTES
        reader, writer = await harness.connect()
        writer.write(REQUEST)
        assert (await _read_answer(reader))[1] == body
        assert harness.budget.held_bytes <= MAX_HELD_BYTES
    assert "answer given up, caller too slow" in harness.log_output.getvalue()


async def test_body_that_stops_is_dropped_at_the_deadline(harness):
    reader, writer = await harness.connect()
    writer.write(
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n"
        b"X-Deadline: 300\r\nContent-Length: 9\r\n\r\nx"
    )
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 504 ")
    assert b"Connection: close" in head
    assert not harness.calls
    assert harness.budget.held_bytes == 0
    writer.close()


@pytest.mark.parametrize("deadline", [b"soon", b"nan", b"inf", b""])
async def test_invalid_deadline_returns_400(harness, deadline):
    reader, writer = await harness.connect()
    writer.write(REQUEST[:-2] + b"X-Deadline: " + deadline + b"\r\n\r\n")
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 400 ")
    assert not harness.calls
    writer.close()


def _make_request(call_id: str, path: str = "/x/1", more: str = "") -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Call: {call_id}\r\n"
        f"{more}\r\n"
    ).encode()


def _reply_with_id(harness, *call_ids):
    for call_id in call_ids:
        harness.replies[call_id] = calls.Reply(
            codes.ResultCode.OK, 200, {"X": "1"}, call_id.encode()
        )


async def test_pipelined_calls_begin_at_once_and_are_answered_in_order(harness):
    _reply_with_id(harness, "c1", "c2", "c3")
    harness.delays = {"c1": 0.4, "c2": 0.1, "c3": 0.3}
    reader, writer = await harness.connect()
    started_at = asyncio.get_running_loop().time()
    writer.write(_make_request("c1"))
    await asyncio.sleep(0.05)
    writer.write(_make_request("c2") + _make_request("c3"))
    bodies_read = [(await _read_answer(reader))[1] for _ in range(3)]
    assert bodies_read == [b"c1", b"c2", b"c3"]
    assert asyncio.get_running_loop().time() - started_at < 0.6
    assert len(harness.calls) == 3
    assert harness.server._server.early_count == 0
    writer.close()


@pytest.mark.parametrize(
    "request_behind",
    [
        pytest.param(_make_request("c2", "/order/1"), id="not repeatable"),
        pytest.param(
            b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c2\r\n"
            b"Content-Length: 1\r\n\r\nx",
            id="with a body",
        ),
    ],
)
async def test_pipelined_call_that_must_wait_is_not_begun_early(
    harness, request_behind
):
    _reply_with_id(harness, "c1", "c2", "c3")
    harness.delay_seconds = 0.2
    reader, writer = await harness.connect()
    writer.write(_make_request("c1") + request_behind + _make_request("c3"))
    await asyncio.sleep(0.1)
    assert [call.call_id for call in harness.calls] == ["c1"]
    bodies_read = [(await _read_answer(reader))[1] for _ in range(3)]
    assert bodies_read == [b"c1", b"c2", b"c3"]
    writer.close()


async def test_pipelined_calls_behind_a_close_are_not_begun(harness):
    harness.delay_seconds = 0.1
    reader, writer = await harness.connect()
    last = _make_request("c1", more="Connection: close\r\n")
    writer.write(last)
    await asyncio.sleep(0.05)
    writer.write(_make_request("c2"))
    await _read_answer(reader)
    assert await reader.read() == b""
    assert [call.call_id for call in harness.calls] == ["c1"]
    writer.close()


async def _begin_two_calls(harness):
    """Returns a connection on which two pipelined calls are in progress."""
    reader, writer = await harness.connect()
    writer.write(_make_request("c1") + _make_request("c2"))
    await asyncio.sleep(0.1)
    assert harness.running_calls == 2
    return reader, writer


async def test_shutdown_answers_pipelined_calls_that_were_begun(harness):
    _reply_with_id(harness, "c1", "c2")
    harness.delay_seconds = 0.3
    reader, writer = await _begin_two_calls(harness)
    harness.server.begin_shutdown()
    writer.write(_make_request("c3"))
    first_head, first_body = await _read_answer(reader)
    assert b"connection: close" not in first_head.lower()
    second_head, second_body = await _read_answer(reader)
    assert b"connection: close" in second_head.lower()
    assert (first_body, second_body) == (b"c1", b"c2")
    assert await reader.read() == b""
    assert [call.call_id for call in harness.calls] == ["c1", "c2"]
    writer.close()


async def test_end_of_the_shutdown_answers_pipelined_calls(harness):
    harness.delay_seconds = 9.0
    reader, writer = await _begin_two_calls(harness)
    harness.server.begin_shutdown()
    harness.server.end_calls()
    for _ in range(2):
        head, _ = await _read_answer(reader)
        assert head.startswith(b"HTTP/1.1 502 ")
    assert harness.cancelled_calls == 2
    writer.close()


async def test_pipelined_calls_end_when_the_caller_leaves(harness):
    harness.delay_seconds = 5.0
    _, writer = await _begin_two_calls(harness)
    writer.transport.abort()
    await asyncio.sleep(0.1)
    assert harness.cancelled_calls == 2
    assert harness.server.active == 0
    assert harness.server._server.early_count == 0


async def test_large_answer_ends_when_the_caller_leaves_as_it_begins():
    class FakeStream:
        is_closed = False

        def close(self):
            self.is_closed = True

    stream = FakeStream()
    early_call = asyncio.get_running_loop().create_future()
    taking = asyncio.create_task(pipelining.take_reply(early_call))
    await asyncio.sleep(0)
    early_call.set_result(
        calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, b"", stream=stream)
    )
    taking.cancel()
    with pytest.raises(asyncio.CancelledError):
        await taking
    assert stream.is_closed


async def test_flood_of_pipelined_calls_is_bounded_and_answered_in_order(
    harness,
):
    call_ids = [f"c{number}" for number in range(60)]
    _reply_with_id(harness, *call_ids)
    harness.delay_seconds = 0.02
    reader, writer = await harness.connect()
    writer.write(b"".join(map(_make_request, call_ids)))
    bodies_read = [(await _read_answer(reader))[1] for _ in call_ids]
    assert bodies_read == [call_id.encode() for call_id in call_ids]
    most_calls = pipelining.MAX_EARLY_PER_CONNECTION + 1
    assert 1 < harness.most_running_calls <= most_calls
    assert len(harness.calls) == len(call_ids)
    writer.close()


async def test_pipelined_calls_of_all_connections_are_bounded(harness):
    harness.delay_seconds = 0.3
    conns = [await harness.connect() for _ in range(6)]
    for _, writer in conns:
        writer.write(b"".join(_make_request(f"c{n}") for n in range(5)))
    await asyncio.sleep(0.1)
    most_calls = len(conns) + pipelining.MAX_EARLY_CALLS
    assert len(conns) < harness.running_calls <= most_calls
    for reader, writer in conns:
        for _ in range(5):
            assert (await _read_answer(reader))[1] == b"ok"
        writer.close()


async def test_malformed_pipelined_call_is_refused_in_its_turn(harness):
    harness.delay_seconds = 0.1
    reader, writer = await harness.connect()
    odd = _make_request("c2", more="X-Key: 99999\r\n")
    writer.write(_make_request("c1") + odd + _make_request("c3"))
    statuses = [(await _read_answer(reader))[0][9:12] for _ in range(3)]
    assert statuses == [b"200", b"400", b"200"]
    writer.close()


async def test_refusal_of_a_request_does_not_cut_pipelined_calls_behind_it(
    harness,
):
    harness.delay_seconds = 0.1
    reader, writer = await harness.connect()
    odd = _make_request("c1", more="X-Deadline: soon\r\n")
    writer.write(odd + _make_request("c2"))
    statuses = [(await _read_answer(reader))[0][9:12] for _ in range(2)]
    assert statuses == [b"400", b"200"]
    writer.close()


async def test_caller_that_waits_for_100_continue_is_asked_for_its_body(
    harness,
):
    reader, writer = await harness.connect()
    writer.write(
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n"
        b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    )
    head, _ = await _read_answer(reader)
    assert head == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"ab")
    assert (await _read_answer(reader))[1] == b"ok"
    assert harness.calls[0].body == b"ab"
    writer.close()
