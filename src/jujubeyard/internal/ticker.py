"""Runs systems each tick."""

import asyncio
import collections.abc
import logging

System = collections.abc.Callable[[float], None]


class Ticker:
    """Calls each system once a tick.

    While nothing is pending, ticks may be rarer; wake() ends a long one.
    """

    def __init__(
        self,
        seconds: float,
        systems: collections.abc.Sequence[System],
        read_clock: collections.abc.Callable[[], float],
        logger: logging.Logger,
    ):
        """Creates a ticker.

        Args:
            seconds: Length of a tick.
            systems: Functions of the time.
            read_clock: The clock, in seconds.
            logger: Told of systems that fail; the others run on.
        """
        self._seconds = seconds
        self._systems = systems
        self._read_clock = read_clock
        self._logger = logger
        self._idle_seconds = seconds
        self._is_idle: collections.abc.Callable[[], bool] = _never
        self._rest: asyncio.Future | None = None

    def set_idle_interval(
        self,
        seconds: float,
        is_idle: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        """Makes ticks longer, and lets them be ended, while nothing is pending.

        Args:
            seconds: Length of such a tick.
            is_idle: Whether nothing is pending; by default always.
        """
        self._idle_seconds = seconds
        self._is_idle = is_idle or _always

    def wake(self) -> None:
        """Starts the next tick now if the current one is a long one."""
        if self._rest is not None and not self._rest.done():
            self._rest.set_result(None)

    async def run(self) -> None:
        """Ticks for ever."""
        while True:
            for system in self._systems:
                self._call(system)
            if self._is_idle():
                await self._sleep_long()
            else:
                await asyncio.sleep(self._seconds)

    def _call(self, system: System) -> None:
        try:
            system(self._read_clock())
        except Exception:
            self._logger.exception("system %s failed", _name(system))

    async def _sleep_long(self) -> None:
        loop = asyncio.get_running_loop()
        self._rest = loop.create_future()
        timer = loop.call_later(self._idle_seconds, self.wake)
        try:
            await self._rest
        finally:
            timer.cancel()
            self._rest = None


def _never() -> bool:
    return False


def _always() -> bool:
    return True


def _name(system: System) -> str:
    return getattr(system, "__qualname__", repr(system))


class BackgroundTasks:
    """Background tasks that end with their owner."""

    def __init__(self, logger: logging.Logger):
        self._tasks: set[asyncio.Task] = set()
        self._logger = logger

    def spawn(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Starts a task; a failure is logged."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error(
                "background task failed", exc_info=task.exception()
            )
