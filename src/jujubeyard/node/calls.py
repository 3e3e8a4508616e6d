"""Calls that callers send, and the replies to them."""

import collections.abc
import dataclasses

from jujubeyard import codes
from jujubeyard.node import answer_stream
from jujubeyard.node import body_stream


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known about a call that is in progress.

    Attributes:
        is_known_not_run: Whether no target has run the call or may still do so.
    """

    is_known_not_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call, read from its caller.

    Attributes:
        call_id: ID that the caller gave to this attempt.
        method: HTTP method.
        host: Value of the Host header.
        path: Path and query string exactly as they were sent.
        headers: All headers, in order.
        body: The complete body; empty if it is passed on as it arrives.
        key: The call's key; None if it has none.
        received_at: When the call was read, in monotonic seconds.
        timeout_seconds: How long the caller waits for the reply.
        stream: A large body, which is passed on as it arrives; None if the
            body is complete.
        progress: What is known about the call while it is in progress.
        may_stream_answer: Returns whether a large answer may be passed on as it
            arrives; asked once it has begun.
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
    stream: body_stream.BodyStream | None = None
    progress: Progress = dataclasses.field(default_factory=Progress)
    may_stream_answer: collections.abc.Callable[[], bool] = (
        answer_stream.may_always_stream
    )

    def limit_body(self, max_body_bytes: int) -> bool:
        """Limits the size of the body, and returns whether it may fit."""
        if self.stream is None:
            return len(self.body) <= max_body_bytes
        return self.stream.limit(max_body_bytes)

    def body_bytes(self) -> int:
        """Returns the size of the body as far as it is known."""
        if self.stream is None:
            return len(self.body)
        return self.stream.length or body_stream.WHOLE_BODY_BYTES

    def may_be_sent(self) -> bool:
        """Returns whether the body can be sent from its start."""
        return self.stream is None or self.stream.is_held


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call.

    Attributes:
        code: Result code.
        status: HTTP status.
        headers: Headers of the target's answer that are passed on.
        body: The complete body; empty if it is passed on as it arrives.
        retry_after: When the caller should retry, in seconds; 0.0 if it
            should not.
        stream: A large body, which is passed on as it arrives; None if the
            body is complete.
    """

    code: codes.ResultCode
    status: int
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    body: bytes = b""
    retry_after: float = 0.0
    stream: answer_stream.AnswerStream | None = None


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
