"""Tests of how long calls to a service may take."""

import pytest

from jujubeyard.routing import bounds
from jujubeyard.routing import config


def _route(name, objective, timeout):
    shares = (config.TrafficShare("desk", 1.0),)
    return config.Route(
        name, "a.example", "/", shares, True, timeout, objective, 2, 1
    )


FIRST = _route("first", 0.3, 2.0)
SLOW = _route("slow", 1.0, 6.0)
HASTY = _route("hasty", 1.0, 0.5)


@pytest.mark.parametrize(
    ("calls", "low", "high"),
    [
        pytest.param([FIRST], 0.6, 0.6, id="one route"),
        pytest.param(
            [*[FIRST] * 500, SLOW],
            0.6,
            0.65,
            id="rare route with a longer objective",
        ),
        pytest.param([*[SLOW] * 500, *[FIRST] * 500], 0.6, 0.62, id="changed"),
        pytest.param(
            [*[SLOW] * 500, HASTY], 0.4, 0.4, id="rare route with less time"
        ),
    ],
)
def test_bound_follows_the_calls(calls, low, high):
    call_bounds = bounds.CallBounds()
    for number, route in enumerate(calls):
        seconds = call_bounds.observe("desk", route, number * 0.01)
    assert low - 1e-9 <= seconds <= high + 1e-9


def test_route_without_calls_does_not_shorten_the_bound_for_ever():
    call_bounds = bounds.CallBounds()
    call_bounds.observe("desk", HASTY, 0.0)
    later = bounds.ROUTE_SECONDS + 1.0
    assert call_bounds.observe("desk", FIRST, later) > 0.5


def test_services_have_bounds_of_their_own():
    call_bounds = bounds.CallBounds()
    call_bounds.observe("desk", HASTY, 0.0)
    assert call_bounds.observe("ledger", FIRST, 0.0) == pytest.approx(0.6)
