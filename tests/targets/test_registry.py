"""The registry of targets and the estimate of their load."""

import dataclasses
import math
import random

import pytest

from jujubeyard.targets import loads
from jujubeyard.targets import notices
from jujubeyard.targets import registry

OUTAGE_SECONDS = 5.0
LISTING = registry.Listing("t1", "desk", "10.0.0.1:1", "z1", 6, False, 0.0, 7)


def _make_registry():
    target_registry = registry.Registry()
    target_registry.put(LISTING, 10.0)
    return target_registry


def _listing(**changes):
    return dataclasses.replace(LISTING, **changes)


def test_target_is_cold_as_long_as_the_longer_of_what_it_says():
    target = _make_registry().targets["t1"]
    target.observe_cold(3.0, 11.0)
    target.observe_cold(1.0, 12.0)
    assert target.is_cold(13.9)
    assert not target.is_cold(14.1)


@pytest.mark.parametrize(
    ("change", "is_available"),
    [
        pytest.param(lambda r: None, True, id="listed"),
        pytest.param(
            lambda r: r.put(_listing(draining=True), 11.0), False, id="draining"
        ),
        pytest.param(lambda r: r.remove("t1", 11.0), False, id="removed"),
        pytest.param(
            lambda r: r.set_evacuated("z1", True, 11.0), False, id="evacuated"
        ),
        pytest.param(
            lambda r: r.set_evacuated("z2", True, 11.0), True, id="other zone"
        ),
        pytest.param(lambda r: r.keep_only(set(), 11.0), False, id="unread"),
    ],
)
def test_availability_for_new_work(change, is_available):
    target_registry = _make_registry()
    change(target_registry)
    assert (
        target_registry.is_available(target_registry.targets["t1"], 11.5)
        is is_available
    )


@pytest.mark.parametrize(
    ("recovered_at", "age", "is_available"),
    [
        pytest.param(19.9, 0.5, True, id="lapsed"),
        pytest.param(19.9, 1.1, True, id="lapsed, still waited for"),
        pytest.param(19.9, 1.5, False, id="a drain may end by then"),
        pytest.param(18.5, 0.4, True, id="seen late"),
        pytest.param(18.5, 0.6, False, id="two seconds after the return"),
        pytest.param(16.5, 0.0, False, id="gone long after the return"),
    ],
)
def test_targets_unlisted_by_a_store_outage_stay_available_for_a_while(
    recovered_at, age, is_available
):
    target_registry = _make_registry()
    target_registry.record_store_recovery(recovered_at, OUTAGE_SECONDS)
    target_registry.remove("t1", 20.0)
    assert (
        target_registry.is_available(target_registry.targets["t1"], 20.0 + age)
        is is_available
    )


def test_target_removed_while_a_busy_link_hid_the_store_is_unavailable():
    target_registry = _make_registry()
    target_registry.record_store_recovery(19.9, 0.8)
    target_registry.remove("t1", 20.0)
    assert not target_registry.is_available(target_registry.targets["t1"], 20.0)


def test_targets_unlisted_without_an_outage_are_unavailable():
    target_registry = _make_registry()
    target_registry.record_store_recovery(10.0, OUTAGE_SECONDS)
    target_registry.remove("t1", 20.0)
    assert not target_registry.is_available(target_registry.targets["t1"], 20.0)


def test_a_target_that_is_listed_again_is_available():
    target_registry = _make_registry()
    target_registry.record_store_recovery(19.9, OUTAGE_SECONDS)
    target_registry.remove("t1", 20.0)
    target_registry.put(LISTING, 21.0)
    assert target_registry.is_available(target_registry.targets["t1"], 30.0)


def test_a_new_incarnation_starts_with_an_empty_load():
    target_registry = _make_registry()
    target_registry.targets["t1"].load.in_flight = 3
    assert target_registry.put(_listing(born=8), 12.0)
    assert target_registry.targets["t1"].load.in_flight == 0
    assert not target_registry.put(_listing(born=8), 13.0)


def test_a_cold_target_becomes_warm():
    target_registry = _make_registry()
    target_registry.put(_listing(cold_seconds=3.0), 12.0)
    target = target_registry.targets["t1"]
    assert target.is_cold(14.9)
    assert not target.is_cold(15.1)


def test_targets_are_found_by_service():
    target_registry = _make_registry()
    target_registry.put(_listing(target_id="t2", service="book"), 11.0)
    names = [
        t.listing.target_id for t in target_registry.service_targets("book")
    ]
    assert names == ["t2"]


def test_targets_removed_long_ago_are_purged():
    target_registry = _make_registry()
    target_registry.remove("t1", 20.0)
    assert target_registry.purge_removed(30.0) == []
    assert target_registry.purge_removed(100.0) == ["t1"]


@pytest.mark.parametrize(
    ("running", "waiting", "age", "own", "calls"),
    [
        (6, 4, 0.0, 0, 9.0),
        (6, 4, 0.4, 0, 4.5),
        (6, 4, 0.0, 2, 11.0),
        (1, 0, 0.0, 0, 0.0),
    ],
)
def test_reports_lose_weight_with_age(running, waiting, age, own, calls):
    load = loads.TargetLoad()
    load.observe_report(loads.LoadReport(running, waiting, 6, 1.0), 10.0)
    load.in_flight = own
    assert load.estimate_calls(10.0 + age) == pytest.approx(calls)


def test_processing_time_excludes_the_wait():
    load = loads.TargetLoad()
    for _ in range(50):
        load.observe_success(0.6, 2.0)
    assert load.work.mean() == pytest.approx(0.2)


def test_one_long_call_barely_raises_the_processing_time():
    target_registry = registry.Registry()
    for name in ("t1", "t2"):
        target_registry.put(_listing(target_id=name), 0.0)
    usual, slow = (
        target_registry.targets["t1"].load,
        target_registry.targets["t2"].load,
    )
    for _ in range(50):
        usual.observe_success(0.1, 0.0)
    slow.observe_success(0.6, 0.0)
    assert slow.work_seconds() < 0.25
    for _ in range(20):
        slow.observe_success(0.6, 0.0)
    assert slow.work_seconds() > 0.45


@pytest.mark.parametrize("seed", range(5))
def test_the_highest_of_many_estimates_stays_near_the_true_mean(seed):
    rng = random.Random(seed)
    target_registry = registry.Registry()
    names = [f"t{number}" for number in range(15)]
    for name in names:
        target_registry.put(_listing(target_id=name), 0.0)
    mean, spread = 0.12, 0.8
    mu = math.log(mean) - spread**2 / 2
    highest = []
    for _ in range(600):
        load = target_registry.targets[rng.choice(names)].load
        load.observe_success(rng.lognormvariate(mu, spread), 0.0)
        highest.append(
            max(
                target.load.work_seconds()
                for target in target_registry.targets.values()
            )
        )
    assert sum(highest[200:]) / len(highest[200:]) < 1.5 * mean


def test_work_of_routes_is_relative_to_the_mean_of_their_service():
    work = loads.RouteWork()
    for seconds in (0.1, 0.3):
        work.observe("desk", "lookup", seconds)
    assert work.relative_work("desk", "lookup", 0.4) == pytest.approx(
        0.5, rel=0.01
    )
    assert work.relative_work("desk", "added", 0.4) == 0.0
    assert work.relative_work("book", "lookup", 0.4) == 0.0


def test_work_of_routes_that_are_long_gone_is_dropped(monkeypatch):
    monkeypatch.setattr(loads, "MAX_ROUTES", 2)
    work = loads.RouteWork()
    for route in ("first", "second", "third"):
        work.observe("desk", route, 0.4)
    assert work.relative_work("desk", "first", 0.4) == 0.0
    assert work.relative_work("desk", "third", 0.4) == 1.0


@pytest.mark.parametrize(
    ("change", "is_available"),
    [
        pytest.param(lambda r: None, False, id="listing unchanged"),
        pytest.param(
            lambda r: r.put(_listing(cold_seconds=1.0), 12.0),
            False,
            id="listed as ready",
        ),
        pytest.param(
            lambda r: (r.remove("t1", 12.0), r.put(LISTING, 13.0)),
            False,
            id="removed and listed again",
        ),
        pytest.param(
            lambda r: (
                r.keep_only(set(), 12.0),
                r.purge_removed(500.0),
                r.put(LISTING, 501.0),
            ),
            False,
            id="listed again minutes later",
        ),
        pytest.param(
            lambda r: r.put(_listing(born=8), 12.0), True, id="new life"
        ),
    ],
)
def test_target_that_said_it_is_leaving_is_not_used_again(change, is_available):
    target_registry = _make_registry()
    target = target_registry.targets["t1"]
    assert target.observe_notice(notices.Notice(is_leaving=True), 11.0)
    assert not target.observe_notice(notices.Notice(is_leaving=True), 11.5)
    change(target_registry)
    target = target_registry.targets["t1"]
    assert target_registry.is_available(target, 502.0) is is_available


def test_late_notice_of_an_earlier_life_does_not_count_for_the_next():
    target_registry = _make_registry()
    earlier = target_registry.targets["t1"]
    target_registry.put(_listing(born=8), 12.0)
    earlier.observe_notice(notices.Notice(is_leaving=True), 13.0)
    target = target_registry.targets["t1"]
    assert target_registry.is_available(target, 13.0)
