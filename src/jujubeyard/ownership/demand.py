"""How much is asked for each key, and how fast targets serve.

Nodes count what they see and report it to the leader in datagrams. A report
that is lost costs a little precision and is not sent again.
"""

import collections
import dataclasses

from jujubeyard.node import protocol
from jujubeyard.ownership import table

BUCKET_KEYS = 64
"""Neighbouring keys that are counted together."""

BUCKETS = protocol.KEY_COUNT // BUCKET_KEYS
MAX_REPORTED_BUCKETS = 120
"""The busiest buckets of a report; a datagram stays below 1,400 bytes."""

MAX_REPORTED_TARGETS = 24
HALF_LIFE_SECONDS = 1.5
"""Age at which what was seen counts half."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a node saw of a service since its last report.

    Attributes:
        service: Name of the service.
        calls: Number of calls by bucket of keys.
        work: By target, the number of calls it ended and the sum of their
            times without waits, in seconds.
    """

    service: str
    calls: dict[int, int]
    work: dict[str, tuple[int, float]]


class Meter:
    """Counts what a node sees of one service."""

    def __init__(self, service: str):
        self._service = service
        self._calls: collections.Counter[int] = collections.Counter()
        self._work: dict[str, tuple[int, float]] = {}

    def count_call(self, key: int) -> None:
        """Counts a call for a key, served or not."""
        self._calls[key // BUCKET_KEYS] += 1

    def count_work(self, target_id: str, seconds: float) -> None:
        """Counts a call that a target served.

        Args:
            target_id: The target.
            seconds: Time of the call without its wait for a slot.
        """
        count, total = self._work.get(target_id, (0, 0.0))
        self._work[target_id] = (count + 1, total + seconds)

    def has_data(self) -> bool:
        """Returns whether anything was seen since the last report."""
        return bool(self._calls or self._work)

    def take(self) -> Report:
        """Returns what was seen since the last report."""
        calls = dict(self._calls.most_common(MAX_REPORTED_BUCKETS))
        busiest = sorted(self._work.items(), key=lambda item: -item[1][0])
        work = dict(busiest[:MAX_REPORTED_TARGETS])
        self._calls.clear()
        self._work.clear()
        return Report(self._service, calls, work)


class DemandEstimate:
    """What all nodes saw of one service, with age.

    Attributes:
        calls: Calls by bucket, weighted by age.
        samples: Sum of all of them.
    """

    def __init__(self):
        self.calls = [0.0] * BUCKETS
        self.samples = 0.0
        self._work: dict[str, list[float]] = {}
        self._aged_at = 0.0

    def add(self, report: Report, now: float) -> None:
        """Adds a report."""
        self._age(now)
        for bucket, count in report.calls.items():
            if 0 <= bucket < BUCKETS:
                self.calls[bucket] += count
                self.samples += count
        for target_id, (count, seconds) in report.work.items():
            sums = self._work.setdefault(target_id, [0.0, 0.0])
            sums[0] += count
            sums[1] += seconds

    def rate_factor(self) -> float:
        """Returns calls per second for each weighted call."""
        return 0.693147 / HALF_LIFE_SECONDS

    def shard_rates(
        self, shards: tuple[table.Shard, ...], now: float
    ) -> list[float]:
        """Returns the calls per second for each shard."""
        self._age(now)
        factor = self.rate_factor()
        return [
            factor * sum(self.calls[_bucket(s.first) : _bucket(s.last) + 1])
            for s in shards
        ]

    def work_seconds(self, target_id: str) -> tuple[float, float]:
        """Returns how many calls of a target were seen, and their mean time.

        The time is without waits, in seconds; 0.0 if no call was seen.
        """
        count, seconds = self._work.get(target_id, (0.0, 0.0))
        return count, seconds / count if count else 0.0

    def mean_work_seconds(self) -> float:
        """Returns the mean time of a call at any target, in seconds."""
        count = sum(sums[0] for sums in self._work.values())
        seconds = sum(sums[1] for sums in self._work.values())
        return seconds / count if count else 0.0

    def _age(self, now: float) -> None:
        if not self._aged_at:
            self._aged_at = now
        age = now - self._aged_at
        if age < 0.1:
            return
        self._aged_at = now
        keep = 0.5 ** (age / HALF_LIFE_SECONDS)
        self.calls = [count * keep for count in self.calls]
        self.samples *= keep
        for sums in self._work.values():
            sums[0] *= keep**0.5
            sums[1] *= keep**0.5


def _bucket(key: int) -> int:
    return key // BUCKET_KEYS
