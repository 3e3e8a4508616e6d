"""Tests of the bounds on queues at targets."""

import pytest

from jujubeyard.scheduling import queue_bounds


@pytest.mark.parametrize(
    ("calls", "rank", "work_seconds", "seconds"),
    [
        pytest.param([(0, 0.6)], 0, 0.1, 0.3, id="most urgent"),
        pytest.param([(0, 0.6), (2, 4.0)], 0, 0.1, 0.3, id="patient others"),
        pytest.param([(2, 4.0), (0, 0.6)], 1, 0.1, 0.21, id="less urgent"),
        pytest.param([(2, 4.0)], 1, 0.1, 1.4, id="only less urgent calls"),
        pytest.param([(0, 0.6)], 1, 2.0, 0.5, id="long work"),
        pytest.param([], 1, 2.0, 0.5, id="no calls yet"),
    ],
)
def test_longest_wait_at_a_target(calls, rank, work_seconds, seconds):
    bounds = queue_bounds.QueueBounds()
    for urgency, objective in calls:
        bounds.observe("desk", urgency, objective)
    assert bounds.seconds("desk", rank, work_seconds) == pytest.approx(seconds)


def test_patient_calls_leave_the_queue_of_urgent_calls_short():
    bounds = queue_bounds.QueueBounds()
    for _ in range(50):
        bounds.observe("desk", 2, 4.0)
        bounds.observe("desk", 1, 1.2)
    assert bounds.seconds("desk", 1, 0.2) < bounds.seconds("desk", 0, 0.2) < 1.2


@pytest.mark.parametrize(
    ("priorities", "seconds"),
    [
        pytest.param({"desk": [0, 2]}, 0.3, id="kept"),
        pytest.param({"desk": [1, 2]}, 2.0, id="no such priority"),
        pytest.param({}, 2.0, id="no such service"),
    ],
)
def test_objective_of_a_priority_without_a_route_is_forgotten(
    priorities, seconds
):
    bounds = queue_bounds.QueueBounds()
    bounds.observe("desk", 0, 0.6)
    bounds.retain(priorities)
    bounds.observe("desk", 2, 4.0)
    assert bounds.seconds("desk", 0, 0.1) == pytest.approx(seconds)
