"""Bounds on the time that calls may take at the targets of a service.

All calls of a service wait in the same queues of its targets, so that they have
one bound: with a bound for each route, an overload by calls with a long one
would keep the queues too long for all others.
"""

import dataclasses

LATENCY_FACTOR = 2.0
"""Multiple of the mean latency objective of the calls."""

OBJECTIVE_DECAY = 0.99
"""Factor that each new call applies to the weight of earlier ones."""


@dataclasses.dataclass(slots=True)
class ServiceBound:
    """The bound of a service, from the objectives of its latest calls.

    Attributes:
        weight: Sum of the weights of the calls.
        weighted_objective: Weighted sum of their objectives, in seconds.
    """

    weight: float = 0.0
    weighted_objective: float = 0.0

    def observe(self, objective: float) -> None:
        """Adds a call with a latency objective, in seconds."""
        self.weight = self.weight * OBJECTIVE_DECAY + 1.0
        self.weighted_objective = (
            self.weighted_objective * OBJECTIVE_DECAY + objective
        )

    def seconds(self) -> float:
        """Returns how long calls may take; at least one must be observed."""
        return LATENCY_FACTOR * self.weighted_objective / self.weight


class CallBounds:
    """The bounds of all services on a node."""

    def __init__(self):
        self._bounds: dict[str, ServiceBound] = {}

    def observe(self, service: str, objective: float) -> float:
        """Adds a call and returns how long calls of its service may take.

        Args:
            service: Name of the service.
            objective: Latency objective of the call's route, in seconds.
        """
        bound = self._bounds.setdefault(service, ServiceBound())
        bound.observe(objective)
        return bound.seconds()

    def current(self, service: str) -> float:
        """Returns how long calls of a service may take.

        Args:
            service: Name of the service; a call of it must be observed.
        """
        return self._bounds[service].seconds()
