"""Each fault alone, on real processes under load, with all checks."""

import pytest

from scripts import faults
from scripts import trial

SEED = 11


@pytest.mark.parametrize("name", sorted(faults.ALL))
def test_promises_hold_under_fault(name, tmp_path):
    outcome = trial.run_trial((name,), SEED, tmp_path)
    assert outcome.violations == [], f"seed {SEED}"
    assert outcome.mismatched_answers == 0
    assert set(outcome.final_codes) <= trial.SERVED
