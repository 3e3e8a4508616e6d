"""A TCP proxy that can delay, slow, pause, reset and refuse connections."""

import asyncio
import collections
import socket

from jujubeyard import connections

BLOCK_BYTES = 16_384
"""Size of the parts in which bytes pass a link of limited bandwidth."""


class Proxy:
    """Forwards TCP connections to a backend and injects network faults.

    Inward is the direction from the client to the backend, outward the
    opposite one. Bytes that are buffered while a direction is paused are lost
    if either end closes the connection.

    Attributes:
        delay_seconds: How long to delay the bytes that are forwarded.
        bytes_per_second: Bandwidth to clients, which all connections share;
            None if it isn't limited.
        is_refusing: Whether new connections are reset.
    """

    def __init__(self, backend: tuple[str, int]):
        self._backend = backend
        self._server: asyncio.Server | None = None
        self._endpoints: set[_Endpoint] = set()
        self._paused: set[bool] = set()
        self._link_free_at = 0.0
        self.delay_seconds = 0.0
        self.bytes_per_second: float | None = None
        self.is_refusing = False

    async def start(self, host: str, port: int) -> None:
        """Starts listening for clients."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Endpoint(self, inward=True), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for endpoint in list(self._endpoints):
            endpoint.abort()

    def pause(self, inward: bool, outward: bool) -> None:
        """Pauses or resumes each direction.

        Bytes of a paused direction are buffered and forwarded on resumption.

        Args:
            inward: Whether to pause bytes to the backend.
            outward: Whether to pause bytes to clients.
        """
        self._paused = {
            direction
            for direction, is_chosen in ((True, inward), (False, outward))
            if is_chosen
        }
        for endpoint in list(self._endpoints):
            endpoint.flush()

    def is_paused(self, inward: bool) -> bool:
        """Returns whether a direction is paused."""
        return inward in self._paused

    def pass_link(self, size: int, inward: bool) -> float:
        """Occupies the link, and returns when the last byte has passed it.

        Args:
            size: Number of bytes.
            inward: Whether they are sent to the backend.

        Returns:
            A time of the event loop, in seconds.
        """
        passed_at = asyncio.get_running_loop().time()
        if self.bytes_per_second is not None and not inward:
            seconds = size / self.bytes_per_second
            passed_at = max(passed_at, self._link_free_at) + seconds
            self._link_free_at = passed_at
        return passed_at + self.delay_seconds

    def add(self, endpoint: "_Endpoint") -> None:
        """Registers one endpoint of a new connection."""
        self._endpoints.add(endpoint)

    def discard(self, endpoint: "_Endpoint") -> None:
        """Removes an endpoint whose connection has closed."""
        self._endpoints.discard(endpoint)

    async def connect(self, endpoint: "_Endpoint") -> None:
        """Connects a new client to the backend."""
        loop = asyncio.get_running_loop()
        backend_endpoint = _Endpoint(self, inward=False)
        backend_endpoint.peer = endpoint
        try:
            await loop.create_connection(
                lambda: backend_endpoint, *self._backend
            )
        except OSError:
            endpoint.abort()
            return
        endpoint.peer = backend_endpoint
        endpoint.flush()


class _Endpoint(asyncio.Protocol):
    """The proxy's end of the connection to a client or to the backend.

    Attributes:
        peer: The endpoint that the received bytes are forwarded to.
    """

    def __init__(self, proxy: Proxy, inward: bool):
        self._proxy = proxy
        self._inward = inward
        self._in_transit: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._delivery: asyncio.TimerHandle | None = None
        self._buffered = bytearray()
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task | None = None
        self._is_closed = False
        self.peer: _Endpoint | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, and connects a new client to the backend."""
        self._transport = transport
        if self._inward and self._proxy.is_refusing:
            self.abort()
            return
        self._proxy.add(self)
        if self._inward:
            coro = self._proxy.connect(self)
            self._connect_task = asyncio.get_running_loop().create_task(coro)

    def data_received(self, data: bytes) -> None:
        """Forwards bytes, in order, once they have passed the link."""
        for start in range(0, len(data), BLOCK_BYTES):
            block = data[start : start + BLOCK_BYTES]
            passed_at = self._proxy.pass_link(len(block), self._inward)
            self._in_transit.append((passed_at, block))
        if self._delivery is None:
            self._deliver()

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the peer, or resets it after an error or a loss of bytes."""
        self._proxy.discard(self)
        self._is_closed = True
        if self.peer is not None:
            has_lost_bytes = bool(self._in_transit or self._buffered)
            self.peer.close(abort=exc is not None or has_lost_bytes)

    def flush(self) -> None:
        """Forwards buffered bytes unless the direction is paused."""
        if self._buffered:
            data = bytes(self._buffered)
            self._buffered.clear()
            self._forward(data)

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None and not self._is_closed:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, connections.RESET_ON_CLOSE
            )
            self._transport.abort()

    def close(self, abort: bool) -> None:
        """Closes or resets the connection after its peer was closed."""
        if self._transport is None:
            return
        if abort or self._proxy.is_paused(not self._inward):
            self.abort()
        else:
            self._transport.close()

    def _deliver(self) -> None:
        """Forwards the bytes that have passed the link by now."""
        self._delivery = None
        loop = asyncio.get_running_loop()
        while self._in_transit and self._in_transit[0][0] <= loop.time():
            self._forward(self._in_transit.popleft()[1])
        if self._in_transit:
            passed_at = self._in_transit[0][0]
            self._delivery = loop.call_at(passed_at, self._deliver)

    def _forward(self, data: bytes) -> None:
        if self._is_closed:
            return
        if self.peer is None or self._proxy.is_paused(self._inward):
            self._buffered += data
            return
        self.peer.write(data)

    def write(self, data: bytes) -> None:
        """Sends bytes that the peer has received."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
