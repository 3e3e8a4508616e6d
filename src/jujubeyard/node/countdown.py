"""A countdown of the time for which the process runs."""

import asyncio
import collections.abc

STEP_SECONDS = 0.5


class Countdown:
    """Calls a function after a while, in which the process isn't suspended.

    A process that was suspended first reads what it missed: the time of its
    suspension counts as one step at most.
    """

    def __init__(
        self, seconds: float, on_end: collections.abc.Callable[[], None]
    ):
        """Initializes a countdown; `restart` starts it.

        Args:
            seconds: Duration of the countdown.
            on_end: Is called at its end.
        """
        self._seconds = seconds
        self._on_end = on_end
        self._remaining = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def restart(self) -> None:
        """Starts the countdown, from the beginning if it is running."""
        if self._timer is not None:
            self._timer.cancel()
        self._remaining = self._seconds
        self._schedule()

    def _schedule(self) -> None:
        step = min(STEP_SECONDS, self._remaining)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(step, self._advance, step)

    def _advance(self, step: float) -> None:
        self._remaining -= step
        if self._remaining > 0.0:
            self._schedule()
            return
        self._timer = None
        self._on_end()
