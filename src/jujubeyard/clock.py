"""Clocks: boot time for leases, a hybrid logical clock for ordering."""

import time

NANOSECONDS_PER_MICROSECOND = 1_000


def boottime() -> float:
    """Returns seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Returns seconds since the Unix epoch."""
    return time.time()


class HybridClock:
    """A hybrid logical clock with microsecond resolution.

    A reading is at least the wall clock and greater than every earlier local
    reading and every reading received from a peer, so that an effect is always
    stamped later than its cause, on any VM.
    """

    def __init__(self):
        self._last = 0

    def now(self) -> int:
        """Returns the next reading, in microseconds since the Unix epoch."""
        physical = time.time_ns() // NANOSECONDS_PER_MICROSECOND
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, remote: int) -> None:
        """Advances the clock to a reading received from a peer."""
        if remote > self._last:
            self._last = remote


hybrid_clock = HybridClock()
"""The clock of this process."""
