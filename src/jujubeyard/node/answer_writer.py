"""Writes answers to callers as they arrive from targets."""

import asyncio
import functools
import socket

import aiohttp
from aiohttp import http
from aiohttp import web

from jujubeyard import connections
from jujubeyard import heads
from jujubeyard.node import answer_stream


class StreamedResponse(heads.ExactHead):
    """A response whose body is passed on as it arrives.

    Attributes:
        stream: The body.
        is_framed: Whether the caller can tell a body that isn't complete.
    """

    def __init__(
        self,
        req: web.BaseRequest,
        status: int,
        stream: answer_stream.AnswerStream,
    ):
        """Initializes a response, with the framing that the target used.

        Args:
            req: The request.
            status: HTTP status.
            stream: The body.
        """
        super().__init__(status=status)
        self.stream = stream
        self.is_framed = True
        if stream.length is not None:
            self.content_length = stream.length
        elif req.version >= http.HttpVersion11:
            self.enable_chunked_encoding()
        else:
            self.is_framed = False
            self.force_close()


async def write(
    req: web.BaseRequest, resp: StreamedResponse
) -> web.StreamResponse:
    """Writes a response as fast as its caller takes it.

    If the body isn't complete, the connection ends behind what was written, as
    earlier answers may still be on their way. It is reset if the body would
    look complete to the caller then.

    Args:
        req: The request.
        resp: The response.

    Returns:
        The response, for the server.
    """
    transport = req.transport
    try:
        if transport is None:
            return resp
        resp.stream.on_give_up(functools.partial(_reset, transport))
        transport.set_write_buffer_limits(high=answer_stream.BLOCK_BYTES)
        async with asyncio.timeout_at(resp.stream.deadline):
            await resp.prepare(req)
            async for block in resp.stream.iter_blocks():
                await resp.write(block)
            await resp.write_eof()
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        if resp.is_framed:
            req.protocol.force_close()
        else:
            _reset(transport)
    finally:
        resp.stream.end()
    return resp


def _reset(transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, connections.RESET_ON_CLOSE
        )
    transport.abort()
