"""Load reports of targets and the load that a node estimates from them.

"Work" is the processing time of a call: its duration at the target without
the wait for a slot.
"""

import dataclasses

from jujubeyard.scheduling import backlog
from jujubeyard.scheduling import capacity
from jujubeyard.scheduling import means
from jujubeyard.scheduling import work as work_model

REPORT_HALF_LIFE_SECONDS = 0.4
"""Age at which a load report has half its weight."""

ANSWER_SIZE_SMOOTHING = 0.15
TARGET_DECAY = 0.9
"""Factor that each new call applies to earlier calls of the same target."""

SERVICE_DECAY = 0.995
"""Factor that each new call applies to earlier calls of the same service."""

PRIOR_CALLS = 5.0
"""Number of calls that the service's mean counts as when it is averaged with
a target's own calls."""

MAX_ROUTES = 10_000
"""Largest number of routes whose work is kept."""

PRIOR_IN_FLIGHT = 0.5
"""Weight of the usual number of calls, in calls, against the number that this
node has sent, when the calls of other nodes are inferred."""

MAX_USUAL_OTHERS = 100
"""Largest number of other nodes' calls that is believed of a report when it is
averaged with those of other targets."""

FAILURE_SMOOTHING = 0.2
INITIAL_WORK_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reports about itself.

    Attributes:
        running: Number of calls that are running.
        waiting: Number of calls that are waiting for a slot.
        slots: Number of calls that can run at once.
        slowness: Factor by which work takes longer than usual; 1.0 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class AgedReport:
    """A load report that a node received, with its age.

    Attributes:
        target_id: The target that sent the report.
        report: The report.
        age_seconds: Time since the report was received.
    """

    target_id: str
    report: LoadReport
    age_seconds: float


def make_service_mean() -> means.DecayingMean:
    """Returns an empty mean for all targets of a service."""
    return means.DecayingMean(SERVICE_DECAY, INITIAL_WORK_SECONDS)


def make_usual_others() -> means.DecayingMean:
    """Returns an empty mean of other nodes' calls at a service's targets."""
    return means.DecayingMean(SERVICE_DECAY, 0.0)


class RouteWork:
    """Processing times of calls by service and route.

    The calls of a service's routes may need very different times, of which the
    service's mean is mostly that of its busiest route.
    """

    def __init__(self):
        self._means: dict[tuple[str, str], means.DecayingMean] = {}

    def observe(self, service: str, route: str, seconds: float) -> None:
        """Adds the processing time of a call."""
        key = (service, route)
        mean = self._means.get(key)
        if mean is None:
            mean = self._means[key] = make_service_mean()
            if len(self._means) > MAX_ROUTES:
                del self._means[next(iter(self._means))]
        mean.observe(seconds)

    def relative_work(
        self, service: str, route: str, service_mean: float
    ) -> float:
        """Returns the work of a route's calls, relative to the service's mean.

        It is 0.0 for a route without observations: nothing shows then that its
        calls need too long.

        Args:
            service: Name of the service.
            route: Name of the route.
            service_mean: Mean processing time of the service, in seconds.
        """
        mean = self._means.get((service, route))
        if mean is None or not service_mean:
            return 0.0
        return mean.mean() / service_mean


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """A node's estimate of one target's load.

    Attributes:
        in_flight: Calls of this node that the target hasn't answered yet.
        report: Latest load report that this node or another one received.
        reported_at: When `report` was received, in monotonic seconds.
        reports: Number of reports that were applied.
        own_reports: Number of those that this node itself received.
        in_flight_at_report: Value of `in_flight` when `report` was applied.
        service_work: Processing times at all targets of the service.
        work: Processing times at this target.
        usual_others: Calls of other nodes in the reports of all targets of the
            service.
        speed: Ratios of processing times at this target to estimated work.
        pending: The calls in flight with their estimated work.
        failure_rate: Smoothed share of calls that failed.
        unreachable_until: Time before which no new connection is tried.
        paused_until: Time before which the target wants no requests.
        answer_bytes: Smoothed size of the target's answers.
        avoid_until: Time before which the target is only chosen if there is
            no other.
        room: What was learned of the room at the target.
    """

    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    reports: int = 0
    own_reports: int = 0
    in_flight_at_report: int = 0
    service_work: means.DecayingMean = dataclasses.field(
        default_factory=make_service_mean
    )
    work: means.DecayingMean = dataclasses.field(
        default_factory=lambda: means.DecayingMean(
            TARGET_DECAY, INITIAL_WORK_SECONDS
        )
    )
    usual_others: means.DecayingMean = dataclasses.field(
        default_factory=make_usual_others
    )
    speed: means.DecayingMean = dataclasses.field(
        default_factory=work_model.make_speed
    )
    pending: backlog.Backlog = dataclasses.field(
        default_factory=backlog.Backlog
    )
    failure_rate: float = 0.0
    avoid_until: float = 0.0
    unreachable_until: float = 0.0
    paused_until: float = 0.0
    answer_bytes: float = 0.0
    room: capacity.Capacity = dataclasses.field(
        default_factory=capacity.Capacity
    )

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Applies a report that this node received with an answer."""
        self.own_reports += 1
        self.apply_report(report, now, now)

    def apply_report(
        self, report: LoadReport, received_at: float, now: float
    ) -> None:
        """Applies a report unless a later one has been applied.

        Args:
            report: Report that this node or another one received.
            received_at: When it was received, in monotonic seconds.
            now: Monotonic time, in seconds.
        """
        if received_at <= self.reported_at:
            return
        self.reports += 1
        self.report = report
        self.reported_at = received_at
        self.in_flight_at_report = self.in_flight
        self.room.observe_queue(report.waiting, report.slots, received_at, now)
        others = min(self._reported_others(), MAX_USUAL_OTHERS)
        self.usual_others.observe(others)

    def observe_success(self, seconds: float, queue_ratio: float) -> float:
        """Records a call that succeeded.

        Args:
            seconds: Duration of the call.
            queue_ratio: Value of `queue_ratio()` when the call was sent.

        Returns:
            Processing time of the call, in seconds.
        """
        work = seconds / (1.0 + queue_ratio)
        self.work.observe(work)
        self.service_work.observe(work)
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate
        return work

    def pause(self, seconds: float, now: float) -> None:
        """Records that the target wants no requests for a time.

        Args:
            seconds: Length of the pause.
            now: Monotonic time, in seconds.
        """
        self.paused_until = max(self.paused_until, now + seconds)

    def pause_seconds(self, now: float) -> float:
        """Returns how long the target still wants no requests, in seconds."""
        return max(0.0, self.paused_until - now)

    def observe_size(self, size: int) -> None:
        """Records the size of an answer, in bytes."""
        self.answer_bytes += ANSWER_SIZE_SMOOTHING * (size - self.answer_bytes)

    def observe_failure(self) -> None:
        """Records a call that failed."""
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)

    def estimate_calls(self, now: float) -> float:
        """Returns the estimated number of calls at the target.

        Calls of this node are counted exactly.
        """
        return self.in_flight + self.estimate_others(now)

    def estimate_others(self, now: float) -> float:
        """Returns the estimated number of other nodes' calls at the target.

        It is derived from the latest report, whose weight decays with its age.
        The report includes the call whose answer carried it; that call has
        ended and is subtracted.
        """
        if self.report is None:
            return 0.0
        return self.report_weight(now) * self._reported_others()

    def expect_others(self, now: float, node_count: int) -> float:
        """Returns the expected number of other nodes' calls at the target.

        As the latest report grows old, this tends to what each of the other
        nodes is likely to have sent: what reports of the service's targets
        usually say, corrected by what this node has sent to this one, as all
        nodes choose alike.

        Args:
            now: Monotonic time, in seconds.
            node_count: Number of nodes that choose targets.
        """
        unknown = 1.0 - self.report_weight(now)
        usual = self.usual_others.mean()
        if usual <= 0.0 or node_count < 2:
            return self.estimate_others(now)
        usual_by_node = usual / (node_count - 1)
        alike = usual * (PRIOR_IN_FLIGHT + self.in_flight)
        alike /= PRIOR_IN_FLIGHT + usual_by_node
        return self.estimate_others(now) + unknown * alike

    def report_weight(self, now: float) -> float:
        """Returns the weight of the latest report, from 0.0 to 1.0."""
        if self.report is None:
            return 0.0
        age = max(0.0, now - self.reported_at)
        return 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)

    def _reported_others(self) -> int:
        reported = self.report.running + self.report.waiting
        others = max(0, reported - 1 - self.in_flight_at_report)
        return min(others, self.room.max_waiting(self.report.slots))

    def queue_ratio(self, slots: int, now: float) -> float:
        """Returns the queue length before one more call, divided by the slots.

        The queue length is the number of calls that must end before the new
        call gets a slot.
        """
        return max(0.0, self.estimate_calls(now) + 1 - slots) / max(slots, 1)

    def expected_seconds(
        self, slots: int, now: float, relative_work: float = 1.0
    ) -> float:
        """Returns the estimated duration of one more call, in seconds.

        Args:
            slots: Number of calls that the target runs at once.
            now: Monotonic time, in seconds.
            relative_work: Work of the call, relative to those before it.
        """
        return self.work_seconds() * (
            relative_work + self.queue_ratio(slots, now)
        )

    def work_seconds(self) -> float:
        """Returns the estimated processing time of a call, in seconds.

        The mean of a few calls is unreliable when durations vary widely, so it
        is averaged with the mean of the service.
        """
        return self.work.shrunk_mean(self.service_work.mean(), PRIOR_CALLS)
