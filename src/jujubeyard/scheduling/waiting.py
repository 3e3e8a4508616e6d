"""Decides which calls wait for room at targets, and in which order they go.

A queue belongs to a service, or to the owner of keys. More urgent calls go
first; among equally urgent ones, those that can still meet their latency
objective go before those that can't, and the one that loses its time first goes
first. A route that gets less than its guaranteed share goes before all others.
A call that won't get room in time is refused as soon as that is known; the one
that goes first waits until its latest start, unless calls have waited in vain
for long.
"""

import collections
import collections.abc
import dataclasses
import enum

from jujubeyard.routing import config
from jujubeyard.scheduling import freed_room
from jujubeyard.scheduling import lanes
from jujubeyard.scheduling import shares

MAX_WAITING_CALLS = 128
"""Calls that may wait in one queue."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that is refused.

    Attributes:
        waiter: The call.
        reason: Why it is refused.
        retry_after: When room for it is expected, in seconds.
    """

    waiter: lanes.Waiter
    reason: Reason
    retry_after: float


def find_priorities(cfg: config.Configuration) -> dict[str, list[int]]:
    """Returns the priorities of each service's routes, most urgent first."""
    urgencies = collections.defaultdict(set)
    for route in cfg.routes:
        for share in route.shares:
            urgencies[share.service].add(route.urgency)
    return {service: sorted(found) for service, found in urgencies.items()}


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
        self._lanes: dict[str, lanes.Lane] = {}
        self._origins: collections.Counter[str] = collections.Counter()
        self._owed: frozenset[str] = frozenset()
        self._prior_rate = MIN_PRIOR_ROOM_PER_SECOND
        self._room = freed_room.FreedRoom()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def turns(self, now: float) -> list[lanes.Waiter]:
        """Returns the first call of each route, in the order of their turns.

        Args:
            now: Monotonic time, in seconds.
        """
        self._update(now)
        heads = [lane.head() for lane in self._lanes.values()]
        return sorted(heads, key=lambda head: self._order(head, now))

    def goes_first(self, waiter: lanes.Waiter, now: float) -> bool:
        """Returns whether a call that arrives would be the first to go."""
        turns = self.turns(now)
        return not turns or self._order(waiter, now) < self._order(
            turns[0], now
        )

    def ahead_by_route(
        self, waiter: lanes.Waiter, now: float
    ) -> dict[str, int]:
        """Returns how many calls of each route go before a call.

        Args:
            waiter: The call, whether it waits already or not.
            now: Monotonic time, in seconds.
        """
        return {
            lane.route: count
            for lane, count in self._count_ahead(waiter, now)
            if count
        }

    def join(self, waiter: lanes.Waiter, now: float) -> list[Refusal]:
        """Adds a call, unless it can't get room in time.

        Args:
            waiter: The call.
            now: Monotonic time, in seconds.

        Returns:
            The calls that are refused because of it, perhaps itself.
        """
        self._update(now)
        ahead = self._ahead(waiter, now)
        if self._is_hopeless(ahead, waiter, now):
            seconds = self._expected_seconds(ahead, waiter)
            return [_refuse(waiter, Reason.TOO_LATE, seconds)]
        self._add(waiter)
        if self._size <= self._limit:
            return []
        return [self.displace(waiter, now)]

    def displace(self, joined: lanes.Waiter, now: float) -> Refusal:
        """Removes and returns the call that gives way as too many wait.

        Args:
            joined: The call that joined last, in this queue or another one.
            now: Monotonic time, in seconds.
        """
        self._update(now)
        victim = self._least_important(now)
        seconds = self._expected_seconds(self._ahead(victim, now), victim)
        self.leave(victim, now)
        reason = Reason.FULL if victim is joined else Reason.DISPLACED
        return _refuse(victim, reason, seconds)

    def expendability(self) -> tuple[bool, int]:
        """Returns a key that is highest for the queues that give way first.

        Calls must wait in the queue.
        """
        return max(map(self._expendability, self._lanes.values()))

    def leave(self, waiter: lanes.Waiter, now: float) -> None:
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
        if not self._size:
            self._room.observe_empty()
        self._origins[waiter.origin] -= 1
        if not self._origins[waiter.origin]:
            del self._origins[waiter.origin]
        if not lane:
            del self._lanes[waiter.route]

    def grant(self, waiter: lanes.Waiter, now: float) -> None:
        """Records that a call got room, and removes it if it has waited.

        Args:
            waiter: The call.
            now: Monotonic time, in seconds.
        """
        self._update(now)
        self._shares.observe_served(waiter.route)
        if self._size:
            self._room.observe_grant(waiter.urgency)
        else:
            self._room.observe_room()
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
            if self._is_hopeless(ahead, waiter, now):
                seconds = self._expected_seconds(ahead, waiter)
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

    def _add(self, waiter: lanes.Waiter) -> None:
        lane = self._lanes.get(waiter.route)
        if lane is None:
            lane = lanes.Lane(waiter.route, waiter.urgency)
            self._lanes[waiter.route] = lane
        lane.add(waiter)
        self._size += 1
        self._origins[waiter.origin] += 1

    def _waiters(self) -> collections.abc.Iterator[lanes.Waiter]:
        for lane in self._lanes.values():
            yield from lane.waiters()

    def _update(self, now: float) -> None:
        """Updates what depends on the time."""
        self._room.advance(now, self._size > 0)
        self._owed = self._shares.owed_routes(now)
        self._prior_rate = max(
            MIN_PRIOR_ROOM_PER_SECOND, self._shares.served_per_second()
        )
        for lane in self._lanes.values():
            lane.update(now)

    def _count_ahead(
        self, waiter: lanes.Waiter, now: float
    ) -> collections.abc.Iterator[tuple[lanes.Lane, int]]:
        """Yields each lane with the number of its calls before a call."""
        own = self._lane_order(waiter.route, waiter.urgency)
        for lane in self._lanes.values():
            order = self._lane_order(lane.route, lane.urgency)
            if order < own:
                yield lane, len(lane)
            elif order == own:
                yield lane, lane.count_before(waiter, now)

    def _lane_order(self, route: str, urgency: int) -> tuple[bool, int]:
        """Returns a key that sorts routes in the order of their turns."""
        return route not in self._owed, urgency

    def _order(self, waiter: lanes.Waiter, now: float) -> tuple:
        """Returns a key that sorts calls in the order of their turns."""
        is_late = waiter.prompt_by < now
        return (
            *self._lane_order(waiter.route, waiter.urgency),
            is_late,
            waiter.start_by if is_late else waiter.prompt_by,
        )

    def _ahead(
        self, waiter: lanes.Waiter, now: float
    ) -> collections.Counter[int]:
        """Returns the number of calls before a call, by urgency."""
        ahead: collections.Counter[int] = collections.Counter()
        for lane, count in self._count_ahead(waiter, now):
            ahead[lane.urgency] += count
        return ahead

    def _is_hopeless(
        self,
        ahead: collections.Counter[int],
        waiter: lanes.Waiter,
        now: float,
    ) -> bool:
        """Returns whether a call behind others won't get room in time."""
        if self._room.is_dry():
            return now + self._expected_seconds(ahead, waiter) > waiter.start_by
        return now + self._seconds_behind(ahead, waiter) > waiter.start_by

    def _expected_seconds(
        self, ahead: collections.Counter[int], waiter: lanes.Waiter
    ) -> float:
        """Returns the time until a call is expected to get room, in seconds.

        Args:
            ahead: Number of calls before it, by urgency.
            waiter: The call.
        """
        urgency = self._effective_urgency(waiter)
        return self._seconds_behind(ahead, waiter) + 1.0 / self._room.rate(
            urgency, self._prior_rate
        )

    def _seconds_behind(
        self, ahead: collections.Counter[int], waiter: lanes.Waiter
    ) -> float:
        """Returns the time until a call will be the first, in seconds.

        Args:
            ahead: Number of calls before it, by urgency.
            waiter: The call.
        """
        urgency = self._effective_urgency(waiter)
        return sum(
            count / self._room.rate(min(other, urgency), self._prior_rate)
            for other, count in ahead.items()
        )

    def _effective_urgency(self, waiter: lanes.Waiter) -> int:
        """Returns a call's priority; any room is for a route that is owed."""
        return 0 if waiter.route in self._owed else waiter.urgency

    def _least_important(self, now: float) -> lanes.Waiter:
        """Returns the call that is refused first if too many wait.

        It is the last of the least urgent ones, preferably of an origin that
        has more than an equal share of the places. The only call of a route
        that is owed room stays.
        """
        worst = self.expendability()
        expendable = [
            lane
            for lane in self._lanes.values()
            if self._expendability(lane) == worst
        ]
        candidates = self._repeated(expendable)
        if not candidates:
            candidates = [lane.last() for lane in expendable]
        return max(candidates, key=lambda waiter: self._order(waiter, now))

    def _repeated(
        self, expendable: collections.abc.Iterable[lanes.Lane]
    ) -> list[lanes.Waiter]:
        """Returns calls of origins with more than an equal share of places."""
        if len(self._origins) == self._size:
            return []
        equal_share = self._size / len(self._origins)
        return [
            waiter
            for lane in expendable
            for waiter in lane.waiters()
            if self._origins[waiter.origin] > equal_share
        ]

    def _expendability(self, lane: lanes.Lane) -> tuple[bool, int]:
        """Returns a key that is highest for the routes that give way first.

        The only call of a route that is owed room gives way last.
        """
        keeps_place = lane.route in self._owed and len(lane) == 1
        return not keeps_place, lane.urgency


def _refuse(waiter: lanes.Waiter, reason: Reason, seconds: float) -> Refusal:
    retry_after = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return Refusal(waiter, reason, retry_after)
