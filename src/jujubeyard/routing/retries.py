"""Bounds how many calls are sent to a second target."""

RATIO_SHARE = 0.7
"""Part of the allowed ratio that is earned; windows of nodes don't agree."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A node's part of the retries that a service bears.

    Every first attempt earns a fraction of a retry. The allowance that all
    nodes share at the start of a window is divided by their number.
    """

    def __init__(self, ratio: float, shared_allowance: float):
        """Makes a budget.

        Args:
            ratio: Retries that a service bears for each of its calls.
            shared_allowance: Retries beyond that, of all nodes together.
        """
        self._earned = RATIO_SHARE * ratio
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
        self._saved[service] = min(saved + self._earned, limit)

    def spend(self, service: str) -> bool:
        """Takes a retry; returns whether there was one."""
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True

    def _start(self, nodes: int) -> float:
        return min(self._shared_allowance / (2 * max(nodes, 1)), 10.0)
