"""Estimates of the work of calls and of the speed of targets."""

import random

import pytest

from jujubeyard.scheduling import backlog
from jujubeyard.scheduling import work
from tests.scheduling import playing


def _observe(model, traits, seconds, count=1, speed=None):
    for _ in range(count):
        model.observe(traits, speed or work.make_speed(), seconds)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"route": "a"}, {"route": "b"}, id="route"),
        pytest.param({"path": "/x/a"}, {"path": "/x/b"}, id="path"),
        pytest.param({"size": 10}, {"size": 100_000}, id="size"),
        pytest.param({"key": 3}, {"key": 4}, id="key"),
    ],
)
def test_look_alike_calls_are_told_apart(first, second):
    model = work.WorkModel()
    for _ in range(100):
        _observe(model, playing.traits(**first), 0.1)
        _observe(model, playing.traits(**second), 1.0)
    cheap = model.estimate(playing.traits(**first)).seconds
    costly = model.estimate(playing.traits(**second)).seconds
    assert cheap < 0.25
    assert costly > 0.75


def test_few_calls_count_little_against_the_wider_group():
    model = work.WorkModel()
    _observe(model, playing.traits(path="/x/a"), 0.1, 100)
    _observe(model, playing.traits(path="/x/b"), 0.3)
    estimate = model.estimate(playing.traits(path="/x/b"))
    assert 0.1 < estimate.seconds < 0.15


def test_work_is_unknown_until_enough_calls_were_observed():
    model = work.WorkModel()
    _observe(model, playing.traits(), 0.1, int(work.MIN_SERVICE_CALLS) - 1)
    assert model.estimate(playing.traits()) is None
    _observe(model, playing.traits(), 0.1, 20)
    assert model.estimate(playing.traits()) is not None


def test_one_very_long_call_is_soon_forgotten():
    model = work.WorkModel()
    _observe(model, playing.traits(), 0.1, 100)
    _observe(model, playing.traits(), 60.0)
    assert model.estimate(playing.traits()).seconds < 0.12


def test_work_that_changed_is_learned_within_forty_calls():
    model = work.WorkModel()
    _observe(model, playing.traits(), 0.1, 200)
    _observe(model, playing.traits(), 1.0, 40)
    assert model.estimate(playing.traits()).seconds > 0.5


@pytest.mark.parametrize("tail", [0.0, 0.01])
def test_speed_of_targets_is_told_from_the_work_of_calls(tail):
    rng = random.Random(5)
    model = work.WorkModel()
    speeds = [work.make_speed() for _ in range(3)]
    for _ in range(600):
        number = rng.randrange(3)
        cost = rng.choice((0.1, 0.8))
        traits = playing.traits(path="/lookup/" + str(cost))
        seconds = cost * (5.0 if rng.random() < tail else 1.0)
        seconds *= rng.lognormvariate(0, 0.3) * (0.7, 0.7, 1.6)[number]
        model.observe(traits, speeds[number], seconds)
    slowdowns = [model.slowdown(playing.SERVICE, speed) for speed in speeds]
    assert 1.6 < slowdowns[2] / slowdowns[0] < 3.0
    assert 0.6 < slowdowns[0] / slowdowns[1] < 1.6


def test_memory_is_bounded_and_routes_outlast_paths(monkeypatch):
    monkeypatch.setattr(work, "MAX_GROUPS", 50)
    monkeypatch.setattr(work, "MAX_ROUTES", 20)
    model = work.WorkModel()
    _observe(model, playing.traits("report"), 1.0, 60)
    for number in range(3_000):
        call = playing.traits(path=f"/lookup/{number}", key=number)
        _observe(model, call, 0.1)
        assert model.size() <= 70
    assert model.estimate(playing.traits("report")).seconds > 0.5


@pytest.mark.parametrize(
    ("duration", "wait", "low", "high"),
    [
        pytest.param(0.5, 0.0, 0.5, 0.5, id="no wait"),
        pytest.param(1.1, 1.0, 0.09, 0.11, id="as expected"),
        pytest.param(3.0, 1.0, 0.1, 0.4, id="mostly a longer wait"),
        pytest.param(0.05, 1.0, 0.0, 0.05, id="no wait after all"),
    ],
)
def test_wait_is_split_from_the_duration(duration, wait, low, high):
    seconds, weight = work.split_duration(duration, wait, 0.1, 0.03)
    assert low <= seconds <= high
    assert 0.0 < weight <= 1.0


def test_split_tells_costly_calls_from_cheap_ones_better_than_a_ratio():
    rng = random.Random(9)
    errors = [0.0, 0.0]
    for _ in range(500):
        mean = rng.choice((0.1, 1.0))
        wait = rng.expovariate(1 / 0.4)
        processing = mean * rng.lognormvariate(0, 0.3)
        duration = wait * rng.lognormvariate(0, 0.4) + processing
        split, _ = work.split_duration(duration, wait, mean, 0.3 * mean)
        by_ratio = duration / (1.0 + wait / 0.55)
        errors[0] += abs(split - processing)
        errors[1] += abs(by_ratio - processing)
    assert errors[0] < 0.5 * errors[1]


@pytest.mark.parametrize(
    ("elapsed", "left"),
    [(0.0, 1.0), (0.5, 0.5), (0.9, 0.3), (2.0, 0.6), (10.0, 3.0)],
)
def test_work_left_of_a_call_never_falls_to_nothing(elapsed, left):
    pending = backlog.PendingCall(1.0, 5.0)
    assert pending.seconds_left(5.0 + elapsed) == pytest.approx(left)


@pytest.mark.parametrize(
    ("slowness", "age", "expected"),
    [
        (3.0, 0.0, 3.0),
        (3.0, 0.2, 2.0),
        (3.0, 10.0, 1.0),
        (0.0, 0.0, 0.5),
        (100.0, 0.0, 5.0),
    ],
)
def test_momentary_slowness_is_bounded_and_forgotten(slowness, age, expected):
    believed = backlog.momentary_slowness(slowness, age)
    assert believed == pytest.approx(expected, abs=0.01)
