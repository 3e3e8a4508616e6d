"""Bounds how many calls are sent to a second target."""

RETRY_RATIO = 0.14
"""Retries earned by each call; a part of what the nodes may send together."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A node's part of the retries that a service bears.

    Every first attempt earns a fraction of a retry. The allowance that all
    nodes share at the start of a window is divided by their number.
    """

    def __init__(self, shared_allowance: float):
        self._shared_allowance = shared_allowance
        self._saved: dict[str, float] = {}

    def earn(self, service: str, nodes: int) -> None:
        """Counts a first attempt.

        Args:
            service: Name of the service.
            nodes: Number of nodes that share the allowance.
        """
        saved = self._saved.get(service)
        if saved is None:
            saved = self._start(nodes)
        limit = max(MAX_SAVED_RETRIES / max(nodes, 1), self._start(nodes))
        self._saved[service] = min(saved + RETRY_RATIO, limit)

    def spend(self, service: str) -> bool:
        """Takes a retry; returns whether there was one."""
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True

    def _start(self, nodes: int) -> float:
        return min(self._shared_allowance / (2 * max(nodes, 1)), 10.0)
