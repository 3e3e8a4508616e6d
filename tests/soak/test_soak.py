"""Short soaks with fixed seeds: real nodes under faults."""

import pytest

from soak import core

SHORT_SECONDS = 8.0
SEEDS = [3, 6]
FAILED_ONCE = [
    pytest.param(4, 25.0, id="a reload while a node starts ended it"),
]
"""Seeds that showed a fault, each with its cause."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    outcome = core.run_seed(seed, tmp_path, SHORT_SECONDS)
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.call_count > 0


@pytest.mark.parametrize(("seed", "seconds"), FAILED_ONCE)
def test_what_failed_once_holds(seed, seconds, tmp_path):
    outcome = core.run_seed(seed, tmp_path, seconds)
    assert [str(finding) for finding in outcome.findings] == []
