"""Maintains a link to each of a changing set of peers."""

import asyncio

import websockets.exceptions

from jujubeyard import errors
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import link

RECONNECT_DELAY_SECONDS = 0.1
_CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    errors.LinkError,
    websockets.exceptions.WebSocketException,
)


class LinkPool:
    """Connects to peers by address and reconnects when a link closes.

    Attributes:
        links: The open links, by address.
    """

    def __init__(
        self,
        own_identity: identity.Identity,
        handler: link.Handler,
        link_faults: faults.LinkFaults,
    ):
        self.links: dict[str, link.Link] = {}
        self._own_identity = own_identity
        self._handler = handler
        self._faults = link_faults
        self._tasks: dict[str, asyncio.Task] = {}

    def set_peers(self, addresses: set[str]) -> None:
        """Sets the addresses of the peers to stay connected to."""
        for address in addresses - self._tasks.keys():
            task = asyncio.create_task(self._keep_connected(address))
            self._tasks[address] = task
        for address in self._tasks.keys() - addresses:
            self._tasks.pop(address).cancel()

    def get(self, address: str) -> link.Link | None:
        """Returns the open link to a peer, or None."""
        peer = self.links.get(address)
        if peer is None or peer.closed.is_set():
            return None
        return peer

    async def stop(self) -> None:
        """Closes all links and waits until they are closed."""
        tasks = list(self._tasks.values())
        self.set_peers(set())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_connected(self, address: str) -> None:
        while True:
            try:
                await self._run_link(address)
            except _CONNECT_ERRORS:
                pass
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _run_link(self, address: str) -> None:
        peer = await link.connect(
            address, self._own_identity, self._handler, self._faults
        )
        self.links[address] = peer
        try:
            await peer.run()
        finally:
            peer.close()
            if self.links.get(address) is peer:
                del self.links[address]
