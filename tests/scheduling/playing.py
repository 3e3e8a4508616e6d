"""Plays streams of calls over a few targets, each a list of finish times."""

import collections.abc
import dataclasses
import heapq
import itertools
import random

from jujubeyard.scheduling import balancing
from jujubeyard.scheduling import tracking
from jujubeyard.scheduling import work
from jujubeyard.targets import loads
from jujubeyard.targets import registry

SERVICE = "desk"
SLOTS = 4
NODES = 4
NOISE_SECONDS = 0.4
NOISE_SHARE = 0.2
NOISE_SLOWNESS = 3.0
SPEEDS = (0.7, 0.7, 1.6) * 3
"""Slowdowns of the targets."""


@dataclasses.dataclass(frozen=True)
class PlayedCall:
    arrived_at: float
    traits: work.CallTraits
    seconds: float


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """How nodes learn of the targets.

    Attributes:
        own_delay: Age at which a node applies a report that it received.
        others_delay: Age at which it applies those that others received.
        distort: Makes the report that is received of the true one.
    """

    own_delay: float = 0.0
    others_delay: float = 0.3
    distort: collections.abc.Callable[
        [loads.LoadReport, int], loads.LoadReport
    ] = lambda report, target: report


class Server:
    """Runs calls in the order of their arrival; what is true of a target."""

    def __init__(self, slowdown: float, rng: random.Random):
        self._slowdown = slowdown
        self._rng = random.Random(rng.getrandbits(32))
        self._slownesses: list[float] = []
        self._slots_free_at = [0.0] * SLOTS
        self.calls: list[tuple[float, float]] = []

    def slowness(self, now: float) -> float:
        window = int(now / NOISE_SECONDS)
        while len(self._slownesses) <= window:
            is_slow = self._rng.random() < NOISE_SHARE
            self._slownesses.append(NOISE_SLOWNESS if is_slow else 1.0)
        return self._slownesses[window]

    def times(self, now: float, seconds: float) -> tuple[float, float]:
        """Returns when a call that arrives now would start and end."""
        start = end = max(now, self._slots_free_at[0])
        left = seconds * self._slowdown
        while True:
            window_end = (int(end / NOISE_SECONDS + 1e-9) + 1) * NOISE_SECONDS
            done = (window_end - end) / self.slowness(end + 1e-9)
            if done >= left:
                return start, end + left * self.slowness(end + 1e-9)
            left -= done
            end = window_end

    def add(self, now: float, seconds: float) -> float:
        start, end = self.times(now, seconds)
        heapq.heapreplace(self._slots_free_at, end)
        self.calls = [times for times in self.calls if times[1] >= now]
        self.calls.append((start, end))
        return end

    def report(self, now: float) -> loads.LoadReport:
        """Returns the report in the answer of a call that ends now."""
        running = sum(start <= now <= end for start, end in self.calls)
        waiting = sum(start > now for start, _ in self.calls)
        return loads.LoadReport(running, waiting, SLOTS, self.slowness(now))


class Node:
    """What one node knows, and how it chooses."""

    def __init__(self, servers: list[Server], rng: random.Random):
        self.servers = servers
        self.rng = rng
        self.tracker = tracking.WorkTracker()
        known = registry.Registry()
        for number in range(len(servers)):
            listing = registry.Listing(
                f"t{number}", SERVICE, "127.0.0.1:1", "z", SLOTS, False, 0.0, 0
            )
            known.put(listing, 0.0)
        self.targets = known.service_targets(SERVICE)

    def call_work(self, call: PlayedCall) -> balancing.CallWork | None:
        return self.tracker.estimate(call.traits, NODES)

    def send(self, number: int, call: PlayedCall) -> tuple:
        """Records that a call is sent; returns what ends it."""
        target = self.targets[number]
        ratio = target.load.queue_ratio(SLOTS, call.arrived_at)
        sent = self.tracker.begin(call.traits, target, NODES, call.arrived_at)
        target.load.in_flight += 1
        return ratio, sent

    def end(self, number: int, call: PlayedCall, sent: tuple, now: float):
        target = self.targets[number]
        ratio, sent_call = sent
        duration = now - call.arrived_at
        target.load.in_flight -= 1
        self.tracker.end(sent_call, target)
        target.load.observe_success(duration, ratio)
        self.tracker.observe(sent_call, target, duration, now)


def by_chance(node: Node, call: PlayedCall) -> int:
    return node.rng.randrange(len(node.servers))


def by_fewest_calls(node: Node, call: PlayedCall) -> int:
    return min(
        range(len(node.servers)),
        key=lambda number: (
            node.targets[number].load.estimate_calls(call.arrived_at),
            node.rng.random(),
        ),
    )


def _balance(node: Node, call: PlayedCall, call_work) -> int:
    target = balancing.choose_target(
        node.targets, "z", NODES, call.arrived_at, node.rng, call_work
    )
    return node.targets.index(target)


def by_mean_work(node: Node, call: PlayedCall) -> int:
    return _balance(node, call, None)


def by_estimate(node: Node, call: PlayedCall) -> int:
    return _balance(node, call, node.call_work(call))


def by_true_cost(node: Node, call: PlayedCall) -> int:
    return min(
        range(len(node.servers)),
        key=lambda number: node.servers[number].times(
            call.arrived_at, call.seconds
        )[1],
    )


def play(
    stream: list[PlayedCall],
    choose: collections.abc.Callable[[Node, PlayedCall], int],
    knowledge: Knowledge | None = None,
    seed: int = 1,
    make_node: collections.abc.Callable[..., Node] = Node,
) -> list[float]:
    """Returns the latency of each call, in seconds."""
    knowledge = knowledge or Knowledge()
    rng = random.Random(seed)
    servers = [Server(speed, rng) for speed in SPEEDS]
    nodes = [make_node(servers, random.Random(seed + n)) for n in range(NODES)]
    events: list[tuple] = []
    order = itertools.count()
    latencies = []
    for call in stream:
        while events and events[0][0] <= call.arrived_at:
            event_at, _, action, *args = heapq.heappop(events)
            action(event_at, *args)
        node = rng.choice(nodes)
        number = choose(node, call)
        sent = node.send(number, call)
        end = servers[number].add(call.arrived_at, call.seconds)
        latencies.append(end - call.arrived_at)

        def finish_call(now, node=node, number=number, call=call, sent=sent):
            report = knowledge.distort(servers[number].report(now), number)
            for other in nodes:
                load = other.targets[number].load
                delay = knowledge.others_delay
                if other is node:
                    delay = knowledge.own_delay
                if not delay:
                    load.apply_report(report, now, now)
                    continue
                heapq.heappush(
                    events,
                    (now + delay, next(order), apply, load, report, now),
                )
            node.end(number, call, sent, now)

        heapq.heappush(events, (end, next(order), finish_call))
    return latencies


def apply(now, load, report, received_at) -> None:
    load.apply_report(report, received_at, now)


def summarize(latencies: list[float]) -> tuple[float, float]:
    """Returns mean and 99th percentile of the later two thirds, in seconds."""
    kept = sorted(latencies[len(latencies) // 3 :])
    return sum(kept) / len(kept), kept[int(0.99 * len(kept))]


def make_stream(
    pick: collections.abc.Callable[
        [random.Random, float], tuple[work.CallTraits, float]
    ],
    utilization: float,
    count: int,
    seed: int,
    spread: float = 0.3,
) -> list[PlayedCall]:
    """Returns calls whose work is lognormal with a long tail.

    Args:
        pick: Returns the traits and the mean work of a call.
        utilization: Share of the targets' capacity that the calls need.
        count: Number of calls.
        seed: Seed of the stream.
        spread: Deviation of the logarithm of the work.
    """
    rng = random.Random(seed)
    drawn = []
    for number in range(count):
        traits, mean = pick(rng, number / count)
        seconds = mean * rng.lognormvariate(-spread * spread / 2, spread)
        drawn.append((traits, seconds * (5.0 if rng.random() < 0.01 else 1.0)))
    noise = 1.0 + NOISE_SHARE * (1.0 / NOISE_SLOWNESS - 1.0)
    capacity = noise * SLOTS * sum(1.0 / speed for speed in SPEEDS)
    total = sum(seconds for _, seconds in drawn)
    gap = total / count / capacity / utilization
    now, stream = 0.0, []
    for traits, seconds in drawn:
        now += rng.expovariate(1.0 / gap)
        stream.append(PlayedCall(now, traits, seconds))
    return stream


def traits(route="lookup", path="/lookup/a", size=0, key=None):
    return work.CallTraits(SERVICE, route, path, size, key)
