"""Runs the faults with their time bounds and prints what was measured.

    python -m scripts.prove [--seeds 1,2,3] [NAME ...]

Unlike the tests it holds times against the stated targets: a key served again
within 2 s of a loss, drains done within 5 s, configuration in force within
7 s. It also runs the store outage of 60 s.
"""

import pathlib
import statistics
import sys
import tempfile

import fire

from jujubeyard import context
from jujubeyard.output import tables
from scripts import faults
from scripts import measures
from scripts import trial

RECOVERY_FAULTS = (
    "kill_target",
    "kill_gate",
    "kill_gate_and_target",
    "kill_vm",
    "freeze_target",
    "pause_gate",
    "store_slow_while_target_dies",
)
"""Faults whose lost shards must be served again within the bound."""

KEYED = ("desk", "plot")


def prove(*names: str, seeds: str = "1,2,3") -> int:
    """Runs proofs.

    Args:
        *names: Faults; all, if none is named.
        seeds: Numbers that seed one run each.
    """
    env = context.Environment(sys.stdout)
    chosen = names or (*faults.ALL, "store_down_long")
    numbers = [int(s) for s in str(seeds).strip("()").split(",") if s.strip()]
    broken = 0
    rows = []
    for name in chosen:
        if name == "store_down_long":
            numbers = numbers[:1]
        row, bad = _prove_one(env, name, numbers)
        rows.append(row)
        broken += bad
    tables.write_table(env, rows)
    tables.write_lines(env, ["", f"broken promises and bounds: {broken}"])
    return broken


def _prove_one(env, name: str, seeds: list[int]) -> tuple[dict, int]:
    gaps: dict[str, list[float]] = {service: [] for service in KEYED}
    drains, installs = [], []
    broken = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="prove-") as directory:
            outcome = trial.run_trial((name,), seed, pathlib.Path(directory))
        for violation in outcome.violations:
            tables.write_lines(env, [f"{name}, seed {seed}: {violation}"])
        broken += len(outcome.violations) + outcome.mismatched_answers
        for service in KEYED:
            gap = measures.longest_gap(outcome.events, service)
            gaps[service].append(gap)
            late = gap > measures.RECOVERY_SECONDS
            if late and name in RECOVERY_FAULTS:
                tables.write_lines(
                    env, [f"{name}, seed {seed}: {service} back in {gap} s"]
                )
                broken += 1
        drains.append(
            measures.latest_drained_work(outcome.events, outcome.rules)
        )
        installs.append(measures.slowest_installation(outcome.events))
        codes = trial.name_codes(outcome.codes)
        tables.write_lines(env, [f"{name}, seed {seed}: {codes}"])
    recovers = name in RECOVERY_FAULTS
    row = {
        "fault": name,
        "runs": len(seeds),
        "broken": broken,
        "desk back, s": _spread(gaps["desk"]) if recovers else "-",
        "plot back, s": _spread(gaps["plot"]) if recovers else "-",
        "last drained work, s": _spread(drains),
        "in force, s": _spread(installs),
    }
    return row, broken


def _spread(values: list[float]) -> str:
    if not any(values):
        return "-"
    middle = statistics.median(values)
    return f"{middle:.2f} ({min(values):.2f} to {max(values):.2f})"


def main() -> int:
    """Runs the program; its status is 1 if anything is broken."""
    outcome = fire.Fire(prove, name="prove", serialize=lambda _: None)
    return 1 if outcome else 0


if __name__ == "__main__":
    sys.exit(main())
