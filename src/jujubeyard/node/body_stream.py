"""Passes large bodies of callers on to targets as they arrive."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import aiohttp
from aiohttp import abc
from aiohttp import http_exceptions
from aiohttp import payload
from aiohttp import web

from jujubeyard import codes
from jujubeyard import memory

WHOLE_BODY_BYTES = 64 * 1024
"""Size up to which a body is read whole, and may be sent more than once."""

BLOCK_BYTES = 16 * 1024
"""Size of what is read and written at once."""

STREAM_BYTES = 6 * BLOCK_BYTES
"""Memory that a body in transit takes at most, beside its start: up to three
blocks received, one being passed on, and two in the target's buffer."""

READ_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    web.RequestPayloadError,
    OSError,
    ValueError,
)

BeginReading = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, None]
]


class CallerFailedError(aiohttp.ClientPayloadError):
    """A caller's body isn't complete, through no fault of the target."""


class BodyStream:
    """A caller's body that is passed on as it arrives.

    The start of the body is held until it exceeds `WHOLE_BODY_BYTES`; up to
    there the body can be sent once more.

    Attributes:
        length: Size of the body, or None if it is sent in chunks.
        is_held: Whether all that was read is still held.
        is_awaited: Whether the next block is awaited from the caller.
        failure: Why the body isn't complete, if its caller is at fault.
    """

    def __init__(
        self,
        content: aiohttp.StreamReader,
        length: int | None,
        start: list[bytes],
        holding: memory.Holding,
        max_bytes: int,
        begin_reading: BeginReading,
    ):
        """Initializes a stream.

        Args:
            content: What is still to be received.
            length: Size of the body, or None if it is sent in chunks.
            start: What was received already, in blocks.
            holding: Memory of the call.
            max_bytes: Largest size of the body.
            begin_reading: Called before the first block is awaited.
        """
        self._content = content
        self._blocks = start
        self._read_bytes = sum(map(len, start))
        self._holding = holding
        self._max_bytes = max_bytes
        self._begin_reading: BeginReading | None = begin_reading
        self.length = length
        self.is_held = True
        self.is_awaited = False
        self.failure: codes.ResultCode | None = None

    def limit(self, max_bytes: int) -> bool:
        """Lowers the limit of the size, and returns whether it may fit."""
        self._max_bytes = min(self._max_bytes, max_bytes)
        return max(self.length or 0, self._read_bytes) <= self._max_bytes

    async def iter_blocks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body from its start.

        Raises:
            CallerFailedError: The body isn't complete.
        """
        for block in list(self._blocks):
            yield block
        while block := await self._read():
            yield block

    async def _read(self) -> bytes:
        self.is_awaited = True
        try:
            await self._begin()
            block = await self._content.read(BLOCK_BYTES)
        except READ_ERRORS as exc:
            self._fail(codes.ResultCode.BAD_REQUEST, repr(exc))
        self.is_awaited = False
        self._read_bytes += len(block)
        if self._read_bytes > self._max_bytes:
            self._fail(codes.ResultCode.BODY_TOO_LARGE, "body too large")
        self._keep(block)
        return block

    async def _begin(self) -> None:
        if self._begin_reading is not None:
            begin_reading, self._begin_reading = self._begin_reading, None
            await begin_reading()

    def _keep(self, block: bytes) -> None:
        """Holds the start of a body for as long as it is small."""
        if not self.is_held:
            return
        self._blocks.append(block)
        if self._read_bytes > WHOLE_BODY_BYTES:
            self.is_held = False
            self._blocks.clear()
            self._holding.add(-WHOLE_BODY_BYTES)

    def _fail(self, code: codes.ResultCode, detail: str) -> None:
        self.failure = code
        raise CallerFailedError(detail)

    def note_timeout(self) -> bool:
        """Returns whether the deadline passed while the caller was awaited."""
        if self.is_awaited:
            self.failure = codes.ResultCode.DEADLINE_EXCEEDED
        return self.is_awaited


class StreamPayload(payload.Payload):
    """Writes a stream to a target no faster than the target takes it."""

    def __init__(
        self,
        stream: BodyStream,
        report_sent: collections.abc.Callable[[int], None],
    ):
        """Initializes the payload.

        Args:
            stream: The body.
            report_sent: Called with the size of each block before it is sent.
        """
        super().__init__(stream)
        self._size = stream.length
        self._report_sent = report_sent

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Isn't supported: a stream is only read once.

        Raises:
            TypeError: Always.
        """
        raise TypeError("a stream can't be decoded")

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Writes the body."""
        if writer.transport is not None:
            writer.transport.set_write_buffer_limits(high=BLOCK_BYTES)
            writer.protocol.tolerate_slow_reading()
        async for block in self._value.iter_blocks():
            self._report_sent(len(block))
            await writer.write(block)
            await writer.drain()


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedBody:
    """The body of a request, as far as it is read before the call begins.

    Attributes:
        body: The complete body; empty if the rest is a stream.
        stream: The body, if it isn't complete.
        holding: Memory of the call, to be released once it is answered.
    """

    body: bytes
    stream: BodyStream | None
    holding: memory.Holding


class BodyReceiver:
    """Receives bodies of requests: small ones whole, large ones as streams."""

    def __init__(self, max_body_bytes: int, budget: memory.MemoryBudget):
        """Initializes a receiver.

        Args:
            max_body_bytes: Largest size of one body.
            budget: Memory for all bodies.
        """
        self._max_body_bytes = max_body_bytes
        self._budget = budget

    async def receive(
        self,
        content: aiohttp.StreamReader,
        length: int | None,
        seconds: float,
        begin_reading: BeginReading,
    ) -> ReceivedBody | codes.ResultCode:
        """Returns the body of a request, or why it isn't accepted.

        A connection whose body isn't read to its end must be closed.

        Args:
            content: The content of the request.
            length: Size of the body, or None if it is sent in chunks.
            seconds: Time until the deadline of the call.
            begin_reading: Called before the first part is awaited.
        """
        if (length or 0) > self._max_body_bytes:
            return codes.ResultCode.BODY_TOO_LARGE
        holding = self._budget.admit(_needed_bytes(content, length))
        if holding is None:
            return codes.ResultCode.OVERLOADED
        if length is not None and length > WHOLE_BODY_BYTES:
            stream = self._make_stream(
                content, length, [], holding, begin_reading
            )
            return ReceivedBody(b"", stream, holding)
        with contextlib.ExitStack() as stack:
            stack.enter_context(holding)
            try:
                async with asyncio.timeout(seconds):
                    await begin_reading()
                    start = await _read_start(content)
            except TimeoutError:
                return codes.ResultCode.DEADLINE_PAST
            except READ_ERRORS:
                return codes.ResultCode.BAD_REQUEST
            stack.pop_all()
        if content.at_eof():
            body = b"".join(start)
            holding.add(len(body) - holding.held_bytes)
            return ReceivedBody(body, None, holding)
        stream = self._make_stream(
            content, length, start, holding, begin_nothing
        )
        return ReceivedBody(b"", stream, holding)

    def _make_stream(
        self, content, length, start, holding, begin_reading
    ) -> BodyStream:
        return BodyStream(
            content,
            length,
            start,
            holding,
            self._max_body_bytes,
            begin_reading,
        )


def _needed_bytes(content: aiohttp.StreamReader, length: int | None) -> int:
    """Returns how much memory the body of a request needs at most."""
    if length is None and content.at_eof():
        return 0
    if length is None or length > WHOLE_BODY_BYTES:
        return WHOLE_BODY_BYTES + STREAM_BYTES
    return length


async def _read_start(content: aiohttp.StreamReader) -> list[bytes]:
    """Returns the first blocks of a body: all of it, if it is small."""
    blocks = []
    missing_bytes = WHOLE_BODY_BYTES
    while missing_bytes and not content.at_eof():
        block = await content.read(min(BLOCK_BYTES, missing_bytes))
        blocks.append(block)
        missing_bytes -= len(block)
    return blocks


async def begin_nothing() -> None:
    """Does nothing: the caller was asked for the body already."""
