"""Ends connections to callers without losing answers that are on their way.

A closed socket resets its connection once a further request arrives, and the
reset drops what the caller hasn't taken yet. So the node only ends its own
direction at first, and closes the socket once the caller has left (RFC 9112,
9.6) or everything is delivered.
"""

import asyncio

from aiohttp import web_protocol

from jujubeyard import connections
from jujubeyard.node import departures

LINGER_SECONDS = 30.0
"""Longest time that a caller gets to take what was sent."""

DELIVERED_SECONDS = 1.0
"""Time that a caller gets to leave once its system has all that was sent."""

CHECK_SECONDS = 0.1


class LingeringConnection(web_protocol.RequestHandler):
    """Connection of a caller that ends without losing answers."""

    __slots__ = ("_linger_task",)

    def is_idle(self) -> bool:
        """Returns whether the connection waits for its next request.

        A request that was parsed but not yet passed to a handler is only
        visible in the private state of the connection.
        """
        return self._waiter is not None and not self._waiter.done()

    def is_ending(self) -> bool:
        """Returns whether only its caller has to take what was sent."""
        return self._force_close

    def force_close(self) -> None:
        """Ends the connection; nothing more is written to it.

        What arrives behind an answer is discarded. On an idle connection it
        isn't read, so that the caller may send it again.
        """
        is_idle = self.is_idle()
        transport, self.transport = self.transport, None
        super().force_close()
        if transport is None or transport.is_closing():
            return
        if is_idle and connections.is_delivered(transport):
            transport.close()
            return
        if is_idle:
            transport.pause_reading()
        else:
            transport.resume_reading()
        self._linger_task = self._loop.create_task(self._linger(transport))

    def report_untaken(self, transport: asyncio.Transport) -> None:
        """Called if a caller hasn't taken what was sent to it in time."""

    async def _linger(self, transport: asyncio.Transport) -> None:
        """Closes the connection once its caller has what was sent and left."""
        until = self._loop.time() + LINGER_SECONDS
        try:
            transport.write_eof()
        except OSError:
            transport.abort()
        is_delivered = False
        while not transport.is_closing() and self._loop.time() < until:
            await asyncio.sleep(CHECK_SECONDS)
            if transport.is_closing() or departures.has_left(transport):
                break
            if not is_delivered and connections.is_delivered(transport):
                is_delivered = True
                until = min(until, self._loop.time() + DELIVERED_SECONDS)
        else:
            if not is_delivered and not transport.is_closing():
                self.report_untaken(transport)
        transport.abort()
