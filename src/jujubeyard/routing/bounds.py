"""Bounds on the time that calls may take at the targets of a service.

All calls of a service wait in the same queues of its targets, so that they have
one bound: with a bound for each route, an overload by calls with a long one
would keep the queues too long for all others.
"""

import dataclasses

from jujubeyard.routing import config

LATENCY_FACTOR = 2.0
"""Multiple of the mean latency objective of the calls."""

TIMEOUT_SHARE = 0.8
"""Share of the shortest timeout of a route that gets calls."""

ROUTE_SECONDS = 10.0
"""Time after its latest call in which a route counts as getting calls."""

OBJECTIVE_DECAY = 0.99
"""Factor that each new call applies to the weight of earlier ones."""


@dataclasses.dataclass(slots=True)
class ServiceBound:
    """The bound of a service, from the routes of its latest calls.

    Attributes:
        weight: Sum of the weights of the calls.
        weighted_objective: Weighted sum of their objectives, in seconds.
        timeouts: Timeout of a route and time of its latest call, by route.
    """

    weight: float = 0.0
    weighted_objective: float = 0.0
    timeouts: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def observe(self, route: config.Route, now: float) -> None:
        """Adds a call.

        Args:
            route: Route of the call.
            now: Monotonic time, in seconds.
        """
        self.weight = self.weight * OBJECTIVE_DECAY + 1.0
        self.weighted_objective = (
            self.weighted_objective * OBJECTIVE_DECAY + route.objective
        )
        self.timeouts[route.name] = (route.timeout, now)

    def seconds(self, now: float) -> float:
        """Returns how long calls may take; at least one must be observed.

        Args:
            now: Monotonic time, in seconds.
        """
        self.timeouts = {
            name: (timeout, called_at)
            for name, (timeout, called_at) in self.timeouts.items()
            if now - called_at <= ROUTE_SECONDS
        }
        shortest = min(timeout for timeout, _ in self.timeouts.values())
        objective = self.weighted_objective / self.weight
        return min(LATENCY_FACTOR * objective, TIMEOUT_SHARE * shortest)


class CallBounds:
    """The bounds of all services on a node."""

    def __init__(self):
        self._bounds: dict[str, ServiceBound] = {}

    def observe(self, service: str, route: config.Route, now: float) -> float:
        """Adds a call and returns how long calls of its service may take.

        Args:
            service: Name of the service.
            route: Route of the call.
            now: Monotonic time, in seconds.
        """
        bound = self._bounds.setdefault(service, ServiceBound())
        bound.observe(route, now)
        return bound.seconds(now)
