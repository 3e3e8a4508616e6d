"""Periodic jobs and background tasks of a process."""

import asyncio
import collections.abc
import logging

Job = collections.abc.Callable[[float], None]


class Ticker:
    """Calls a sequence of jobs at a regular interval.

    While no work is pending, the interval can be longer; wake() cuts such an
    idle wait short.
    """

    def __init__(
        self,
        interval_seconds: float,
        jobs: collections.abc.Sequence[Job],
        read_clock: collections.abc.Callable[[], float],
        logger: logging.Logger,
    ):
        """Creates a ticker.

        Args:
            interval_seconds: Pause after each run of the jobs.
            jobs: Functions to call with the current time, in this order.
            read_clock: Returns the current time, in seconds.
            logger: Where a job that raises is logged; the other jobs still
                run.
        """
        self._interval_seconds = interval_seconds
        self._jobs = jobs
        self._read_clock = read_clock
        self._logger = logger
        self._idle_interval_seconds = interval_seconds
        self._is_idle: collections.abc.Callable[[], bool] = _never
        self._idle_wait: asyncio.Future | None = None

    def set_idle_interval(
        self,
        interval_seconds: float,
        is_idle: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        """Sets the longest wait between runs while no work is pending.

        Args:
            interval_seconds: Longest wait; wake() ends it sooner.
            is_idle: Returns whether no work is pending; always by default.
        """
        self._idle_interval_seconds = interval_seconds
        self._is_idle = is_idle or _always

    def wake(self) -> None:
        """Ends an idle wait, so that the jobs run now."""
        if self._idle_wait is not None and not self._idle_wait.done():
            self._idle_wait.set_result(None)

    async def run(self) -> None:
        """Runs the jobs until the task is cancelled."""
        while True:
            for job in self._jobs:
                self._run_job(job)
            if self._is_idle():
                await self._wait_idle()
            else:
                await asyncio.sleep(self._interval_seconds)

    def _run_job(self, job: Job) -> None:
        try:
            job(self._read_clock())
        except Exception:
            self._logger.exception(
                "periodic job %s failed", _qualified_name(job)
            )

    async def _wait_idle(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle_wait = loop.create_future()
        timer = loop.call_later(self._idle_interval_seconds, self.wake)
        try:
            await self._idle_wait
        finally:
            timer.cancel()
            self._idle_wait = None


def _never() -> bool:
    return False


def _always() -> bool:
    return True


def _qualified_name(job: Job) -> str:
    return getattr(job, "__qualname__", repr(job))


class BackgroundTasks:
    """Set of background tasks that are cancelled together."""

    def __init__(self, logger: logging.Logger):
        self._tasks: set[asyncio.Task] = set()
        self._logger = logger

    def spawn(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Starts a task that runs the coroutine and logs its failure."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error(
                "background task failed", exc_info=task.exception()
            )
