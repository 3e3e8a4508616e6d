"""Measures the calls for each range of keys and the work of targets.

"Work" is the processing time of calls: the time that they run, without their
wait for a slot.

Nodes count the calls that they handle and report them to the leader in
datagrams. A lost report costs a little precision and is not sent again.
"""

import collections
import dataclasses

from jujubeyard.node import protocol
from jujubeyard.ownership import table

BUCKET_KEYS = 64
"""Number of consecutive keys whose calls are counted together."""

BUCKETS = protocol.KEY_COUNT // BUCKET_KEYS
MAX_REPORTED_BUCKETS = 120
"""Maximum number of buckets in a report; the busiest ones are reported.

It keeps a datagram below 1,400 bytes.
"""

MAX_REPORTED_TARGETS = 24
HALF_LIFE_SECONDS = 1.5
"""Time after which a counted call has half its weight."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Calls to a service that a node counted since its last report.

    Attributes:
        service: Name of the service.
        calls: Number of calls by bucket of keys.
        work: By target, the number of calls it completed and the sum of their
            processing times, in seconds.
    """

    service: str
    calls: dict[int, int]
    work: dict[str, tuple[int, float]]


class Meter:
    """Counts a node's calls to one service between two reports."""

    def __init__(self, service: str):
        self._service = service
        self._calls: collections.Counter[int] = collections.Counter()
        self._work: dict[str, tuple[int, float]] = {}

    def count_call(self, key: int) -> None:
        """Counts a call for a key, whether it is served or not."""
        self._calls[key // BUCKET_KEYS] += 1

    def count_work(self, target_id: str, seconds: float) -> None:
        """Counts a call that a target has served.

        Args:
            target_id: Name of the target.
            seconds: Processing time of the call.
        """
        count, total = self._work.get(target_id, (0, 0.0))
        self._work[target_id] = (count + 1, total + seconds)

    def has_data(self) -> bool:
        """Returns whether any call was counted since the last report."""
        return bool(self._calls or self._work)

    def collect_report(self) -> Report:
        """Returns the calls since the last report and resets the counts."""
        calls = dict(self._calls.most_common(MAX_REPORTED_BUCKETS))
        busiest = sorted(self._work.items(), key=lambda item: -item[1][0])
        work = dict(busiest[:MAX_REPORTED_TARGETS])
        self._calls.clear()
        self._work.clear()
        return Report(self._service, calls, work)


class DemandEstimate:
    """Estimated demand of one service, from the reports of all nodes.

    Counts of calls decay exponentially with age. Processing times decay with
    twice that half-life.

    Attributes:
        calls: Number of calls by bucket, weighted by age.
        samples: Sum of `calls`.
    """

    def __init__(self):
        self.calls = [0.0] * BUCKETS
        self.samples = 0.0
        self._work: dict[str, list[float]] = {}
        self._decayed_at = 0.0

    def add(self, report: Report, now: float) -> None:
        """Adds a report.

        Args:
            report: The report of a node.
            now: Time of the report, in seconds on a monotonic clock.
        """
        self._decay(now)
        for bucket, count in report.calls.items():
            if 0 <= bucket < BUCKETS:
                self.calls[bucket] += count
                self.samples += count
        for target_id, (count, seconds) in report.work.items():
            sums = self._work.setdefault(target_id, [0.0, 0.0])
            sums[0] += count
            sums[1] += seconds

    def rate_factor(self) -> float:
        """Returns the ratio of calls per second to the weighted calls.

        It is ln(2) divided by the half-life: with a constant rate, the weighted
        calls converge to the rate divided by it.
        """
        return 0.693147 / HALF_LIFE_SECONDS

    def shard_rates(
        self, shards: tuple[table.Shard, ...], now: float
    ) -> list[float]:
        """Returns the calls per second of each shard."""
        self._decay(now)
        factor = self.rate_factor()
        return [
            factor
            * sum(self.calls[_bucket_of(s.first) : _bucket_of(s.last) + 1])
            for s in shards
        ]

    def measured_work(self, target_id: str) -> tuple[float, float]:
        """Returns the work that was measured at a target.

        Args:
            target_id: Name of the target.

        Returns:
            The weighted number of calls, and their mean processing time in
            seconds; 0.0 if there were none.
        """
        count, seconds = self._work.get(target_id, (0.0, 0.0))
        return count, seconds / count if count else 0.0

    def mean_work_seconds(self) -> float:
        """Returns the mean processing time at all targets, in seconds."""
        count = sum(sums[0] for sums in self._work.values())
        seconds = sum(sums[1] for sums in self._work.values())
        return seconds / count if count else 0.0

    def _decay(self, now: float) -> None:
        if not self._decayed_at:
            self._decayed_at = now
        age = now - self._decayed_at
        if age < 0.1:
            return
        self._decayed_at = now
        factor = 0.5 ** (age / HALF_LIFE_SECONDS)
        self.calls = [count * factor for count in self.calls]
        self.samples *= factor
        for sums in self._work.values():
            sums[0] *= factor**0.5
            sums[1] *= factor**0.5


def _bucket_of(key: int) -> int:
    return key // BUCKET_KEYS
