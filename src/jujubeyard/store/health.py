"""Whether the store answers, as all calls of a node to it show together."""

import asyncio
import collections.abc

from jujubeyard.store import interface


class Health:
    """Tells those who wait on the store when it was lost or regained.

    Attributes:
        answers: Whether the latest call that ended was answered.
    """

    def __init__(
        self,
        on_lost: collections.abc.Callable[[interface.Failure], None],
        on_regained: collections.abc.Callable[[], None],
    ):
        """Makes the health of a store that was not asked yet.

        Args:
            on_lost: Told of the first failure after an answer.
            on_regained: Told of the first answer after a failure.
        """
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._lost = asyncio.Event()
        self._regained = asyncio.Event()
        self.answers = False

    def record_failure(self, failure: interface.Failure) -> None:
        """Learns that a call was not answered or was refused."""
        self._regained.clear()
        self._lost.set()
        if self.answers:
            self.answers = False
            self._on_lost(failure)

    def record_success(self) -> None:
        """Learns that a call was answered."""
        self._lost.clear()
        self._regained.set()
        if not self.answers:
            self.answers = True
            self._on_regained()

    async def wait_lost(self) -> None:
        """Waits until a call fails."""
        await self._lost.wait()

    async def wait_answer(self) -> None:
        """Waits until a call is answered."""
        await self._regained.wait()

    async def wait_regained(self, seconds: float) -> None:
        """Waits until a call is answered, for a limited time."""
        try:
            await asyncio.wait_for(self.wait_answer(), seconds)
        except TimeoutError:
            return
