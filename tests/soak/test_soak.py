"""Short soaks with fixed seeds: real nodes under faults."""

import pytest

from soak import core

FAULT_SECONDS = 8.0
SEEDS = [3, 4]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    outcome = core.run_seed(seed, tmp_path, FAULT_SECONDS)
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.calls > 0
