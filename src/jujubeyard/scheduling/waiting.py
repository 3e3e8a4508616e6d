"""Decides which calls wait for room at targets, and in which order they go.

A queue belongs to a service, or to the owner of keys. More urgent calls go
first; among equally urgent ones, those that can still meet their latency
objective go before those that can't, and the one that loses its time first goes
first. A route that gets less than its guaranteed share goes before all others.
A call that won't get room in time is refused as soon as that is known.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import math

from jujubeyard.routing import config
from jujubeyard.scheduling import shares

MAX_WAITING_CALLS = 128
"""Calls that may wait in one queue."""

MAX_WAIT_SHARE = 0.5
"""Share of a call's time after which it no longer waits, so that a refused
caller has time for a retry."""

WORK_MARGIN = 2.0
"""Multiple of the usual work that must be left when a call gets room."""

ROOM_HALF_LIFE_SECONDS = 2.0
"""Age at which freed room has half its weight in the expected rate."""

MIN_PRIOR_ROOM_PER_SECOND = 10.0
"""Least rate of room that is expected before calls have waited."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0


class Reason(enum.Enum):
    """Why a call may not wait (any longer)."""

    TOO_LATE = "too late"
    DISPLACED = "displaced"
    FULL = "full"
    SHUTDOWN = "shutdown"


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


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that is refused.

    Attributes:
        waiter: The call.
        reason: Why it is refused.
        retry_after: When room for it is expected, in seconds.
    """

    waiter: Waiter
    reason: Reason
    retry_after: float


def find_priorities(cfg: config.Configuration) -> dict[str, list[int]]:
    """Returns the priorities of each service's routes, most urgent first."""
    urgencies = collections.defaultdict(set)
    for route in cfg.routes:
        for share in route.shares:
            urgencies[share.service].add(route.urgency)
    return {service: sorted(found) for service, found in urgencies.items()}


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


class FreedRoom:
    """Rate at which waiting calls got room lately, by urgency.

    Only the time while calls wait counts: at other times unused room isn't
    seen.
    """

    def __init__(self):
        self._grants: collections.Counter[int] = collections.Counter()
        self._waited_seconds = 0.0
        self._updated_at = -math.inf

    def advance(self, now: float, is_waiting: bool) -> None:
        """Adds the time since the latest update.

        Args:
            now: Monotonic time, in seconds.
            is_waiting: Whether calls have waited since then.
        """
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        factor = 0.5 ** (elapsed / ROOM_HALF_LIFE_SECONDS)
        self._waited_seconds *= factor
        if is_waiting:
            self._waited_seconds += elapsed
        for urgency in self._grants:
            self._grants[urgency] *= factor

    def observe_grant(self, urgency: int) -> None:
        """Counts a waiting call that got room."""
        self._grants[urgency] += 1.0

    def rate(self, urgency: int, prior: float) -> float:
        """Returns the calls per second that aren't more urgent than a call.

        Args:
            urgency: Urgency of the call.
            prior: Rate expected before calls have waited, in calls per second;
                it counts as much as one call.
        """
        grants = sum(
            weight
            for granted, weight in self._grants.items()
            if granted >= urgency
        )
        return (grants + 1.0) / (self._waited_seconds + 1.0 / prior)


class _Lane:
    """Waiting calls of one route, those with the least time left first."""

    def __init__(self):
        self.prompt: list[Waiter] = []
        self.late: list[Waiter] = []

    def add(self, waiter: Waiter) -> None:
        bisect.insort(self.prompt, waiter, key=lambda other: other.prompt_by)

    def remove(self, waiter: Waiter) -> bool:
        for waiters in (self.prompt, self.late):
            if waiter in waiters:
                waiters.remove(waiter)
                return True
        return False

    def update(self, now: float) -> None:
        """Moves calls that can't meet their objective any more."""
        while self.prompt and self.prompt[0].prompt_by < now:
            bisect.insort(
                self.late,
                self.prompt.pop(0),
                key=lambda other: other.start_by,
            )

    def head(self) -> Waiter:
        return (self.prompt or self.late)[0]

    def __len__(self) -> int:
        return len(self.prompt) + len(self.late)


class WaitingQueue:
    """Calls that wait for room at a service or at an owner of keys."""

    def __init__(
        self, route_shares: shares.RouteShares, limit: int = MAX_WAITING_CALLS
    ):
        """Creates an empty queue.

        Args:
            route_shares: Calls of the service's routes that got room.
            limit: Number of calls that may wait.
        """
        self._shares = route_shares
        self._limit = limit
        self._lanes: dict[str, _Lane] = {}
        self._owed: frozenset[str] = frozenset()
        self._prior_rate = MIN_PRIOR_ROOM_PER_SECOND
        self._room = FreedRoom()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def turns(self, now: float) -> list[Waiter]:
        """Returns the first call of each route, in the order of their turns.

        Args:
            now: Monotonic time, in seconds.
        """
        self._update(now)
        heads = [lane.head() for lane in self._lanes.values()]
        return sorted(heads, key=lambda head: self._order(head, now))

    def is_owed(self, route: str) -> bool:
        """Returns whether a route has got less than its guaranteed share."""
        return route in self._owed

    def goes_first(self, waiter: Waiter, now: float) -> bool:
        """Returns whether a call that arrives would be the first to go."""
        turns = self.turns(now)
        return not turns or self._order(waiter, now) < self._order(
            turns[0], now
        )

    def ahead_by_route(self, waiter: Waiter, now: float) -> dict[str, int]:
        """Returns how many calls of each route go before a call.

        Args:
            waiter: The call, whether it waits already or not.
            now: Monotonic time, in seconds.
        """
        order = self._order(waiter, now)
        return collections.Counter(
            other.route
            for other in self._waiters()
            if self._order(other, now) < order
        )

    def join(
        self, waiter: Waiter, now: float, is_full: bool = False
    ) -> list[Refusal]:
        """Adds a call, unless it can't get room in time.

        Args:
            waiter: The call.
            now: Monotonic time, in seconds.
            is_full: Whether no further call may wait in any queue.

        Returns:
            The calls that are refused because of it, perhaps itself.
        """
        self._update(now)
        seconds = self._expected_seconds(waiter, now)
        if now + seconds > waiter.start_by:
            return [_refuse(waiter, Reason.TOO_LATE, seconds)]
        self._lanes.setdefault(waiter.route, _Lane()).add(waiter)
        self._size += 1
        if not is_full and self._size <= self._limit:
            return []
        victim = self._least_important(now)
        seconds = self._expected_seconds(victim, now)
        self.leave(victim, now)
        reason = Reason.FULL if victim is waiter else Reason.DISPLACED
        return [_refuse(victim, reason, seconds)]

    def leave(self, waiter: Waiter, now: float) -> None:
        """Removes a call that doesn't wait any more, if it is queued.

        Args:
            waiter: The call.
            now: Monotonic time, in seconds.
        """
        self._update(now)
        lane = self._lanes.get(waiter.route)
        if lane is None or not lane.remove(waiter):
            return
        self._size -= 1
        if not lane:
            del self._lanes[waiter.route]

    def grant(self, waiter: Waiter, now: float) -> None:
        """Records that a call got room, and removes it if it has waited.

        Args:
            waiter: The call.
            now: Monotonic time, in seconds.
        """
        self._update(now)
        self._shares.observe_served(waiter.route, now)
        if self._size:
            self._room.observe_grant(waiter.urgency)
        self.leave(waiter, now)

    def take_hopeless(self, now: float) -> list[Refusal]:
        """Removes and returns the calls that won't get room in time.

        Args:
            now: Monotonic time, in seconds.
        """
        self._update(now)
        refusals = []
        ahead: collections.Counter[int] = collections.Counter()
        ordered = sorted(
            self._waiters(), key=lambda waiter: self._order(waiter, now)
        )
        for waiter in ordered:
            seconds = self._seconds_behind(ahead, waiter)
            if now + seconds > waiter.start_by:
                refusals.append(_refuse(waiter, Reason.TOO_LATE, seconds))
            else:
                ahead[waiter.urgency] += 1
        for refusal in refusals:
            self.leave(refusal.waiter, now)
        return refusals

    def take_all(self, now: float) -> list[Refusal]:
        """Removes and returns all calls, because the process ends."""
        waiters = list(self._waiters())
        for waiter in waiters:
            self.leave(waiter, now)
        return [_refuse(waiter, Reason.SHUTDOWN, 0.0) for waiter in waiters]

    def _waiters(self) -> collections.abc.Iterator[Waiter]:
        for lane in self._lanes.values():
            yield from lane.prompt
            yield from lane.late

    def _update(self, now: float) -> None:
        """Updates what depends on the time."""
        self._room.advance(now, self._size > 0)
        self._owed = self._shares.owed_routes(now)
        self._prior_rate = max(
            MIN_PRIOR_ROOM_PER_SECOND, self._shares.served_per_second()
        )
        for lane in self._lanes.values():
            lane.update(now)

    def _order(self, waiter: Waiter, now: float) -> tuple:
        """Returns a key that sorts calls in the order of their turns."""
        is_late = waiter.prompt_by < now
        return (
            waiter.route not in self._owed,
            waiter.urgency,
            is_late,
            waiter.start_by if is_late else waiter.prompt_by,
        )

    def _expected_seconds(self, waiter: Waiter, now: float) -> float:
        """Returns how long a call is expected to wait, in seconds."""
        order = self._order(waiter, now)
        ahead = collections.Counter(
            other.urgency
            for other in self._waiters()
            if self._order(other, now) < order
        )
        return self._seconds_behind(ahead, waiter)

    def _seconds_behind(
        self, ahead: collections.Counter[int], waiter: Waiter
    ) -> float:
        """Returns the time until a call behind others gets room, in seconds.

        Args:
            ahead: Number of calls before it, by urgency.
            waiter: The call; if its route is owed room, any room is for it.
        """
        urgency = 0 if waiter.route in self._owed else waiter.urgency
        return 1.0 / self._room.rate(urgency, self._prior_rate) + sum(
            count / self._room.rate(min(other, urgency), self._prior_rate)
            for other, count in ahead.items()
        )

    def _least_important(self, now: float) -> Waiter:
        """Returns the call that is refused first if too many wait.

        It is the last of the least urgent ones, preferably of an origin that
        has more than an equal share of the places. The only call of a route
        that is owed room stays.
        """
        counts = collections.Counter(
            waiter.origin for waiter in self._waiters()
        )
        equal_share = self._size / len(counts)
        return max(
            self._waiters(),
            key=lambda waiter: (
                not self._keeps_place(waiter),
                waiter.urgency,
                counts[waiter.origin] > equal_share,
                self._order(waiter, now),
            ),
        )

    def _keeps_place(self, waiter: Waiter) -> bool:
        """Returns whether a call is the only one of a route that is owed."""
        return (
            waiter.route in self._owed and len(self._lanes[waiter.route]) == 1
        )


def _refuse(waiter: Waiter, reason: Reason, seconds: float) -> Refusal:
    retry_after = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return Refusal(waiter, reason, retry_after)
