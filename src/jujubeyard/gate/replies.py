"""Sends replies to calls and updates the deduplication table."""

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.events import kinds
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import messages

MAX_CACHED_BODY_BYTES = 16 * 1024
"""Replies with a larger body are not kept for duplicates."""


def send_refusal(
    gate: state.GateState, row: tables.CallRow, code: codes.ResultCode
) -> None:
    """Replies to a call for which there is no response of a target."""
    send_reply(gate, row, code, 0, "", b"")


def send_reply(
    gate: state.GateState,
    row: tables.CallRow,
    code: codes.ResultCode,
    status: int,
    content_type: str,
    body: bytes,
) -> None:
    """Replies to a call, unless it has been replied to already.

    Args:
        gate: State of the gate.
        row: The call.
        code: Result code of the call.
        status: HTTP status of the target's response, or 0 if there is none.
        content_type: Content type of the body.
        body: Body of the target's response.
    """
    if row.answered:
        return
    row.answered = True
    call = row.call
    gate.calls.pop((id(row.entry_link), call.query), None)
    queue_row = gate.queues.get(row.target or call.service)
    reply = messages.CallReply(
        call.query,
        int(code),
        status,
        content_type,
        body,
        row.target,
        gate.follower.plan_version,
        len(queue_row.waiting) if queue_row else 0,
    )
    row.entry_link.send(reply)
    _resolve_duplicates(gate, row, reply)
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


def _resolve_duplicates(
    gate: state.GateState, row: tables.CallRow, reply: messages.CallReply
) -> None:
    if row.outcome is None:
        return
    not_run = codes.CODE_INFO[codes.ResultCode(reply.code)].not_run
    if not_run:
        gate.ids.discard(row.call.service, row.call.request_id)
    if not row.outcome.done():
        row.outcome.set_result(reply)
    if len(reply.body) > MAX_CACHED_BODY_BYTES:
        id_record = gate.ids.find(row.call.service, row.call.request_id)
        if id_record is not None:
            id_record.outcome = None
