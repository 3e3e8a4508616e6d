"""A call as it is read from a caller, and the reply to it."""

import collections.abc
import dataclasses

from jujubeyard import codes


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A whole call.

    Attributes:
        call_id: The caller's name for this attempt.
        method: HTTP method.
        host: Host header.
        path: Path and query as they were sent.
        headers: All headers in order.
        body: The whole body.
        key: The call's key; None if it has none.
        received: When it was read, in monotonic seconds.
        seconds: How long the caller waits.
    """

    call_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: int | None
    received: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call.

    Attributes:
        code: The numbered outcome.
        status: HTTP status.
        headers: Headers of the target's answer to pass on.
        body: The body.
        retry_after: When the caller should return, in seconds; 0.0 if it
            should not.
    """

    code: codes.ResultCode
    status: int
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    body: bytes = b""
    retry_after: float = 0.0


def refuse(code: codes.ResultCode, retry_after: float = 0.0) -> Reply:
    """Returns a reply of the router's own."""
    return Reply(
        code, codes.CODE_INFO[code].http_status, retry_after=retry_after
    )
