"""Short soaks with fixed seeds: node processes under injected faults."""

import pytest

from soak import core

SHORT_SECONDS = 8.0
SEEDS = [3, 6]
REGRESSION_SEEDS = [
    pytest.param(4, 25.0, id="a reload while a node starts ended it"),
]
"""Seeds and durations that once exposed a bug, with its cause as the ID."""


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_violates_no_guarantee(seed, tmp_path):
    outcome = core.run_seed(seed, tmp_path, SHORT_SECONDS)
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.call_count > 0


@pytest.mark.parametrize(("seed", "seconds"), REGRESSION_SEEDS)
def test_soak_of_a_regression_seed_violates_no_guarantee(
    seed, seconds, tmp_path
):
    outcome = core.run_seed(seed, tmp_path, seconds)
    assert [str(finding) for finding in outcome.findings] == []
