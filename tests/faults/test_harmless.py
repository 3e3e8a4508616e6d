"""Faults and operations during which every call must succeed."""

import pytest

from jujubeyard.events import call_checks
from scripts import trial

SEED = 31
HARMLESS = [
    "cut_controller_off",
    "drain_target",
    "drain_zone",
    "kill_first_controller",
    "lose_store_answers",
    "race_operators",
    "restart_entry_gracefully",
    "restart_gate_gracefully",
    "store_down",
]


@pytest.mark.parametrize("name", HARMLESS)
def test_no_call_fails(name, tmp_path):
    result = trial.run_trial((name,), SEED, tmp_path, warm_up_first=True)
    assert result.violations == [], f"seed {SEED}"
    assert call_checks.check_no_interrupted_calls(result.events) == []
    assert set(result.code_counts) <= trial.SUCCESS_CODES
    assert set(result.final_code_counts) <= trial.SUCCESS_CODES
