"""Answers calls and settles what the gate remembers of them."""

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.events import kinds
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import messages

MAX_KEPT_BODY_BYTES = 16 * 1024
"""Larger answers are not kept for duplicates."""


def refuse(
    gate: state.GateState, row: tables.CallRow, code: codes.ResultCode
) -> None:
    """Answers a call without an answer of a target."""
    finish(gate, row, code, 0, "", b"")


def finish(
    gate: state.GateState,
    row: tables.CallRow,
    code: codes.ResultCode,
    status: int,
    content_type: str,
    body: bytes,
) -> None:
    """Answers a call once.

    Args:
        gate: The gate.
        row: The call.
        code: Its outcome.
        status: HTTP status of the target, or 0.
        content_type: Content type of the body.
        body: The body.
    """
    if row.answered:
        return
    row.answered = True
    call = row.call
    gate.calls.pop((id(row.peer), call.query), None)
    held = gate.queues.get(row.target or call.service)
    reply = messages.CallReply(
        call.query,
        int(code),
        status,
        content_type,
        body,
        row.target,
        gate.follower.plan_version,
        len(held.waiting) if held else 0,
    )
    row.peer.send(reply)
    _settle_duplicates(gate, row, reply)
    gate.metrics.calls.child(call.service, int(code)).inc()
    if not gate.runtime.timeline.records_calls:
        return
    gate.runtime.timeline.add(
        kinds.EventKind.REPLY,
        service=call.service,
        call_kind=call.kind,
        request_id=call.request_id,
        code=int(code),
        target=row.target,
        seconds=round(clock.boottime() - row.received_at, 6),
    )


def _settle_duplicates(
    gate: state.GateState, row: tables.CallRow, reply: messages.CallReply
) -> None:
    if row.outcome is None:
        return
    not_run = codes.CODE_INFO[codes.ResultCode(reply.code)].not_run
    if not_run:
        gate.ids.discard(row.call.service, row.call.request_id)
    if not row.outcome.done():
        row.outcome.set_result(reply)
    if len(reply.body) > MAX_KEPT_BODY_BYTES:
        known = gate.ids.find(row.call.service, row.call.request_id)
        if known is not None:
            known.outcome = None
