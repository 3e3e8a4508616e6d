"""Plays an overload of a target against the decisions of admission."""

import collections
import dataclasses
import heapq
import random

import pytest

from jujubeyard.routing import admission
from jujubeyard.routing import bounds as call_bounds
from jujubeyard.targets import loads

SLOTS = 3
PLAY_SECONDS = 120.0
OVERLOAD = 1.8
ADDED_SHARE = 0.02
MIN_RELATIVE_SHARE = 0.25
"""How often calls of an added route must be served, relative to those of the
first route."""


@dataclasses.dataclass(frozen=True)
class Route:
    name: str
    work_seconds: float
    objective: float
    deadline_seconds: float


class Target:
    """Runs calls in the order of their arrival."""

    def __init__(self):
        self.load = loads.TargetLoad()
        self._slot_free_at = [0.0] * SLOTS
        self._ends: list[tuple[float, float]] = []

    def add(self, now: float, work_seconds: float) -> float:
        """Returns when a call that arrives now ends."""
        started_at = max(now, heapq.heappop(self._slot_free_at))
        ended_at = started_at + work_seconds
        heapq.heappush(self._slot_free_at, ended_at)
        heapq.heappush(self._ends, (ended_at, work_seconds))
        self.load.in_flight += 1
        return ended_at

    def finish_calls(self, now: float) -> None:
        """Observes the calls that have ended."""
        while self._ends and self._ends[0][0] <= now:
            _, work_seconds = heapq.heappop(self._ends)
            self.load.observe_success(work_seconds, 0.0)
            self.load.in_flight -= 1


def _play(first: Route, added: Route) -> dict[str, float]:
    """Returns the share of calls by route that ended before their deadline."""
    rng = random.Random(15)
    target = Target()
    bounds = call_bounds.CallBounds()
    mean_gap = first.work_seconds / SLOTS / OVERLOAD
    sent: collections.Counter = collections.Counter()
    served: collections.Counter = collections.Counter()
    now = 0.0
    while now < PLAY_SECONDS:
        now += rng.expovariate(1.0 / mean_gap)
        target.finish_calls(now)
        route = added if rng.random() < ADDED_SHARE else first
        sent[route.name] += 1
        expected = target.load.expected_seconds(
            SLOTS, now, route.work_seconds / first.work_seconds
        )
        call_bound = bounds.observe("desk", route.objective)
        if admission.should_refuse(
            expected, call_bound, route.deadline_seconds
        ):
            continue
        ended_at = target.add(now, route.work_seconds)
        served[route.name] += ended_at <= now + route.deadline_seconds
    return {name: served[name] / count for name, count in sent.items()}


@pytest.mark.parametrize("deadline_seconds", [1.0, 2.0, 4.0])
def test_added_route_with_shorter_deadline_is_not_starved_in_an_overload(
    deadline_seconds,
):
    first = Route("first", 0.28, 1.112, 6.652)
    added = Route("added", 0.003, 1.0, deadline_seconds)
    shares = _play(first, added)
    assert shares["first"] > 0.5
    assert shares["added"] >= MIN_RELATIVE_SHARE * shares["first"]
