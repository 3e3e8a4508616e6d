"""Builds call replies and the HTTP responses sent to callers."""

import json

from aiohttp import web

from jujubeyard import codes
from jujubeyard.link import messages

CODE_HEADER = "Jujubeyard-Code"
NOT_RUN_HEADER = "Jujubeyard-Not-Run"


def make_local_reply(code: codes.ResultCode) -> messages.CallReply:
    """Returns a reply that the entry generates itself."""
    return messages.CallReply(0, int(code), 0, "", b"", "", 0, 0)


def reply_at_deadline(last_reply: messages.CallReply) -> messages.CallReply:
    """Returns the reply of a call whose deadline passed between attempts.

    Args:
        last_reply: Reply of the last attempt.
    """
    code = codes.ResultCode(last_reply.code)
    if code in codes.REROUTABLE:
        return make_local_reply(codes.ResultCode.DEADLINE_UNREACHABLE)
    return last_reply


def make_final_reply(
    reply: messages.CallReply, may_have_run: bool
) -> messages.CallReply:
    """Returns the reply of a call after its last attempt.

    Args:
        reply: Reply of the last attempt.
        may_have_run: Whether an earlier attempt may have run. The caller
            must then not be sent a code that says the call did not run.
    """
    not_run = codes.CODE_INFO[codes.ResultCode(reply.code)].not_run
    if may_have_run and not_run:
        return make_local_reply(codes.ResultCode.OUTCOME_UNKNOWN)
    return reply


def make_response(reply: messages.CallReply) -> web.Response:
    """Returns the HTTP response for a reply."""
    if reply.status == 0:
        return make_error_response(codes.ResultCode(reply.code))
    headers = {CODE_HEADER: str(reply.code), NOT_RUN_HEADER: "false"}
    if reply.content_type:
        headers["Content-Type"] = reply.content_type
    return web.Response(status=reply.status, body=reply.body, headers=headers)


def make_error_response(code: codes.ResultCode) -> web.Response:
    """Returns the HTTP response for a call that no target answered."""
    info = codes.CODE_INFO[code]
    document = {
        "code": int(code),
        "name": code.name.lower(),
        "not_run": info.not_run,
        "summary": info.summary,
    }
    headers = {
        CODE_HEADER: str(int(code)),
        NOT_RUN_HEADER: str(info.not_run).lower(),
        "Content-Type": "application/json",
    }
    return web.Response(
        status=info.http_status,
        body=json.dumps(document).encode(),
        headers=headers,
    )
