"""Runs systems each tick."""

import asyncio
import collections.abc
import logging

System = collections.abc.Callable[[float], None]


async def tick_forever(
    seconds: float,
    systems: collections.abc.Sequence[System],
    read_clock: collections.abc.Callable[[], float],
    logger: logging.Logger,
) -> None:
    """Calls each system once a tick.

    Args:
        seconds: Length of a tick.
        systems: Functions of the time.
        read_clock: The clock, in seconds.
        logger: Told of systems that fail; the others run on.
    """
    while True:
        for system in systems:
            try:
                system(read_clock())
            except Exception:
                logger.exception("system %s failed", system.__qualname__)
        await asyncio.sleep(seconds)


class Tasks:
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
