"""Writes responses to callers, whose unread bodies are limited together."""

import asyncio
import collections.abc
import dataclasses
import socket
import time

from aiohttp import web

from jujubeyard import connections
from jujubeyard import memory

LARGE_BODY_BYTES = 16 * 1024
"""Size above which a body is counted; a smaller one is written at once."""

COPIES_WHILE_WRITTEN = 2
"""How often a body is in memory until its connection has taken it."""

MIN_RATE_SECONDS = 0.1
"""Shortest time over which the rate of a caller is measured."""

OBSERVING_SECONDS = 0.1
"""How often is observed whether a caller takes more of its response."""


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedResponse:
    """A response that was given up because its caller read too slowly.

    Attributes:
        request: The caller's request.
        body_bytes: Size of the body.
        unread_bytes: Size of what the caller's connection hadn't taken.
        seconds: Time since the writing began.
    """

    request: web.BaseRequest
    body_bytes: int
    unread_bytes: int
    seconds: float


class _Unread:
    """A response that is being written."""

    def __init__(
        self,
        req: web.BaseRequest,
        body_bytes: int,
        report: collections.abc.Callable[[AbandonedResponse], None],
    ):
        self._report = report
        self.transport = req.transport
        self._req = req
        self._body_bytes = body_bytes
        self._started_at = time.monotonic()
        self._observed_bytes = 0
        self._progress_at = self._started_at
        self._timer = self._schedule()

    def _schedule(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(OBSERVING_SECONDS, self._observe)

    def _observe(self) -> None:
        """Notes whether the caller has taken something since the last time."""
        if self.unread_bytes != self._observed_bytes:
            self._observed_bytes = self.unread_bytes
            self._progress_at = time.monotonic()
        self._timer = self._schedule()

    def end(self) -> None:
        """Stops observing the caller."""
        self._timer.cancel()

    def stalled_seconds(self) -> float:
        """Returns how long the caller has taken nothing, in seconds."""
        has_progress = self.unread_bytes != self._observed_bytes
        if has_progress or self.transport.is_closing():
            return 0.0
        return time.monotonic() - self._progress_at

    @property
    def unread_bytes(self) -> int:
        """Size of what the caller's connection hasn't taken yet."""
        return self.transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Size of the body, and of the part of it that waits in a buffer."""
        if self.transport.is_closing():
            return 0
        return self._body_bytes + self.unread_bytes

    def read_rate(self) -> float:
        """Returns how fast the caller reads, in bytes per second."""
        seconds = time.monotonic() - self._started_at
        read_bytes = self._body_bytes - self.unread_bytes
        return read_bytes / max(seconds, MIN_RATE_SECONDS)

    def close(self) -> None:
        """Resets the connection, and reports what was given up."""
        abandoned = AbandonedResponse(
            self._req,
            self._body_bytes,
            self.unread_bytes,
            time.monotonic() - self._started_at,
        )
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, connections.RESET_ON_CLOSE
            )
        self.transport.abort()
        self._report(abandoned)


class ResponseWriter:
    """Writes responses within a limit of memory.

    When the limit is reached, the responses of the slowest callers are given
    up, so that the others still get theirs.
    """

    def __init__(
        self,
        report: collections.abc.Callable[[AbandonedResponse], None],
        budget: memory.MemoryBudget,
    ):
        """Initializes a writer.

        Args:
            report: Called with each response that is given up.
            budget: Memory for what is held for callers.
        """
        self._report = report
        self._budget = budget
        self._unread: set[_Unread] = set()

    async def write(
        self, req: web.BaseRequest, resp: web.Response
    ) -> web.Response:
        """Writes a response until its caller has taken it, if it is large.

        A small response is left to the server.

        Args:
            req: The request.
            resp: The response to it.

        Returns:
            The response, for the server.
        """
        body_bytes = 0 if req.method == "HEAD" else resp.content_length or 0
        if body_bytes <= LARGE_BODY_BYTES or req.transport is None:
            return resp
        self._make_room(body_bytes)
        unread = _Unread(req, body_bytes, self._report)
        self._unread.add(unread)
        self._budget.add_peer(unread)
        try:
            await resp.prepare(req)
            await resp.write_eof()
        except ConnectionError:
            pass  # The server finds the connection closed as well.
        finally:
            unread.end()
            self._unread.discard(unread)
            self._budget.remove_peer(unread)
        return resp

    def _make_room(self, body_bytes: int) -> None:
        """Gives up responses until a body fits into the limit."""
        written_bytes = COPIES_WHILE_WRITTEN * body_bytes
        while self._unread and self._budget.is_full(written_bytes):
            slowest = min(self._unread, key=_Unread.read_rate)
            self._unread.discard(slowest)
            self._budget.remove_peer(slowest)
            slowest.close()
