"""Plays loads against the queue of calls that wait for room."""

import collections
import dataclasses
import random

import pytest

from jujubeyard.routing import config
from jujubeyard.scheduling import lanes
from jujubeyard.scheduling import shares
from jujubeyard.scheduling import waiting

TICK_SECONDS = 0.05
MIN_RELATIVE_SHARE = 0.25
"""How often each kind must be served, relative to all calls."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """Calls of one route; `bursts` are spans in which the rate is tenfold."""

    route: config.Route
    per_second: float
    work_seconds: float = 0.2
    bursts: tuple = ()


def make_kind(name, urgency, objective, timeout, per_second, **more):
    share = (config.TrafficShare("desk", 1.0),)
    route = config.Route(
        name, "a", f"/{name}/", share, True, timeout, objective, 2, urgency
    )
    return Kind(route, per_second, **more)


READ = make_kind("read", 0, 0.5, 1.2, 7.0)
ORDER = make_kind("order", 1, 0.8, 1.5, 3.0)
HISTORY = make_kind("history", 2, 4.0, 4.0, 2.0)
SHORT = make_kind("short", 1, 1.0, 0.8, 0.2, work_seconds=0.01)


class Play:
    """Offers calls and room to a queue in time steps."""

    def __init__(self, seed=15, limit=waiting.MAX_WAITING_CALLS):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.shares = shares.RouteShares(self.now)
        self.queue = waiting.WaitingQueue(self.shares, limit)
        self.arrived = collections.Counter()
        self.served = collections.Counter()
        self.refused = []
        self.held = []

    def arrive(self, kind, origin=""):
        """Lets a call join, and returns it."""
        route = kind.route
        waiter = lanes.make_waiter(
            route,
            origin,
            self.now,
            self.now + route.timeout,
            kind.work_seconds,
            self.now,
        )
        self.arrived[route.name] += 1
        self.shares.observe_arrival(route.name)
        self.refuse(self.queue.join(waiter, self.now))
        return waiter

    def refuse(self, refusals):
        self.refused += refusals
        self.held += [self.now - r.waiter.joined_at for r in refusals]

    def serve_without_wait(self, *kinds):
        """Counts calls that found room at once, so that no route is owed."""
        for kind in kinds:
            self.shares.observe_arrival(kind.route.name)
            self.shares.observe_served(kind.route.name)

    def free_room(self):
        """Gives a place to the first call, which is returned."""
        turns = self.queue.turns(self.now)
        if not turns:
            return None
        self.queue.grant(turns[0], self.now)
        assert self.now <= turns[0].start_by + TICK_SECONDS
        self.served[turns[0].route] += 1
        return turns[0]

    def run(self, kinds, room_per_second, seconds=60.0):
        """Plays Poisson arrivals and Poisson freed room."""
        until = self.now + seconds
        next_room = self.now
        start = self.now
        spare = 0
        while self.now < until:
            self.now += TICK_SECONDS / 5
            for kind in kinds:
                burst = any(a <= self.now - start < b for a, b in kind.bursts)
                rate = kind.per_second * (10.0 if burst else 1.0)
                if self.rng.random() < rate * TICK_SECONDS / 5:
                    self.arrive(kind, origin=str(self.rng.random()))
            while next_room <= self.now:
                next_room += self.rng.expovariate(room_per_second)
                spare = min(spare + 1, 4)
            while spare and len(self.queue):
                self.free_room()
                spare -= 1
            self.refuse(self.queue.take_hopeless(self.now))

    def ratio(self, name):
        return self.served[name] / self.arrived[name]

    def overall(self):
        return self.served.total() / self.arrived.total()


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("kinds", "room"),
    [
        pytest.param((READ, ORDER, HISTORY), 6.0, id="twice the room"),
        pytest.param((READ, ORDER, HISTORY), 3.0, id="four times the room"),
        pytest.param((READ, HISTORY), 5.0, id="urgent calls fill all room"),
        pytest.param(
            (dataclasses.replace(READ, per_second=20.0), SHORT),
            8.0,
            id="added route with a short timeout",
        ),
    ],
)
def test_lasting_overload_starves_no_kind(kinds, room, seed):
    play = Play(seed)
    play.run(kinds, room, seconds=120.0)
    for kind in kinds:
        name = kind.route.name
        assert play.ratio(name) >= MIN_RELATIVE_SHARE * play.overall(), name
    assert play.served.total() > 0.85 * room * 120.0


@pytest.mark.parametrize("seed", range(5))
def test_burst_of_less_urgent_calls_leaves_the_urgent_their_room(seed):
    burst = dataclasses.replace(HISTORY, bursts=((10.0, 40.0),))
    play = Play(seed)
    play.run((READ, ORDER, burst), 16.0)
    assert play.ratio("read") > 0.9
    assert play.ratio("order") > 0.8


def test_overload_refuses_early():
    play = Play()
    play.run((READ, ORDER, HISTORY), 5.0)
    early = [
        held < lanes.MAX_WAIT_SHARE * HISTORY.route.timeout / 4
        for held in play.held
    ]
    assert sum(early) > 0.8 * len(early)
    assert all(r.retry_after >= 0.1 for r in play.refused)


def test_room_goes_to_calls_in_order_of_priority_then_time_left():
    play = Play()
    play.serve_without_wait(READ, ORDER, HISTORY)
    history = play.arrive(HISTORY)
    first_order = play.arrive(ORDER)
    play.now += 0.1
    second_order = play.arrive(ORDER)
    read = play.arrive(READ)
    turns = [play.free_room() for _ in range(4)]
    assert turns == [read, first_order, second_order, history]


def test_calls_that_miss_their_objective_go_after_those_that_can_meet_it():
    play = Play()
    late = play.arrive(make_kind("late", 1, 0.25, 4.0, 1.0))
    play.now += 0.1
    prompt = play.arrive(ORDER)
    assert [play.free_room(), play.free_room()] == [prompt, late]


@pytest.mark.parametrize("ahead", [5, 15])
def test_call_behind_others_is_refused_at_once_with_a_true_time(ahead):
    patient = make_kind("patient", 1, 30.0, 60.0, 0.0)
    hasty = make_kind("hasty", 1, 40.0, 0.8, 0.0)
    play = Play()
    for _ in range(ahead):
        play.arrive(patient)
    for _ in range(30):
        play.now += 0.1
        play.free_room()
        play.arrive(patient)
    assert not play.refused
    play.serve_without_wait(hasty, hasty)
    refused = play.arrive(hasty)
    (refusal,) = play.refused
    assert refusal.waiter is refused
    assert refusal.reason is waiting.Reason.TOO_LATE
    told_at = play.now + refusal.retry_after
    while len(play.queue):
        play.now += 0.1
        play.free_room()
    assert play.now <= told_at <= play.now + 0.3 * refusal.retry_after


def test_full_queue_refuses_the_least_urgent_with_most_time():
    play = Play(limit=2)
    early = play.arrive(HISTORY)
    play.now += 0.1
    later = play.arrive(HISTORY)
    read = play.arrive(READ)
    (refusal,) = play.refused
    assert refusal.waiter is later
    assert refusal.reason is waiting.Reason.DISPLACED
    assert refusal.retry_after > 0.0
    full = play.arrive(make_kind("bulk", 3, 5.0, 9.0, 0.0))
    assert play.refused[-1].waiter is full
    assert play.refused[-1].reason is waiting.Reason.FULL
    assert {play.free_room(), play.free_room()} == {read, early}


def test_repetitions_of_one_request_are_displaced_first():
    play = Play(limit=4)
    repeated = [play.arrive(HISTORY, origin="again") for _ in range(3)]
    play.now += 0.1
    others = [play.arrive(HISTORY, origin=name) for name in ("a", "b", "c")]
    assert [r.waiter in repeated for r in play.refused] == [True, True]
    assert all(
        other not in [r.waiter for r in play.refused] for other in others
    )


def test_caller_that_leaves_frees_its_place():
    play = Play(limit=1)
    gone = play.arrive(ORDER)
    play.queue.leave(gone, play.now)
    play.queue.leave(gone, play.now)
    kept = play.arrive(ORDER)
    assert not play.refused
    assert play.free_room() is kept


def test_calls_are_refused_soon_once_no_room_comes_any_more():
    play = Play()
    play.run((READ, ORDER), 20.0, seconds=10.0)
    play.refused.clear()
    play.held.clear()
    play.run((READ, ORDER), 1e-9, seconds=10.0)
    half_time = len(play.held) // 2
    assert sum(play.held[half_time:]) / half_time < 0.1


@pytest.mark.parametrize("urgency", [0, 1])
def test_first_call_waits_until_its_latest_start(urgency):
    play = Play()
    for _ in range(4):
        first = play.arrive(make_kind("first", urgency, 0.5, 2.0, 0.0))
        play.arrive(HISTORY)
        while first not in [refusal.waiter for refusal in play.refused]:
            play.now += TICK_SECONDS
            play.refuse(play.queue.take_hopeless(play.now))
        assert play.now - first.joined_at > 1.0 - TICK_SECONDS
        play.refuse(play.queue.take_all(play.now))


def test_wait_in_vain_counts_only_until_the_queue_is_empty():
    play = Play()
    gone = play.arrive(HISTORY)
    play.now += 1.9
    play.queue.leave(gone, play.now)
    play.arrive(ORDER)
    play.arrive(ORDER)
    assert not play.refused


def test_shutdown_refuses_all():
    play = Play()
    calls = {play.arrive(ORDER), play.arrive(READ)}
    refusals = play.queue.take_all(play.now)
    assert {refusal.waiter for refusal in refusals} == calls
    assert not len(play.queue)


@pytest.mark.parametrize(
    ("urgencies", "found"), [((1, 1), [1]), ((2, 0, 2), [0, 2]), ((1,), [1])]
)
def test_priorities_of_a_service(urgencies, found):
    routes = tuple(
        make_kind(f"r{index}", urgency, 1.0, 2.0, 0.0).route
        for index, urgency in enumerate(urgencies)
    )
    cfg = config.Configuration(1, routes, {}, 1000)
    assert waiting.find_priorities(cfg) == {"desk": found}
