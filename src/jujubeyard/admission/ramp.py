"""Limits how many calls run at a target: slots, and a ramp from cold."""

SUCCESSES_PER_STEP = 4
"""Successes, per slot in use, after which a warming target gets one more."""

SLOW_FACTOR = 6.0
"""A warm target whose calls take this many times its usual time is cold."""

SLOW_STREAK = 3
"""Calls in a row that have to be slow."""

LATENCY_WEIGHT = 0.1
"""Weight of one call in the moving average of a target's latency."""

MIN_LATENCY_SECONDS = 0.002
"""Latencies below this are not compared."""


class ConcurrencyRamp:
    """The limit on calls in flight at one target.

    A target counts as cold when its gate starts to use it and whenever there
    is a sign that it turned cold: a reset connection, another incarnation, a
    refusal because it is cold, or several calls that take much longer than
    usual.

    Attributes:
        limit: Calls that may run at once.
    """

    def __init__(self, cold_slots: int, slots: int, warm_calls: int):
        """Creates the limit of a cold target.

        Args:
            cold_slots: Calls that a cold target runs at once.
            slots: Calls that a warm target runs at once.
            warm_calls: Calls that a cold target answers before it bears more.
        """
        self.limit = cold_slots
        self._cold_slots = cold_slots
        self._warm_calls = warm_calls
        self._answered = 0
        self._slots = slots
        self._successes = 0
        self._usual: float | None = None
        self._slow = 0
        self._incarnation: str | None = None

    @property
    def is_warm(self) -> bool:
        """Whether the target takes all its slots."""
        return self.limit >= self._slots

    @property
    def mean_latency(self) -> float | None:
        """Moving average of the target's latency, or None."""
        return self._usual

    def configure(self, cold_slots: int, slots: int, warm_calls: int) -> None:
        """Changes what the target bears."""
        was_warm = self.is_warm
        self._warm_calls = warm_calls
        self._cold_slots = cold_slots
        self._slots = slots
        self.limit = slots if was_warm else min(self.limit, slots)

    def reset(self) -> None:
        """Treats the target as cold from now on."""
        self.limit = self._cold_slots
        self._answered = 0
        self._successes = 0
        self._slow = 0
        self._usual = None

    def restore(self, limit: int, incarnation: str) -> None:
        """Takes over what another gate has found a target to bear.

        Args:
            limit: Its limit; 0 if nothing is known.
            incarnation: The incarnation that bore it; another one is cold.
        """
        self.reset()
        if incarnation and limit > self._cold_slots:
            self._incarnation = incarnation
            self.limit = min(limit, self._slots)
            self._answered = self._warm_calls

    def observe_incarnation(self, incarnation: str) -> bool:
        """Notes the incarnation that a target reports.

        Returns:
            Whether the target was restarted without a word.
        """
        known = self._incarnation
        self._incarnation = incarnation
        if known in (None, incarnation):
            return False
        self.reset()
        return True

    def observe_success(self, seconds: float) -> bool:
        """Notes an answered call.

        Returns:
            Whether the target turned out to be cold.
        """
        if self._is_slow(seconds):
            self._slow += 1
            if self._slow >= SLOW_STREAK and self.is_warm:
                self.reset()
                return True
            return False
        self._slow = 0
        self._learn(seconds)
        self._climb()
        return False

    def observe_cancelled(self, seconds: float) -> None:
        """Notes a call that another target answered first.

        Args:
            seconds: How long it ran; it would have taken longer.
        """
        if self._usual is not None and seconds > self._usual:
            self._learn(seconds)

    def _is_slow(self, seconds: float) -> bool:
        if self._usual is None:
            return False
        usual = max(self._usual, MIN_LATENCY_SECONDS)
        return seconds > SLOW_FACTOR * usual

    def _learn(self, seconds: float) -> None:
        if self._usual is None:
            self._usual = seconds
        self._usual += LATENCY_WEIGHT * (seconds - self._usual)

    def _climb(self) -> None:
        if self.is_warm:
            return
        self._answered += 1
        if self._answered <= self._warm_calls:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP * self.limit:
            self._successes = 0
            self.limit += 1
