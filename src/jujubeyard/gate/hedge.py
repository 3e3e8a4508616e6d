"""Hedging: sends a slow idempotent call to a second target.

Only calls to services that are not keyed are hedged, and only as many as the
budget allows. The first response wins and the other attempt is cancelled.
"""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.gate import state
from jujubeyard.gate import tables

HEDGE_FACTOR = 2.5
"""A call is hedged after this multiple of the lowest mean latency of the
service's targets."""

MIN_HEDGE_SECONDS = 0.005

AttemptStarter = collections.abc.Callable[
    [state.GateState, tables.CallRow, tables.TargetRow], None
]


def schedule_hedge(
    gate: state.GateState,
    row: tables.CallRow,
    target: tables.TargetRow,
    start_attempt: AttemptStarter,
) -> None:
    """Schedules a second attempt for a call that may turn out slow.

    Args:
        gate: State of the gate.
        row: The call.
        target: Target of the first attempt.
        start_attempt: Starts an attempt at a target.
    """
    service = row.service
    if service.keyed or not service.hedge or not row.kind.idempotent:
        return
    gate.hedge_budget.earn()
    mean_latency = _lowest_mean_latency(gate, service.name)
    if mean_latency is None:
        return
    delay = max(MIN_HEDGE_SECONDS, HEDGE_FACTOR * mean_latency)
    asyncio.get_running_loop().call_later(
        delay, _send_hedge, gate, row, target.name, start_attempt
    )


def cancel_attempts(row: tables.CallRow) -> None:
    """Cancels the attempts of a call that are still running."""
    for task in list(row.attempts.values()):
        task.cancel()


def _lowest_mean_latency(gate: state.GateState, service: str) -> float | None:
    """Returns the mean latency of the fastest target, or None without data."""
    queue_row = gate.queues.get(service)
    mean_latencies = [
        gate.targets[name].ramp.mean_latency
        for name in (queue_row.targets if queue_row else ())
        if name in gate.targets
    ]
    return min((seconds for seconds in mean_latencies if seconds), default=None)


def _send_hedge(
    gate: state.GateState,
    row: tables.CallRow,
    first_target: str,
    start_attempt: AttemptStarter,
) -> None:
    now = clock.boottime()
    queue_row = gate.queues.get(row.service.name)
    if row.answered or queue_row is None or not gate.lease.is_valid(now):
        return
    usable = [
        gate.targets[name]
        for name in queue_row.targets
        if name != first_target
        and name in gate.targets
        and gate.targets[name].drained_since is None
        and gate.targets[name].has_room(now)
    ]
    if not usable or not gate.hedge_budget.spend():
        return
    gate.metrics.hedges.labels(row.service.name).inc()
    second_target = min(
        usable, key=lambda target: target.ramp.mean_latency or 0.0
    )
    start_attempt(gate, row, second_target)
