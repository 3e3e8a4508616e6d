"""Reads HTTP bodies within a limit of memory."""

import asyncio
import collections.abc
import contextlib

import aiohttp
import result

from jujubeyard import codes

MIB = 1024 * 1024


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body is larger than its reader accepts."""


class BuffersFullError(aiohttp.ClientPayloadError):
    """All that is held for peers is larger than the memory for it."""


class BodyReader:
    """Reads bodies, whose sizes are limited singly and together.

    Attributes:
        buffered_bytes: Size of the parts of all bodies that are being read, and
            of those that are held.
    """

    def __init__(self, max_body_bytes: int, max_buffered_bytes: int):
        """Initializes a reader.

        Args:
            max_body_bytes: Largest size of one body.
            max_buffered_bytes: Largest size of all bodies together.
        """
        self._max_body_bytes = max_body_bytes
        self._max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0

    async def read(self, content: aiohttp.StreamReader) -> bytes:
        """Returns a body that is received.

        A connection whose body isn't read to its end must be closed.

        Args:
            content: The content of a request or a response.

        Raises:
            BodyTooLargeError: The body is too large.
            BuffersFullError: All bodies together are too large.
            aiohttp.ClientError: The body is incomplete.
        """
        body = bytearray()
        try:
            async for chunk in content.iter_any():
                self.buffered_bytes += len(chunk)
                body += chunk
                self._check(len(body))
        finally:
            self.buffered_bytes -= len(body)
        return bytes(body)

    @contextlib.contextmanager
    def hold(self, body: bytes) -> collections.abc.Iterator[None]:
        """Counts a body that was read for as long as the block runs.

        Args:
            body: The body.
        """
        self.buffered_bytes += len(body)
        try:
            yield
        finally:
            self.buffered_bytes -= len(body)

    async def read_request(
        self, content: aiohttp.StreamReader, seconds: float
    ) -> result.Result[bytes, codes.ResultCode]:
        """Returns the body of a caller's request, or why it isn't accepted.

        A connection whose body isn't accepted must be closed.

        Args:
            content: The content of the request.
            seconds: Time until the deadline of the call.

        Raises:
            aiohttp.web.RequestPayloadError: The body is malformed.
        """
        try:
            async with asyncio.timeout(seconds):
                return result.Ok(await self.read(content))
        except TimeoutError:
            return result.Err(codes.ResultCode.DEADLINE_PAST)
        except BodyTooLargeError:
            return result.Err(codes.ResultCode.BODY_TOO_LARGE)
        except BuffersFullError:
            return result.Err(codes.ResultCode.OVERLOADED)

    def _check(self, body_bytes: int) -> None:
        if body_bytes > self._max_body_bytes:
            raise BodyTooLargeError(
                f"body of over {self._max_body_bytes} bytes"
            )
        if self.buffered_bytes > self._max_buffered_bytes:
            raise BuffersFullError(
                f"bodies of over {self._max_buffered_bytes} bytes together"
            )
