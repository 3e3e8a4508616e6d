"""Calls that callers send, and the replies to them."""

import collections.abc
import dataclasses

from jujubeyard import codes


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known about a call that is in progress.

    Attributes:
        is_known_not_run: Whether no target has run the call or may still do so.
    """

    is_known_not_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call, read completely from its caller.

    Attributes:
        call_id: ID that the caller gave to this attempt.
        method: HTTP method.
        host: Value of the Host header.
        path: Path and query string exactly as they were sent.
        headers: All headers, in order.
        body: The complete body.
        key: The call's key; None if it has none.
        received_at: When the call was read, in monotonic seconds.
        timeout_seconds: How long the caller waits for the reply.
        progress: What is known about the call while it is in progress.
    """

    call_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: int | None
    received_at: float
    timeout_seconds: float
    progress: Progress = dataclasses.field(default_factory=Progress)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call.

    Attributes:
        code: Result code.
        status: HTTP status.
        headers: Headers of the target's answer that are passed on.
        body: The body.
        retry_after: When the caller should retry, in seconds; 0.0 if it
            should not.
    """

    code: codes.ResultCode
    status: int
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    body: bytes = b""
    retry_after: float = 0.0


def make_error_reply(code: codes.ResultCode, retry_after: float = 0.0) -> Reply:
    """Returns a reply of the router itself, without a target's answer.

    Args:
        code: Result code; it determines the HTTP status.
        retry_after: When the caller should retry, in seconds; 0.0 if it
            should not.
    """
    return Reply(
        code, codes.CODE_INFO[code].http_status, retry_after=retry_after
    )
