"""Balances calls without a key over the targets of a service."""

import collections.abc
import random

from jujubeyard.targets import registry

CROSS_ZONE_SECONDS = 0.01
"""Cost added to a target in another availability zone."""

CROSS_ZONE_SECONDS_PER_BYTE = 1e-6
"""Cost added for each expected byte of an answer from another zone."""

FAILURE_SECONDS = 1.0
"""Cost added to a target whose calls all fail; less in proportion."""

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


def choose_target(
    candidates: collections.abc.Sequence[registry.Target],
    zone: str,
    node_count: int,
    now: float,
    rng: random.Random,
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
            estimate_cost(target, zone, now)
            * (1.0 + COST_JITTER * rng.random())
        ),
    )


def estimate_cost(target: registry.Target, zone: str, now: float) -> float:
    """Returns the estimated cost of sending a call to a target, in seconds.

    Args:
        target: The target.
        zone: Availability zone of this node.
        now: Monotonic time, in seconds.
    """
    cost = target.load.expected_seconds(target.listing.slots, now)
    utilization = target.load.estimate_calls(now) / max(target.listing.slots, 1)
    cost *= 1.0 + 0.25 * min(utilization, 1.0)
    cost += FAILURE_SECONDS * target.load.failure_rate
    if target.listing.zone != zone:
        cost += CROSS_ZONE_SECONDS
        cost += CROSS_ZONE_SECONDS_PER_BYTE * target.load.answer_bytes
    return cost
