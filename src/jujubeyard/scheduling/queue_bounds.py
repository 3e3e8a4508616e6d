"""Bounds on the queues at targets where calls wait at the node.

Calls wait at the node, where their order can still change, and only a short
queue stands at the target, so that it never runs dry between two calls. All
nodes see that queue in the target's load reports. Less urgent calls add to it
only while it is shorter, so that they give way to more urgent calls of all
nodes without any further message.
"""

import dataclasses

QUEUE_SHARE = 0.5
"""Share of the latency objective of the most urgent calls that a call may wait
at a target."""

RANK_SHARE = 0.7
"""Factor on the bound for each priority that goes before a call's own."""

MIN_QUEUE_RATIO = 0.25
"""Queue at a target, relative to its slots, that any call may add to."""

OBJECTIVE_DECAY = 0.99
"""Factor that each new call applies to the weight of earlier ones."""


@dataclasses.dataclass(slots=True)
class _Objective:
    """Mean objective of a service's calls of one priority, in seconds."""

    urgency: int
    weight: float = 0.0
    weighted_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        self.weight = self.weight * OBJECTIVE_DECAY + 1.0
        self.weighted_seconds = (
            self.weighted_seconds * OBJECTIVE_DECAY + seconds
        )


class QueueBounds:
    """The bounds of all services on a node."""

    def __init__(self):
        self._objectives: dict[str, _Objective] = {}

    def observe(self, service: str, urgency: int, objective: float) -> None:
        """Adds a call.

        Args:
            service: Name of the service.
            urgency: Priority of its route; 0 is the most urgent.
            objective: Latency objective of its route, in seconds.
        """
        current = self._objectives.get(service)
        if current is None or urgency < current.urgency:
            current = self._objectives[service] = _Objective(urgency)
        if urgency == current.urgency:
            current.observe(objective)

    def retain(self, priorities: dict[str, list[int]]) -> None:
        """Forgets objectives of priorities that a service has no more.

        Args:
            priorities: Priorities of the routes of each service.
        """
        self._objectives = {
            service: objective
            for service, objective in self._objectives.items()
            if objective.urgency in priorities.get(service, ())
        }

    def seconds(self, service: str, rank: int, work_seconds: float) -> float:
        """Returns how long a call may wait at a target, in seconds.

        Args:
            service: Name of the service.
            rank: Number of priorities that go before the call's own.
            work_seconds: Usual work of a call at the target.
        """
        shortest = MIN_QUEUE_RATIO * work_seconds
        current = self._objectives.get(service)
        if current is None:
            return shortest
        mean = current.weighted_seconds / current.weight
        return max(QUEUE_SHARE * mean * RANK_SHARE**rank, shortest)
