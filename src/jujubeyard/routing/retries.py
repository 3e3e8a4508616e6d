"""Limits how many calls are retried on another target."""

EARNED_SHARE = 0.7
"""Share of the permitted retry ratio that calls earn. It is below 1 because the
measuring windows of the nodes aren't aligned."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A node's share of the retries that each service can handle.

    Each first attempt adds a fraction of a retry to the budget of its service.
    The allowance that all nodes share at the start of a window is divided by
    their number.
    """

    def __init__(self, ratio: float, shared_allowance: float):
        """Creates a budget for all services.

        Args:
            ratio: Permitted number of retries per call.
            shared_allowance: Retries that all nodes together may make on top
                of that.
        """
        self._earned_per_call = EARNED_SHARE * ratio
        self._shared_allowance = shared_allowance
        self._saved: dict[str, float] = {}

    def earn(self, service: str, node_count: int) -> None:
        """Adds the fraction of a retry that a first attempt earns.

        Args:
            service: Name of the service.
            node_count: Number of nodes that share the allowance.
        """
        saved = self._saved.get(service)
        if saved is None:
            saved = self._initial_retries(node_count)
        limit = max(
            MAX_SAVED_RETRIES / max(node_count, 1),
            self._initial_retries(node_count),
        )
        self._saved[service] = min(saved + self._earned_per_call, limit)

    def spend(self, service: str) -> bool:
        """Removes one retry from the budget, if there is one.

        Returns:
            Whether the retry may be made.
        """
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True

    def _initial_retries(self, node_count: int) -> float:
        return min(self._shared_allowance / (2 * max(node_count, 1)), 10.0)
