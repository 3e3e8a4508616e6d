"""Runs one trial: a small cluster under load, faults, and the checks."""

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
"""Two keyed services, of which one checks grants, and a pooled one."""

STREAMS = [
    Stream("desk", "read", True, 60, 60, 0.5),
    Stream("desk", "write", False, 40, 60, 0.5, duplicate_share=0.2),
    Stream("plot", "read", True, 60, 60, 0.5),
    Stream("plot", "write", False, 40, 60, 0.5, duplicate_share=0.2),
    Stream("pool", "order", False, 40, duplicate_share=0.2),
    Stream("pool", "look", True, 40),
]
BEFORE_SECONDS = 1.0
WARM_SECONDS = 4.0
"""How long the load goes on, at most, until all targets are warm: cold ones
just bear it, and without one of them they may not."""

AFTER_SECONDS = 2.0
HEAL_SECONDS = 30.0
MAX_FINAL_ROUNDS = 3
SERVED = {
    int(codes.ResultCode.OK),
    int(codes.ResultCode.DUPLICATE_JOINED),
}
"""Codes of a call that got its answer. Callers send some requests twice, and
the second one may arrive first."""


@dataclasses.dataclass
class Outcome:
    """What a trial showed.

    Attributes:
        violations: Broken promises.
        events: The merged history.
        codes: Number of calls by result code.
        final_codes: The same for the calls after the faults were mended.
        wrong: Answers that belong to another request.
        rules: Facts about the cluster.
    """

    violations: list[findings.Violation]
    events: list[dict]
    codes: dict[int, int]
    final_codes: dict[int, int]
    mismatched_answers: int
    rules: findings.ClusterInfo


def run_trial(
    names: tuple[str, ...],
    seed: int,
    directory: pathlib.Path,
    warm: bool = False,
) -> Outcome:
    """Runs a trial.

    Args:
        names: Faults to put in at once; see faults.ALL.
        seed: Seeds the load and the faults.
        directory: Where settings and histories go.
        warm: Whether targets are warm before the faults.
    """
    harness = history.Harness(SPEC, directory)
    chosen = [getattr(faults, name) for name in names]
    with harness.cluster:
        return asyncio.run(_run(harness, chosen, seed, warm))


async def _run(harness, chosen, seed: int, warm: bool) -> Outcome:
    fleet = harness.cluster
    await fleet.bring_up()
    await harness.record_accepted()
    entries = harness.entries
    load = generator.LoadGenerator(entries, seed, harness.history)
    stop = asyncio.Event()
    sending = asyncio.create_task(load.run(STREAMS, 300.0, stop))
    await asyncio.sleep(BEFORE_SECONDS)
    if warm:
        await fleet.wait_warm(WARM_SECONDS)
    rng = random.Random(seed)
    await asyncio.gather(*(fault(harness, rng) for fault in chosen))
    await asyncio.sleep(AFTER_SECONDS)
    stop.set()
    await sending
    await fleet.wait_settled(HEAL_SECONDS)
    after = await _send_until_served(harness, entries, seed)
    return Outcome(
        harness.check(),
        harness.read_history(),
        _sum_codes(load),
        _sum_codes(after),
        sum(
            r.mismatched_answers
            for g in (load, after)
            for r in g.reports.values()
        ),
        harness.rules(),
    )


async def _send_until_served(harness, entries, seed: int):
    """Sends calls until all of a round are served, a few rounds at most."""
    for number in range(MAX_FINAL_ROUNDS):
        after = generator.LoadGenerator(
            entries, seed + 1 + number, harness.history
        )
        await after.run(STREAMS, AFTER_SECONDS)
        if set(_sum_codes(after)) <= SERVED:
            break
    return after


def _sum_codes(load: generator.LoadGenerator) -> dict[int, int]:
    total: dict[int, int] = {}
    for report in load.reports.values():
        for code, count in report.codes.items():
            total[code] = total.get(code, 0) + count
    return dict(sorted(total.items()))


def name_codes(counts: dict[int, int]) -> str:
    """Returns counts by name of the result code, for people."""
    return ", ".join(f"{_name(code)} {count}" for code, count in counts.items())


def _name(code: int) -> str:
    if code == generator.NO_ANSWER:
        return "no answer"
    return codes.ResultCode(code).name.lower()
