"""Injects each fault alone into real processes under load."""

import pytest

from scripts import faults
from scripts import trial

SEED = 11


@pytest.mark.parametrize("name", sorted(faults.ALL))
def test_promises_hold_under_fault(name, tmp_path):
    result = trial.run_trial((name,), SEED, tmp_path)
    assert result.violations == [], f"seed {SEED}"
    assert result.mismatched_answers == 0
    assert set(result.final_code_counts) <= trial.SUCCESS_CODES
