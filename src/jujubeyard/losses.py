"""Notices peers that have closed all connections to them.

That is what a process leaves behind as it ends. Another one may serve its
address soon after, without any request having failed in between.
"""

import collections


class LossTracker:
    """Counts the open connections to each address.

    Attributes:
        lost: Addresses ("IP:PORT") whose peers have closed all connections. Who
            has dealt with one removes it.
    """

    def __init__(self):
        """Initializes a tracker without connections."""
        self.lost: set[str] = set()
        self._open: collections.Counter[str] = collections.Counter()

    def add(self, address: str) -> None:
        """Records a new connection."""
        self._open[address] += 1

    def remove(self, address: str, is_closed_by_peer: bool) -> None:
        """Records the end of a connection.

        Args:
            address: Address of the peer.
            is_closed_by_peer: Whether the peer closed or reset it.
        """
        self._open[address] -= 1
        if self._open[address]:
            return
        del self._open[address]
        if is_closed_by_peer:
            self.lost.add(address)
