"""The ramp of a cold target."""

import pytest

from jujubeyard.admission import ramp


def make_warm() -> ramp.ConcurrencyRamp:
    limit = ramp.ConcurrencyRamp(1, 4, 2)
    for _ in range(100):
        limit.observe_success(0.01)
    assert limit.is_warm
    return limit


def test_cold_target_gets_no_more_until_it_has_answered():
    limit = ramp.ConcurrencyRamp(1, 4, 10)
    for _ in range(10):
        limit.observe_success(0.01)
        assert limit.limit == 1


def test_limit_climbs_one_slot_at_a_time():
    limit = ramp.ConcurrencyRamp(1, 4, 0)
    seen = []
    for _ in range(60):
        before = limit.limit
        limit.observe_success(0.01)
        assert limit.limit - before in (0, 1)
        seen.append(limit.limit)
    assert seen[-1] == 4


SIGNS = {
    "another incarnation": lambda limit: limit.observe_incarnation("2"),
    "three slow calls": lambda limit: [
        limit.observe_success(1.0) for _ in range(ramp.SLOW_STREAK)
    ],
    "restart": lambda limit: limit.reset(),
}


@pytest.mark.parametrize("name", SIGNS)
def test_sign_of_coldness_restarts_the_ramp(name):
    limit = make_warm()
    limit.observe_incarnation("1")
    SIGNS[name](limit)
    assert limit.limit == 1


def test_one_slow_call_is_no_sign():
    limit = make_warm()
    limit.observe_success(1.0)
    limit.observe_success(0.01)
    limit.observe_success(1.0)
    assert limit.is_warm


@pytest.mark.parametrize(
    ("limit", "expected"), [(0, 1), (1, 1), (3, 3), (4, 4), (9, 4)]
)
def test_handed_over_limit_is_resumed(limit, expected):
    resumed = ramp.ConcurrencyRamp(1, 4, 10)
    resumed.restore(limit, "1")
    assert resumed.limit == expected
    resumed.observe_incarnation("2")
    assert resumed.limit == 1


def test_cancelled_call_teaches_that_a_target_is_slower():
    limit = make_warm()
    usual = limit.mean_latency
    limit.observe_cancelled(usual / 2)
    assert limit.mean_latency == usual
    limit.observe_cancelled(4 * usual)
    assert limit.mean_latency > usual
    assert limit.is_warm
