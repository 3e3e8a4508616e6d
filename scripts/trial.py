"""Runs one trial: faults on a small cluster under load, then the checks."""

import asyncio
import dataclasses
import pathlib
import random

from jujubeyard import codes
from jujubeyard.events import findings
from jujubeyard.load import generator
from scripts import faults
from scripts import history
from scripts import specs

Kind = specs.KindSpec
Stream = generator.Stream


def _keyed_service(name: str, checks_grants: bool) -> specs.ServiceSpec:
    return specs.ServiceSpec(
        name,
        (
            Kind("read", True, 0, deadline_ms=800),
            Kind("write", False, 1, deadline_ms=1000),
        ),
        4,
        keyed=True,
        shards=16,
        cold_slots=2,
        warm_calls=8,
        work_ms=40.0,
        checks_grants=checks_grants,
    )


SPEC = specs.ClusterSpec(
    "trial",
    ("a", "b", "c"),
    5,
    (
        _keyed_service("desk", True),
        _keyed_service("plot", False),
        specs.ServiceSpec(
            "pool", (Kind("order", False, 1), Kind("look", True)), 3
        ),
    ),
)
"""Two keyed services, of which one checks grants, and one without keys."""

STREAMS = [
    Stream("desk", "read", True, 60, 60, 0.5),
    Stream("desk", "write", False, 40, 60, 0.5, duplicate_share=0.2),
    Stream("plot", "read", True, 60, 60, 0.5),
    Stream("plot", "write", False, 40, 60, 0.5, duplicate_share=0.2),
    Stream("pool", "order", False, 40, duplicate_share=0.2),
    Stream("pool", "look", True, 40),
]
LOAD_BEFORE_FAULT_SECONDS = 1.0
WARM_UP_TIMEOUT_SECONDS = 4.0
"""Longest time for which load runs before the faults to warm up the targets.

Cold targets can barely handle the load, and may not handle it without one of
them.
"""

LOAD_AFTER_FAULT_SECONDS = 2.0
SETTLE_TIMEOUT_SECONDS = 30.0
MAX_FINAL_LOAD_ROUNDS = 3
SUCCESS_CODES = {
    int(codes.ResultCode.OK),
    int(codes.ResultCode.DUPLICATE_JOINED),
}
"""Result codes of successful calls.

DUPLICATE_JOINED counts as success because callers send some requests twice,
and the second one may arrive first.
"""


@dataclasses.dataclass
class TrialResult:
    """Result of a trial.

    Attributes:
        violations: Violations that the checker found in the events.
        events: Events of all processes, merged.
        code_counts: Number of calls by result code, before, during and after
            the faults.
        final_code_counts: Number of calls by result code, in the last round of
            load after the faults were repaired.
        mismatched_answers: Number of answers that belong to another request.
        cluster_info: Zone and slots of each target, for the checker.
    """

    violations: list[findings.Violation]
    events: list[dict]
    code_counts: dict[int, int]
    final_code_counts: dict[int, int]
    mismatched_answers: int
    cluster_info: findings.ClusterInfo


def run_trial(
    fault_names: tuple[str, ...],
    seed: int,
    directory: pathlib.Path,
    warm_up_first: bool = False,
) -> TrialResult:
    """Runs a trial.

    Args:
        fault_names: Names of the faults to inject concurrently; functions of
            the module faults.
        seed: Random seed of the load and the faults.
        directory: Where settings, logs and event files are written.
        warm_up_first: Whether to wait for warm targets before the faults, for
            at most WARM_UP_TIMEOUT_SECONDS.

    Returns:
        The result of the trial.
    """
    harness = history.Harness(SPEC, directory)
    selected_faults = [getattr(faults, name) for name in fault_names]
    with harness.cluster:
        return asyncio.run(_run(harness, selected_faults, seed, warm_up_first))


async def _run(
    harness, selected_faults, seed: int, warm_up_first: bool
) -> TrialResult:
    cluster = harness.cluster
    await cluster.bring_up()
    await harness.record_accepted_config()
    entries = harness.entries
    load = generator.LoadGenerator(entries, seed, harness.history)
    stop = asyncio.Event()
    load_task = asyncio.create_task(load.run(STREAMS, 300.0, stop))
    await asyncio.sleep(LOAD_BEFORE_FAULT_SECONDS)
    if warm_up_first:
        await cluster.wait_for_warm_targets(WARM_UP_TIMEOUT_SECONDS)
    rng = random.Random(seed)
    await asyncio.gather(*(fault(harness, rng) for fault in selected_faults))
    await asyncio.sleep(LOAD_AFTER_FAULT_SECONDS)
    stop.set()
    await load_task
    await cluster.wait_for_settled_plan(SETTLE_TIMEOUT_SECONDS)
    final_load = await _send_until_all_succeed(harness, entries, seed)
    return TrialResult(
        harness.check_history(),
        harness.read_history(),
        _sum_codes(load),
        _sum_codes(final_load),
        sum(
            r.mismatched_answers
            for g in (load, final_load)
            for r in g.reports.values()
        ),
        harness.cluster_info(),
    )


async def _send_until_all_succeed(harness, entries, seed: int):
    """Sends rounds of calls until every call of a round succeeds.

    Stops after MAX_FINAL_LOAD_ROUNDS and returns the generator of the last
    round.
    """
    for round_index in range(MAX_FINAL_LOAD_ROUNDS):
        final_load = generator.LoadGenerator(
            entries, seed + 1 + round_index, harness.history
        )
        await final_load.run(STREAMS, LOAD_AFTER_FAULT_SECONDS)
        if set(_sum_codes(final_load)) <= SUCCESS_CODES:
            break
    return final_load


def _sum_codes(load: generator.LoadGenerator) -> dict[int, int]:
    total: dict[int, int] = {}
    for report in load.reports.values():
        for code, count in report.codes.items():
            total[code] = total.get(code, 0) + count
    return dict(sorted(total.items()))


def format_code_counts(counts: dict[int, int]) -> str:
    """Returns the counts as text, with the names of the result codes."""
    return ", ".join(
        f"{_code_name(code)} {count}" for code, count in counts.items()
    )


def _code_name(code: int) -> str:
    if code == generator.NO_ANSWER:
        return "no answer"
    return codes.ResultCode(code).name.lower()
