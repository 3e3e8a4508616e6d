"""Paces the calls that nodes send to a target whose queue is limited.

Each node sees only its own calls and load reports that are up to a second old.
Nodes that sent or refused by the latest report would all do the same at the
same time, and the queue would swing between empty and overfull. Instead, each
node admits a share of its calls and steers it by the reported queue with a
proportional-integral controller, as PIE does for packets (RFC 8033). The same
reports lead to the same share on all nodes, without coordination.
"""

import dataclasses
import math

MIN_RESPONSE_SECONDS = 0.4
"""Shortest response time: the excess delay at which the proportional part
divides the share by e."""

MAX_RESPONSE_SECONDS = 8.0
RESPONSE_PER_LAG = 2.2
"""Ratio of the response time to the lag of reports. With a shorter response the
share swings."""

INTEGRAL_SECONDS = 1.5
"""Time after which the integral part of a constant excess is as large as its
proportional part."""

LEAK_SECONDS = 20.0
"""Time in which the integral decays. Nodes whose estimates differ a little
would otherwise drive each other's shares to the limits."""

MIN_STEP_SECONDS = 1.0
"""Time that a report is integrated over after a silence, unless reports are
usually further apart."""

MAX_RELATIVE_QUEUE = 4.0
"""Longest reported queue that counts, relative to the level aimed for."""

MIN_SHARE = 0.02
"""Share that is always admitted, so that reports keep coming."""

MAX_EXPONENT = -math.log(MIN_SHARE)

LAG_SMOOTHING = 0.5
MAX_LAG_SECONDS = 10.0
SILENCE_SECONDS = 1.0
"""Shortest time without reports after which the share begins to recover, and
the time in which its exponent halves from then on."""

SILENCE_LAGS = 2.0
"""That time, relative to the usual time between reports, if it is longer."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLevel:
    """The queue at a target that nodes aim for.

    Attributes:
        waiting: Number of waiting calls.
        seconds_per_call: Time in which the target ends one call.
    """

    waiting: float
    seconds_per_call: float


@dataclasses.dataclass(slots=True)
class ShareController:
    """Steers the share of calls that a node sends to a target.

    Attributes:
        level: Queue to aim for; None while the queue isn't limited.
        integral: Accumulated excess.
        exponent: Negative logarithm of the share at the latest report.
        lag_seconds: Smoothed lag of reports: their age when they come, or the
            time between them if that is longer.
        reported_at: When the latest report was made, in monotonic seconds.
    """

    level: QueueLevel | None = None
    integral: float = 0.0
    exponent: float = 0.0
    lag_seconds: float = 0.0
    reported_at: float = 0.0

    def set_level(self, level: QueueLevel | None, waiting: float) -> None:
        """Sets the queue to aim for.

        Args:
            level: The queue; None if calls aren't to be paced.
            waiting: Latest reported number of waiting calls. It counts if no
                queue was aimed for yet: a node's first calls for a target
                come together with those of others.
        """
        was_paced = self.level is not None
        self.level = level
        if level is None:
            self.integral = self.exponent = 0.0
        elif not was_paced:
            self._set_exponent(self._proportional(waiting))

    def observe_queue(
        self, waiting: float, reported_at: float, now: float
    ) -> None:
        """Adjusts the share to a reported queue.

        Args:
            waiting: Number of waiting calls.
            reported_at: When it was reported, in monotonic seconds.
            now: When the report came here, in monotonic seconds.
        """
        elapsed = reported_at - self.reported_at
        if elapsed <= 0.0:
            return
        remaining = self._remaining(reported_at)
        is_first = not self.reported_at
        self.reported_at = reported_at
        if is_first:
            return
        lag = min(max(elapsed, now - reported_at), MAX_LAG_SECONDS)
        self.lag_seconds += LAG_SMOOTHING * (lag - self.lag_seconds)
        if self.level is None:
            return
        proportional = self._proportional(waiting)
        step = min(elapsed, max(MIN_STEP_SECONDS, self.lag_seconds))
        self.integral *= remaining * math.exp(-step / LEAK_SECONDS)
        self.integral += proportional * step / INTEGRAL_SECONDS
        self.integral = min(max(self.integral, 0.0), MAX_EXPONENT)
        self._set_exponent(proportional + self.integral)

    def _proportional(self, waiting: float) -> float:
        """Returns the proportional part of the exponent."""
        response = min(
            max(MIN_RESPONSE_SECONDS, RESPONSE_PER_LAG * self.lag_seconds),
            MAX_RESPONSE_SECONDS,
        )
        counted = min(waiting, MAX_RELATIVE_QUEUE * self.level.waiting)
        excess = (counted - self.level.waiting) * self.level.seconds_per_call
        return excess / response

    def _set_exponent(self, exponent: float) -> None:
        self.exponent = min(max(exponent, 0.0), MAX_EXPONENT)

    def share(self, now: float) -> float:
        """Returns the share of calls to send, above 0.0 and up to 1.0.

        Args:
            now: Monotonic time, in seconds.
        """
        if not self.exponent:
            return 1.0
        return math.exp(-self.exponent * self._remaining(now))

    def _remaining(self, now: float) -> float:
        """Returns the part of the exponent that is left without reports."""
        usual = max(SILENCE_SECONDS, SILENCE_LAGS * self.lag_seconds)
        silence = now - self.reported_at - usual
        return 0.5 ** (max(0.0, silence) / SILENCE_SECONDS)
