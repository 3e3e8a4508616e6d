"""Runs faults, checks their time bounds and prints the measured times.

    python -m scripts.prove [--seeds 1,2,3] [NAME ...]

Unlike the tests, it compares times with the stated limits: a key is served
again within 2 s of a loss, a drain is complete within 5 s, and a configuration
is in force within 7 s. It also runs the store outage of 60 s.
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
"""Faults after which lost shards must be active again within the bound."""

KEYED_SERVICES = ("desk", "plot")


def prove(*names: str, seeds: str = "1,2,3") -> int:
    """Runs each fault once per seed and prints a table of the times.

    Args:
        *names: Names of faults; all faults by default.
        seeds: Random seeds, separated by commas. store_down_long runs with the
            first one only.

    Returns:
        Number of broken promises, exceeded bounds and mismatched answers.
    """
    env = context.Environment(sys.stdout)
    selected_faults = names or (*faults.ALL, "store_down_long")
    seed_numbers = [
        int(s) for s in str(seeds).strip("()").split(",") if s.strip()
    ]
    broken_count = 0
    rows = []
    for name in selected_faults:
        if name == "store_down_long":
            seed_numbers = seed_numbers[:1]
        row, fault_broken_count = _run_fault(env, name, seed_numbers)
        rows.append(row)
        broken_count += fault_broken_count
    tables.write_table(env, rows)
    tables.write_lines(env, ["", f"broken promises and bounds: {broken_count}"])
    return broken_count


def _run_fault(env, name: str, seeds: list[int]) -> tuple[dict, int]:
    gaps: dict[str, list[float]] = {service: [] for service in KEYED_SERVICES}
    drain_times, config_delays = [], []
    broken_count = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="prove-") as directory:
            result = trial.run_trial((name,), seed, pathlib.Path(directory))
        for violation in result.violations:
            tables.write_lines(env, [f"{name}, seed {seed}: {violation}"])
        broken_count += len(result.violations) + result.mismatched_answers
        for service in KEYED_SERVICES:
            gap = measures.longest_ownership_gap(result.events, service)
            gaps[service].append(gap)
            is_late = gap > measures.MAX_RECOVERY_SECONDS
            if is_late and name in RECOVERY_FAULTS:
                tables.write_lines(
                    env,
                    [f"{name}, seed {seed}: {service} recovered in {gap} s"],
                )
                broken_count += 1
        drain_times.append(
            measures.longest_drain_time(result.events, result.cluster_info)
        )
        config_delays.append(measures.longest_config_delay(result.events))
        codes = trial.format_code_counts(result.code_counts)
        tables.write_lines(env, [f"{name}, seed {seed}: {codes}"])
    must_recover = name in RECOVERY_FAULTS
    row = {
        "fault": name,
        "runs": len(seeds),
        "broken": broken_count,
        "desk back, s": _format_spread(gaps["desk"]) if must_recover else "-",
        "plot back, s": _format_spread(gaps["plot"]) if must_recover else "-",
        "last drained work, s": _format_spread(drain_times),
        "in force, s": _format_spread(config_delays),
    }
    return row, broken_count


def _format_spread(values: list[float]) -> str:
    if not any(values):
        return "-"
    median = statistics.median(values)
    return f"{median:.2f} ({min(values):.2f} to {max(values):.2f})"


def main() -> int:
    """Runs the program; returns 1 if a promise or bound was broken, else 0."""
    result = fire.Fire(prove, name="prove", serialize=lambda _: None)
    return 1 if result else 0


if __name__ == "__main__":
    sys.exit(main())
