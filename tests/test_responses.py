"""Tests of the bound on responses that are being written."""

import asyncio

import pytest

from jujubeyard import memory
from jujubeyard import responses

BODY_BYTES = 20_000
MAX_BYTES = 1_000_000


class FakeSocket:
    def __init__(self, is_open):
        self._is_open = is_open

    def setsockopt(self, *_):
        if not self._is_open:
            raise OSError("bad file descriptor")


class FakeTransport:
    def __init__(self):
        self.is_aborted = False
        self.is_lost = False

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, _):
        return FakeSocket(is_open=not self.is_lost)

    def is_closing(self):
        return self.is_lost or self.is_aborted

    def abort(self):
        self.is_aborted = True


class FakeExchange:
    """A request and the response to it, which is taken when `taken` is set."""

    method = "GET"
    content_length = BODY_BYTES

    def __init__(self):
        self.transport = FakeTransport()
        self.taken = asyncio.Event()

    async def prepare(self, _):
        await self.taken.wait()

    async def write_eof(self):
        pass


async def _write_two(held_bytes, is_lost=False):
    """Writes a response while another one is being written."""
    budget = memory.MemoryBudget(MAX_BYTES)
    reports = []
    writer = responses.ResponseWriter(reports.append, budget)
    budget.hold(held_bytes)
    first, second = FakeExchange(), FakeExchange()
    second.taken.set()
    writing = asyncio.create_task(writer.write(first, first))
    await asyncio.sleep(0)
    first.transport.is_lost = is_lost
    await writer.write(second, second)
    first.taken.set()
    await writing
    assert budget.held_bytes == held_bytes
    return first, len(reports)


async def test_response_whose_connection_is_lost_is_given_up_all_the_same():
    first, reports = await _write_two(int(0.97 * MAX_BYTES), is_lost=True)
    assert first.transport.is_aborted
    assert reports == 1


@pytest.mark.parametrize(
    ("held_share", "is_given_up"),
    [(1 - memory.RESERVED_SHARE, False), (0.95, True)],
)
async def test_responses_may_use_the_memory_that_new_calls_leave_free(
    held_share, is_given_up
):
    first, reports = await _write_two(int(held_share * MAX_BYTES))
    assert first.transport.is_aborted is is_given_up
    assert reports == is_given_up
