"""Refuses calls that can't be served in time, with a delay for the retry.

This protects a target that owns a hot key, and a service that gets more calls
than it has capacity for.
"""

from jujubeyard.targets import registry

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
CONNECTION_SHARE = 0.8
"""Share of a target's connections that all nodes together may use."""


def should_refuse(
    expected_seconds: float, bound_seconds: float, remaining: float
) -> bool:
    """Returns whether a call should be refused as too slow.

    Args:
        expected_seconds: Estimated duration of the call, in seconds.
        bound_seconds: How long calls to the service may take, in seconds.
        remaining: Time until the deadline of the call, in seconds.
    """
    return expected_seconds > min(bound_seconds, remaining)


def retry_after(expected_seconds: float, objective: float) -> float:
    """Returns the delay after which the caller should retry, in seconds.

    Args:
        expected_seconds: Estimated duration of the refused call, in seconds.
        objective: Latency objective of the route, in seconds.
    """
    excess = expected_seconds - 0.5 * objective
    return min(max(excess, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def has_spare_connection(
    target: registry.Target, max_connections: int, node_count: int
) -> bool:
    """Returns whether this node may open another connection to a target.

    The connections are divided equally between the nodes.

    Args:
        target: The target.
        max_connections: Connections that the target accepts from all nodes.
        node_count: Number of nodes.
    """
    share = int(CONNECTION_SHARE * max_connections / node_count)
    return target.load.in_flight < max(share, 1)
