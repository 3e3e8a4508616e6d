"""Tests of the end of connections on which answers are still on their way."""

import asyncio
import socket

import pytest

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import lingering
from tests.node import test_answer_stream
from tests.node import test_body_stream
from tests.node import test_server
from tests.utils import raw_server

harness = test_server.harness
path = test_body_stream.path
RECEIVE_BUFFER_BYTES = 4096
SETTLED_SECONDS = 0.15
READ_SECONDS = 10.0
BODY = b"x" * 60_000
"""Larger than what the connection of a slow reader holds; smaller than what the
kernel takes from the node at once."""

REQUEST = test_server.REQUEST


class SlowReader:
    """A caller that takes its answers slowly."""

    def __init__(self, address):
        self._sock = socket.socket()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._sock.connect((address.host, address.port))
        self._sock.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def send(self, data):
        await self._loop.sock_sendall(self._sock, data)
        await asyncio.sleep(SETTLED_SECONDS)

    async def read_to_end(self):
        received = bytearray()
        async with asyncio.timeout(READ_SECONDS):
            while data := await self._loop.sock_recv(self._sock, 4096):
                received += data
                await asyncio.sleep(0.001)
        return bytes(received)

    def close(self):
        self._sock.close()


@pytest.fixture
async def caller(harness):
    harness.reply = calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, BODY)
    reader = SlowReader(harness.address)
    yield reader
    reader.close()


@pytest.mark.parametrize(
    "behind",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(REQUEST, id="a request"),
        pytest.param(REQUEST[:20], id="the start of a request"),
        pytest.param(REQUEST * 30, id="many requests"),
        pytest.param(b"\0" * 100_000, id="no request"),
    ],
)
async def test_last_answer_of_a_shutdown_is_not_lost_behind_its_close(
    harness, caller, behind
):
    """review/6: requests that reached the closed socket reset the answer."""
    harness.server.begin_shutdown()
    await caller.send(REQUEST)
    assert harness.server.active == 0
    await caller.send(behind)
    answer = await caller.read_to_end()
    assert answer.count(b"HTTP/1.1 200") == 1
    assert answer.endswith(b"\r\n\r\n" + BODY)
    assert len(harness.calls) == 1


async def test_answer_on_an_idle_connection_is_not_lost_behind_its_close(
    harness, caller
):
    """Kin of review/6: the end of a shutdown closes kept connections."""
    await caller.send(REQUEST)
    harness.server.begin_shutdown()
    harness.server.close_idle_connections()
    await caller.send(REQUEST)
    assert (await caller.read_to_end()).endswith(b"\r\n\r\n" + BODY)
    assert len(harness.calls) == 1


async def test_malformed_request_does_not_reset_the_answer_before_it(
    harness, caller
):
    """Kin of review/6: the refusal of a request closes its connection."""
    await caller.send(REQUEST)
    await caller.send(b"\0\r\n\r\n")
    await caller.send(REQUEST)
    answer = await caller.read_to_end()
    assert answer.count(BODY) == 1
    assert b" 400 Bad Request" in answer


@pytest.mark.parametrize(
    "start",
    [
        pytest.param(
            [test_answer_stream.WITH_LENGTH, test_answer_stream.BODY[:-9]],
            id="with length",
        ),
        pytest.param(
            [test_answer_stream.CHUNKED, test_answer_stream.CHUNKS[:-9]],
            id="in chunks",
        ),
    ],
)
async def test_large_answer_that_breaks_off_does_not_reset_what_came(
    path, start
):
    """Kin of review/6: the reset behind a broken answer drops earlier ones."""
    script = [*start, 0.3, raw_server.RESET]
    async with raw_server.RawServer(script) as target:
        path.target_address = target.address
        caller = SlowReader(path.address)
        await caller.send(test_answer_stream.REQUEST % 1)
        await caller.send(test_answer_stream.REQUEST % 1)
        received = await caller.read_to_end()
        assert received.count(b"HTTP/1.1 200") == 1
        assert not received.endswith(b"0\r\n\r\n")
        assert len(received) > 100_000
        caller.close()


async def test_connection_closes_once_its_answer_is_delivered(harness, caller):
    harness.reply = calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, b"ok")
    harness.server.begin_shutdown()
    await caller.send(REQUEST)
    assert harness.server.is_idle()
    assert not harness.server.is_done()
    await asyncio.sleep(lingering.DELIVERED_SECONDS + SETTLED_SECONDS)
    assert harness.server.is_done()


async def test_answer_that_is_never_taken_is_given_up(
    harness, caller, monkeypatch
):
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 1.0)
    harness.server.begin_shutdown()
    await caller.send(REQUEST)
    assert not harness.server.is_done()
    await asyncio.sleep(1.0 + SETTLED_SECONDS)
    assert harness.server.is_done()
    assert "answers not taken in time" in harness.log_output.getvalue()
