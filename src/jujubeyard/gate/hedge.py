"""Sends slow idempotent calls to a second target.

Only for services without keys, and only as many as the budget allows. The
first answer counts and the other attempt is cancelled.
"""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.gate import state
from jujubeyard.gate import tables

HEDGE_FACTOR = 2.5
"""A call is hedged after this many times the usual time of the service."""

MIN_HEDGE_SECONDS = 0.005

Starter = collections.abc.Callable[
    [state.GateState, tables.CallRow, tables.TargetRow], None
]


def plan_hedge(
    gate: state.GateState,
    row: tables.CallRow,
    target: tables.TargetRow,
    start: Starter,
) -> None:
    """Sees to a second attempt in case the first one is slow.

    Args:
        gate: The gate.
        row: The call.
        target: Where the first attempt goes.
        start: Starts an attempt at a target.
    """
    service = row.service
    if service.keyed or not service.hedge or not row.kind.idempotent:
        return
    gate.hedges.earn()
    usual = _usual_seconds(gate, service.name)
    if usual is None:
        return
    delay = max(MIN_HEDGE_SECONDS, HEDGE_FACTOR * usual)
    asyncio.get_running_loop().call_later(
        delay, _send_again, gate, row, target.name, start
    )


def cancel_attempts(row: tables.CallRow) -> None:
    """Cancels the attempts of a call that still run."""
    for task in list(row.attempts.values()):
        task.cancel()


def _usual_seconds(gate: state.GateState, service: str) -> float | None:
    """Returns the usual time of the fastest held target, or None."""
    held = gate.queues.get(service)
    times = [
        gate.targets[name].ramp.mean_latency
        for name in (held.targets if held else ())
        if name in gate.targets
    ]
    return min((seconds for seconds in times if seconds), default=None)


def _send_again(
    gate: state.GateState, row: tables.CallRow, first: str, start: Starter
) -> None:
    now = clock.boottime()
    held = gate.queues.get(row.service.name)
    if row.answered or held is None or not gate.lease.is_valid(now):
        return
    ready = [
        gate.targets[name]
        for name in held.targets
        if name != first
        and name in gate.targets
        and gate.targets[name].drained_at is None
        and gate.targets[name].has_room(now)
    ]
    if not ready or not gate.hedges.spend():
        return
    gate.metrics.hedges.labels(row.service.name).inc()
    second = min(ready, key=lambda target: target.ramp.mean_latency or 0.0)
    start(gate, row, second)
