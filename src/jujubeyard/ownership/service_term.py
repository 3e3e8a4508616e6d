"""What the parts of a shard coordinator share: the term, its log and tasks."""

import asyncio
import collections.abc

from jujubeyard.ownership import grant_log
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client


class ServiceTerm:
    """One service during one term of leadership.

    Attributes:
        service: Name of the service.
        leadership: This node's part in the election; it may be in a later term.
        number: Number of the term.
        client: Access to targets and to stored tables.
        is_stopped: Whether no further requests may be sent.
    """

    def __init__(
        self,
        service: str,
        leadership: leader.Leadership,
        client: ownership_client.OwnershipClient,
    ):
        """Initializes the current term.

        Args:
            service: Name of the service.
            leadership: This node's part in the election.
            client: Access to targets and to stored tables.
        """
        self.service = service
        self.leadership = leadership
        self.number = leadership.term
        self.client = client
        self.is_stopped = False
        self._tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Cancels all tasks at the end of the term."""
        self.is_stopped = True
        for task in self._tasks:
            task.cancel()

    def is_leading(self) -> bool:
        """Returns whether the term lasts."""
        leadership = self.leadership
        return leadership.term == self.number and leadership.is_leader()

    def log_event(self, event: str, **fields) -> None:
        """Logs an event of the service.

        Args:
            event: Text of the event.
            **fields: Fields of the log line, after that of the service.
        """
        self.client.log_event(event, service=self.service, **fields)

    def start_task(self, coro: collections.abc.Coroutine) -> asyncio.Task:
        """Runs a coroutine as a task, until the term ends."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.client.log_event(
                "shard coordinator failed", detail=repr(task.exception())
            )


def round_time(seconds: float | None) -> float | None:
    """Rounds a time for the log."""
    return None if seconds is None else round(seconds, grant_log.TIME_DIGITS)
