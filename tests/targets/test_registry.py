"""Targets as they are listed, leave, lapse and return."""

import dataclasses
import math
import random

import pytest

from jujubeyard.targets import loads
from jujubeyard.targets import registry

LISTING = registry.Listing("t1", "desk", "10.0.0.1:1", "z1", 6, False, 0.0, 7)


def _registry():
    made = registry.Registry()
    made.put(LISTING, 10.0)
    return made


def _listing(**changes):
    return dataclasses.replace(LISTING, **changes)


@pytest.mark.parametrize(
    ("change", "is_open"),
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
def test_who_may_be_given_work(change, is_available):
    made = _registry()
    change(made)
    assert made.is_available(made.targets["t1"], 11.5) is is_available


@pytest.mark.parametrize(
    ("returned", "age", "is_open"),
    [
        pytest.param(19.9, 0.5, True, id="lapsed"),
        pytest.param(19.9, 1.1, True, id="lapsed, still waited for"),
        pytest.param(19.9, 1.5, False, id="a drain may end by then"),
        pytest.param(18.5, 0.4, True, id="seen late"),
        pytest.param(18.5, 0.6, False, id="two seconds after the return"),
        pytest.param(16.5, 0.0, False, id="gone long after the return"),
    ],
)
def test_entries_that_lapse_in_an_outage(returned, age, is_available):
    made = _registry()
    made.note_return(returned)
    made.remove("t1", 20.0)
    assert made.is_available(made.targets["t1"], 20.0 + age) is is_available


def test_entries_that_go_while_the_store_answers_are_gone():
    made = _registry()
    made.note_return(10.0)
    made.remove("t1", 20.0)
    assert not made.is_available(made.targets["t1"], 20.0)


def test_a_lapsed_target_returns():
    made = _registry()
    made.note_return(19.9)
    made.remove("t1", 20.0)
    made.put(LISTING, 21.0)
    assert made.is_available(made.targets["t1"], 30.0)


def test_another_life_begins_anew():
    made = _registry()
    made.targets["t1"].load.in_flight = 3
    assert made.put(_listing(born=8), 12.0)
    assert made.targets["t1"].load.in_flight == 0
    assert not made.put(_listing(born=8), 13.0)


def test_cold_targets_warm_up():
    made = _registry()
    made.put(_listing(cold_seconds=3.0), 12.0)
    target = made.targets["t1"]
    assert target.is_cold(14.9)
    assert not target.is_cold(15.1)


def test_services_are_indexed():
    made = _registry()
    made.put(_listing(target_id="t2", service="book"), 11.0)
    names = [t.listing.target_id for t in made.service_targets("book")]
    assert names == ["t2"]


def test_targets_that_left_long_ago_are_forgotten():
    made = _registry()
    made.remove("t1", 20.0)
    assert made.purge_removed(30.0) == []
    assert made.purge_removed(100.0) == ["t1"]


@pytest.mark.parametrize(
    ("running", "waiting", "age", "own", "busy"),
    [
        (6, 4, 0.0, 0, 9.0),
        (6, 4, 0.4, 0, 4.5),
        (6, 4, 0.0, 2, 11.0),
        (1, 0, 0.0, 0, 0.0),
    ],
)
def test_reports_lose_weight_with_age(running, waiting, age, own, busy):
    load = loads.TargetLoad()
    load.observe_report(loads.LoadReport(running, waiting, 6, 1.0), 10.0)
    load.in_flight = own
    assert load.busy(10.0 + age) == pytest.approx(busy)


def test_times_are_learnt_without_waits():
    load = loads.TargetLoad()
    for _ in range(50):
        load.observe_success(0.6, 2.0)
    assert load.work.mean() == pytest.approx(0.2)


def test_few_long_calls_don_t_make_a_target_slow():
    known = registry.Registry()
    for name in ("t1", "t2"):
        known.put(_listing(target_id=name), 0.0)
    usual, unlucky = known.targets["t1"].load, known.targets["t2"].load
    for _ in range(50):
        usual.observe_success(0.1, 0.0)
    unlucky.observe_success(0.6, 0.0)
    assert unlucky.work_seconds() < 0.25
    for _ in range(20):
        unlucky.observe_success(0.6, 0.0)
    assert unlucky.work_seconds() > 0.45


@pytest.mark.parametrize("seed", range(5))
def test_the_longest_expected_time_is_not_far_above_the_true_one(seed):
    rng = random.Random(seed)
    known = registry.Registry()
    names = [f"t{number}" for number in range(15)]
    for name in names:
        known.put(_listing(target_id=name), 0.0)
    mean, spread = 0.12, 0.8
    mu = math.log(mean) - spread**2 / 2
    highest = []
    for _ in range(600):
        load = known.targets[rng.choice(names)].load
        load.observe_success(rng.lognormvariate(mu, spread), 0.0)
        highest.append(
            max(target.load.work_seconds() for target in known.targets.values())
        )
    assert sum(highest[200:]) / len(highest[200:]) < 1.5 * mean
