"""Waiting calls of one route, in the order in which they go."""

import bisect
import dataclasses

from jujubeyard.routing import config

MAX_WAIT_SHARE = 0.5
"""Share of a call's time after which it no longer waits, so that a refused
caller has time for a retry."""

WORK_MARGIN = 2.0
"""Multiple of the usual work that must be left when a call gets room."""


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for room.

    Attributes:
        route: Name of its route.
        urgency: Priority of the route; 0 is the most urgent.
        origin: Identifies repetitions of the same request.
        joined_at: When it joined the queue, in monotonic seconds.
        prompt_by: Latest start at which it can meet its latency objective.
        start_by: Latest start at which it may get room.
    """

    route: str
    urgency: int
    origin: str
    joined_at: float
    prompt_by: float
    start_by: float


def make_waiter(
    route: config.Route,
    origin: str,
    received_at: float,
    deadline: float,
    work_seconds: float,
    now: float,
) -> Waiter:
    """Returns a waiter for a call.

    Args:
        route: Route of the call.
        origin: Identifies repetitions of the same request.
        received_at: When the call was read, in monotonic seconds.
        deadline: When its caller stops waiting, in monotonic seconds.
        work_seconds: Usual work of such a call.
        now: Monotonic time, in seconds.
    """
    return Waiter(
        route.name,
        route.urgency,
        origin,
        now,
        received_at + route.objective - work_seconds,
        min(
            received_at + MAX_WAIT_SHARE * (deadline - received_at),
            deadline - WORK_MARGIN * work_seconds,
        ),
    )


class Lane:
    """Waiting calls of one route.

    Calls that can still meet their latency objective go first, by the end of
    that time; the others follow by the latest start that serves them.

    Attributes:
        route: Name of the route.
        urgency: Priority of the route; 0 is the most urgent.
    """

    def __init__(self, route: str, urgency: int):
        self.route = route
        self.urgency = urgency
        self._prompt: list[Waiter] = []
        self._late: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._prompt) + len(self._late)

    def add(self, waiter: Waiter) -> None:
        """Adds a call."""
        bisect.insort(self._prompt, waiter, key=_prompt_by)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a call, and returns whether it was there."""
        for waiters in (self._prompt, self._late):
            if waiter in waiters:
                waiters.remove(waiter)
                return True
        return False

    def update(self, now: float) -> None:
        """Moves the calls that can't meet their objective any more.

        Args:
            now: Monotonic time, in seconds.
        """
        while self._prompt and self._prompt[0].prompt_by < now:
            bisect.insort(self._late, self._prompt.pop(0), key=_start_by)

    def head(self) -> Waiter:
        """Returns the call that goes first; there must be one."""
        return (self._prompt or self._late)[0]

    def last(self) -> Waiter:
        """Returns the call that goes last; there must be one."""
        return (self._late or self._prompt)[-1]

    def waiters(self) -> list[Waiter]:
        """Returns all calls in their order."""
        return self._prompt + self._late

    def count_before(self, waiter: Waiter, now: float) -> int:
        """Returns how many calls go before one of the same priority.

        Args:
            waiter: The call, whether it is in the lane or not.
            now: Monotonic time, in seconds.
        """
        if waiter.prompt_by < now:
            return len(self._prompt) + bisect.bisect_left(
                self._late, waiter.start_by, key=_start_by
            )
        return bisect.bisect_left(
            self._prompt, waiter.prompt_by, key=_prompt_by
        )


def _prompt_by(waiter: Waiter) -> float:
    return waiter.prompt_by


def _start_by(waiter: Waiter) -> float:
    return waiter.start_by
