"""Tests the concurrency limit of a target and its slow start."""

import pytest

from jujubeyard.admission import ramp


def make_warm_ramp() -> ramp.ConcurrencyRamp:
    target_ramp = ramp.ConcurrencyRamp(1, 4, 2)
    for _ in range(100):
        target_ramp.observe_success(0.01)
    assert target_ramp.is_warm
    return target_ramp


def test_limit_stays_low_until_cold_target_has_answered_warm_calls():
    target_ramp = ramp.ConcurrencyRamp(1, 4, 10)
    for _ in range(10):
        target_ramp.observe_success(0.01)
        assert target_ramp.limit == 1


def test_limit_rises_one_slot_at_a_time():
    target_ramp = ramp.ConcurrencyRamp(1, 4, 0)
    limits = []
    for _ in range(60):
        previous = target_ramp.limit
        target_ramp.observe_success(0.01)
        assert target_ramp.limit - previous in (0, 1)
        limits.append(target_ramp.limit)
    assert limits[-1] == 4


COLD_SIGNS = {
    "another incarnation": lambda target_ramp: target_ramp.observe_incarnation(
        "2"
    ),
    "three slow calls": lambda target_ramp: [
        target_ramp.observe_success(1.0) for _ in range(ramp.SLOW_STREAK)
    ],
    "restart": lambda target_ramp: target_ramp.reset(),
}


@pytest.mark.parametrize("name", COLD_SIGNS)
def test_sign_of_cold_target_resets_limit(name):
    target_ramp = make_warm_ramp()
    target_ramp.observe_incarnation("1")
    COLD_SIGNS[name](target_ramp)
    assert target_ramp.limit == 1


def test_single_slow_calls_do_not_reset_limit():
    target_ramp = make_warm_ramp()
    target_ramp.observe_success(1.0)
    target_ramp.observe_success(0.01)
    target_ramp.observe_success(1.0)
    assert target_ramp.is_warm


@pytest.mark.parametrize(
    ("limit", "expected"), [(0, 1), (1, 1), (3, 3), (4, 4), (9, 4)]
)
def test_limit_of_other_gate_is_restored(limit, expected):
    restored = ramp.ConcurrencyRamp(1, 4, 10)
    restored.restore(limit, "1")
    assert restored.limit == expected
    restored.observe_incarnation("2")
    assert restored.limit == 1


def test_cancelled_call_raises_mean_latency_only_if_slower():
    target_ramp = make_warm_ramp()
    mean_latency = target_ramp.mean_latency
    target_ramp.observe_cancelled(mean_latency / 2)
    assert target_ramp.mean_latency == mean_latency
    target_ramp.observe_cancelled(4 * mean_latency)
    assert target_ramp.mean_latency > mean_latency
    assert target_ramp.is_warm
