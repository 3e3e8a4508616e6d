"""Decides whether there is room for a call at targets with limited queues.

It acts only for services whose targets have shown how many calls can wait, by
refusing calls or by resetting connections.
"""

import collections.abc
import dataclasses
import random
import statistics

from jujubeyard.scheduling import capacity
from jujubeyard.scheduling import pacing
from jujubeyard.scheduling import thinning

LIMIT_SHARE = 0.4
"""Part of the limit that the queue is steered to. What nodes send until they
learn of a longer queue has to fit into the remainder."""

MIN_WAITING = 1.0
"""Shortest queue that calls are paced for."""

OBJECTIVE_SHARE = 0.25
"""Part of the longest permitted duration that calls may wait."""

UPDATE_SECONDS = 0.4
"""Time between two adjustments of the share of calls to all targets; as long as
reports take to spread."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PacedCall:
    """A call that looks for room.

    Attributes:
        service: Name of its service.
        rank: Number of priorities of the service's routes that are more urgent
            than the call's.
        is_new: Whether it looks for room for the first time.
        bound_seconds: How long calls to the service may take.
    """

    service: str
    rank: int
    is_new: bool
    bound_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a call is admitted, and why.

    Attributes:
        is_admitted: Whether there is room for the call.
        retry_seconds: When there will be, in seconds.
        share: Share of calls of its priority that is admitted.
        waiting: Reported number of waiting calls.
        limit: Number of calls that can wait; None if it isn't known.
        credit: What the call was taken from; None if it needed no credit.
    """

    is_admitted: bool
    retry_seconds: float = 0.0
    share: float = 1.0
    waiting: float = 0.0
    limit: float | None = None
    credit: thinning.Credit | None = None

    def give_back(self) -> None:
        """Returns the credit of an admitted call that isn't sent."""
        if self.credit is not None:
            self.credit.give_back()


ADMITTED = Decision(True)


class RoomKeeper:
    """Admits calls as far as there is room for them."""

    def __init__(self, rng: random.Random):
        """Creates a keeper for all services.

        Args:
            rng: Source of the nodes' different first decisions.
        """
        self._rng = rng
        self._mixes: dict[str, thinning.UrgencyMix] = {}
        self._pooled: dict[str, capacity.Capacity] = {}

    def observe_call(self, call: PacedCall) -> None:
        """Counts a call that looks for room for the first time."""
        self._mix(call.service).observe(call.rank)

    def admit_to_owner(
        self,
        call: PacedCall,
        room: capacity.Capacity,
        seconds_per_call: float,
        now: float,
    ) -> Decision:
        """Decides on a call that only one target may serve.

        Args:
            call: The call.
            room: What is known of the target's room.
            seconds_per_call: Time in which the target ends one call.
            now: Monotonic time, in seconds.
        """
        limit = room.limit.current(now)
        _set_level(room, limit, call, seconds_per_call)
        if limit is None:
            return ADMITTED
        return self._admit(call, room, limit, room.waiting, now)

    def admit_to_any(
        self,
        call: PacedCall,
        rooms: collections.abc.Sequence[capacity.Capacity],
        seconds_per_call: float,
        now: float,
    ) -> Decision:
        """Decides on a call that any of several targets may serve.

        Args:
            call: The call.
            rooms: What is known of the targets' room; at least one.
            seconds_per_call: Mean time in which a target ends one call.
            now: Monotonic time, in seconds.
        """
        limit = rooms[0].limit.current(now)
        if limit is None:
            self._pooled.pop(call.service, None)
            return ADMITTED
        pool = self._pooled.setdefault(call.service, capacity.Capacity())
        _set_level(pool, limit, call, seconds_per_call)
        if now - pool.waiting_at >= UPDATE_SECONDS:
            pool.waiting = statistics.fmean(
                room.recent_waiting(now) for room in rooms
            )
            pool.waiting_at = now
            pool.controller.observe_queue(pool.waiting, now, now)
        return self._admit(call, pool, limit, pool.waiting, now)

    def _admit(
        self,
        call: PacedCall,
        room: capacity.Capacity,
        limit: float,
        waiting: float,
        now: float,
    ) -> Decision:
        """Decides by the share of calls and by the credit that is left."""
        overall = room.controller.share(now)
        if overall >= 1.0:
            return ADMITTED
        share = self._mix(call.service).share(call.rank, overall)
        if room.credits is None:
            room.credits = thinning.Credits(self._rng)
        credit = room.credits.of(call.rank, now)
        if call.is_new:
            credit.earn(share, now)
        else:
            credit.earn_waiting(share, now)
        is_admitted = credit.spend()
        level = room.controller.level
        excess_seconds = (waiting - level.waiting) * level.seconds_per_call
        retry_seconds = max(excess_seconds, credit.seconds_until_call(share))
        return Decision(
            is_admitted,
            min(max(retry_seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
            share,
            waiting,
            limit,
            credit if is_admitted else None,
        )

    def _mix(self, service: str) -> thinning.UrgencyMix:
        return self._mixes.setdefault(service, thinning.UrgencyMix())


def _set_level(
    room: capacity.Capacity,
    limit: float | None,
    call: PacedCall,
    seconds_per_call: float,
) -> None:
    """Sets the queue that is aimed for at a target."""
    if limit is None:
        room.controller.set_level(None, room.waiting)
        return
    by_objective = OBJECTIVE_SHARE * call.bound_seconds / seconds_per_call
    waiting = max(min(LIMIT_SHARE * limit, by_objective), MIN_WAITING)
    level = pacing.QueueLevel(waiting, seconds_per_call)
    room.controller.set_level(level, room.waiting)
