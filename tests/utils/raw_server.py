"""TCP server that answers HTTP requests with scripted bytes."""

import asyncio
import dataclasses
import socket
import struct
import time

RESET = object()
"""Script step that resets the connection."""

CLOSE = object()
"""Script step that closes the connection cleanly."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


REPEAT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Repeat:
    """Script step that sends bytes again and again until the client closes."""

    data: bytes


class RawServer:
    """Answers each request, on any connection, as one script prescribes.

    Each item of the script is the list of steps that answers one request: bytes
    to send, a float to wait that many seconds, a Repeat, RESET or CLOSE.
    Requests after the last item get no answer.

    Attributes:
        address: Address that it listens on, as "IP:PORT".
        requests: Heads of the received requests, in order.
        connections: Number of accepted connections.
        repeated_bytes: Number of bytes that Repeat steps have sent.
        repeat_ended: Set when the client has closed during a Repeat step.
    """

    def __init__(self, *script):
        self._script = list(script)
        self._server: asyncio.Server | None = None
        self.address = ""
        self.requests: list[bytes] = []
        self.connections = 0
        self.repeated_bytes = 0
        self.repeat_ended = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if not await self._answer(writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, writer) -> bool:
        if not self._script:
            return True
        for step in self._script.pop(0):
            if step is RESET:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                writer.transport.abort()
                return False
            if step is CLOSE:
                writer.close()
                return False
            if isinstance(step, float):
                await asyncio.sleep(step)
                continue
            if isinstance(step, Repeat):
                await self._repeat(writer, step.data)
                return False
            writer.write(step)
            await writer.drain()
        return True

    async def _repeat(self, writer, data: bytes) -> None:
        end = time.monotonic() + REPEAT_SECONDS
        try:
            while time.monotonic() < end:
                writer.write(data)
                await writer.drain()
                self.repeated_bytes += len(data)
                await asyncio.sleep(0)
        except ConnectionError:
            self.repeat_ended.set()
            raise


def answer(call_id: str, body: bytes = b"ok", *headers: str) -> bytes:
    """Returns a complete 200 response with a Content-Length header."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Call: {call_id}",
        "X-Signature: s",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
