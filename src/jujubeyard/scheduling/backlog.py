"""Estimates the work that is left at a target, and when one more call ends.

Calls of this node count with their own estimated work, less what the target
has had time to process. Calls of other nodes count with the mean work of the
service; their number is told by the caller.
"""

import dataclasses

MIN_LEFT_SHARE = 0.3
"""Smallest work that is taken to be left of a call, as a share of its estimated
work or, if that is longer, of the time since it should have begun to run. The
longer a call has run beyond its estimate, the longer it is likely to run on."""

RUNNING_LEFT_SHARE = 0.6
"""Share of its work that is left of a running call of another node."""

SLOWNESS_HALF_LIFE_SECONDS = 0.2
"""Age at which a reported momentary slowness has half its weight."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 5.0
"""Bounds on a reported momentary slowness that is believed."""


@dataclasses.dataclass(eq=False, slots=True)
class PendingCall:
    """A call that a target hasn't answered yet.

    Attributes:
        seconds: Its expected processing time at the target.
        starts_at: When it is expected to begin to run, in monotonic seconds.
    """

    seconds: float
    starts_at: float

    def seconds_left(self, now: float) -> float:
        """Returns the expected processing time that is left.

        Args:
            now: Monotonic time, in seconds.
        """
        elapsed = max(0.0, now - self.starts_at)
        floor = MIN_LEFT_SHARE * max(self.seconds, elapsed)
        return max(self.seconds - elapsed, floor)


@dataclasses.dataclass(slots=True)
class OthersCalls:
    """Calls of other nodes at a target.

    Attributes:
        running: Estimated number of those that run.
        waiting: Estimated number of those that wait for a slot.
        seconds: Mean processing time of calls at the target.
    """

    running: float
    waiting: float
    seconds: float

    def seconds_left(self) -> float:
        """Returns the expected processing time that is left of all of them."""
        calls = RUNNING_LEFT_SHARE * self.running + self.waiting
        return calls * self.seconds


class Backlog:
    """The calls of this node that a target hasn't answered yet."""

    def __init__(self):
        self._pending: set[PendingCall] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, seconds: float, wait: float, now: float) -> PendingCall:
        """Adds a call that is being sent.

        Args:
            seconds: Its expected processing time at the target.
            wait: Its expected wait for a slot, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            The call, to be passed to `end()`.
        """
        pending = PendingCall(seconds, now + wait)
        self._pending.add(pending)
        return pending

    def end(self, pending: PendingCall) -> None:
        """Removes a call that has ended in any way."""
        self._pending.discard(pending)

    def expected_wait(
        self, slots: int, others: OthersCalls, now: float
    ) -> float:
        """Returns the expected wait of one more call for a slot, in seconds.

        Args:
            slots: Number of calls that the target runs at once.
            others: Calls of other nodes at the target.
            now: Monotonic time, in seconds.
        """
        calls = len(self._pending) + others.running + others.waiting
        to_end = calls + 1 - slots
        if to_end <= 0.0:
            return 0.0
        left = others.seconds_left()
        left += sum(pending.seconds_left(now) for pending in self._pending)
        return left / calls * to_end / max(slots, 1)


def momentary_slowness(slowness: float, age_seconds: float) -> float:
    """Returns the factor by which work is expected to take longer now.

    Args:
        slowness: The factor that the target reported.
        age_seconds: Age of the report.
    """
    believed = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
    weight = 0.5 ** (max(0.0, age_seconds) / SLOWNESS_HALF_LIFE_SECONDS)
    return 1.0 + weight * (believed - 1.0)
