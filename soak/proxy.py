"""A loopback proxy whose connections can be delayed, reset or silenced."""

import asyncio
import socket

from jujubeyard.node import upstream


class Proxy:
    """Carries connections from a public address to a real one.

    Bytes that a silenced link holds are lost if either end closes.

    Attributes:
        delay_seconds: Delay of what is carried.
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
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Endpoint(self, inward=True), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Resets all connections and takes no more."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for endpoint in list(self._endpoints):
            endpoint.abort()

    def pause(self, inward: bool, outward: bool) -> None:
        """Holds what is carried towards the real address, or back."""
        self._paused = {
            direction
            for direction, chosen in ((True, inward), (False, outward))
            if chosen
        }
        for endpoint in list(self._endpoints):
            endpoint.flush()

    def is_paused(self, inward: bool) -> bool:
        """Returns whether bytes of a direction are held."""
        return inward in self._paused

    def add(self, endpoint: "_Endpoint") -> None:
        """Takes a side of a new connection."""
        self._endpoints.add(endpoint)

    def discard(self, endpoint: "_Endpoint") -> None:
        """Drops a side of a connection that has ended."""
        self._endpoints.discard(endpoint)

    async def connect(self, endpoint: "_Endpoint") -> None:
        """Connects the other side of a new connection."""
        loop = asyncio.get_running_loop()
        other = _Endpoint(self, inward=False)
        other.peer = endpoint
        try:
            await loop.create_connection(lambda: other, *self._backend)
        except OSError:
            endpoint.abort()
            return
        endpoint.peer = other
        endpoint.flush()


class _Endpoint(asyncio.Protocol):
    """One end of a connection; what it reads goes to its peer."""

    def __init__(self, link: Proxy, inward: bool):
        self._proxy = link
        self._inward = inward
        self._buffered = bytearray()
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task | None = None
        self._is_closed = False
        self.peer: _Endpoint | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport; an accepted connection connects its peer."""
        self._transport = transport
        if self._inward and self._proxy.is_refusing:
            self.abort()
            return
        self._proxy.add(self)
        if self._inward:
            coro = self._proxy.connect(self)
            self._connecting = asyncio.get_running_loop().create_task(coro)

    def data_received(self, data: bytes) -> None:
        """Carries bytes, now or later."""
        delay = self._proxy.delay_seconds
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._carry, data)
        else:
            self._carry(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the peer in the same way."""
        self._proxy.discard(self)
        self._is_closed = True
        if self.peer is not None:
            self.peer.end(abort=exc is not None or bool(self._buffered))

    def flush(self) -> None:
        """Carries what was held, unless the link is silent."""
        if self._buffered:
            data = bytes(self._buffered)
            self._buffered.clear()
            self._carry(data)

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None and not self._is_closed:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, upstream.LINGER_OFF
            )
            self._transport.abort()

    def end(self, abort: bool) -> None:
        """Ends the connection because its peer has ended."""
        if self._transport is None:
            return
        if abort or self._proxy.is_paused(not self._inward):
            self.abort()
        else:
            self._transport.close()

    def _carry(self, data: bytes) -> None:
        if self._is_closed:
            return
        if self.peer is None or self._proxy.is_paused(self._inward):
            self._buffered += data
            return
        self.peer.write(data)

    def write(self, data: bytes) -> None:
        """Sends bytes that the peer has read."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
