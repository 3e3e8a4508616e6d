"""Probes targets, renews their grants and detects lost targets."""

import aiohttp

from jujubeyard import clock
from jujubeyard.events import kinds
from jujubeyard.gate import lifecycle
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream

PROBE_INTERVAL_SECONDS = 0.25
"""Time between two probes of a target."""

UNRESPONSIVE_SECONDS = 0.6
"""Time without a response after which a target counts as lost."""

MAX_REFUSED_CONNECTIONS = 2
"""Consecutive refused connections after which a target counts as lost."""


def probe_targets(gate: state.GateState, now: float) -> None:
    """Starts probes that are due and detects targets that do not respond."""
    if not gate.lease.is_valid(now):
        return
    for row in gate.targets.values():
        if not row.lifecycle.is_sole_sender:
            continue
        if row.lifecycle.is_held() and _is_unresponsive(row, now):
            _mark_lost(gate, row)
        due = row.probe_now or now - row.last_probe_at >= PROBE_INTERVAL_SECONDS
        if due and (row.probe_task is None or row.probe_task.done()):
            row.probe_now = False
            row.last_probe_at = now
            row.probe_task = gate.tasks.spawn(_probe(gate, row))


def _is_unresponsive(row: tables.TargetRow, now: float) -> bool:
    if row.refused_connections >= MAX_REFUSED_CONNECTIONS:
        return True
    return (
        now - row.last_response_at > UNRESPONSIVE_SECONDS
        and row.failed_probes > 0
    )


async def _probe(gate: state.GateState, row: tables.TargetRow) -> None:
    try:
        if not row.upstream.knows_clock:
            response = await row.upstream.check_health()
            _record_response(gate, row, response)
        if row.service.checks_grants and row.lifecycle.is_held():
            await _renew_grants(gate, row)
        else:
            response = await row.upstream.check_health()
            _record_response(gate, row, response)
    except upstream.LeaseLapsedError:
        return
    except aiohttp.ClientConnectorError:
        row.failed_probes += 1
        row.refused_connections += 1
        row.probe_now = row.refused_connections < MAX_REFUSED_CONNECTIONS
    except (aiohttp.ClientError, TimeoutError, ValueError):
        row.failed_probes += 1
    finally:
        if gate.renew_now or not row.is_stable():
            gate.wake()


async def _renew_grants(gate, row: tables.TargetRow) -> None:
    grants = _grants_to_send(gate, row)
    version = row.version
    ends_at = clock.boottime() + upstream.GRANT_SECONDS
    row.grants.expire_at.update(dict.fromkeys(grants, ends_at))
    response = await row.upstream.renew_grants(version, grants)
    _record_response(gate, row, response)
    if not response.accepted or row.version != version:
        return
    row.grants.acked = grants
    row.grants.running = response.running
    if _grants_to_send(gate, row) != grants:
        row.probe_now = True


def _grants_to_send(gate, row: tables.TargetRow) -> dict[int, int]:
    if not row.service.keyed:
        return {}
    return {
        shard.shard: shard.version
        for shard in gate.shards.values()
        if shard.target == row.name and not shard.previous
    }


def _record_response(
    gate: state.GateState,
    row: tables.TargetRow,
    response: upstream.ProbeResponse,
) -> None:
    row.last_response_at = clock.boottime()
    row.refused_connections = 0
    row.failed_probes = 0
    if row.ramp.observe_incarnation(response.incarnation):
        row.grants.acked = {}
        row.probe_now = True
        gate.runtime.record(
            kinds.EventKind.TARGET_COLD,
            target=row.name,
            reason="incarnation",
        )
    if row.lifecycle.state == lifecycle.LOST:
        row.lifecycle.recover()
        row.ramp.reset()
        gate.renew_now = True
        gate.runtime.record(kinds.EventKind.TARGET_FOUND, target=row.name)


def _mark_lost(gate: state.GateState, row: tables.TargetRow) -> None:
    row.lifecycle.lose()
    row.ramp.reset()
    gate.renew_now = True
    gate.runtime.record(kinds.EventKind.TARGET_LOST, target=row.name)
