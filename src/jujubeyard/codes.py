"""Result codes of a call and their meaning for the caller.

CODE_INFO is also the table in docs/result-codes.md; a test checks that the two
are equal.
"""

import dataclasses
import enum


class ResultCode(enum.IntEnum):
    """Numeric result of one call, as sent to the caller."""

    OK = 100
    DUPLICATE_JOINED = 101
    TARGET_ERROR = 110
    BAD_REQUEST = 200
    UNKNOWN_SERVICE = 201
    UNKNOWN_KIND = 202
    MISSING_KEY = 203
    MISSING_REQUEST_ID = 204
    BODY_TOO_LARGE = 205
    BAD_REQUEST_ID = 206
    UNKNOWN_ROUTE = 207
    DEADLINE_PAST = 210
    DEADLINE_UNREACHABLE = 211
    OVERLOADED = 212
    NO_TARGET = 213
    MOVED = 214
    NOT_READY = 215
    TARGET_REFUSED = 216
    SHUTTING_DOWN = 217
    LEASE_LAPSED = 218
    GATE_UNREACHABLE = 219
    NOT_CONFIGURED = 220
    OUTCOME_UNKNOWN = 300
    DUPLICATE_UNDECIDED = 301
    DEADLINE_EXCEEDED = 302
    LINK_BAD_FRAME = 400
    LINK_FRAME_TOO_LARGE = 401
    LINK_BAD_VERSION = 402
    LINK_BAD_IDENTITY = 403


@dataclasses.dataclass(frozen=True, slots=True)
class CodeInfo:
    """Meaning of a result code for the caller.

    Attributes:
        http_status: HTTP status of a response with the code.
        not_run: Whether it is guaranteed that no target ran the call.
        summary: One-line description, also shown in the docs.
    """

    http_status: int
    not_run: bool
    summary: str


CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(200, False, "The target answered."),
    ResultCode.DUPLICATE_JOINED: CodeInfo(
        200, False, "The answer of an earlier call with this request id."
    ),
    ResultCode.TARGET_ERROR: CodeInfo(
        502, False, "The target ran the call and answered with an error."
    ),
    ResultCode.BAD_REQUEST: CodeInfo(
        400, True, "The request can't be understood."
    ),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(
        404, True, "No service has this name."
    ),
    ResultCode.UNKNOWN_KIND: CodeInfo(
        400, True, "The service has no such kind of call."
    ),
    ResultCode.MISSING_KEY: CodeInfo(
        400, True, "The service is keyed and the call has no key."
    ),
    ResultCode.MISSING_REQUEST_ID: CodeInfo(
        400, True, "The kind is non-repeatable and needs a request id."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        413, True, "The body is over the configured limit."
    ),
    ResultCode.BAD_REQUEST_ID: CodeInfo(
        400, True, "The request id is no UUID of version 7, or of the future."
    ),
    ResultCode.UNKNOWN_ROUTE: CodeInfo(
        404, True, "No route matches the host and path."
    ),
    ResultCode.DEADLINE_PAST: CodeInfo(
        504, True, "The deadline had passed before the call was sent."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        503, True, "The queue is too long for the deadline."
    ),
    ResultCode.OVERLOADED: CodeInfo(
        429, True, "The queue is full of calls at least as urgent."
    ),
    ResultCode.NO_TARGET: CodeInfo(
        503, True, "No target of the service is in service."
    ),
    ResultCode.MOVED: CodeInfo(
        503, True, "Another gate holds the target by now."
    ),
    ResultCode.NOT_READY: CodeInfo(
        503, True, "The gate is still acquiring the shard or the target."
    ),
    ResultCode.TARGET_REFUSED: CodeInfo(
        503, True, "The target refused the call before running it."
    ),
    ResultCode.SHUTTING_DOWN: CodeInfo(
        503, True, "The process takes no new calls."
    ),
    ResultCode.LEASE_LAPSED: CodeInfo(
        503, True, "The gate's lease lapsed before the call was sent."
    ),
    ResultCode.GATE_UNREACHABLE: CodeInfo(
        503, True, "No link to the gate; the call was not handed over."
    ),
    ResultCode.NOT_CONFIGURED: CodeInfo(
        503, True, "The process has no current configuration for the call yet."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        502, False, "The call was sent and may or may not have run."
    ),
    ResultCode.DUPLICATE_UNDECIDED: CodeInfo(
        409, False, "An earlier call with this request id may have run."
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(
        504, False, "The deadline passed while the call was running."
    ),
    ResultCode.LINK_BAD_FRAME: CodeInfo(
        500, True, "A link frame is truncated or malformed."
    ),
    ResultCode.LINK_FRAME_TOO_LARGE: CodeInfo(
        500, True, "A link frame is over the limit."
    ),
    ResultCode.LINK_BAD_VERSION: CodeInfo(
        500, True, "A link frame has an unknown protocol version."
    ),
    ResultCode.LINK_BAD_IDENTITY: CodeInfo(
        500, True, "The peer of a link has the wrong identity."
    ),
}

REROUTABLE = frozenset(
    {
        ResultCode.MOVED,
        ResultCode.NOT_READY,
        ResultCode.SHUTTING_DOWN,
        ResultCode.LEASE_LAPSED,
        ResultCode.GATE_UNREACHABLE,
    }
)
"""Codes on which an entry may retry the call within its deadline."""
