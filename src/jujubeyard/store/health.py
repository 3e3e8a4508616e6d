"""Availability of the store, derived from all calls that a node makes to it."""

import asyncio
import collections.abc

from jujubeyard.store import interface


class Health:
    """Tracks whether the store responds and reports transitions.

    Attributes:
        is_available: Whether the latest completed call succeeded.
        round_trip_seconds: How long the latest call took that the store answers
            at once; the time until it was given up if it wasn't answered.
    """

    def __init__(
        self,
        on_lost: collections.abc.Callable[[interface.Failure], None],
        on_regained: collections.abc.Callable[[], None],
    ):
        """Starts as unavailable, until a call succeeds.

        Args:
            on_lost: Called on the first failure after a success.
            on_regained: Called on the first success, and on each first
                success after a failure.
        """
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._unavailable = asyncio.Event()
        self._available = asyncio.Event()
        self.is_available = False
        self.round_trip_seconds = 0.0

    def record_failure(self, failure: interface.Failure) -> None:
        """Records that a call was refused or got no response."""
        self._available.clear()
        self._unavailable.set()
        if self.is_available:
            self.is_available = False
            self._on_lost(failure)

    def record_success(self) -> None:
        """Records that the store responded to a call."""
        self._unavailable.clear()
        self._available.set()
        if not self.is_available:
            self.is_available = True
            self._on_regained()

    async def wait_unavailable(self) -> None:
        """Waits until a call fails, unless the latest one did."""
        await self._unavailable.wait()

    async def wait_available(self) -> None:
        """Waits until a call succeeds, unless the latest one did."""
        await self._available.wait()

    async def wait_available_for(self, seconds: float) -> None:
        """Waits until the store is available or a timeout has passed."""
        try:
            await asyncio.wait_for(self.wait_available(), seconds)
        except TimeoutError:
            return
