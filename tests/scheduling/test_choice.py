"""Plays loads against the choice of targets by estimated work."""

import dataclasses
import random

import pytest

from jujubeyard.scheduling import balancing
from jujubeyard.scheduling import finish
from jujubeyard.targets import loads
from jujubeyard.targets import registry
from tests.scheduling import playing

MIN_GAP_CLOSED = 0.25
"""Share of the way from fewest calls to known costs that an estimate must get
for the 99th percentile."""

MAX_MEAN_RATIO = 1.05
MAX_WRONG_RATIO = 1.25
"""Bounds on latency, relative to choosing by fewest calls, with estimates that
are right and wrong."""


def _costly_paths(rng, share):
    """One call in ten costs ten times as much, and its path shows it."""
    if rng.random() < 0.1:
        return playing.traits(path="/lookup/all"), 1.0
    return playing.traits(path="/lookup/one"), 0.1


def _costly_keys(rng, share):
    """Calls for five of fifty keys cost ten times as much."""
    key = rng.randrange(50)
    return playing.traits(key=key), 1.0 if key < 5 else 0.1


def _two_routes(rng, share):
    """Two routes that cost about the same."""
    if rng.random() < 0.3:
        return playing.traits("submit", "/submit/a"), 0.21
    return playing.traits(), 0.16


def _costly_later(rng, share):
    """A route whose calls cost ten times as much from half-time on."""
    if rng.random() < 0.1:
        return playing.traits("report"), 0.1 if share < 0.5 else 1.0
    return playing.traits(), 0.1


def _summarize(
    pick, utilization, choose, knowledge=None, count=3_000, **kwargs
):
    """Returns mean and 99th percentile over two seeds, in seconds."""
    runs = [
        playing.summarize(
            playing.play(
                playing.make_stream(pick, utilization, count, seed),
                choose,
                knowledge,
                seed,
                **kwargs,
            )
        )
        for seed in (7, 8)
    ]
    return [sum(values) / len(runs) for values in zip(*runs, strict=True)]


@pytest.mark.parametrize(
    ("pick", "utilization"),
    [
        (_costly_paths, 0.5),
        (_costly_paths, 0.75),
        (_costly_paths, 0.9),
        (_costly_keys, 0.75),
        (_two_routes, 0.5),
        (_two_routes, 0.9),
    ],
)
def test_estimates_are_between_fewest_calls_and_known_costs(pick, utilization):
    chance, fewest, estimated, known = (
        _summarize(pick, utilization, choose)
        for choose in (
            playing.by_chance,
            playing.by_fewest_calls,
            playing.by_estimate,
            playing.by_true_cost,
        )
    )
    assert estimated[0] <= MAX_MEAN_RATIO * fewest[0]
    closed = (fewest[1] - estimated[1]) / (fewest[1] - known[1])
    assert closed >= MIN_GAP_CLOSED
    assert estimated[0] < chance[0] / 2


class _WrongNode(playing.Node):
    """Believes costs that are off by factors that differ by path."""

    def call_work(self, call):
        call_work = super().call_work(call)
        if call_work is None:
            return None
        factor = 4.0 if call.traits.path.endswith("one") else 0.25
        seconds = call_work.estimate.seconds * factor
        estimate = dataclasses.replace(call_work.estimate, seconds=seconds)
        return dataclasses.replace(call_work, estimate=estimate)


@pytest.mark.parametrize(
    ("pick", "make_node"),
    [(_costly_later, playing.Node), (_costly_paths, _WrongNode)],
)
def test_wrong_estimates_cost_little(pick, make_node):
    fewest, estimated = (
        _summarize(pick, 0.75, choose, make_node=make_node)
        for choose in (playing.by_fewest_calls, playing.by_estimate)
    )
    assert estimated[0] <= MAX_WRONG_RATIO * fewest[0]
    assert estimated[1] <= MAX_WRONG_RATIO * fewest[1]


@pytest.mark.parametrize(
    ("pick", "utilization", "age"),
    [
        (_costly_paths, 0.75, 1.0),
        (_costly_paths, 0.75, 3.0),
        (_costly_paths, 0.75, 10.0),
        (_two_routes, 0.9, 1.0),
        (_two_routes, 0.9, 3.0),
    ],
)
def test_old_knowledge_costs_no_more_than_with_fewest_calls(
    pick, utilization, age
):
    knowledge = playing.Knowledge(age, age)
    fewest, estimated = (
        _summarize(pick, utilization, choose, knowledge)
        for choose in (playing.by_fewest_calls, playing.by_estimate)
    )
    assert estimated[0] <= MAX_MEAN_RATIO * fewest[0]
    assert estimated[1] <= MAX_MEAN_RATIO * fewest[1]


@pytest.mark.parametrize("pick", [_two_routes, _costly_paths])
def test_many_nodes_gain_over_choosing_by_mean_work(pick, monkeypatch):
    monkeypatch.setattr(playing, "NODES", 30)
    monkeypatch.setattr(playing, "SPEEDS", (0.7, 0.7, 1.6) * 8)
    knowledge = playing.Knowledge(others_delay=0.5)
    fewest, mean_work, estimated = (
        _summarize(pick, 0.8, choose, knowledge, count=6_000)
        for choose in (
            playing.by_fewest_calls,
            playing.by_mean_work,
            playing.by_estimate,
        )
    )
    assert estimated[0] < min(fewest[0], mean_work[0])
    assert estimated[1] < min(fewest[1], mean_work[1])


def _full(report, target):
    return loads.LoadReport(10**6, 10**6, 1, report.slowness)


def _no_slowness(report, target):
    return dataclasses.replace(report, slowness=0.0)


def _huge_slowness(report, target):
    return dataclasses.replace(report, slowness=100.0)


def _always_idle(report, target):
    return loads.LoadReport(0, 0, 10**6, 0.0)


@pytest.mark.parametrize(
    "distort", [_full, _no_slowness, _huge_slowness, _always_idle]
)
def test_one_target_that_reports_nonsense_costs_little(distort):
    def distort_one(report, target):
        return distort(report, target) if target == 2 else report

    knowledge = playing.Knowledge(distort=distort_one)
    true, estimated = (
        _summarize(_two_routes, 0.75, playing.by_estimate, known)
        for known in (None, knowledge)
    )
    assert estimated[0] <= MAX_WRONG_RATIO * true[0]


def _make_target(name, report, ratio=1.0):
    known = registry.Registry()
    listing = registry.Listing(
        name, playing.SERVICE, "127.0.0.1:1", "z", 4, False, 0.0, 0
    )
    known.put(listing, 0.0)
    target = known.targets[name]
    if report is not None:
        target.load.apply_report(report, 10.0, 10.0)
    for _ in range(20):
        target.load.speed.observe(ratio)
    return target


@pytest.mark.parametrize(
    ("reports", "ratios", "path", "chosen"),
    [
        pytest.param([(5, 2), (1, 0)], [1, 1], "all", 1, id="free slot"),
        pytest.param([(1, 0), (1, 0)], [1.6, 0.7], "all", 1, id="fast"),
        pytest.param([(4, 0), (1, 0)], [0.7, 1.6], "all", 0, id="long, fast"),
        pytest.param([(8, 5), (1, 0)], [0.7, 1.6], "one", 1, id="queue, slow"),
        pytest.param([None, None], [1, 1], "all", 0, id="no reports"),
    ],
)
def test_call_goes_where_it_ends_first(reports, ratios, path, chosen):
    rng = random.Random(3)
    node = playing.Node([], rng)
    for number in range(200):
        cheap = playing.traits(path="/lookup/one")
        seconds = 0.1
        if number % 4 == 0:
            cheap, seconds = playing.traits(path="/lookup/all"), 1.0
        node.tracker.model.observe(cheap, playing.work.make_speed(), seconds)
    targets = [
        _make_target(
            f"t{number}",
            report and loads.LoadReport(min(report[0], 4), report[1], 4, 1.0),
            ratio,
        )
        for number, (report, ratio) in enumerate(
            zip(reports, ratios, strict=True)
        )
    ]
    call = playing.PlayedCall(10.0, playing.traits(path=f"/lookup/{path}"), 1)
    call_work = node.call_work(call)
    costs = [
        balancing.estimate_cost(target, "z", 10.0, call_work)
        for target in targets
    ]
    assert costs.index(min(costs)) == chosen


def test_a_long_call_in_flight_counts_more_than_a_short_one():
    load = loads.TargetLoad()
    estimate = playing.work.WorkEstimate(0.1, 0.05, 0.1)
    waits = []
    for seconds in (0.1, 2.0):
        pending = [load.pending.begin(seconds, 0.0, 10.0) for _ in range(4)]
        load.in_flight = 4
        waits.append(finish.expect_times(load, 4, 1.0, estimate, 10.05).wait)
        for call in pending:
            load.pending.end(call)
    assert waits[1] > 10 * waits[0]
    assert len(load.pending) == 0
