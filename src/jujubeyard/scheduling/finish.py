"""Estimates when a call ends at a target.

This joins the estimated work of the call, the speed of the target and the work
that is left there.
"""

import dataclasses

from jujubeyard.scheduling import backlog
from jujubeyard.scheduling import work
from jujubeyard.targets import loads


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedTimes:
    """What is expected of a call at one target.

    Attributes:
        wait: Time until it gets a slot, in seconds.
        processing: Time that it runs at the target's usual speed, in seconds.
        deviation: Standard deviation of `processing`, in seconds.
        slowness: Factor by which both take longer at this moment.
        utilization: Expected share of the slots that are taken; at most 1.0.
    """

    wait: float
    processing: float
    deviation: float
    slowness: float
    utilization: float

    def seconds(self) -> float:
        """Returns the expected duration of the call, in seconds."""
        return self.slowness * (self.wait + self.processing)


def expect_times(
    load: loads.TargetLoad,
    slots: int,
    slowdown: float,
    estimate: work.WorkEstimate,
    now: float,
    node_count: int = 1,
) -> ExpectedTimes:
    """Returns what is expected of one more call at a target.

    Args:
        load: Load of the target.
        slots: Number of calls that the target runs at once.
        slowdown: How much longer work takes at the target than usual.
        estimate: Estimated work of the call.
        now: Monotonic time, in seconds.
        node_count: Number of nodes that choose targets.
    """
    others = load.expect_others(now, node_count)
    running = min(others, max(0, slots - load.in_flight))
    wait = load.pending.expected_wait(
        slots,
        backlog.OthersCalls(
            running, others - running, estimate.service_seconds * slowdown
        ),
        now,
    )
    return ExpectedTimes(
        wait,
        estimate.seconds * slowdown,
        estimate.deviation * slowdown,
        current_slowness(load, now),
        min(1.0, (load.in_flight + others) / max(slots, 1)),
    )


def current_slowness(load: loads.TargetLoad, now: float) -> float:
    """Returns the factor by which work takes longer at a target now.

    Args:
        load: Load of the target.
        now: Monotonic time, in seconds.
    """
    if load.report is None:
        return 1.0
    return backlog.momentary_slowness(
        load.report.slowness, now - load.reported_at
    )


def split_wait(
    load: loads.TargetLoad,
    expected: ExpectedTimes | None,
    duration: float,
    now: float,
) -> tuple[float, float]:
    """Returns the processing time of a call at the target's usual speed.

    Args:
        load: Load of the target that served the call.
        expected: What was expected when the call was sent; None if nothing
            was known.
        duration: Time from sending the call to its answer, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        The processing time in seconds, and the weight of this observation.
    """
    if expected is None:
        return duration, 1.0
    slowness = (expected.slowness + current_slowness(load, now)) / 2.0
    return work.split_duration(
        duration / slowness,
        expected.wait,
        expected.processing,
        expected.deviation,
    )
