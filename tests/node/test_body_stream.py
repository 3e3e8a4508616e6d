"""Tests of bodies on their way from callers to targets."""

import asyncio
import socket

import pytest

from jujubeyard import codes
from jujubeyard import connections
from jujubeyard import memory
from jujubeyard.node import body_stream
from jujubeyard.node import calls
from jujubeyard.node import departures
from jujubeyard.node import sent_bytes
from jujubeyard.node import server
from jujubeyard.node import settings
from jujubeyard.node import upstream
from tests.node import test_upstream
from tests.utils import fakes
from tests.utils import processes
from tests.utils import raw_server

BODY = bytes(range(256)) * 1400
ANSWER = raw_server.answer("c1")
REFUSAL = ANSWER.replace(b"200 OK", b"503 Full").replace(
    b"X-Signature", b"X-Not-Run"
)
SETTLED_SECONDS = 0.1


class Target:
    """Records what each connection brings, and answers after some bytes."""

    def __init__(self):
        self.received: list[bytearray] = []
        self.closed = 0
        self.answer_after = 1
        self.answer = ANSWER
        self.is_reading = True

    async def serve(self, reader, writer):
        data = bytearray()
        self.received.append(data)
        is_answered = False
        try:
            while True:
                while not self.is_reading:
                    await asyncio.sleep(SETTLED_SECONDS)
                block = await reader.read(1024)
                if not block:
                    break
                data += block
                if len(data) >= self.answer_after and not is_answered:
                    is_answered = True
                    writer.write(self.answer)
        except ConnectionError:
            pass
        self.closed += 1
        writer.close()


class Path:
    """A server whose calls go to one target."""

    def __init__(self):
        self.target = Target()
        self.results = []
        self.budget = memory.MemoryBudget(test_upstream.MAX_HELD_BYTES)
        self.client = upstream.UpstreamClient(test_upstream.NAMES, self.budget)
        self.server = server.CallerServer(
            self.serve,
            test_upstream.NAMES,
            fakes.RecordingJournal(),
            lambda call: False,
            self.budget,
        )
        self.max_body_bytes = 1_000_000
        self.begin = asyncio.Event()
        self.begin.set()

    async def serve(self, call):
        await self.begin.wait()
        if not call.limit_body(self.max_body_bytes):
            return calls.make_error_reply(codes.ResultCode.BODY_TOO_LARGE)
        result = await self.client.send(
            upstream.OutgoingCall(
                self.target_address,
                call.method,
                call.path,
                [("Host", "a.example"), ("X-Call", "c1")],
                call.body,
                "c1",
                call.timeout_seconds,
                False,
                call.stream,
                call.may_stream_answer,
            )
        )
        self.results.append(result.outcome)
        if result.answer is not None:
            answer = result.answer
            return calls.Reply(
                codes.ResultCode.OK,
                answer.status,
                answer.headers,
                answer.body,
                stream=answer.stream,
            )
        failure = call.stream.failure if call.stream else None
        return calls.make_error_reply(failure or codes.ResultCode.TARGET_ERROR)

    async def connect(self):
        return await asyncio.open_connection(
            self.address.host, self.address.port
        )


@pytest.fixture
async def path():
    created = Path()
    target = await asyncio.start_server(created.target.serve, "127.0.0.1", 0)
    host, port = target.sockets[0].getsockname()
    created.target_address = f"{host}:{port}"
    created.address = settings.parse_address(processes.make_address())
    await created.server.start(created.address)
    yield created
    target.close()
    await created.client.close()
    await created.server.stop_listening()
    created.server.close_idle_connections()


def _head(*headers: str) -> bytes:
    lines = ["POST /x/1?q HTTP/1.1", "Host: a.example", "X-Call: c1", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


LENGTH = f"Content-Length: {len(BODY)}"


def make_chunks(body: bytes, size: int = 5000) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


def _join_chunks(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body


async def _read_status(reader) -> bytes:
    async with asyncio.timeout(3.0):
        head = await reader.readuntil(b"\r\n\r\n")
    return head[9:12]


async def test_body_with_length_arrives_as_it_was_sent(path):
    path.target.answer_after = len(BODY)
    reader, writer = await path.connect()
    writer.write(_head(LENGTH) + BODY[:100_000])
    await asyncio.sleep(SETTLED_SECONDS)
    assert bytes(path.target.received[0]).endswith(BODY[:100_000])
    writer.write(BODY[100_000:])
    assert await _read_status(reader) == b"200"
    head, _, body = bytes(path.target.received[0]).partition(b"\r\n\r\n")
    assert body == BODY
    assert LENGTH.encode() in head
    assert path.budget.held_bytes == 0
    writer.close()


@pytest.mark.parametrize("size", [0, 1, 60_000, 65_536, 65_537, len(BODY)])
async def test_body_in_chunks_arrives_whole(path, size):
    path.target.answer_after = size
    reader, writer = await path.connect()
    writer.write(_head("Transfer-Encoding: chunked") + make_chunks(BODY[:size]))
    assert await _read_status(reader) == b"200"
    await asyncio.sleep(SETTLED_SECONDS)
    head, _, body = bytes(path.target.received[0]).partition(b"\r\n\r\n")
    if size > body_stream.WHOLE_BODY_BYTES:
        assert b"transfer-encoding: chunked" in head.lower()
        body = _join_chunks(body)
    assert body == BODY[:size]
    writer.close()


async def test_caller_that_leaves_midway_ends_the_call_at_its_target(path):
    path.target.answer_after = len(BODY)
    _, writer = await path.connect()
    writer.write(_head(LENGTH) + BODY[:200_000])
    await asyncio.sleep(SETTLED_SECONDS)
    writer.transport.abort()
    await asyncio.sleep(SETTLED_SECONDS)
    assert path.target.closed == 1
    assert path.budget.held_bytes == 0


async def test_caller_that_resets_while_its_target_stalls_is_noticed(path):
    path.target.is_reading = False
    _, writer = await path.connect()
    size = 6_000_000
    path.max_body_bytes = size
    writer.write(_head(f"Content-Length: {size}") + b"x" * size)
    await asyncio.sleep(3 * SETTLED_SECONDS)
    assert path.server.active == 1
    assert path.budget.held_bytes <= body_stream.STREAM_BYTES
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, connections.RESET_ON_CLOSE
    )
    writer.transport.abort()
    await asyncio.sleep(3 * departures.CHECK_SECONDS)
    assert path.server.active == 0
    assert path.budget.held_bytes == 0
    path.target.is_reading = True


@pytest.mark.parametrize("answer", [ANSWER, REFUSAL], ids=["served", "refused"])
async def test_connection_with_half_a_body_carries_no_other_call(path, answer):
    path.target.answer_after = 150_000
    path.target.answer = answer
    reader, writer = await path.connect()
    writer.write(_head(LENGTH) + BODY[:200_000])
    assert await _read_status(reader) == answer[9:12]
    path.target.answer = ANSWER
    path.target.answer_after = 1
    second_reader, second_writer = await path.connect()
    second_writer.write(_head("Content-Length: 1") + b"y")
    assert await _read_status(second_reader) == b"200"
    await asyncio.sleep(SETTLED_SECONDS)
    first, second = map(bytes, path.target.received)
    assert BODY.startswith(first.partition(b"\r\n\r\n")[2])
    assert second.startswith(b"POST /x/1?q HTTP/1.1\r\n")
    assert path.target.closed == 1
    writer.close()
    second_writer.close()


@pytest.mark.parametrize(
    ("headers", "body", "sent"),
    [
        pytest.param(LENGTH, b"", 0, id="by its length"),
        pytest.param(
            "Transfer-Encoding: chunked", make_chunks(BODY), 1, id="on the way"
        ),
    ],
)
async def test_body_over_the_limit_is_refused(path, headers, body, sent):
    path.max_body_bytes = 300_000
    path.target.answer_after = len(BODY)
    reader, writer = await path.connect()
    writer.write(_head(headers) + body)
    assert await _read_status(reader) == b"413"
    await asyncio.sleep(SETTLED_SECONDS)
    assert len(path.target.received) == path.target.closed == sent
    writer.close()


async def test_caller_that_stops_midway_is_at_fault_not_the_target(path):
    path.target.answer_after = len(BODY)
    reader, writer = await path.connect()
    writer.write(_head(LENGTH, "X-Deadline: 300") + BODY[:200_000])
    assert await _read_status(reader) == b"504"
    assert path.results == [upstream.SendOutcome.CALLER_FAILED]
    await asyncio.sleep(SETTLED_SECONDS)
    assert path.target.closed == 1
    writer.close()


async def test_target_may_pause_in_reading(path):
    path.target.is_reading = False
    path.max_body_bytes = path.target.answer_after = size = 6_000_000
    reader, writer = await path.connect()
    writer.write(_head(f"Content-Length: {size}") + b"x" * size)
    await asyncio.sleep(connections.TCP_USER_TIMEOUT_MS / 1000 + 1.0)
    path.target.is_reading = True
    assert await _read_status(reader) == b"200"
    writer.close()


async def test_target_that_stops_reading_times_out(path):
    path.target.is_reading = False
    path.max_body_bytes = size = 6_000_000
    reader, writer = await path.connect()
    writer.write(_head(f"Content-Length: {size}", "X-Deadline: 300"))
    writer.write(b"x" * size)
    assert await _read_status(reader) == b"502"
    assert path.results == [upstream.SendOutcome.TIMED_OUT]
    path.target.is_reading = True
    writer.close()


async def test_malformed_chunk_midway_is_refused(path):
    path.target.answer_after = 10**9
    reader, writer = await path.connect()
    data = make_chunks(BODY)[:-5] + b"no size\r\n"
    writer.write(_head("Transfer-Encoding: chunked") + data)
    assert await _read_status(reader) == b"400"
    await asyncio.sleep(SETTLED_SECONDS)
    assert path.target.closed == 1
    writer.close()


async def test_caller_is_asked_for_a_large_body_once_a_target_is_chosen(path):
    path.begin.clear()
    path.target.answer_after = len(BODY)
    reader, writer = await path.connect()
    writer.write(_head(LENGTH, "Expect: 100-continue"))
    status = asyncio.create_task(_read_status(reader))
    await asyncio.sleep(SETTLED_SECONDS)
    assert not status.done()
    path.begin.set()
    assert await status == b"100"
    writer.write(BODY)
    assert await _read_status(reader) == b"200"
    writer.close()


@pytest.mark.parametrize(
    ("size", "is_held"), [(body_stream.WHOLE_BODY_BYTES, True), (70_000, False)]
)
async def test_body_can_be_sent_again_while_all_of_it_is_held(size, is_held):
    budget = memory.MemoryBudget(1_000_000)
    content = asyncio.StreamReader()
    content.feed_data(BODY[:size])
    content.feed_eof()
    holding = budget.hold(body_stream.WHOLE_BODY_BYTES)
    stream = body_stream.BodyStream(
        content, None, [], holding, 1_000_000, body_stream.begin_nothing
    )
    blocks = [block async for block in stream.iter_blocks()]
    assert b"".join(blocks) == BODY[:size]
    assert stream.is_held is is_held
    if is_held:
        again = [block async for block in stream.iter_blocks()]
        assert b"".join(again) == BODY[:size]
    assert (budget.held_bytes > 0) is is_held


@pytest.mark.parametrize(
    ("held", "known", "is_admitted"),
    [(0, 500, True), (60, 40, True), (60, 41, False), (99, 0, True)],
)
def test_bodies_at_one_target_are_bounded(held, known, is_admitted):
    counts = sent_bytes.SentBytes(100)
    with counts.begin("a:1", held), counts.begin("a:1", known) as body:
        assert body.is_admitted is is_admitted
        assert counts.begin("b:1", known).is_admitted
    with counts.begin("a:1", 100) as body:
        assert body.is_admitted


@pytest.mark.parametrize("known", [0, 70])
def test_what_is_sent_of_a_body_after_its_answer_is_not_counted(known):
    counts = sent_bytes.SentBytes(100)
    with counts.begin("a:1", known) as body:
        body.count(60)
    body.count(60)
    assert not counts._counts


async def test_body_that_outlives_its_call_is_not_counted():
    budget = memory.MemoryBudget(1_000_000)
    content = asyncio.StreamReader()
    content.feed_data(BODY)
    content.feed_eof()
    with budget.hold(body_stream.WHOLE_BODY_BYTES) as holding:
        stream = body_stream.BodyStream(
            content, None, [], holding, 1_000_000, body_stream.begin_nothing
        )
    assert [block async for block in stream.iter_blocks()]
    assert budget.held_bytes == 0
