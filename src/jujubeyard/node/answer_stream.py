"""Receives answers of targets: small ones whole, large ones as streams."""

import collections.abc
import time

import aiohttp

from jujubeyard import bodies
from jujubeyard import connections
from jujubeyard import memory

WHOLE_ANSWER_BYTES = 256 * 1024
"""Size up to which an answer is read whole, so that the call may be sent to
another target if it is broken."""

BLOCK_BYTES = 16 * 1024
"""Size of what is read and written at once."""

STREAM_BYTES = 192 * 1024
"""Memory that an answer in transit takes at most, beside its start."""

SLOW_READING_SECONDS = 1.0
"""Pause in reading after which a target may break off through no fault of its
own."""


class BrokenOffError(aiohttp.ClientPayloadError):
    """An answer isn't complete."""


class AnswerStream:
    """An answer that is passed on as it arrives.

    Attributes:
        length: Size of the body, or None if the target doesn't say.
        failure: Why the body isn't complete, or an empty string.
        is_target_at_fault: Whether the target broke off by itself.
        deadline: When the caller stops waiting, on the event loop's clock.
        held_bytes: Memory that the answer takes.
    """

    def __init__(
        self,
        resp: connections.Response,
        start: bytes,
        max_bytes: int,
        budget: memory.MemoryBudget,
        deadline: float,
    ):
        """Initializes a stream.

        Args:
            resp: The response, of which the start was read.
            start: The start of the body.
            max_bytes: Largest size of the body.
            budget: Memory for all peers.
            deadline: When the caller stops waiting, on the event loop's clock.
        """
        self.deadline = deadline
        self._resp = resp
        self._start = start
        self._max_bytes = max_bytes
        self._budget = budget
        self._is_ended = False
        self._longest_pause = 0.0
        self._paused_at: float | None = None
        self._report_end: collections.abc.Callable[[], None] | None = None
        self._abort_writing: collections.abc.Callable[[], None] | None = None
        self.length = resp.content_length
        self.failure = ""
        self.is_target_at_fault = False
        self.held_bytes = len(start) + STREAM_BYTES
        budget.add_peer(self)

    def on_end(self, report_end: collections.abc.Callable[[], None]) -> None:
        """Sets what is called once the answer has been passed on, or failed."""
        self._report_end = report_end

    def on_give_up(
        self, abort_writing: collections.abc.Callable[[], None]
    ) -> None:
        """Sets what is called if the answer is given up while it is written."""
        self._abort_writing = abort_writing

    async def iter_blocks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            BrokenOffError: The body isn't complete.
        """
        sent_bytes = 0
        block, self._start = self._start, b""
        while block:
            sent_bytes += len(block)
            if sent_bytes > self._max_bytes:
                self._fail(f"body of over {self._max_bytes} bytes")
            self._paused_at = time.monotonic()
            yield block
            self._longest_pause = max(
                self._longest_pause, self.stalled_seconds()
            )
            self._paused_at = None
            self.held_bytes = STREAM_BYTES
            block = await self._read()
        if is_cut(self._resp):
            self._fail("connection reset before the end of the body")

    def stalled_seconds(self) -> float:
        """Returns how long the caller has taken nothing, in seconds."""
        if self._paused_at is None:
            return 0.0
        return time.monotonic() - self._paused_at

    async def _read(self) -> bytes:
        try:
            return await self._resp.content.read(BLOCK_BYTES)
        except TimeoutError:
            self._fail("deadline passed", is_target_at_fault=False)
        except (aiohttp.ClientError, OSError) as exc:
            self._fail(repr(exc))

    def _fail(self, failure: str, is_target_at_fault: bool = True) -> None:
        if not self.failure:
            self.failure = failure
            self.is_target_at_fault = (
                is_target_at_fault
                and self._longest_pause < SLOW_READING_SECONDS
            )
        raise BrokenOffError(failure)

    def close(self) -> None:
        """Gives up the answer, and ends its writing."""
        if self._is_ended:
            return
        self.end()
        if self._abort_writing is not None:
            self._abort_writing()

    def end(self) -> None:
        """Ends the answer, and its connection if it isn't complete."""
        if self._is_ended:
            return
        self._is_ended = True
        self._budget.remove_peer(self)
        if not self._resp.content.at_eof():
            self.failure = self.failure or "not read to its end"
            self._resp.close()
        if self._report_end is not None:
            self._report_end()


async def receive(
    resp: connections.Response,
    max_bytes: int,
    budget: memory.MemoryBudget,
    deadline: float,
    may_stream: collections.abc.Callable[[], bool],
) -> bytes | AnswerStream:
    """Returns the body of an answer, or a stream if it is large.

    Args:
        resp: The response.
        max_bytes: Largest size of the body.
        budget: Memory for all peers.
        deadline: When the caller stops waiting, on the event loop's clock.
        may_stream: Returns whether a large body may be returned as a stream.

    Raises:
        bodies.BodyTooLargeError: The body is too large.
        bodies.BuffersFullError: The body was given up for want of memory.
        aiohttp.ClientError: The body is incomplete.
    """
    content = resp.content
    start = bytearray()
    if content.at_eof():
        return b""
    length = resp.content_length or 0
    if length > max_bytes:
        raise bodies.BodyTooLargeError(f"body of over {max_bytes} bytes")
    start_bytes = BLOCK_BYTES
    if length <= WHOLE_ANSWER_BYTES:
        start_bytes = WHOLE_ANSWER_BYTES
    with budget.hold() as holding:
        await _read_up_to(start_bytes, content, start, holding)
        is_streamed = not content.at_eof() and may_stream()
        if not is_streamed:
            await _read_up_to(max_bytes + 1, content, start, holding)
    if is_streamed:
        return AnswerStream(resp, bytes(start), max_bytes, budget, deadline)
    if len(start) > max_bytes:
        raise bodies.BodyTooLargeError(f"body of over {max_bytes} bytes")
    return bytes(start)


async def _read_up_to(
    size: int,
    content: aiohttp.StreamReader,
    start: bytearray,
    holding: memory.Holding,
) -> None:
    """Reads until the start of a body has a size, or to its end."""
    while len(start) < size:
        block = await content.read(size - len(start))
        if not block:
            return
        start += block
        await holding.grow(len(block))


def may_always_stream() -> bool:
    """Allows that a large answer is passed on as it arrives."""
    return True


def is_cut(resp: connections.Response) -> bool:
    """Returns whether an answer that was read to its end isn't complete.

    A body without a length ends when the connection is closed, so that only a
    reset shows that it is incomplete.
    """
    has_length = "Content-Length" in resp.headers
    is_chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    return (
        not has_length and not is_chunked and resp.response_protocol.was_reset
    )
