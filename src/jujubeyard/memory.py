"""Bounds the memory that a process holds for all its peers together."""

import asyncio
import collections.abc
import typing

from jujubeyard import bodies

STALL_SECONDS = 0.05
"""How long reading stops for want of memory before peers are closed."""

STALLED_PEER_SECONDS = 0.25
"""How long a peer has taken nothing before it is closed for a new call."""

RESERVED_SHARE = 0.25
"""Share of the memory that new calls leave free, for the answers to those in
progress."""

FREED_SHARE = 0.5
"""Share of what is held for peers that can be given up that is given up at
once. Peers that send without end soon fill what is freed."""


class Peer(typing.Protocol):
    """What is held for a peer, and that can be given up."""

    @property
    def held_bytes(self) -> int:
        """Size of what is held for the peer."""

    def stalled_seconds(self) -> float:
        """Returns how long the peer has taken nothing, in seconds."""

    def close(self) -> None:
        """Gives up the peer, and releases what is held for it."""


class Holding:
    """What is held for one peer, in a budget.

    Attributes:
        held_bytes: Size of what is held.
    """

    def __init__(self, budget: "MemoryBudget", held_bytes: int):
        self._budget = budget
        self._is_closed = False
        self._is_released = False
        self.held_bytes = 0
        self.add(held_bytes)

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *_) -> None:
        self.release()

    def add(self, count: int) -> None:
        """Counts further bytes, or fewer, unless the holding is released."""
        if self._is_released:
            return
        self.held_bytes += count
        self._budget.count(count)

    def release(self) -> None:
        """Counts nothing any more."""
        self.add(-self.held_bytes)
        self._is_released = True

    def close(self) -> None:
        """Makes the next `grow()`, or one in progress, fail."""
        self._is_closed = True
        self.release()

    async def grow(self, count: int) -> None:
        """Counts bytes that were read, and waits while the budget is full.

        Args:
            count: Number of bytes.

        Raises:
            bodies.BuffersFullError: The peer was given up.
        """
        self.add(count)
        if self._budget.is_full():
            await self._budget.wait_for_room(self)
        if self._is_closed:
            self.release()
            raise bodies.BuffersFullError("no memory for what the peer sends")


class MemoryBudget:
    """One bound on all that is held for peers.

    Past the bound, reading from peers stops and new calls are refused. If that
    lasts, the peers for which most is held are closed.

    Attributes:
        max_bytes: The bound.
    """

    def __init__(
        self,
        max_bytes: int,
        report_refusal: collections.abc.Callable[[], None] = lambda: None,
    ):
        """Initializes a budget.

        Args:
            max_bytes: Largest size of all that is held.
            report_refusal: Called when a call is refused for want of memory.
        """
        self.max_bytes = max_bytes
        self._report_refusal = report_refusal
        self._counted_bytes = 0
        self._peers: set[Peer] = set()
        self._waiting: set[Holding] = set()
        self._room = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Size of all that is held."""
        return self._counted_bytes + sum(p.held_bytes for p in self._peers)

    def is_full(self, further_bytes: int = 0) -> bool:
        """Returns whether further bytes would exceed the bound."""
        return self.held_bytes + further_bytes > self.max_bytes

    def has_room(self, further_bytes: int) -> bool:
        """Returns whether further bytes leave the reserve free."""
        reserved_bytes = int(RESERVED_SHARE * self.max_bytes)
        return not self.is_full(further_bytes + reserved_bytes)

    def count(self, count: int) -> None:
        """Counts bytes of a holding, or fewer if the number is negative."""
        self._counted_bytes += count
        if count < 0 and self._waiting and not self.is_full():
            self._room.set()

    def hold(self, held_bytes: int = 0) -> Holding:
        """Returns a holding of something that is in memory already."""
        return Holding(self, held_bytes)

    def admit(self, held_bytes: int) -> Holding | None:
        """Returns a holding for a new call; None if it must be refused.

        Peers that take nothing of what is held for them are given up before.

        Args:
            held_bytes: What the call needs before it is answered.
        """
        if not self.has_room(held_bytes):
            self._close_stalled_peers(held_bytes)
        if not self.has_room(held_bytes):
            self._report_refusal()
            return None
        return Holding(self, held_bytes)

    def add_peer(self, peer: Peer) -> None:
        """Counts what is held for a peer, whose size varies by itself."""
        self._peers.add(peer)

    def remove_peer(self, peer: Peer) -> None:
        """Counts a peer no more."""
        self._peers.discard(peer)
        if self._waiting and not self.is_full():
            self._room.set()

    async def wait_for_room(self, holding: Holding) -> None:
        """Waits until the budget isn't full, or the holding is closed.

        Args:
            holding: What is held for the peer that isn't read meanwhile.
        """
        self._waiting.add(holding)
        try:
            while self.is_full() and holding.held_bytes:
                self._room.clear()
                try:
                    async with asyncio.timeout(STALL_SECONDS):
                        await self._room.wait()
                except TimeoutError:
                    self._close_largest_peers()
        finally:
            self._waiting.discard(holding)

    def _close_stalled_peers(self, needed_bytes: int) -> None:
        """Gives up stalled peers, the longest first, until there is room."""
        stalled = [
            (seconds, peer)
            for peer in self._peers
            if (seconds := peer.stalled_seconds()) >= STALLED_PEER_SECONDS
        ]
        stalled.sort(key=lambda item: item[0])
        while stalled and not self.has_room(needed_bytes):
            stalled.pop()[1].close()

    def _close_largest_peers(self) -> None:
        """Gives up the peers for which most is held, if memory is short."""
        if not self.is_full():
            return
        candidates = sorted(
            [*self._peers, *self._waiting], key=lambda peer: peer.held_bytes
        )
        excess_bytes = FREED_SHARE * sum(p.held_bytes for p in candidates)
        while candidates and excess_bytes > 0:
            peer = candidates.pop()
            excess_bytes -= peer.held_bytes
            peer.close()
        self._room.set()
