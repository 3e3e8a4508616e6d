"""A TCP server that answers requests with bytes from a script."""

import asyncio
import socket
import struct

RESET = object()
"""In a script: reset the connection."""

CLOSE = object()
"""In a script: close the connection in order."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawServer:
    """Answers the requests of each connection from one script.

    Attributes:
        address: "IP:PORT".
        requests: Heads of all requests that were read.
        connections: Number of connections that were accepted.
    """

    def __init__(self, *script):
        self._script = list(script)
        self._server: asyncio.Server | None = None
        self.address = ""
        self.requests: list[bytes] = []
        self.connections = 0

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
        for part in self._script.pop(0):
            if part is RESET:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                writer.transport.abort()
                return False
            if part is CLOSE:
                writer.close()
                return False
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            writer.write(part)
            await writer.drain()
        return True


def answer(call_id: str, body: bytes = b"ok", *headers: str) -> bytes:
    """Returns a whole answer with a length."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Call: {call_id}",
        "X-Signature: s",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
