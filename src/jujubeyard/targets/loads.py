"""What answers show of a target's load, and what a node infers from it."""

import dataclasses

REPORT_HALF_LIFE_SECONDS = 0.4
"""Age at which a report counts half."""

SIZE_SMOOTHING = 0.15
WORK_KEPT = 0.9
"""What earlier calls of a target count for with each new one."""

MEAN_WORK_KEPT = 0.995
"""The same for all targets of a service together."""

PRIOR_CALLS = 5.0
"""Calls of mean time that count beside those that were seen of a target."""

FAILURE_SMOOTHING = 0.2
INITIAL_WORK_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own word on its load.

    Attributes:
        running: Calls that run.
        waiting: Calls that wait for a slot.
        slots: Calls that can run at once.
        slowness: How much longer work takes than usual; 1.0 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A target's report as a node saw it.

    Attributes:
        target_id: The target.
        report: Its report.
        age_seconds: How long ago the report came.
    """

    target_id: str
    report: LoadReport
    age_seconds: float


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Mean time of calls without their waits, recent ones counting more.

    Attributes:
        kept: What earlier calls count for with each new one.
        calls: Weight of the calls that were seen.
        seconds: Sum of their times, weighted alike.
    """

    kept: float
    calls: float = 0.0
    seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Takes the time of a call."""
        self.calls = self.calls * self.kept + 1.0
        self.seconds = self.seconds * self.kept + seconds

    def mean(self) -> float:
        """Returns the mean time, in seconds."""
        if not self.calls:
            return INITIAL_WORK_SECONDS
        return self.seconds / self.calls


def make_service_mean() -> DecayingMean:
    """Returns the mean of all targets of a service, before any call."""
    return DecayingMean(MEAN_WORK_KEPT)


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """A node's view of one target's load.

    Attributes:
        in_flight: This node's calls at the target.
        report: The latest report, of this node or another.
        reported_at: When it came, in monotonic seconds.
        seen_at: When this node's own latest report came.
        own_at_report: This node's calls in flight when it came.
        service_work: Times of calls at all targets of the service.
        work: Times of calls at this one.
        failures: Smoothed share of calls that failed.
        unreachable_until: Until when connections aren't tried again.
        answer_bytes: Smoothed size of its answers.
        avoid_until: Until when the target is passed over where others exist.
    """

    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    seen_at: float = 0.0
    own_at_report: int = 0
    service_work: DecayingMean = dataclasses.field(
        default_factory=make_service_mean
    )
    work: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(WORK_KEPT)
    )
    failures: float = 0.0
    avoid_until: float = 0.0
    unreachable_until: float = 0.0
    answer_bytes: float = 0.0

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Takes the report of an answer."""
        self.seen_at = now
        self.observe_sighting(report, now)

    def observe_sighting(self, report: LoadReport, seen_at: float) -> None:
        """Takes a report that this node or another one saw.

        Args:
            report: The report.
            seen_at: When it came, in monotonic seconds.
        """
        if seen_at <= self.reported_at:
            return
        self.report = report
        self.reported_at = seen_at
        self.own_at_report = self.in_flight

    def observe_success(self, seconds: float, ahead: float) -> float:
        """Takes the time of a call that succeeded.

        Args:
            seconds: Its time.
            ahead: Calls that had to end before it had a slot, over the slots,
                as estimated when it was sent.

        Returns:
            Its time without the wait for a slot, in seconds.
        """
        work = seconds / (1.0 + ahead)
        self.work.observe(work)
        self.service_work.observe(work)
        self.failures -= FAILURE_SMOOTHING * self.failures
        return work

    def observe_size(self, size: int) -> None:
        """Takes the size of an answer."""
        self.answer_bytes += SIZE_SMOOTHING * (size - self.answer_bytes)

    def observe_failure(self) -> None:
        """Counts a call that failed."""
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures)

    def busy(self, now: float) -> float:
        """Returns the estimated number of calls at the target.

        The calls of other nodes are taken from the latest report, which loses
        weight as it ages; this node's own are counted.
        """
        if self.report is None:
            return float(self.in_flight)
        age = max(0.0, now - self.reported_at)
        weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
        reported = self.report.running + self.report.waiting
        others = max(0, reported - 1 - self.own_at_report)
        return self.in_flight + weight * others

    def queue_ratio(self, slots: int, now: float) -> float:
        """Returns the calls before one more call has a slot, over the slots."""
        return max(0.0, self.busy(now) + 1 - slots) / max(slots, 1)

    def expected_seconds(self, slots: int, now: float) -> float:
        """Returns the estimated time of one more call, in seconds."""
        return self.work_seconds() * (1.0 + self.queue_ratio(slots, now))

    def work_seconds(self) -> float:
        """Returns the estimated time of a call without its wait.

        Few calls of one target say little when their times differ much, so
        that the mean of its service counts beside them.
        """
        seconds = self.work.seconds + PRIOR_CALLS * self.service_work.mean()
        return seconds / (self.work.calls + PRIOR_CALLS)
