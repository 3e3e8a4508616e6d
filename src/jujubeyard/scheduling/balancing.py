"""Balances calls without a key over the targets of a service."""

import collections.abc
import dataclasses
import random

from jujubeyard.scheduling import finish
from jujubeyard.scheduling import work
from jujubeyard.targets import registry

CROSS_ZONE_SECONDS = 0.01
"""Cost added to a target in another availability zone."""

CROSS_ZONE_SECONDS_PER_BYTE = 1e-6
"""Cost added for each expected byte of an answer from another zone."""

FAILURE_SECONDS = 1.0
"""Cost added to a target whose calls all fail; less in proportion."""

MEAN_UTILIZATION_FACTOR = 0.25
"""Share by which a call of mean work counts more at a target without a free
slot; less in proportion."""

UTILIZATION_FACTOR = 1.0
"""The same for a call of known work: it delays those that come after it, the
more the longer it runs and the fewer slots are free."""

WAIT_FACTOR = 2.0
"""Weight of the wait of a call of known work: a queue that it joins is one that
the calls after it wait in as well."""

MIN_COMPARED = 3
MAX_COMPARED = 16
"""Bounds on the number of targets compared for a call. If there are more
candidates, a random sample is compared."""

COMPARED_BY_ALL_NODES = 120
"""Total number of targets that all nodes compare at a time. With more, the
nodes would all choose the few targets that were idle a moment ago."""

COST_JITTER = 0.1
"""Largest random increase of a cost, as a share of it, so that nodes with the
same data choose different targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallWork:
    """The work of a call, as far as it is known before the call is sent.

    Attributes:
        model: Model of the speeds of targets.
        estimate: Estimated work of the call.
        node_count: Number of nodes that choose targets.
    """

    model: work.WorkModel
    estimate: work.WorkEstimate
    node_count: int

    def expect_times(
        self, target: registry.Target, now: float
    ) -> finish.ExpectedTimes:
        """Returns what is expected of the call at a target.

        Args:
            target: The target.
            now: Monotonic time, in seconds.
        """
        slowdown = self.model.slowdown(
            target.listing.service, target.load.speed
        )
        return finish.expect_times(
            target.load,
            target.listing.slots,
            slowdown,
            self.estimate,
            now,
            self.node_count,
        )


def choose_target(
    candidates: collections.abc.Sequence[registry.Target],
    zone: str,
    node_count: int,
    now: float,
    rng: random.Random,
    call_work: CallWork | None = None,
) -> registry.Target | None:
    """Returns the target with the lowest estimated cost, if there is any.

    Each node sees only a part of the traffic. The estimate therefore combines
    the target's own load report, weighted by age, with this node's calls in
    flight.

    Args:
        candidates: Targets that may be given new work.
        zone: Availability zone of this node.
        node_count: Number of nodes that choose targets.
        now: Monotonic time, in seconds.
        rng: Source of the sample and the jitter.
        call_work: Work of the call; None while too little is known, so that
            the call counts as one of mean work.
    """
    if not candidates:
        return None
    preferred = [
        target for target in candidates if target.load.avoid_until <= now
    ]
    compared = preferred or candidates
    limit = COMPARED_BY_ALL_NODES // max(node_count, 1)
    limit = min(max(limit, MIN_COMPARED), MAX_COMPARED)
    if len(compared) > limit:
        compared = rng.sample(compared, limit)
    return min(
        compared,
        key=lambda target: (
            estimate_cost(target, zone, now, call_work)
            * (1.0 + COST_JITTER * rng.random())
        ),
    )


def estimate_cost(
    target: registry.Target,
    zone: str,
    now: float,
    call_work: CallWork | None = None,
) -> float:
    """Returns the estimated cost of sending a call to a target, in seconds.

    Args:
        target: The target.
        zone: Availability zone of this node.
        now: Monotonic time, in seconds.
        call_work: Work of the call; None for one of mean work. It counts only
            in services whose targets tell their load.
    """
    if call_work is None or not target.load.usual_others.weight:
        cost = target.load.expected_seconds(target.listing.slots, now)
        slots = max(target.listing.slots, 1)
        utilization = min(target.load.estimate_calls(now) / slots, 1.0)
        cost *= 1.0 + MEAN_UTILIZATION_FACTOR * utilization
    else:
        times = call_work.expect_times(target, now)
        cost = times.processing * (1.0 + UTILIZATION_FACTOR * times.utilization)
        cost = times.slowness * (cost + WAIT_FACTOR * times.wait)
    cost += FAILURE_SECONDS * target.load.failure_rate
    if target.listing.zone != zone:
        cost += CROSS_ZONE_SECONDS
        cost += CROSS_ZONE_SECONDS_PER_BYTE * target.load.answer_bytes
    return cost
