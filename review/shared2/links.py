"""A proxy that stands for the link between clients and a node."""

import asyncio
import collections
import contextlib
import socket

from review.shared2 import world

SEGMENT_BYTES = 1400
"""Segment size on the node's side, as on a network other than loopback."""

WINDOW_BYTES = 16 * 1024
"""Receive buffer on the node's side. What the link hasn't taken yet waits at
the node, as on a network with small windows."""

BLOCK_BYTES = 4096
RESET = object()
"""Stands for a reset in a queue of data."""


class Link:
    """Passes connections on to a node, with a delay and a bandwidth.

    Attributes:
        port: Port at which clients connect.
    """

    port = world.FRONT_PORT

    def __init__(
        self, node: world.Node, one_way_seconds: float, bytes_per_second: float
    ):
        """Initializes a link.

        Args:
            node: The node.
            one_way_seconds: How long a byte is on its way.
            bytes_per_second: What a connection can carry.
        """
        self._node = node
        self._one_way_seconds = one_way_seconds
        self._bytes_per_second = bytes_per_second
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.ip = ""

    async def start(self, ip: str) -> None:
        """Listens for clients on an address."""
        self.ip = ip
        self._server = await asyncio.start_server(
            self._serve, ip, self.port, limit=BLOCK_BYTES
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.closing(sock):
            try:
                await loop.sock_connect(sock, (self._node.ip, world.FRONT_PORT))
            except OSError:
                writer.transport.abort()
                return
            up = loop.create_task(self._pass_up(reader, sock))
            try:
                await self._pass_down(sock, writer)
            except asyncio.CancelledError:
                writer.transport.abort()
            finally:
                up.cancel()

    async def _pass_up(
        self, reader: asyncio.StreamReader, sock: socket.socket
    ) -> None:
        """Passes requests on to the node."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(BLOCK_BYTES):
                await asyncio.sleep(self._one_way_seconds)
                await loop.sock_sendall(sock, data)

    async def _pass_down(
        self, sock: socket.socket, writer: asyncio.StreamWriter
    ) -> None:
        """Passes answers on to the client, in their order."""
        loop = asyncio.get_running_loop()
        on_way: collections.deque = collections.deque()
        has_arrived = asyncio.Event()
        delivery = loop.create_task(self._deliver(on_way, has_arrived, writer))
        while True:
            try:
                data = await loop.sock_recv(sock, BLOCK_BYTES)
            except OSError:
                data = RESET
            on_way.append((loop.time() + self._one_way_seconds, data))
            has_arrived.set()
            if data is RESET or not data:
                break
            await asyncio.sleep(len(data) / self._bytes_per_second)
        await delivery

    async def _deliver(
        self,
        on_way: collections.deque,
        has_arrived: asyncio.Event,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Hands data to the client once it has been on its way."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                while not on_way:
                    has_arrived.clear()
                    await has_arrived.wait()
                due_at, data = on_way.popleft()
                await asyncio.sleep(due_at - loop.time())
                if data is RESET:
                    writer.transport.abort()
                    return
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
