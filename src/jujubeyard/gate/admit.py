"""Admits calls: validation, deduplication, parking and queueing."""

import asyncio

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.admission import dedupe
from jujubeyard.admission import queue
from jujubeyard.gate import dispatch
from jujubeyard.gate import replies
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import link
from jujubeyard.link import messages

MILLISECONDS_PER_SECOND = 1000.0


def admit(
    gate: state.GateState, entry_link: link.Link, call: messages.Call
) -> None:
    """Accepts a call, or replies with the reason for refusing it."""
    row = _make_call_row(gate, entry_link, call)
    if row is None:
        return
    if call.shard >= 0:
        key = (call.service, call.shard)
        gate.call_weights[key] = (
            gate.call_weights.get(key, 0.0) + row.kind.weight
        )
    gate.calls[(id(entry_link), call.query)] = row
    if _refuse_if_unservable(gate, row):
        return
    if not row.kind.idempotent and not _register_request_id(gate, row):
        return
    park_or_enqueue(gate, row)


def _make_call_row(
    gate, entry_link, call: messages.Call
) -> tables.CallRow | None:
    now = clock.boottime()
    config = gate.follower.config
    service = config.services.get(call.service) if config else None
    kind = service.kinds.get(call.kind) if service else None
    if kind is None:
        code = codes.ResultCode.NOT_READY
        entry_link.send(
            messages.CallReply(
                call.query,
                int(code),
                0,
                "",
                b"",
                "",
                gate.follower.plan_version,
                0,
            )
        )
        gate.follower.resubscribe()
        return None
    deadline = now + call.budget / MILLISECONDS_PER_SECOND
    return tables.CallRow(call, entry_link, service, kind, deadline, now)


def _refuse_if_unservable(gate: state.GateState, row: tables.CallRow) -> bool:
    code = None
    if row.deadline <= row.received_at:
        code = codes.ResultCode.DEADLINE_PAST
    elif gate.rejects_calls:
        code = codes.ResultCode.SHUTTING_DOWN
    elif not gate.lease.is_valid(row.received_at):
        code = codes.ResultCode.LEASE_LAPSED
    if code is not None:
        replies.send_refusal(gate, row, code)
    return code is not None


def _register_request_id(gate: state.GateState, row: tables.CallRow) -> bool:
    """Registers the request ID of a call that is not idempotent.

    The ID of a call whose shard is not active yet is registered later, when
    the call is no longer parked.

    Returns:
        Whether to go on with the call. If not, the call has been refused or
        gets the reply of the first call with the same ID.
    """
    call = row.call
    shard = gate.shards.get((call.service, call.shard))
    if shard is None or not shard.is_active:
        return True
    now = clock.wall()
    first = gate.ids.find(call.service, call.request_id)
    if first is not None:
        _join_duplicate(gate, row, first)
        return False
    if row.service.requires_uuid7:
        issued_at = dedupe.uuid7_timestamp(call.request_id)
        if issued_at is None or issued_at > now + dedupe.SKEW_SECONDS:
            replies.send_refusal(gate, row, codes.ResultCode.BAD_REQUEST_ID)
            return False
        if gate.ids.may_be_duplicate(call.service, call.shard, issued_at, now):
            replies.send_refusal(
                gate, row, codes.ResultCode.DUPLICATE_UNDECIDED
            )
            return False
    row.outcome = asyncio.get_running_loop().create_future()
    gate.ids.add(
        dedupe.IdRecord(
            call.service, call.shard, call.request_id, now, row.outcome
        )
    )
    return True


def _join_duplicate(
    gate: state.GateState, row: tables.CallRow, first: dedupe.IdRecord
) -> None:
    if first.outcome is None:
        replies.send_refusal(gate, row, codes.ResultCode.DUPLICATE_UNDECIDED)
        return

    def send_joined_reply(future: asyncio.Future) -> None:
        reply = future.result()
        row.target = reply.target
        code = codes.ResultCode(reply.code)
        if code is codes.ResultCode.OK:
            code = codes.ResultCode.DUPLICATE_JOINED
        replies.send_reply(
            gate, row, code, reply.status, reply.content_type, reply.body
        )

    first.outcome.add_done_callback(send_joined_reply)


def park_or_enqueue(gate: state.GateState, row: tables.CallRow) -> None:
    """Parks or queues a call, or refuses it if this gate does not serve it."""
    call = row.call
    if call.shard < 0:
        queue_row = gate.queues.get(call.service)
        if queue_row is None or row.service.keyed:
            replies.send_refusal(gate, row, codes.ResultCode.MOVED)
            return
        _enqueue(gate, row, queue_row)
        return
    shard = gate.shards.get((call.service, call.shard))
    if shard is None:
        replies.send_refusal(gate, row, codes.ResultCode.MOVED)
    elif not shard.is_active:
        _park(gate, row, shard)
    else:
        name = shard.target if row.service.keyed else call.service
        _enqueue(gate, row, gate.queues[name])


def enqueue_parked(gate: state.GateState, shard: tables.ShardRow) -> None:
    """Queues the parked calls of a shard that has become active."""
    parked = shard.parked
    shard.parked = []
    for row in parked:
        if row.answered:
            continue
        if not row.kind.idempotent and row.outcome is None:
            if not _register_request_id(gate, row):
                continue
        park_or_enqueue(gate, row)


def _park(
    gate: state.GateState, row: tables.CallRow, shard: tables.ShardRow
) -> None:
    shard.parked = [call for call in shard.parked if not call.answered]
    if len(shard.parked) >= row.service.queue:
        replies.send_refusal(gate, row, codes.ResultCode.OVERLOADED)
        return
    shard.parked.append(row)
    gate.has_parked_calls = True


def _enqueue(
    gate: state.GateState, row: tables.CallRow, queue_row: tables.QueueRow
) -> None:
    if _would_miss_deadline(gate, row, queue_row):
        replies.send_refusal(gate, row, codes.ResultCode.DEADLINE_UNREACHABLE)
        return
    row.queue_entry = queue.QueueEntry(
        row,
        row.kind.urgency,
        row.call.member,
        row.kind.weight,
        row.deadline,
    )
    row.queue_name = queue_row.name
    evicted = queue_row.waiting.push(row.queue_entry)
    if evicted is not None:
        replies.send_refusal(gate, evicted.item, codes.ResultCode.OVERLOADED)
    dispatch.send_queued(gate, queue_row)


def _would_miss_deadline(
    gate: state.GateState, row: tables.CallRow, queue_row: tables.QueueRow
) -> bool:
    """Returns whether the calls ahead would delay a call past its deadline."""
    calls_ahead = queue_row.waiting.count_ahead(row.kind.urgency)
    if calls_ahead == 0:
        return False
    capacity = 0.0
    for name in queue_row.targets:
        target = gate.targets[name]
        mean_latency = target.ramp.mean_latency
        if target.lifecycle.is_held() and mean_latency:
            capacity += target.ramp.limit / mean_latency
    if capacity <= 0.0:
        return False
    return row.received_at + calls_ahead / capacity > row.deadline
