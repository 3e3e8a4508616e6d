"""Connections of callers, in service and while a node leaves."""

import asyncio

import pytest

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import server
from jujubeyard.node import settings
from tests.node import test_upstream
from tests.utils import processes

REQUEST = b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Call: c1\r\n\r\n"


class Bench:
    def __init__(self, address):
        self.address = address
        self.calls = []
        self.cancelled = 0
        self.seconds = 0.0
        self.reply = calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, b"ok")
        self.server = server.CallerServer(self.serve, test_upstream.NAMES)

    async def serve(self, call):
        self.calls.append(call)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.reply

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
async def bench():
    address = settings.parse_address(processes.make_address())
    made = Bench(address)
    await made.server.start(address)
    yield made
    await made.server.stop_listening()
    made.server.close_idle()


async def test_calls_share_a_connection(bench):
    reader, writer = await bench.connect()
    for _ in range(2):
        writer.write(REQUEST)
        _, body = await _read_answer(reader)
        assert body == b"ok"
    assert bench.calls[0].call_id == "c1"
    assert bench.calls[0].path == "/x/1"


async def test_idle_connections_are_closed_and_not_left_deaf(bench):
    reader, writer = await bench.connect()
    writer.write(REQUEST)
    await _read_answer(reader)
    bench.server.close_idle()
    assert await asyncio.wait_for(reader.read(), 1.0) == b""


async def test_calls_that_were_read_are_answered_while_leaving(bench):
    bench.seconds = 0.2
    reader, writer = await bench.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    bench.server.is_leaving = True
    bench.server.close_idle()
    assert not bench.server.is_quiet()
    head, body = await _read_answer(reader)
    assert body == b"ok"
    assert b"connection: close" in head.lower()
    await asyncio.sleep(0.05)
    assert bench.server.is_quiet()


async def test_calls_are_refused_late_in_leaving(bench):
    bench.server.is_refusing = True
    reader, writer = await bench.connect()
    writer.write(REQUEST)
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in head.lower()
    assert not bench.calls


async def test_a_call_ends_when_its_caller_leaves(bench):
    bench.seconds = 5.0
    _, writer = await bench.connect()
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    writer.transport.abort()
    await asyncio.sleep(0.1)
    assert bench.cancelled == 1
    assert bench.server.active == 0


@pytest.mark.parametrize("key", ["x", "-1", "65536"])
async def test_keys_that_are_none(bench, key):
    reader, writer = await bench.connect()
    writer.write(REQUEST[:-2] + f"X-Key: {key}\r\n\r\n".encode())
    head, _ = await _read_answer(reader)
    assert head.startswith(b"HTTP/1.1 400")


async def test_headers_of_one_connection_are_not_passed_on(bench):
    headers = {"Keep-Alive": "timeout=5", "Connection": "close", "X": "1"}
    bench.reply = calls.Reply(codes.ResultCode.OK, 200, headers, b"ok")
    reader, writer = await bench.connect()
    writer.write(REQUEST)
    head, _ = await _read_answer(reader)
    assert b"keep-alive" not in head.lower()
    assert b"x: 1" in head.lower()
