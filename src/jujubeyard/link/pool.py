"""Keeps one open link to each of a changing set of peers."""

import asyncio

import websockets.exceptions

from jujubeyard import errors
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import link

RETRY_SECONDS = 0.1
_DIAL_ERRORS = (
    OSError,
    TimeoutError,
    errors.LinkError,
    websockets.exceptions.WebSocketException,
)


class LinkPool:
    """Dials peers by address and dials again when a link closes.

    Attributes:
        links: The open links, by address.
    """

    def __init__(
        self,
        me: identity.Identity,
        handler: link.Handler,
        link_faults: faults.LinkFaults,
    ):
        self.links: dict[str, link.Link] = {}
        self._me = me
        self._handler = handler
        self._faults = link_faults
        self._dialers: dict[str, asyncio.Task] = {}

    def set_peers(self, addresses: set[str]) -> None:
        """Sets the peers to keep links to."""
        for address in addresses - self._dialers.keys():
            task = asyncio.create_task(self._dial_forever(address))
            self._dialers[address] = task
        for address in self._dialers.keys() - addresses:
            self._dialers.pop(address).cancel()

    def get(self, address: str) -> link.Link | None:
        """Returns the open link to a peer, or None."""
        peer = self.links.get(address)
        if peer is None or peer.closed.is_set():
            return None
        return peer

    async def stop(self) -> None:
        """Closes all links."""
        tasks = list(self._dialers.values())
        self.set_peers(set())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial_forever(self, address: str) -> None:
        while True:
            try:
                await self._dial(address)
            except _DIAL_ERRORS:
                pass
            await asyncio.sleep(RETRY_SECONDS)

    async def _dial(self, address: str) -> None:
        peer = await link.connect(
            address, self._me, self._handler, self._faults
        )
        self.links[address] = peer
        try:
            await peer.run()
        finally:
            peer.close()
            if self.links.get(address) is peer:
                del self.links[address]
