"""Many nodes that send calls to one target, of whose queue they get reports."""

import collections
import dataclasses
import heapq
import random

from jujubeyard.scheduling import capacity
from jujubeyard.scheduling import room

SLOTS = 4
PLACES = 16
STEP_SECONDS = 0.005
BOUND_SECONDS = 4.0


@dataclasses.dataclass
class Scenario:
    """The calls and reports of a run; times in seconds, rates per second."""

    demand: float
    rate: float = 10.0
    nodes: int = 60
    report_seconds: float = 0.4
    seconds: float = 40.0
    settle_seconds: float = 10.0
    urgencies: tuple[int, ...] = (0,)
    demand_until: float = float("inf")
    is_limit_known: bool = True
    misreport: int | None = None
    seed: int = 1


class Fleet:
    """Plays a scenario.

    Attributes:
        came: Calls after the settling time, by urgency.
        served: Calls that ended after the settling time, by urgency.
        overfull: Calls after the settling time that the target reset.
        overfull_before: Calls that it reset before.
        refused_at: Times at which nodes refused calls.
    """

    def __init__(self, scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.keepers = [
            room.RoomKeeper(self.rng) for _ in range(scenario.nodes)
        ]
        self.rooms = [capacity.Capacity("t1") for _ in range(scenario.nodes)]
        if scenario.is_limit_known:
            for target_room in self.rooms:
                target_room.limit.merge(PLACES, 0.001)
        self.running, self.waiting = [], collections.deque()
        self.came, self.served = collections.Counter(), collections.Counter()
        self.overfull = self.overfull_before = 0
        self.refused_at = []

    def play(self):
        scenario = self.scenario
        report_at, report = 0.0, (0, 0.0)
        for step in range(1, int(scenario.seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._end_calls(now)
            if now >= report_at:
                report_at = now + scenario.report_seconds
                self._spread(*report, now)
                report = (len(self.waiting), now)
            rate = scenario.demand if now < scenario.demand_until else 2.0
            if self.rng.random() < rate * STEP_SECONDS:
                self._call(now)
        return self

    def _spread(self, waiting, at, now):
        """Gives a report to all nodes, with what one of them has learned."""
        if self.scenario.misreport is not None and self.rng.random() < 0.1:
            waiting = self.scenario.misreport
        learned = max(
            (target_room.limit for target_room in self.rooms),
            key=lambda limit: (limit.own_observations > 0, limit.full_at),
        )
        for target_room in self.rooms:
            target_room.observe_queue(waiting, SLOTS, at, now)
            if learned.own_observations:
                target_room.limit.merge(learned.waiting, learned.full_at)

    def _end_calls(self, now):
        while self.running and self.running[0][0] <= now:
            _, urgency = heapq.heappop(self.running)
            if now > self.scenario.settle_seconds:
                self.served[urgency] += 1
            if self.waiting:
                self._start(self.waiting.popleft(), now)

    def _start(self, urgency, now):
        seconds = SLOTS / self.scenario.rate * self.rng.uniform(0.5, 1.5)
        heapq.heappush(self.running, (now + seconds, urgency))

    def _call(self, now):
        node = self.rng.randrange(self.scenario.nodes)
        urgency = self.rng.choice(self.scenario.urgencies)
        is_settled = now > self.scenario.settle_seconds
        self.came[urgency] += is_settled
        call = room.PacedCall("s", urgency, True, BOUND_SECONDS)
        self.keepers[node].observe_call(call)
        decision = self.keepers[node].admit_to_owner(
            call, self.rooms[node], 1.0 / self.scenario.rate, now
        )
        if not decision.is_admitted:
            self.refused_at.append(now)
        elif len(self.running) < SLOTS:
            self._start(urgency, now)
        elif len(self.waiting) < PLACES:
            self.waiting.append(urgency)
        else:
            self.rooms[node].observe_reset(now)
            self.overfull += is_settled
            self.overfull_before += not is_settled
