"""Injects pairs of concurrent faults into real processes under load."""

import pytest

from scripts import trial

PAIRS = [
    ("kill_gate", "store_down", 21),
    ("pause_gate", "kill_first_controller", 22),
    ("kill_target", "pause_gate", 23),
    ("cut_gate_off", "drain_zone", 24),
    ("freeze_target", "kill_gate", 25),
    ("lose_store_answers", "kill_vm", 26),
    ("restart_gate_gracefully", "cut_controller_off", 27),
    ("pause_gate_and_controller", "freeze_target", 28),
]


@pytest.mark.parametrize(("first", "second", "seed"), PAIRS)
def test_promises_hold_under_two_faults(first, second, seed, tmp_path):
    result = trial.run_trial((first, second), seed, tmp_path)
    assert result.violations == [], f"seed {seed}"
    assert result.mismatched_answers == 0
    assert set(result.final_code_counts) <= trial.SUCCESS_CODES
