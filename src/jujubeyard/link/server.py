"""Accepts incoming links."""

import websockets.asyncio.server
import websockets.exceptions

from jujubeyard import errors
from jujubeyard.link import codec
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import link
from jujubeyard.manifest import address as addresses


class LinkServer:
    """A websocket server that accepts links from peers.

    Attributes:
        links: The open links.
        refused_handshakes: Number of refused handshakes, by result code.
    """

    def __init__(
        self,
        own_identity: identity.Identity,
        handler: link.Handler,
        link_faults: faults.LinkFaults,
    ):
        self.links: set[link.Link] = set()
        self.refused_handshakes: dict[int, int] = {}
        self._own_identity = own_identity
        self._handler = handler
        self._faults = link_faults
        self._server = None

    async def start(self, address: str) -> None:
        """Starts to listen on an "ip:port" address."""
        host, port = addresses.split(address)
        self._server = await websockets.asyncio.server.serve(
            self._serve,
            host,
            port,
            compression=None,
            max_size=codec.MAX_FRAME_BYTES,
            ping_interval=None,
            close_timeout=link.CLOSE_TIMEOUT_SECONDS,
        )

    async def stop(self) -> None:
        """Stops listening and closes all links."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, conn) -> None:
        try:
            peer = await link.accept(
                conn, self._own_identity, self._handler, self._faults
            )
        except errors.LinkError as exc:
            code = int(exc.code)
            self.refused_handshakes[code] = (
                self.refused_handshakes.get(code, 0) + 1
            )
            await conn.close(link.CLOSE_CODE_POLICY_VIOLATION, str(code))
            return
        except (TimeoutError, websockets.exceptions.ConnectionClosed):
            return
        self.links.add(peer)
        try:
            await peer.run()
        finally:
            self.links.discard(peer)
