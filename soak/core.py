"""Runs soaks: starts a fleet under load, injects faults, runs the checks."""

import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

from jujubeyard import context
from jujubeyard import status
from jujubeyard.internal import command
from soak import callers
from soak import checks
from soak import faults
from soak import fleet
from soak import observations
from soak import timeline

PROGRAM = "soak"
STARTUP_SECONDS = 15.0
"""Longest time from starting a fleet until it serves calls."""

MAX_RECOVERY_SECONDS = 15.0
"""Longest time from the end of the last fault until calls are served."""

FAULT_SECONDS = 25.0
FAULT_PAUSE_SECONDS = (0.3, 2.0)
"""Shortest and longest pause between the starts of two faults."""

MAX_ACTIVE_FAULTS = 4
"""Largest number of faults that are active at a time."""

MAX_SEEDS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a soak.

    Attributes:
        seed: Its seed.
        findings: Violations of guarantees.
        call_count: Number of calls.
        served_share: Share of calls that were served.
        recovery_seconds: Time from the end of the last fault until calls were
            served again.
    """

    seed: int
    findings: list[observations.Finding]
    call_count: int
    served_share: float
    recovery_seconds: float


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the command line.

    Args:
        args: Arguments without the program's name; sys.argv if None.
        env: Streams to write to; those of the process if None.
    """
    env = env or context.Environment()

    def run(
        first: int = 1,
        count: int = 1,
        seconds: float = FAULT_SECONDS,
        only: str | tuple[str, ...] = (),
        directory: str = "",
        shape: str = "small",
    ) -> status.ExitStatus:
        """Runs a soak for each of several consecutive seeds.

        Args:
            first: First seed.
            count: Number of seeds.
            seconds: How long to inject faults for each seed.
            only: Comma-separated names of faults to inject; all if empty.
            directory: Where to keep settings, records and logs; a temporary one
                if empty.
            shape: Size of the fleet, by its name in `fleet.SHAPES`.
        """
        base = directory or tempfile.mkdtemp(prefix="soak-")
        fault_names = (only,) if isinstance(only, str) else only
        outcomes = []
        for seed in range(first, first + min(count, MAX_SEEDS)):
            seed_directory = pathlib.Path(base) / f"seed-{seed}"
            outcomes.append(
                run_seed(seed, seed_directory, seconds, fault_names, shape)
            )
            _print_outcome(outcomes[-1], env)
        env.stdout.write(f"logs: {base}\n")
        failed_count = sum(bool(outcome.findings) for outcome in outcomes)
        env.stdout.write(
            f"{failed_count} of {len(outcomes)} seeds with findings\n"
        )
        failure = status.ExitStatus.ERROR
        return failure if failed_count else status.ExitStatus.SUCCESS

    args = sys.argv[1:] if args is None else args
    return command.run_command(PROGRAM, run, args, env)


def _print_outcome(outcome: Outcome, env: context.Environment) -> None:
    env.stdout.write(
        f"seed {outcome.seed}: {outcome.call_count} calls, "
        f"{outcome.served_share:.3f} served, "
        f"recovered in {outcome.recovery_seconds:.1f} s, "
        f"{len(outcome.findings)} findings\n"
    )
    for finding in outcome.findings:
        env.stdout.write(f"  {finding}\n")
    env.stdout.flush()


def run_seed(
    seed: int,
    directory: pathlib.Path,
    seconds: float = FAULT_SECONDS,
    only: tuple[str, ...] = (),
    shape: str = "small",
) -> Outcome:
    """Runs one soak.

    Args:
        seed: Seed of the load and the faults.
        directory: Where to write settings, records, logs and the timeline.
        seconds: How long to inject faults.
        only: Names of the faults to inject; all if empty.
        shape: Size of the fleet, by its name in `fleet.SHAPES`.
    """
    directory.mkdir(parents=True, exist_ok=True)
    return asyncio.run(
        _run(seed, directory, seconds, only, fleet.SHAPES[shape])
    )


async def _run(seed, directory, seconds, only, shape) -> Outcome:
    rng = random.Random(seed)
    running_fleet = fleet.Fleet(random.Random(rng.random()), directory, shape)
    ctx = faults.FaultContext(running_fleet, rng)
    ctx.configure()
    balancer = callers.LoadBalancer(running_fleet, random.Random(rng.random()))
    load = callers.Callers(running_fleet, balancer, random.Random(rng.random()))
    jobs = (balancer.run, load.run, callers.Prober(running_fleet).run)
    tasks = []
    try:
        await running_fleet.start()
        tasks = [asyncio.create_task(job()) for job in jobs]
        await _wait_until_served(running_fleet.observed, STARTUP_SECONDS)
        await _inject_faults(ctx, seconds, only)
        recovery_seconds = await _wait_until_served(
            running_fleet.observed, MAX_RECOVERY_SECONDS
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await running_fleet.stop()
    running_fleet.read_records()
    outcome = _make_outcome(seed, running_fleet.observed, recovery_seconds)
    timeline.write(directory, running_fleet.observed)
    return outcome


async def _inject_faults(
    ctx: faults.FaultContext, seconds: float, only
) -> None:
    known = faults.ALL | faults.ONLY_BY_NAME
    candidates = [known[name] for name in only or faults.ALL]
    end = time.monotonic() + seconds
    started: dict[asyncio.Task, faults.Fault] = {}
    while time.monotonic() < end:
        await ctx.wait(*FAULT_PAUSE_SECONDS)
        active = [f for task, f in started.items() if not task.done()]
        fault = ctx.rng.choice(candidates)
        is_excluded = faults.NOT_BESIDE.get(fault, frozenset()) & set(active)
        if is_excluded or len(active) >= MAX_ACTIVE_FAULTS:
            continue
        started[asyncio.create_task(fault(ctx))] = fault
    await asyncio.gather(*started)


async def _wait_until_served(
    observed: observations.Observations, limit: float
) -> float:
    """Waits until enough calls are served, and returns how long it took.

    Adds a finding and returns if that takes longer than the limit.

    Args:
        observed: What was observed.
        limit: Longest time to wait, in seconds.
    """
    started_at = time.monotonic()
    window = checks.RECOVERY_WINDOW_SECONDS
    while True:
        await asyncio.sleep(window / 4)
        now = time.monotonic()
        start, end = now - 1.5 * window, now - window / 2
        share = checks.served_share(observed, start, end)
        if start >= started_at and share >= checks.RECOVERED_SHARE:
            return start - started_at
        if start - started_at > limit:
            observed.add_finding(
                observations.Rule.RECOVERY,
                now,
                f"the share of served calls was still {share:.2f}",
            )
            return start - started_at


def _make_outcome(
    seed: int, observed: observations.Observations, recovery_seconds: float
) -> Outcome:
    findings = checks.check_all(observed)
    calls = [c for c in observed.calls.values() if c.call_id.startswith("c")]
    served_share = sum(call.status == 200 for call in calls) / max(
        len(calls), 1
    )
    return Outcome(seed, findings, len(calls), served_share, recovery_seconds)
