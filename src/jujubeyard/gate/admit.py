"""Takes calls on: checks, duplicates, parking and queueing."""

import asyncio

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.admission import dedupe
from jujubeyard.admission import queue
from jujubeyard.gate import answer
from jujubeyard.gate import dispatch
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import link
from jujubeyard.link import messages

MILLISECONDS = 1000.0


def admit(gate: state.GateState, peer: link.Link, call: messages.Call) -> None:
    """Takes a call on, or answers why not."""
    row = _make_row(gate, peer, call)
    if row is None:
        return
    if call.shard >= 0:
        key = (call.service, call.shard)
        gate.counts[key] = gate.counts.get(key, 0.0) + row.kind.weight
    gate.calls[(id(peer), call.query)] = row
    if _refuse_early(gate, row):
        return
    if not row.kind.idempotent and not _claim_id(gate, row):
        return
    place(gate, row)


def _make_row(gate, peer, call: messages.Call) -> tables.CallRow | None:
    now = clock.boottime()
    config = gate.follower.config
    service = config.services.get(call.service) if config else None
    kind = service.kinds.get(call.kind) if service else None
    if kind is None:
        code = codes.ResultCode.NOT_READY
        peer.send(
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
    deadline = now + call.budget / MILLISECONDS
    return tables.CallRow(call, peer, service, kind, deadline, now)


def _refuse_early(gate: state.GateState, row: tables.CallRow) -> bool:
    code = None
    if row.deadline <= row.received_at:
        code = codes.ResultCode.DEADLINE_PAST
    elif gate.refusing:
        code = codes.ResultCode.SHUTTING_DOWN
    elif not gate.lease.is_valid(row.received_at):
        code = codes.ResultCode.LEASE_LAPSED
    if code is not None:
        answer.refuse(gate, row, code)
    return code is not None


def _claim_id(gate: state.GateState, row: tables.CallRow) -> bool:
    """Remembers the id of a non-repeatable call.

    Returns:
        Whether the call may go on; if not, it has been or will be answered.
    """
    call = row.call
    shard = gate.shards.get((call.service, call.shard))
    if shard is None or not shard.is_active:
        return True
    now = clock.wall()
    known = gate.ids.find(call.service, call.request_id)
    if known is not None:
        _join(gate, row, known)
        return False
    if row.service.uuid7:
        issued_at = dedupe.uuid7_seconds(call.request_id)
        if issued_at is None or issued_at > now + dedupe.SKEW_SECONDS:
            answer.refuse(gate, row, codes.ResultCode.BAD_REQUEST_ID)
            return False
        if gate.ids.may_be_forgotten(call.service, call.shard, issued_at, now):
            answer.refuse(gate, row, codes.ResultCode.DUPLICATE_UNDECIDED)
            return False
    row.outcome = asyncio.get_running_loop().create_future()
    gate.ids.add(
        dedupe.IdRow(
            call.service, call.shard, call.request_id, now, row.outcome
        )
    )
    return True


def _join(
    gate: state.GateState, row: tables.CallRow, known: dedupe.IdRow
) -> None:
    if known.outcome is None:
        answer.refuse(gate, row, codes.ResultCode.DUPLICATE_UNDECIDED)
        return

    def finish(fut: asyncio.Future) -> None:
        reply = fut.result()
        row.target = reply.target
        code = codes.ResultCode(reply.code)
        if code is codes.ResultCode.OK:
            code = codes.ResultCode.DUPLICATE_JOINED
        answer.finish(
            gate, row, code, reply.status, reply.content_type, reply.body
        )

    known.outcome.add_done_callback(finish)


def place(gate: state.GateState, row: tables.CallRow) -> None:
    """Parks a call, queues it, or answers why not."""
    call = row.call
    if call.shard < 0:
        held = gate.queues.get(call.service)
        if held is None or row.service.keyed:
            answer.refuse(gate, row, codes.ResultCode.MOVED)
            return
        _enqueue(gate, row, held)
        return
    shard = gate.shards.get((call.service, call.shard))
    if shard is None:
        answer.refuse(gate, row, codes.ResultCode.MOVED)
    elif not shard.is_active:
        _park(gate, row, shard)
    else:
        name = shard.target if row.service.keyed else call.service
        _enqueue(gate, row, gate.queues[name])


def unpark(gate: state.GateState, shard: tables.ShardRow) -> None:
    """Queues the calls that waited for a shard that is active now."""
    parked = shard.parked
    shard.parked = []
    for row in parked:
        if row.answered:
            continue
        if not row.kind.idempotent and row.outcome is None:
            if not _claim_id(gate, row):
                continue
        place(gate, row)


def _park(
    gate: state.GateState, row: tables.CallRow, shard: tables.ShardRow
) -> None:
    shard.parked = [call for call in shard.parked if not call.answered]
    if len(shard.parked) >= row.service.queue:
        answer.refuse(gate, row, codes.ResultCode.OVERLOADED)
        return
    shard.parked.append(row)
    gate.has_parked = True


def _enqueue(
    gate: state.GateState, row: tables.CallRow, held: tables.QueueRow
) -> None:
    if _is_too_late(gate, row, held):
        answer.refuse(gate, row, codes.ResultCode.DEADLINE_UNREACHABLE)
        return
    row.entry = queue.Entry(
        row,
        row.kind.urgency,
        row.call.member,
        row.kind.weight,
        row.deadline,
    )
    row.queue_name = held.name
    refused = held.waiting.push(row.entry)
    if refused is not None:
        answer.refuse(gate, refused.item, codes.ResultCode.OVERLOADED)
    dispatch.pump(gate, held)


def _is_too_late(
    gate: state.GateState, row: tables.CallRow, held: tables.QueueRow
) -> bool:
    """Returns whether the calls ahead take longer than the deadline allows."""
    ahead = held.waiting.ahead_of(row.kind.urgency)
    if ahead == 0:
        return False
    capacity = 0.0
    for name in held.targets:
        target = gate.targets[name]
        usual = target.ramp.usual_seconds
        if target.life.is_held() and usual:
            capacity += target.ramp.limit / usual
    if capacity <= 0.0:
        return False
    return row.received_at + ahead / capacity > row.deadline
