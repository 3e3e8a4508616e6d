"""What callers are told: outcomes of attempts and HTTP responses."""

import json

from aiohttp import web

from jujubeyard import codes
from jujubeyard.link import messages

CODE_HEADER = "Jujubeyard-Code"
NOT_RUN_HEADER = "Jujubeyard-Not-Run"


def make_local(code: codes.ResultCode) -> messages.CallReply:
    """Returns an outcome that no gate has sent."""
    return messages.CallReply(0, int(code), 0, "", b"", "", 0, 0)


def settle_at_deadline(last: messages.CallReply) -> messages.CallReply:
    """Returns the last outcome of a call whose deadline has passed."""
    code = codes.ResultCode(last.code)
    if code in codes.REROUTABLE:
        return make_local(codes.ResultCode.DEADLINE_UNREACHABLE)
    return last


def conclude(
    reply: messages.CallReply, may_have_run: bool
) -> messages.CallReply:
    """Returns the outcome of a call after all its attempts.

    Args:
        reply: Outcome of the last attempt.
        may_have_run: Whether an earlier attempt may have run, so that "not
            run" would not be true of the whole call.
    """
    not_run = codes.CODE_INFO[codes.ResultCode(reply.code)].not_run
    if may_have_run and not_run:
        return make_local(codes.ResultCode.OUTCOME_UNKNOWN)
    return reply


def make_response(reply: messages.CallReply) -> web.Response:
    """Returns the HTTP response of an outcome."""
    if reply.status == 0:
        return make_refusal(codes.ResultCode(reply.code))
    headers = {CODE_HEADER: str(reply.code), NOT_RUN_HEADER: "false"}
    if reply.content_type:
        headers["Content-Type"] = reply.content_type
    return web.Response(status=reply.status, body=reply.body, headers=headers)


def make_refusal(code: codes.ResultCode) -> web.Response:
    """Returns the HTTP response of a call without a target's answer."""
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
