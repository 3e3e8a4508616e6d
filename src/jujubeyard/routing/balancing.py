"""Chooses a target for a call without a key."""

import collections.abc
import random

from jujubeyard.targets import registry

OTHER_ZONE_SECONDS = 0.01
"""What a target of another zone costs in the comparison."""

OTHER_ZONE_SECONDS_PER_BYTE = 1e-6
"""The same, for each byte that is expected to cross."""

FAILURE_SECONDS = 1.0
"""What a target whose every call fails costs in the comparison."""

MIN_COMPARED = 3
MAX_COMPARED = 16
"""Targets that are compared for a call; more are drawn by chance."""

COMPARED_BY_NODES = 120
"""Targets that all nodes compare together. More of them would agree on the
few that were idle a moment ago."""

CHANCE = 0.1
"""Share by which estimates differ by chance, so that nodes don't agree."""


def choose_target(
    candidates: collections.abc.Sequence[registry.Target],
    zone: str,
    nodes: int,
    now: float,
    rng: random.Random,
) -> registry.Target | None:
    """Returns the target with the least expected time, if there is one.

    Answers the load of many nodes that each see a part of the traffic: the
    estimate is the target's own report, aged, and the node's calls in flight.

    Args:
        candidates: Targets that may be given work.
        zone: Availability zone of this node.
        nodes: Number of nodes that choose.
        now: Monotonic time, in seconds.
        rng: Breaks ties between nodes.
    """
    if not candidates:
        return None
    willing = [t for t in candidates if t.load.avoid_until <= now]
    compared = willing or candidates
    most = COMPARED_BY_NODES // max(nodes, 1)
    most = min(max(most, MIN_COMPARED), MAX_COMPARED)
    if len(compared) > most:
        compared = rng.sample(compared, most)
    return min(
        compared,
        key=lambda target: (
            estimate_cost(target, zone, now) * (1.0 + CHANCE * rng.random())
        ),
    )


def estimate_cost(target: registry.Target, zone: str, now: float) -> float:
    """Returns the cost of sending a call to a target, in seconds."""
    cost = target.load.expected_seconds(target.listing.slots, now)
    busy = target.load.busy(now) / max(target.listing.slots, 1)
    cost *= 1.0 + 0.25 * min(busy, 1.0)
    cost += FAILURE_SECONDS * target.load.failures
    if target.listing.zone != zone:
        cost += OTHER_ZONE_SECONDS
        cost += OTHER_ZONE_SECONDS_PER_BYTE * target.load.answer_bytes
    return cost
