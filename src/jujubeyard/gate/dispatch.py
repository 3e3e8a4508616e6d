"""Sends queued calls to targets that have room."""

import asyncio
import itertools

import aiohttp

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.events import kinds
from jujubeyard.gate import answer
from jujubeyard.gate import headers
from jujubeyard.gate import hedge
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream

DRAIN_GRACE_SECONDS = 3.0
"""How long a drained target still gets calls of shards not moved yet."""

DEADLINE_GRACE_SECONDS = 0.05
"""Wait beyond the deadline for the target's own refusal."""

CANCEL_SECONDS = 0.05
"""How long a target may take to stop a call whose connection was closed."""

SERVER_ERROR = 500
_call_numbers = itertools.count(1)

_NOT_SENT = (aiohttp.ClientConnectorError, upstream.LeaseLapsedError)


def pump(gate: state.GateState, held: tables.QueueRow) -> None:
    """Sends as many calls of a queue as its targets have room for."""
    now = clock.boottime()
    while len(held.waiting):
        target = _choose_target(gate, held, now)
        if target is None:
            return
        entry = held.waiting.pop()
        row = entry.item
        row.entry = None
        if not _may_send(gate, row, target, now):
            continue
        _start(gate, row, target)


def _choose_target(
    gate: state.GateState, held: tables.QueueRow, now: float
) -> tables.TargetRow | None:
    """Returns the target with room that will answer first, or None."""
    ready = []
    for name in held.targets:
        row = gate.targets.get(name)
        if row is not None and row.has_room(now) and not _is_out(row, now):
            ready.append(row)
    if not ready:
        return None
    return min(ready, key=lambda row: _expected_seconds(row, now))


def _is_out(row: tables.TargetRow, now: float) -> bool:
    if row.drained_at is None:
        return False
    if not row.service.keyed:
        return True
    return now - row.drained_at > DRAIN_GRACE_SECONDS


def _expected_seconds(row: tables.TargetRow, now: float) -> tuple:
    usual = row.ramp.usual_seconds or 0.0
    used = row.used_slots(now)
    return ((used + 1) / row.ramp.limit * usual, used, row.name)


def _may_send(gate, row: tables.CallRow, target, now: float) -> bool:
    code = None
    if row.answered:
        return False
    if row.deadline <= now:
        code = codes.ResultCode.DEADLINE_PAST
    elif not gate.lease.is_valid(now):
        code = codes.ResultCode.LEASE_LAPSED
    elif row.call.shard >= 0 and not _owns(gate, row, target):
        code = codes.ResultCode.MOVED
    if code is None:
        return True
    answer.refuse(gate, row, code)
    return False


def _owns(gate, row: tables.CallRow, target: tables.TargetRow) -> bool:
    shard = gate.shards.get((row.call.service, row.call.shard))
    if shard is None or not shard.is_active:
        return False
    if row.service.keyed:
        return shard.target == target.name
    return True


def _start(gate, row: tables.CallRow, target: tables.TargetRow) -> None:
    shard = gate.shards.get((row.call.service, row.call.shard))
    row.epoch = shard.version if shard is not None else 0
    hedge.plan_hedge(gate, row, target, _start_attempt)
    _start_attempt(gate, row, target)


def _start_attempt(gate, row: tables.CallRow, target) -> None:
    row.target = target.name
    target.in_flight.add(row)
    row.attempts[target.name] = gate.tasks.spawn(_run(gate, row, target))


async def _run(
    gate: state.GateState, row: tables.CallRow, target: tables.TargetRow
) -> None:
    started = clock.boottime()
    order = upstream.Order(
        f"{gate.runtime.identity.incarnation}-{next(_call_numbers)}",
        row.call.shard if row.service.keyed else -1,
        row.epoch,
        target.version,
    )
    _record_send(gate, row, target)
    try:
        reply = await target.upstream.send(
            row.call, order, row.deadline - started + DEADLINE_GRACE_SECONDS
        )
        _finish_answered(gate, row, target, reply, started)
    except _NOT_SENT as exc:
        _finish_not_sent(gate, row, target, exc)
    except TimeoutError:
        _leave_ghost(row, target, row.deadline)
        _fail(gate, row, target, codes.ResultCode.DEADLINE_EXCEEDED)
    except aiohttp.ClientError:
        target.probe_now = True
        target.ramp.restart()
        _fail(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
    except asyncio.CancelledError:
        if row.answered:
            target.ramp.observe_cancelled(clock.boottime() - started)
        _leave_ghost(row, target, _end_of_cancelled(row))
        _fail(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
        raise
    finally:
        target.in_flight.discard(row)
        row.attempts.pop(target.name, None)
        if row.answered:
            hedge.cancel_attempts(row)
        held = gate.queue_of(target)
        if held is not None:
            pump(gate, held)


def _end_of_cancelled(row: tables.CallRow) -> float:
    """Returns when a cancelled call has ended at its target.

    Where keys have owners, only its deadline is certain.
    """
    if row.service.keyed:
        return row.deadline
    return min(row.deadline, clock.boottime() + CANCEL_SECONDS)


def _fail(gate, row: tables.CallRow, target, code: codes.ResultCode) -> None:
    """Answers a call whose attempt failed, unless another one runs."""
    row.attempts.pop(target.name, None)
    if row.attempts:
        row.may_have_run = True
        return
    if row.may_have_run and codes.CODE_INFO[code].not_run:
        code = codes.ResultCode.OUTCOME_UNKNOWN
    answer.refuse(gate, row, code)


def _record_send(gate, row: tables.CallRow, target) -> None:
    if not gate.runtime.timeline.records_calls:
        return
    gate.runtime.timeline.add(
        kinds.EventKind.SEND,
        service=row.call.service,
        call_kind=row.call.kind,
        key=row.call.key,
        shard=row.call.shard,
        epoch=row.epoch,
        target=target.name,
        holder=target.version,
        request_id=row.call.request_id,
        limit=target.ramp.limit,
        in_flight=len(target.in_flight),
    )


def _leave_ghost(
    row: tables.CallRow, target: tables.TargetRow, until: float
) -> None:
    target.ghosts.append(tables.Ghost(row.call.shard, until))


def _finish_answered(gate, row, target, reply, started: float) -> None:
    now = clock.boottime()
    target.answered_at = now
    target.refused = 0
    if target.ramp.observe_incarnation(reply.incarnation):
        _record_cold(gate, target, "incarnation")
    if not reply.is_own:
        _fail(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
        return
    if reply.refused:
        _finish_refused(gate, row, target, reply.refused)
        return
    gate.metrics.seconds.child(row.call.service).observe(now - started)
    if target.ramp.observe_success(now - started):
        _record_cold(gate, target, "slow")
    row.target = target.name
    code = codes.ResultCode.OK
    if reply.status >= SERVER_ERROR:
        code = codes.ResultCode.TARGET_ERROR
    answer.finish(gate, row, code, reply.status, reply.content_type, reply.body)


def _finish_refused(gate, row, target, reason: str) -> None:
    cold = (headers.REFUSED_COLD, headers.REFUSED_INCARNATION)
    if reason in cold:
        target.ramp.restart()
        _record_cold(gate, target, reason)
    target.probe_now = True
    code = codes.ResultCode.NOT_READY
    if reason == headers.REFUSED_FENCED:
        code = codes.ResultCode.OUTCOME_UNKNOWN
    if reason == headers.REFUSED_DEADLINE:
        code = codes.ResultCode.DEADLINE_PAST
    _fail(gate, row, target, code)


def _record_cold(gate, target: tables.TargetRow, reason: str) -> None:
    gate.runtime.record(
        kinds.EventKind.TARGET_COLD, target=target.name, reason=reason
    )


def _finish_not_sent(gate, row, target, exc: Exception) -> None:
    code = codes.ResultCode.LEASE_LAPSED
    if isinstance(exc, aiohttp.ClientConnectorError):
        code = codes.ResultCode.NOT_READY
        target.refused += 1
        target.probe_now = True
        target.ramp.restart()
    _fail(gate, row, target, code)


def expire_waiting(gate: state.GateState, now: float) -> None:
    """Answers waiting calls whose deadline has passed, or that can't go on."""
    for held in gate.queues.values():
        if not len(held.waiting):
            continue
        stuck = not _has_usable_target(gate, held, now)
        for entry in held.waiting.entries():
            if entry.deadline <= now:
                held.waiting.remove(entry)
                code = codes.ResultCode.DEADLINE_UNREACHABLE
                answer.refuse(gate, entry.item, code)
            elif stuck:
                held.waiting.remove(entry)
                answer.refuse(gate, entry.item, codes.ResultCode.NOT_READY)
        pump(gate, held)
    if gate.has_parked:
        gate.has_parked = False
        for shard in gate.shards.values():
            _expire_parked(gate, shard, now)


def _has_usable_target(gate, held: tables.QueueRow, now: float) -> bool:
    rows = [gate.targets[name] for name in held.targets if name in gate.targets]
    return any(row.life.is_held() and not _is_out(row, now) for row in rows)


def _expire_parked(gate, shard: tables.ShardRow, now: float) -> None:
    if not shard.parked:
        return
    gate.has_parked = True
    expired = [call for call in shard.parked if call.deadline <= now]
    shard.parked = [call for call in shard.parked if call.deadline > now]
    for call in expired:
        answer.refuse(gate, call, codes.ResultCode.DEADLINE_UNREACHABLE)


def cancel(gate: state.GateState, row: tables.CallRow) -> None:
    """Stops a call that nobody waits for any more."""
    held = gate.queues.get(row.queue_name)
    if row.entry is not None and held is not None:
        held.waiting.remove(row.entry)
    if not row.attempts:
        answer.refuse(gate, row, codes.ResultCode.DEADLINE_PAST)
    elif row.kind.idempotent:
        hedge.cancel_attempts(row)
