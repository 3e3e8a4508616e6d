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

RECENT_WORK_HALF_LIFE_SECONDS = 3.0
SPEED_HALF_LIFE_SECONDS = 15.0
"""Time after which a completed call has half its weight in a target's speed.
The few calls of a shorter time would say more of those calls than of it."""

CHANGED_SPEED_RATIO = 1.6
"""Ratio of a target's recent work to what its speed predicts, or the inverse,
from which its speed is taken to have changed."""

MIN_KEPT_SAMPLES = 0.01
"""Weighted number of calls below which a target is forgotten."""

MIN_WORK_SECONDS = 1e-6
MIN_RECENT_SAMPLES = 6.0
"""Weighted number of recent calls below which they don't show a change."""


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


@dataclasses.dataclass(slots=True)
class WorkSums:
    """Decaying sums over calls that a target completed.

    Attributes:
        count: Number of calls.
        seconds: Their processing times.
        usual_seconds: Processing times of as many usual calls at that time.
    """

    count: float = 0.0
    seconds: float = 0.0
    usual_seconds: float = 0.0

    def add(self, count: int, seconds: float, usual_seconds: float) -> None:
        """Adds calls.

        Args:
            count: Number of calls.
            seconds: Sum of their processing times.
            usual_seconds: Sum of the times that usual calls take.
        """
        self.count += count
        self.seconds += seconds
        self.usual_seconds += usual_seconds

    def decay(self, factor: float) -> None:
        """Multiplies all sums by a factor."""
        self.count *= factor
        self.seconds *= factor
        self.usual_seconds *= factor

    def slowness(self) -> float:
        """Returns the ratio of the times to those of usual calls."""
        if not self.usual_seconds:
            return 1.0
        return self.seconds / self.usual_seconds


@dataclasses.dataclass(slots=True)
class TargetWork:
    """What is known of the speed of a target.

    Attributes:
        recent: Calls of the last seconds.
        long_term: Calls of a longer time.
    """

    recent: WorkSums = dataclasses.field(default_factory=WorkSums)
    long_term: WorkSums = dataclasses.field(default_factory=WorkSums)

    def add(self, count: int, seconds: float, usual_seconds: float) -> None:
        """Adds calls; see `WorkSums.add`."""
        self.recent.add(count, seconds, usual_seconds)
        self.long_term.add(count, seconds, usual_seconds)

    def decay(self, age: float) -> None:
        """Reduces the weight of all calls after a time in seconds."""
        self.recent.decay(0.5 ** (age / RECENT_WORK_HALF_LIFE_SECONDS))
        self.long_term.decay(0.5 ** (age / SPEED_HALF_LIFE_SECONDS))

    def measured(self, mean_seconds: float) -> tuple[float, float]:
        """Returns the weighted number of calls, and their present mean time.

        Args:
            mean_seconds: Present mean time at a target without slowness, in
                seconds.
        """
        usual = self.long_term.slowness() * mean_seconds
        recent = self.recent.seconds / max(self.recent.count, 1.0)
        change = recent / max(usual, MIN_WORK_SECONDS)
        is_same = 1 / CHANGED_SPEED_RATIO < change < CHANGED_SPEED_RATIO
        if is_same or self.recent.count < MIN_RECENT_SAMPLES:
            return self.long_term.count, usual
        return self.recent.count, recent


class DemandEstimate:
    """Estimated demand of one service, from the reports of all nodes.

    Counts of calls and processing times decay exponentially with age.

    Attributes:
        calls: Number of calls by bucket, weighted by age.
        samples: Sum of `calls`.
    """

    def __init__(self):
        self.calls = [0.0] * BUCKETS
        self.samples = 0.0
        self._work: dict[str, TargetWork] = {}
        self._total = TargetWork()
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
        usual_seconds = self.mean_work_seconds()
        for target_id, (count, seconds) in report.work.items():
            target_work = self._work.setdefault(target_id, TargetWork())
            usual = count * usual_seconds or seconds
            target_work.add(count, seconds, usual)
            self._total.add(count, seconds, usual)

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
            The weighted number of calls, and the present mean processing time
            in seconds; 0.0 if there were none.
        """
        target_work = self._work.get(target_id)
        if target_work is None:
            return 0.0, 0.0
        slowness = self._total.long_term.slowness()
        mean_slowness = max(slowness, MIN_WORK_SECONDS)
        return target_work.measured(self.mean_work_seconds() / mean_slowness)

    def mean_work_seconds(self) -> float:
        """Returns the mean processing time at all targets, in seconds."""
        recent = self._total.recent
        return recent.seconds / recent.count if recent.count else 0.0

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
        self._total.decay(age)
        for target_work in self._work.values():
            target_work.decay(age)
        self._work = {
            target_id: target_work
            for target_id, target_work in self._work.items()
            if target_work.long_term.count > MIN_KEPT_SAMPLES
        }


def _bucket_of(key: int) -> int:
    return key // BUCKET_KEYS
