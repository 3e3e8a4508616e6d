"""Clocks: boot time for leases and a hybrid logical clock for events."""

import time

NANOSECONDS_PER_MICROSECOND = 1_000


def boottime() -> float:
    """Returns the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Returns the wall-clock time, in seconds since the Unix epoch."""
    return time.time()


class HybridClock:
    """A hybrid logical clock with microsecond resolution.

    Each reading is at least the wall-clock time and greater than all earlier
    local readings and all readings received from peers. An effect therefore has
    a later time stamp than its cause, even if they occur on different VMs.
    """

    def __init__(self):
        self._last = 0

    def now(self) -> int:
        """Returns the next reading, in microseconds since the Unix epoch."""
        wall_time = time.time_ns() // NANOSECONDS_PER_MICROSECOND
        self._last = max(self._last + 1, wall_time)
        return self._last

    def observe(self, remote: int) -> None:
        """Advances the clock to at least a reading received from a peer.

        Args:
            remote: The reading, in microseconds since the Unix epoch.
        """
        if remote > self._last:
            self._last = remote


hybrid_clock = HybridClock()
"""The hybrid logical clock that all modules of this process share."""
