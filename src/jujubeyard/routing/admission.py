"""Refuses calls that can't be served in time, with the time to return at.

Load answered: one target that owns a hot key, and a service that is asked for
more than it has room for.
"""

from jujubeyard.targets import registry

LATE_FACTOR = 2.0
"""Multiple of a route's objective beyond which a wait isn't begun."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
CONNECTION_SHARE = 0.8
"""Part of a target's connections that the nodes use together."""


def should_refuse(expected: float, objective: float, left: float) -> bool:
    """Returns whether a call that would take so long should be refused.

    Args:
        expected: Estimated time of the call, in seconds.
        objective: Time within which an answer is wanted, in seconds.
        left: Time until an answer is of no use, in seconds.
    """
    return expected > min(LATE_FACTOR * objective, left)


def retry_after(expected: float, objective: float) -> float:
    """Returns when there will be room again, in seconds."""
    excess = expected - 0.5 * objective
    return min(max(excess, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def has_spare_connection(
    target: registry.Target, max_connections: int, nodes: int
) -> bool:
    """Returns whether a node's part of a target's connections has room."""
    part = int(CONNECTION_SHARE * max_connections / nodes)
    return target.load.in_flight < max(part, 1)
