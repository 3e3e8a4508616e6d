"""Routes, weights, retries and cold targets."""

import collections

import pytest

from jujubeyard.routing import admission
from jujubeyard.routing import coldstart
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.routing import retries
from jujubeyard.routing import split


def _route(name, host, prefix, *shares):
    shares = shares or (config.TrafficShare("desk", 1.0),)
    return config.Route(name, host, prefix, shares, True, 1.0, 0.5, 2, 1)


ROUTES = match.RouteTable(
    config.Configuration(
        1,
        (
            _route("root", "a.example", "/x/"),
            _route("deep", "a.example", "/x/y/"),
            _route("other", "b.example", "/x/"),
        ),
        {},
        10,
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "root"),
        ("a.example:80", "/x/1", "root"),
        ("A.example", "/x/", "root"),
        ("a.example", "/x/y/1", "deep"),
        ("a.example", "/x/y", "root"),
        ("b.example", "/x/y/1", "other"),
        ("b.example", "/x", None),
        ("c.example", "/x/1", None),
        ("a.example", "/", None),
        ("a.example", "", None),
    ],
)
def test_the_longest_prefix_wins(host, path, name):
    found = ROUTES.find(host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (5, 3, 2)])
def test_calls_are_divided_by_weight_at_every_length(weights):
    names = "abc"[: len(weights)]
    shares = tuple(map(config.TrafficShare, names, weights))
    route = _route("r", "h", "/", *shares)
    splitter = split.Splitter()
    seen = collections.Counter()
    for length in range(1, 500):
        seen[splitter.choose_service(route)] += 1
        for part in shares:
            wanted = length * part.weight / sum(weights)
            assert abs(seen[part.service] - wanted) <= 1.0


def test_new_weights_take_effect_at_once():
    splitter = split.Splitter()
    for weight in (90, 10):
        shares = (
            config.TrafficShare("a", weight),
            config.TrafficShare("b", 100 - weight),
        )
        route = _route("r", "h", "/", *shares)
        chosen = [splitter.choose_service(route) for _ in range(200)]
        assert abs(chosen.count("a") - 2 * weight) <= 2


@pytest.mark.parametrize("nodes", [1, 12, 83])
def test_all_nodes_together_stay_within_the_retries(nodes):
    allowance, calls = 64.0, 200
    budgets = [retries.RetryBudget(0.2, allowance) for _ in range(nodes)]
    spent = 0
    for budget in budgets:
        for _ in range(calls):
            budget.earn("desk", nodes)
            while budget.spend("desk"):
                spent += 1
    assert spent <= 0.2 * calls * nodes + allowance


def test_without_calls_there_are_no_retries():
    assert not retries.RetryBudget(0.2, 64.0).spend("desk")


@pytest.mark.parametrize("nodes", [1, 3, 12, 83, 300])
@pytest.mark.parametrize("rate", [2.0, 11.0])
def test_all_nodes_together_stay_within_what_a_cold_target_bears(nodes, rate):
    bound = coldstart.ColdRateLimit(1.5, 5.0)
    names = {f"n{i}" for i in range(nodes)}
    pacers = [coldstart.ColdStartLimiter(name, bound) for name in names]
    sent = []
    for tick in range(400):
        now = 100.0 + tick * 0.01
        for pacer in pacers:
            if pacer.may_send("t", rate, names, now):
                pacer.count("t", now)
                sent.append(now)
    for start in sent:
        window = [at for at in sent if start <= at < start + 1.0]
        assert len(window) <= bound.per_second(rate)
    assert sent


def test_a_change_of_nodes_keeps_the_bound():
    bound = coldstart.ColdRateLimit(1.5, 5.0)
    before = [f"n{i}" for i in range(40)]
    after = [f"m{i}" for i in range(40)]
    allowed = bound.per_second(11.0)
    sponsors = {
        *coldstart.choose_senders("t", before, allowed),
        *coldstart.choose_senders("t", after, allowed),
    }
    assert len(sponsors) <= allowed


@pytest.mark.parametrize(
    ("expected", "objective", "left", "hopeless"),
    [
        (0.2, 0.5, 2.0, False),
        (1.01, 0.5, 2.0, True),
        (1.0, 0.5, 2.0, False),
        (0.4, 0.5, 0.3, True),
    ],
)
def test_hopeless_calls_are_refused(expected, objective, left, hopeless):
    assert admission.should_refuse(expected, objective, left) is hopeless


@pytest.mark.parametrize("expected", [0.0, 0.4, 5.0, 100.0])
def test_times_to_return_are_bounded(expected):
    seconds = admission.retry_after(expected, 0.5)
    assert 0.1 <= seconds <= 1.0
