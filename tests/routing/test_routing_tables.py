"""Routes, traffic split, retry budget, cold targets and admission."""

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
def test_route_with_longest_prefix_is_found(host, path, name):
    route = ROUTES.find(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    ("unreadable", "host", "path", "name", "may_lack_route"),
    [
        (("u", "a.example", "/x/"), "a.example", "/x/1", "u", False),
        (("u", "A.example", "/x/y/"), "a.example", "/x/y/1", "u", False),
        (("u", "a.example", "/x/y/"), "a.example", "/x/1", "root", False),
        (("u", "a.example", None), "a.example:80", "/x/1", "root", True),
        (("u", "a.example", None), "a.example", "/z/1", None, True),
        (("u", "a.example", None), "b.example", "/z/1", None, False),
        (("u", None, "/z/"), "b.example", "/z/1", None, True),
        (("u", None, None), "b.example", "/z/1", None, True),
    ],
)
def test_unreadable_route_is_matched_as_far_as_it_is_known(
    unreadable, host, path, name, may_lack_route
):
    routes = match.RouteTable(
        config.Configuration(
            1,
            (_route("root", "a.example", "/x/"),),
            {},
            10,
            (config.UnreadableRoute(*unreadable),),
        )
    )
    route = routes.find(host, path)
    assert (route.name if route else None) == name
    assert routes.may_lack_route(host) is may_lack_route


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (5, 3, 2)])
def test_calls_follow_the_weights_after_any_number_of_calls(weights):
    names = "abc"[: len(weights)]
    shares = tuple(map(config.TrafficShare, names, weights))
    route = _route("r", "h", "/", *shares)
    splitter = split.Splitter()
    counts = collections.Counter()
    for total in range(1, 500):
        counts[splitter.choose_service(route)] += 1
        for share in shares:
            expected = total * share.weight / sum(weights)
            assert abs(counts[share.service] - expected) <= 1.0


def test_changed_weights_apply_immediately():
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
def test_all_nodes_together_respect_the_retry_limit(nodes):
    allowance, calls = 64.0, 200
    budgets = [retries.RetryBudget(0.2, allowance) for _ in range(nodes)]
    spent = 0
    for budget in budgets:
        for _ in range(calls):
            budget.earn("desk", nodes)
            while budget.spend("desk"):
                spent += 1
    assert spent <= 0.2 * calls * nodes + allowance


def test_no_retries_without_calls():
    assert not retries.RetryBudget(0.2, 64.0).spend("desk")


@pytest.mark.parametrize("nodes", [1, 3, 12, 83, 300])
@pytest.mark.parametrize("rate", [2.0, 11.0])
def test_all_nodes_together_respect_the_cold_rate_limit(nodes, rate):
    rate_limit = coldstart.ColdRateLimit(1.5, 5.0)
    names = {f"n{i}" for i in range(nodes)}
    limiters = [coldstart.ColdStartLimiter(name, rate_limit) for name in names]
    sent_at = []
    for tick in range(400):
        now = 100.0 + tick * 0.01
        for limiter in limiters:
            if limiter.may_send("t", rate, names, now):
                limiter.record_call("t", now)
                sent_at.append(now)
    for start in sent_at:
        window = [at for at in sent_at if start <= at < start + 1.0]
        assert len(window) <= rate_limit.per_second(rate)
    assert sent_at


def test_senders_of_old_and_new_node_lists_respect_the_limit():
    rate_limit = coldstart.ColdRateLimit(1.5, 5.0)
    before = [f"n{i}" for i in range(40)]
    after = [f"m{i}" for i in range(40)]
    limit = rate_limit.per_second(11.0)
    senders = {
        *coldstart.choose_senders("t", before, limit),
        *coldstart.choose_senders("t", after, limit),
    }
    assert len(senders) <= limit


@pytest.mark.parametrize(
    ("expected", "bound", "remaining", "refused"),
    [
        (0.2, 1.0, 2.0, False),
        (1.01, 1.0, 2.0, True),
        (1.0, 1.0, 2.0, False),
        (0.4, 1.0, 0.3, True),
    ],
)
def test_calls_expected_to_be_too_slow_are_refused(
    expected, bound, remaining, refused
):
    is_refused = admission.should_refuse(expected, bound, remaining)
    assert is_refused is refused


@pytest.mark.parametrize("expected", [0.0, 0.4, 5.0, 100.0])
def test_retry_delay_is_bounded(expected):
    seconds = admission.retry_after(expected, 0.5)
    assert 0.1 <= seconds <= 1.0
