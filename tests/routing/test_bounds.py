"""Tests of how long calls to a service may take."""

import pytest

from jujubeyard.routing import bounds


@pytest.mark.parametrize(
    ("objectives", "low", "high"),
    [
        pytest.param([0.3], 0.6, 0.6, id="one route"),
        pytest.param([*[0.3] * 500, 1.0], 0.6, 0.65, id="rare slow route"),
        pytest.param([*[1.0] * 500, 0.3], 1.95, 2.0, id="rare hasty route"),
        pytest.param([*[1.0] * 500, *[0.3] * 500], 0.6, 0.62, id="changed"),
    ],
)
def test_bound_follows_the_calls(objectives, low, high):
    call_bounds = bounds.CallBounds()
    for objective in objectives:
        seconds = call_bounds.observe("desk", objective)
    assert low - 1e-9 <= seconds <= high + 1e-9


def test_services_have_bounds_of_their_own():
    call_bounds = bounds.CallBounds()
    call_bounds.observe("desk", 1.0)
    assert call_bounds.observe("ledger", 0.3) == pytest.approx(0.6)
