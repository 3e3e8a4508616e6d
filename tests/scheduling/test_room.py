"""Room at a target that many nodes send to, with reports that are old."""

import pytest

from tests.scheduling import fleet


def _play(**fields):
    return fleet.Fleet(fleet.Scenario(**fields)).play()


def _served_share(played):
    """Returns the rate of served calls relative to what the target can do."""
    scenario = played.scenario
    seconds = scenario.seconds - scenario.settle_seconds
    return played.served.total() / (scenario.rate * seconds)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_steady_calls_within_the_capacity_are_admitted(seed):
    played = _play(demand=7.0, seed=seed)
    assert len(played.refused_at) <= 0.01 * played.came.total()
    assert not played.overfull


@pytest.mark.parametrize("is_limit_known", [True, False])
@pytest.mark.parametrize(
    ("demand", "rate"),
    [
        pytest.param(15.0, 10.0, id="half more than the target serves"),
        pytest.param(30.0, 10.0, id="hot key"),
        pytest.param(60.0, 10.0, id="very hot key"),
        pytest.param(90.0, 30.0, id="hot key at a fast target"),
    ],
)
def test_an_owner_of_a_hot_key_is_kept_busy_and_not_overfull(
    demand, rate, is_limit_known
):
    played = _play(demand=demand, rate=rate, is_limit_known=is_limit_known)
    assert _served_share(played) >= 0.9
    assert played.overfull <= 0.03 * played.came.total()


@pytest.mark.parametrize("demand", [15.0, 30.0, 90.0])
def test_with_the_reports_of_pressed_targets_no_call_is_too_many(demand):
    played = _play(demand=demand, report_seconds=0.1)
    assert _served_share(played) >= 0.9
    assert not played.overfull


@pytest.mark.parametrize("seconds", [1.0, 3.0, 10.0])
def test_old_reports_don_t_idle_the_owner_of_a_hot_key(seconds):
    played = _play(
        demand=30.0, report_seconds=seconds, seconds=60.0, settle_seconds=20.0
    )
    assert _served_share(played) >= 0.9
    without_pacing = played.came.total() - played.served.total()
    assert played.overfull < 0.6 * without_pacing


@pytest.mark.parametrize("misreport", [0, 50, 10**9])
def test_a_node_that_reports_nonsense_changes_little(misreport):
    played = _play(demand=30.0, misreport=misreport)
    assert _served_share(played) >= 0.9
    assert played.overfull <= 0.1 * played.came.total()


def test_urgent_calls_are_served_first_and_none_are_starved():
    played = _play(demand=14.0, urgencies=(0, 0, 1, 1, 2), seconds=80.0)
    shares = [played.served[rank] / played.came[rank] for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] >= 0.75
    assert shares[2] >= 0.3 * sum(shares) / 3


def test_calls_are_admitted_again_soon_after_a_burst():
    played = _play(demand=60.0, demand_until=15.0)
    assert not [at for at in played.refused_at if at > 20.0]


def test_without_a_known_limit_every_call_is_admitted():
    played = _play(demand=7.0, is_limit_known=False)
    assert not played.overfull
    assert not played.refused_at
