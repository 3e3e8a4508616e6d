"""Probes held targets, renews their grants and notices lost ones."""

import aiohttp

from jujubeyard import clock
from jujubeyard.events import kinds
from jujubeyard.gate import lifecycle
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream

PROBE_SECONDS = 0.25
"""How often a held target is probed."""

SILENT_SECONDS = 0.6
"""Silence after which a target counts as lost."""

MAX_REFUSED = 2
"""Refused connections in a row after which a target counts as lost."""


def probe_targets(gate: state.GateState, now: float) -> None:
    """Starts probes that are due and notices targets that don't answer."""
    if not gate.lease.is_valid(now):
        return
    for row in gate.targets.values():
        if not row.life.is_settled:
            continue
        if row.life.is_held() and _is_silent(row, now):
            _lose(gate, row)
        due = row.probe_now or now - row.probed_at >= PROBE_SECONDS
        if due and (row.probing is None or row.probing.done()):
            row.probe_now = False
            row.probed_at = now
            row.probing = gate.tasks.spawn(_probe(gate, row))


def _is_silent(row: tables.TargetRow, now: float) -> bool:
    if row.refused >= MAX_REFUSED:
        return True
    return now - row.answered_at > SILENT_SECONDS and row.failed_probes > 0


async def _probe(gate: state.GateState, row: tables.TargetRow) -> None:
    try:
        if not row.upstream.knows_clock:
            answer = await row.upstream.check()
            _heard(gate, row, answer)
        if row.service.checks_grants and row.life.is_held():
            await _renew_grants(gate, row)
        else:
            answer = await row.upstream.check()
            _heard(gate, row, answer)
    except upstream.LeaseLapsedError:
        return
    except aiohttp.ClientConnectorError:
        row.failed_probes += 1
        row.refused += 1
        row.probe_now = row.refused < MAX_REFUSED
    except (aiohttp.ClientError, TimeoutError, ValueError):
        row.failed_probes += 1
    finally:
        if gate.renew_now or not row.is_quiet():
            gate.wake()


async def _renew_grants(gate, row: tables.TargetRow) -> None:
    wanted = _wanted_grants(gate, row)
    version = row.version
    ends_at = clock.boottime() + upstream.GRANT_SECONDS
    row.grants.ends.update(dict.fromkeys(wanted, ends_at))
    answer = await row.upstream.grant(version, wanted)
    _heard(gate, row, answer)
    if not answer.accepted or row.version != version:
        return
    row.grants.acked = wanted
    row.grants.running = answer.running
    if _wanted_grants(gate, row) != wanted:
        row.probe_now = True


def _wanted_grants(gate, row: tables.TargetRow) -> dict[int, int]:
    if not row.service.keyed:
        return {}
    return {
        shard.shard: shard.version
        for shard in gate.shards.values()
        if shard.target == row.name and not shard.previous
    }


def _heard(
    gate: state.GateState,
    row: tables.TargetRow,
    answer: upstream.ProbeAnswer,
) -> None:
    row.answered_at = clock.boottime()
    row.refused = 0
    row.failed_probes = 0
    if row.ramp.observe_incarnation(answer.incarnation):
        row.grants.acked = {}
        row.probe_now = True
        gate.runtime.record(
            kinds.EventKind.TARGET_COLD,
            target=row.name,
            reason="incarnation",
        )
    if row.life.state == lifecycle.LOST:
        row.life.find()
        row.ramp.restart()
        gate.renew_now = True
        gate.runtime.record(kinds.EventKind.TARGET_FOUND, target=row.name)


def _lose(gate: state.GateState, row: tables.TargetRow) -> None:
    row.life.lose()
    row.ramp.restart()
    gate.renew_now = True
    gate.runtime.record(kinds.EventKind.TARGET_LOST, target=row.name)
