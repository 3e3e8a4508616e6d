"""A TCP proxy that can delay, pause, reset and refuse connections."""

import asyncio
import socket

from jujubeyard import connections


class Proxy:
    """Forwards TCP connections to a backend and injects network faults.

    Inward is the direction from the client to the backend, outward the
    opposite one. Bytes that are buffered while a direction is paused are lost
    if either end closes the connection.

    Attributes:
        delay_seconds: How long to delay the bytes that are forwarded.
        is_refusing: Whether new connections are reset.
    """

    def __init__(self, backend: tuple[str, int]):
        self._backend = backend
        self._server: asyncio.Server | None = None
        self._endpoints: set[_Endpoint] = set()
        self._paused: set[bool] = set()
        self.delay_seconds = 0.0
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
        """Forwards bytes, after the delay if one is set."""
        delay = self._proxy.delay_seconds
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._forward, data)
        else:
            self._forward(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the peer, or resets it after an error or a loss of bytes."""
        self._proxy.discard(self)
        self._is_closed = True
        if self.peer is not None:
            self.peer.close(abort=exc is not None or bool(self._buffered))

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
