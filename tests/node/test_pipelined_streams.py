"""Tests of calls that wait behind large answers on their connection."""

import asyncio

import pytest

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import server
from jujubeyard.node import settings
from tests.node import test_answer_stream
from tests.node import test_body_stream
from tests.node import test_server
from tests.node import test_upstream
from tests.utils import fakes
from tests.utils import processes
from tests.utils import raw_server

BODY = test_answer_stream.BODY
WITH_LENGTH = [test_answer_stream.WITH_LENGTH, BODY]
CHUNKED = [test_answer_stream.CHUNKED, test_answer_stream.CHUNKS]
DOWNLOAD = test_answer_stream.REQUEST % 1
READ_SECONDS = 0.1


class Path(test_body_stream.Path):
    """Sends downloads to a target, and answers all other calls itself."""

    def __init__(self):
        super().__init__()
        self.begun = []
        self.server = server.CallerServer(
            self.serve,
            test_upstream.NAMES,
            fakes.RecordingJournal(),
            lambda call: True,
            self.budget,
        )

    async def serve(self, call):
        if call.call_id == "c1":
            return await super().serve(call)
        self.begun.append(call.call_id)
        await asyncio.sleep(READ_SECONDS)
        body = call.call_id.encode()
        return calls.Reply(codes.ResultCode.OK, 200, {"X": "1"}, body)


def _make_reads(*call_ids):
    return b"".join(test_server._make_request(call_id) for call_id in call_ids)


@pytest.fixture
async def path():
    created = Path()
    created.address = settings.parse_address(processes.make_address())
    await created.server.start(created.address)
    yield created
    await created.client.close()
    await created.server.stop_listening()
    created.server.close_idle_connections()


@pytest.mark.parametrize("answer", [WITH_LENGTH, CHUNKED])
async def test_answer_that_breaks_off_does_not_cut_the_calls_begun_behind_it(
    path, answer
):
    """review/7: the end of a broken answer cut calls that had been run."""
    head, body = answer
    script = [head, body[:400_000], 0.3, raw_server.RESET]
    async with raw_server.RawServer(script) as target, asyncio.timeout(5.0):
        path.target_address = target.address
        reader, writer = await path.connect()
        writer.write(DOWNLOAD + _make_reads("c2", "c3"))
        head, _ = await test_server._read_answer(reader)
        assert head.startswith(b"HTTP/1.1 502 ")
        for call_id in (b"c2", b"c3"):
            assert (await test_server._read_answer(reader))[1] == call_id
    writer.close()


async def test_no_call_is_begun_behind_an_answer_that_may_break_off(path):
    """review/7: calls came while the answer was passed on already."""
    head, body = WITH_LENGTH
    script = [head, body[:400_000], 0.5, raw_server.RESET]
    async with raw_server.RawServer(script) as target, asyncio.timeout(5.0):
        path.target_address = target.address
        reader, writer = await path.connect()
        writer.write(DOWNLOAD)
        await reader.readexactly(100_000)
        writer.write(_make_reads("c2", "c3"))
        received = await reader.read(-1)
    assert len(received) < len(body) - 100_000
    assert not path.begun
    writer.close()


@pytest.mark.parametrize("answer", [WITH_LENGTH, CHUNKED])
@pytest.mark.parametrize("is_sent_at_once", [True, False])
async def test_large_answer_and_the_calls_behind_it_arrive_in_order(
    path, answer, is_sent_at_once
):
    head, body = answer
    script = [head, body[:400_000], 0.2, body[400_000:]]
    reads = _make_reads("c2", "c3")
    async with raw_server.RawServer(script) as target, asyncio.timeout(5.0):
        path.target_address = target.address
        reader, writer = await path.connect()
        writer.write(DOWNLOAD + (reads if is_sent_at_once else b""))
        head = await reader.readuntil(b"\r\n\r\n")
        if not is_sent_at_once:
            writer.write(reads)
        received = await test_answer_stream._read_body(reader, head.lower())
        assert received == BODY
        for call_id in (b"c2", b"c3"):
            assert (await test_server._read_answer(reader))[1] == call_id
    assert path.budget.held_bytes == 0
    writer.close()


async def test_large_answer_with_calls_behind_it_is_limited(path):
    script = [test_answer_stream.HEAD + b"\r\n", raw_server.Repeat(BODY)]
    async with raw_server.RawServer(script) as target, asyncio.timeout(9.0):
        path.target_address = target.address
        reader, writer = await path.connect()
        writer.write(DOWNLOAD + _make_reads("c2"))
        head, _ = await test_server._read_answer(reader)
        assert head.startswith(b"HTTP/1.1 502 ")
        assert (await test_server._read_answer(reader))[1] == b"c2"
        assert path.budget.held_bytes == 0
    writer.close()
