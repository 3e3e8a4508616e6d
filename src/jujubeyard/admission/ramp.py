"""Concurrency limit of a target, with a slow start when it is cold."""

SUCCESSES_PER_STEP = 4
"""Successful calls per slot of the limit before the limit rises by one."""

SLOW_FACTOR = 6.0
"""A call is slow if it takes more than this many times the mean latency."""

SLOW_STREAK = 3
"""Consecutive slow calls after which a warm target counts as cold."""

LATENCY_WEIGHT = 0.1
"""Weight of one call in the moving average of a target's latency."""

MIN_LATENCY_SECONDS = 0.002
"""Lower bound on the mean latency that slow calls are compared with."""


class ConcurrencyRamp:
    """The limit on concurrent calls at one target.

    A target counts as cold when its gate starts to use it, and again after a
    reset connection, a change of its incarnation, a refusal because it is
    cold, or several consecutive slow calls. The limit of a cold target rises
    step by step with successful calls, up to all its slots.

    Attributes:
        limit: Maximum number of concurrent calls.
    """

    def __init__(self, cold_slots: int, slots: int, warm_calls: int):
        """Creates the limit of a cold target.

        Args:
            cold_slots: Concurrent calls that a cold target supports.
            slots: Concurrent calls that a warm target supports.
            warm_calls: Calls that a cold target must answer before its limit
                can rise.
        """
        self.limit = cold_slots
        self._cold_slots = cold_slots
        self._warm_calls = warm_calls
        self._cold_answers = 0
        self._slots = slots
        self._step_successes = 0
        self._mean_latency: float | None = None
        self._slow_streak = 0
        self._incarnation: str | None = None

    @property
    def is_warm(self) -> bool:
        """Whether the limit has reached the slots of a warm target."""
        return self.limit >= self._slots

    @property
    def mean_latency(self) -> float | None:
        """Moving average of the latency in seconds, None without data."""
        return self._mean_latency

    def configure(self, cold_slots: int, slots: int, warm_calls: int) -> None:
        """Applies a changed configuration; a warm target stays warm.

        Args:
            cold_slots: Concurrent calls that a cold target supports.
            slots: Concurrent calls that a warm target supports.
            warm_calls: Calls that a cold target must answer before its limit
                can rise.
        """
        was_warm = self.is_warm
        self._warm_calls = warm_calls
        self._cold_slots = cold_slots
        self._slots = slots
        self.limit = slots if was_warm else min(self.limit, slots)

    def reset(self) -> None:
        """Resets the limit and the latency statistics to a cold start."""
        self.limit = self._cold_slots
        self._cold_answers = 0
        self._step_successes = 0
        self._slow_streak = 0
        self._mean_latency = None

    def restore(self, limit: int, incarnation: str) -> None:
        """Restores the limit that another gate has reached.

        Args:
            limit: Limit of the other gate; 0 if it is unknown.
            incarnation: Incarnation of the target that the limit applies to;
                any other incarnation counts as cold.
        """
        self.reset()
        if incarnation and limit > self._cold_slots:
            self._incarnation = incarnation
            self.limit = min(limit, self._slots)
            self._cold_answers = self._warm_calls

    def observe_incarnation(self, incarnation: str) -> bool:
        """Records the incarnation that a target reports.

        Args:
            incarnation: The incarnation in a reply of the target.

        Returns:
            Whether the incarnation has changed, so that the target counts as
            cold.
        """
        previous = self._incarnation
        self._incarnation = incarnation
        if previous in (None, incarnation):
            return False
        self.reset()
        return True

    def observe_success(self, seconds: float) -> bool:
        """Records an answered call.

        Args:
            seconds: Latency of the call.

        Returns:
            Whether the target now counts as cold because of slow calls.
        """
        if self._is_slow(seconds):
            self._slow_streak += 1
            if self._slow_streak >= SLOW_STREAK and self.is_warm:
                self.reset()
                return True
            return False
        self._slow_streak = 0
        self._update_mean_latency(seconds)
        self._raise_limit()
        return False

    def observe_cancelled(self, seconds: float) -> None:
        """Records a call that another target answered first.

        Args:
            seconds: Time until the call was cancelled, which is a lower bound
                of its latency.
        """
        if self._mean_latency is not None and seconds > self._mean_latency:
            self._update_mean_latency(seconds)

    def _is_slow(self, seconds: float) -> bool:
        if self._mean_latency is None:
            return False
        baseline = max(self._mean_latency, MIN_LATENCY_SECONDS)
        return seconds > SLOW_FACTOR * baseline

    def _update_mean_latency(self, seconds: float) -> None:
        if self._mean_latency is None:
            self._mean_latency = seconds
        self._mean_latency += LATENCY_WEIGHT * (seconds - self._mean_latency)

    def _raise_limit(self) -> None:
        if self.is_warm:
            return
        self._cold_answers += 1
        if self._cold_answers <= self._warm_calls:
            return
        self._step_successes += 1
        if self._step_successes >= SUCCESSES_PER_STEP * self.limit:
            self._step_successes = 0
            self.limit += 1
