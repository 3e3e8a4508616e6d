"""Request bodies that are sent in time or not at all.

A client writes a body in a task of its own, an iteration of the event loop
after the request was made. The loop may stand still in between.
"""

import aiohttp
from aiohttp import abc
from aiohttp import payload

from jujubeyard import clock


class TooLateError(aiohttp.ClientError):
    """A request was not sent, since it would have been too late."""


class TimelyBody(payload.BytesPayload):
    """A body that is not written after a given time, nor the head before it."""

    def __init__(self, body: bytes, send_by: float):
        """Initializes a body.

        Args:
            body: The body.
            send_by: Boot time after which it must not be written.
        """
        super().__init__(body)
        self._send_by = send_by

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body.

        Raises:
            TooLateError: It is too late.
        """
        if clock.boottime() > self._send_by:
            raise TooLateError
        await super().write_with_length(writer, content_length)
