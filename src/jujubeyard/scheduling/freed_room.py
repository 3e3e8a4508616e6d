"""Learns how fast waiting calls get room."""

import collections
import math

ROOM_HALF_LIFE_SECONDS = 2.0
"""Age at which freed room has half its weight in the expected rate."""

MAX_WAIT_WITHOUT_ROOM_SECONDS = 5.0
"""Time that calls wait without any room from which on none is expected."""


class FreedRoom:
    """Rate at which waiting calls got room lately, by urgency.

    Only the time while calls wait counts: at other times unused room isn't
    seen. The time since the latest grant counts only until no call waits any
    more, unless it is so long that no room is expected.
    """

    def __init__(self):
        self._grants: collections.Counter[int] = collections.Counter()
        self._waited_seconds = 0.0
        self._pending_seconds = 0.0
        self._dry_seconds = 0.0
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
        self._pending_seconds *= factor
        if is_waiting:
            self._pending_seconds += elapsed
            self._dry_seconds += elapsed
        else:
            self._dry_seconds *= factor
        for urgency in self._grants:
            self._grants[urgency] *= factor

    def observe_grant(self, urgency: int) -> None:
        """Counts a call that got room while calls waited."""
        self.observe_room()
        self._grants[urgency] += 1.0

    def observe_room(self) -> None:
        """Records that there was room for a call, whether calls wait or not."""
        self._waited_seconds += self._pending_seconds
        self._pending_seconds = 0.0
        self._dry_seconds = 0.0

    def observe_empty(self) -> None:
        """Records that no call waits any more."""
        if not self.is_dry():
            self._pending_seconds = 0.0

    def is_dry(self) -> bool:
        """Returns whether calls have waited so long that none expects room."""
        return self._dry_seconds >= MAX_WAIT_WITHOUT_ROOM_SECONDS

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
        seconds = self._waited_seconds + self._pending_seconds
        return (grants + 1.0) / (seconds + 1.0 / prior)
