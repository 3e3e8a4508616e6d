"""Tests of large answers on their way from targets to callers."""

import asyncio

import pytest

from jujubeyard import memory
from jujubeyard.node import answer_stream
from tests.node import test_body_stream
from tests.node import test_upstream
from tests.utils import raw_server
from tests.utils import slow_callers

path = test_body_stream.path
BODY = bytes(range(256)) * 3000
HEAD = test_upstream.HEAD
WITH_LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY)
CHUNKED = test_upstream.CHUNKED_HEAD
WITHOUT_LENGTH = HEAD + b"\r\n"
CHUNKS = test_body_stream.make_chunks(BODY)
CLOSE, RESET = raw_server.CLOSE, raw_server.RESET
REQUEST = b"GET /x/1 HTTP/1.%d\r\nHost: a.example\r\nX-Call: c1\r\n\r\n"


async def _read_body(reader, head: bytes) -> bytes:
    """Returns a body; incomplete ones raise an error."""
    if b"content-length" in head:
        return await reader.readexactly(len(BODY))
    if b"chunked" not in head:
        return await reader.read()
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    assert await reader.readexactly(2) == b"\r\n"
    return body


async def _call(path, server, version=1):
    path.target_address = server.address
    reader, writer = await path.connect()
    writer.write(REQUEST % version)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.%d 200 " % version)
    return reader, writer, head.lower()


@pytest.mark.parametrize("version", [0, 1])
@pytest.mark.parametrize(
    "script",
    [
        pytest.param([WITH_LENGTH, BODY], id="with length"),
        pytest.param([CHUNKED, CHUNKS], id="in chunks"),
        pytest.param([WITHOUT_LENGTH, BODY, CLOSE], id="without length"),
    ],
)
async def test_large_answer_arrives_as_it_was_sent(path, script, version):
    async with raw_server.RawServer(script) as server, asyncio.timeout(5.0):
        reader, writer, head = await _call(path, server, version)
        assert await _read_body(reader, head) == BODY
    assert path.budget.held_bytes == 0
    writer.close()


@pytest.mark.parametrize("version", [0, 1])
@pytest.mark.parametrize("end", [CLOSE, RESET])
@pytest.mark.parametrize(
    "start",
    [
        pytest.param([WITH_LENGTH, BODY[:-9]], id="with length"),
        pytest.param([CHUNKED, CHUNKS[:-9]], id="in chunks"),
        pytest.param([WITHOUT_LENGTH, BODY[:-9]], id="without length"),
    ],
)
async def test_answer_that_ends_early_does_not_look_complete(
    path, start, end, version
):
    if start[0] is WITHOUT_LENGTH and end is CLOSE:
        return
    script = [*start, 0.3, end]
    async with raw_server.RawServer(script) as server, asyncio.timeout(5.0):
        reader, writer, head = await _call(path, server, version)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await _read_body(reader, head)
    writer.close()


async def test_first_block_arrives_before_the_last_is_sent(path):
    script = [WITH_LENGTH, BODY[:50_000], 1.0, BODY[50_000:]]
    async with raw_server.RawServer(script) as server, asyncio.timeout(5.0):
        reader, writer, _ = await _call(path, server)
        async with asyncio.timeout(0.5):
            assert await reader.readexactly(50_000) == BODY[:50_000]
        assert await reader.readexactly(len(BODY) - 50_000) == BODY[50_000:]
    writer.close()


async def test_caller_that_leaves_midway_ends_the_answer(path):
    endless = raw_server.Repeat(BODY)
    script = [
        HEAD + b"Content-Length: 7999999\r\n\r\n",
        0.1,
        BODY,
        0.2,
        endless,
    ]
    async with raw_server.RawServer(script) as server, asyncio.timeout(5.0):
        _, writer, _ = await _call(path, server)
        writer.transport.abort()
        await server.repeat_ended.wait()
    assert path.budget.held_bytes == 0


async def test_answer_that_is_given_up_ends_while_its_caller_reads_nothing(
    path,
):
    endless = raw_server.Repeat(BODY)
    script = [HEAD + b"Content-Length: 7999999\r\n\r\n", endless]
    async with raw_server.RawServer(script) as server, asyncio.timeout(5.0):
        path.target_address = server.address
        host, port = path.address.host, path.address.port
        with slow_callers.connected(f"{host}:{port}", REQUEST % 1, 1):
            while not path.budget._peers:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert path.server.active == 1
            for peer in list(path.budget._peers):
                peer.close()
            await asyncio.sleep(0.1)
            assert path.server.active == 0
    assert path.budget.held_bytes == 0


@pytest.mark.parametrize("version", [0, 1])
async def test_answer_that_a_shutdown_ends_does_not_look_complete(
    path, version
):
    script = [WITHOUT_LENGTH, BODY, 5.0]
    async with raw_server.RawServer(script) as server, asyncio.timeout(3.0):
        reader, writer, head = await _call(path, server, version)
        await reader.readexactly(1000)
        path.server.end_calls()
        path.server.end_answers()
        with pytest.raises(ConnectionError):
            while await reader.read(65536):
                pass
    assert path.budget.held_bytes == 0
    writer.close()


class FakeResponse:
    def __init__(self, blocks, error):
        self.headers = {"Content-Length": "100"}
        self.content_length = 100
        self.content = self
        self._blocks = blocks
        self._error = error

    async def read(self, _):
        if self._blocks:
            return self._blocks.pop()
        raise self._error

    def at_eof(self):
        return False

    def close(self):
        pass


@pytest.mark.parametrize(
    ("error", "pause", "is_at_fault"),
    [
        pytest.param(ConnectionResetError(), 0.0, True, id="target resets"),
        pytest.param(
            ConnectionResetError(), 0.1, False, id="after a slow caller"
        ),
        pytest.param(TimeoutError(), 0.0, False, id="deadline"),
    ],
)
async def test_target_is_only_blamed_if_it_was_read_in_time(
    monkeypatch, error, pause, is_at_fault
):
    monkeypatch.setattr(answer_stream, "SLOW_READING_SECONDS", 0.05)
    budget = memory.MemoryBudget(1_000_000)
    stream = answer_stream.AnswerStream(
        FakeResponse([b"c", b"b"], error), b"a", 1000, budget, 0.0
    )
    ends = []
    stream.on_end(lambda: ends.append(stream.is_target_at_fault))
    with pytest.raises(answer_stream.BrokenOffError):
        async for _ in stream.iter_blocks():
            await asyncio.sleep(pause)
    stream.close()
    stream.close()
    assert ends == [is_at_fault]
    assert budget.held_bytes == 0
