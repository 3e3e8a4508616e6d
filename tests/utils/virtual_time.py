"""An event loop whose time passes at once while nothing can run."""

import asyncio
import selectors

START_SECONDS = 100.0


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the time by a wait instead of waiting.

    Attributes:
        now: The time, in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = START_SECONDS

    def select(self, timeout=None):
        ready = super().select(0)
        if timeout is None and not ready:
            raise RuntimeError("all tasks wait for each other")
        if not ready:
            self.now += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, which `time` returns."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return self._jumping_selector.now
