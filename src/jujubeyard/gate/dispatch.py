"""Dispatches queued calls to targets that have room."""

import asyncio
import functools
import itertools

import aiohttp

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.events import kinds
from jujubeyard.gate import headers
from jujubeyard.gate import hedge
from jujubeyard.gate import replies
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream

DRAIN_GRACE_SECONDS = 3.0
"""How long a drained target still gets calls of shards not yet moved away."""

DEADLINE_GRACE_SECONDS = 0.05
"""Extra time after the deadline for the target to refuse the call itself."""

CANCEL_GRACE_SECONDS = 0.05
"""How long a call may run on at its target after its connection is closed."""

MIN_SERVER_ERROR_STATUS = 500

_call_numbers = itertools.count(1)

_NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, upstream.LeaseLapsedError)
"""Errors after which the target has certainly not received the call."""


def send_queued(gate: state.GateState, queue_row: tables.QueueRow) -> None:
    """Sends as many queued calls as the targets of the queue have room for."""
    now = clock.boottime()
    while len(queue_row.waiting):
        target = _choose_target(gate, queue_row, now)
        if target is None:
            return
        entry = queue_row.waiting.pop()
        row = entry.item
        row.queue_entry = None
        if not _may_send(gate, row, target, now):
            continue
        _start_call(gate, row, target)


def _choose_target(
    gate: state.GateState, queue_row: tables.QueueRow, now: float
) -> tables.TargetRow | None:
    """Returns the target with room that should respond first, or None."""
    usable = []
    for name in queue_row.targets:
        row = gate.targets.get(name)
        if (
            row is not None
            and row.has_room(now)
            and not _is_closed_by_drain(row, now)
        ):
            usable.append(row)
    if not usable:
        return None
    return min(usable, key=lambda row: _expected_response_key(row, now))


def _is_closed_by_drain(row: tables.TargetRow, now: float) -> bool:
    """Returns whether a drained target gets no more calls."""
    if row.drained_since is None:
        return False
    if not row.service.keyed:
        return True
    return now - row.drained_since > DRAIN_GRACE_SECONDS


def _expected_response_key(row: tables.TargetRow, now: float) -> tuple:
    """Returns a sort key: expected response time, slots in use, name."""
    mean_latency = row.ramp.mean_latency or 0.0
    used = row.used_slots(now)
    return ((used + 1) / row.ramp.limit * mean_latency, used, row.name)


def _may_send(gate, row: tables.CallRow, target, now: float) -> bool:
    code = None
    if row.answered:
        return False
    if row.deadline <= now:
        code = codes.ResultCode.DEADLINE_PAST
    elif not gate.lease.is_valid(now):
        code = codes.ResultCode.LEASE_LAPSED
    elif row.call.shard >= 0 and not _owns_shard(gate, row, target):
        code = codes.ResultCode.MOVED
    if code is None:
        return True
    replies.send_refusal(gate, row, code)
    return False


def _owns_shard(gate, row: tables.CallRow, target: tables.TargetRow) -> bool:
    shard = gate.shards.get((row.call.service, row.call.shard))
    if shard is None or not shard.is_active:
        return False
    if row.service.keyed:
        return shard.target == target.name
    return True


def _start_call(gate, row: tables.CallRow, target: tables.TargetRow) -> None:
    shard = gate.shards.get((row.call.service, row.call.shard))
    row.epoch = shard.version if shard is not None else 0
    hedge.schedule_hedge(gate, row, target, _start_attempt)
    _start_attempt(gate, row, target)


def _start_attempt(gate, row: tables.CallRow, target) -> None:
    row.target = target.name
    target.in_flight.add(row)
    row.attempts[target.name] = gate.tasks.spawn(
        _run_attempt(gate, row, target)
    )


async def _run_attempt(
    gate: state.GateState, row: tables.CallRow, target: tables.TargetRow
) -> None:
    started_at = clock.boottime()
    metadata = upstream.CallMetadata(
        f"{gate.runtime.identity.incarnation}-{next(_call_numbers)}",
        row.call.shard if row.service.keyed else -1,
        row.epoch,
        target.version,
    )
    try:
        response = await target.upstream.send(
            row.call,
            metadata,
            row.deadline - started_at + DEADLINE_GRACE_SECONDS,
            on_send=functools.partial(_record_send, gate, row, target),
        )
        _finish_answered(gate, row, target, response, started_at)
    except _NOT_SENT_ERRORS as exc:
        _finish_not_sent(gate, row, target, exc)
    except TimeoutError:
        _record_abandoned(row, target, row.deadline)
        _finish_failed(gate, row, target, codes.ResultCode.DEADLINE_EXCEEDED)
    except aiohttp.ClientError:
        target.probe_now = True
        target.ramp.reset()
        _finish_failed(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
    except asyncio.CancelledError:
        if row.answered:
            target.ramp.observe_cancelled(clock.boottime() - started_at)
        _record_abandoned(row, target, _cancelled_call_end(row))
        _finish_failed(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
        raise
    finally:
        target.in_flight.discard(row)
        row.attempts.pop(target.name, None)
        if row.answered:
            hedge.cancel_attempts(row)
        queue_row = gate.find_queue(target)
        if queue_row is not None:
            send_queued(gate, queue_row)


def _cancelled_call_end(row: tables.CallRow) -> float:
    """Returns when a cancelled call has certainly ended at its target.

    In a keyed service, where a call that runs on could overlap with those of
    the next owner, only the deadline counts as certain.
    """
    if row.service.keyed:
        return row.deadline
    return min(row.deadline, clock.boottime() + CANCEL_GRACE_SECONDS)


def _finish_failed(
    gate, row: tables.CallRow, target, code: codes.ResultCode
) -> None:
    """Refuses a call after a failed attempt, unless another attempt runs."""
    row.attempts.pop(target.name, None)
    if row.attempts:
        row.may_have_run = True
        return
    if row.may_have_run and codes.CODE_INFO[code].not_run:
        code = codes.ResultCode.OUTCOME_UNKNOWN
    replies.send_refusal(gate, row, code)


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


def _record_abandoned(
    row: tables.CallRow, target: tables.TargetRow, ends_by: float
) -> None:
    target.abandoned.append(tables.AbandonedCall(row.call.shard, ends_by))


def _finish_answered(gate, row, target, response, started_at: float) -> None:
    now = clock.boottime()
    target.last_response_at = now
    target.refused_connections = 0
    if target.ramp.observe_incarnation(response.incarnation):
        _record_cold(gate, target, "incarnation")
    if not response.matches_call:
        _finish_failed(gate, row, target, codes.ResultCode.OUTCOME_UNKNOWN)
        return
    if response.refusal:
        _finish_refused(gate, row, target, response.refusal)
        return
    gate.metrics.seconds.child(row.call.service).observe(now - started_at)
    if target.ramp.observe_success(now - started_at):
        _record_cold(gate, target, "slow")
    row.target = target.name
    code = codes.ResultCode.OK
    if response.status >= MIN_SERVER_ERROR_STATUS:
        code = codes.ResultCode.TARGET_ERROR
    replies.send_reply(
        gate, row, code, response.status, response.content_type, response.body
    )


def _finish_refused(gate, row, target, reason: str) -> None:
    cold_reasons = (headers.REFUSED_COLD, headers.REFUSED_INCARNATION)
    if reason in cold_reasons:
        target.ramp.reset()
        _record_cold(gate, target, reason)
    target.probe_now = True
    code = codes.ResultCode.NOT_READY
    if reason == headers.REFUSED_FENCED:
        code = codes.ResultCode.OUTCOME_UNKNOWN
    if reason == headers.REFUSED_DEADLINE:
        code = codes.ResultCode.DEADLINE_PAST
    _finish_failed(gate, row, target, code)


def _record_cold(gate, target: tables.TargetRow, reason: str) -> None:
    gate.runtime.record(
        kinds.EventKind.TARGET_COLD, target=target.name, reason=reason
    )


def _finish_not_sent(gate, row, target, exc: Exception) -> None:
    code = codes.ResultCode.LEASE_LAPSED
    if isinstance(exc, aiohttp.ClientConnectorError):
        code = codes.ResultCode.NOT_READY
        target.refused_connections += 1
        target.probe_now = True
        target.ramp.reset()
    _finish_failed(gate, row, target, code)


def expire_waiting(gate: state.GateState, now: float) -> None:
    """Refuses waiting calls that are past their deadline or have no target."""
    for queue_row in gate.queues.values():
        if not len(queue_row.waiting):
            continue
        has_no_target = not _has_usable_target(gate, queue_row, now)
        for entry in queue_row.waiting.entries():
            if entry.deadline <= now:
                queue_row.waiting.remove(entry)
                code = codes.ResultCode.DEADLINE_UNREACHABLE
                replies.send_refusal(gate, entry.item, code)
            elif has_no_target:
                queue_row.waiting.remove(entry)
                replies.send_refusal(
                    gate, entry.item, codes.ResultCode.NOT_READY
                )
        send_queued(gate, queue_row)
    if gate.has_parked_calls:
        gate.has_parked_calls = False
        for shard in gate.shards.values():
            _expire_parked(gate, shard, now)


def _has_usable_target(gate, queue_row: tables.QueueRow, now: float) -> bool:
    rows = [
        gate.targets[name] for name in queue_row.targets if name in gate.targets
    ]
    return any(
        row.lifecycle.is_held() and not _is_closed_by_drain(row, now)
        for row in rows
    )


def _expire_parked(gate, shard: tables.ShardRow, now: float) -> None:
    if not shard.parked:
        return
    gate.has_parked_calls = True
    expired = [call for call in shard.parked if call.deadline <= now]
    shard.parked = [call for call in shard.parked if call.deadline > now]
    for call in expired:
        replies.send_refusal(gate, call, codes.ResultCode.DEADLINE_UNREACHABLE)


def cancel_call(gate: state.GateState, row: tables.CallRow) -> None:
    """Cancels a call whose caller no longer waits for the reply.

    A call that is not idempotent is not interrupted once it has been sent.
    """
    queue_row = gate.queues.get(row.queue_name)
    if row.queue_entry is not None and queue_row is not None:
        queue_row.waiting.remove(row.queue_entry)
    if not row.attempts:
        replies.send_refusal(gate, row, codes.ResultCode.DEADLINE_PAST)
    elif row.kind.idempotent:
        hedge.cancel_attempts(row)
