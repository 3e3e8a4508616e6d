"""HTTP client that sends calls to targets and classifies the outcomes."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import enum

import aiohttp
import yarl

from jujubeyard import bodies
from jujubeyard import connections
from jujubeyard import heads
from jujubeyard import memory
from jujubeyard.node import answer_stream
from jujubeyard.node import body_stream
from jujubeyard.node import protocol
from jujubeyard.node import sent_bytes

MAX_ANSWER_BYTES = 8 * bodies.MIB
MAX_SENT_BYTES_PER_TARGET = 4 * bodies.MIB
"""Largest size of the bodies that are sent to one target and not answered yet.
A target holds them in memory; a single larger one is sent all the same."""

CONNECT_TIMEOUT_SECONDS = 0.4
MIN_SENT_SECONDS = 0.005
"""Time that is left of a call's timeout when the wait for a connection ends, so
that a call whose time ends in that wait is known as not sent."""


class SendOutcome(enum.Enum):
    """What is known about a call after an attempt to send it to a target."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    BROKEN = "broken off"
    """The call may have run, but the answer is missing or incomplete."""

    TIMED_OUT = "timed out"
    CALLER_FAILED = "caller broke off"
    """The caller's body isn't complete. The target isn't at fault."""

    TARGET_FULL = "target has no room"
    """The target holds too much already. Nothing was sent."""

    NO_MEMORY = "no memory for the answer"
    """The call may have run, but the node can't hold the answer. The target
    isn't at fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The complete body; empty if it is passed on as it arrives.
        stream: A large body, which is passed on as it arrives; None if the
            body is complete.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes
    stream: answer_stream.AnswerStream | None = None

    def known_bytes(self) -> int:
        """Returns the size of the body, or of its start if it isn't known."""
        if self.stream is None:
            return len(self.body)
        return self.stream.length or answer_stream.WHOLE_ANSWER_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """The result of sending a call to a target.

    Attributes:
        outcome: What is known about the call.
        answer: The answer; None unless it was complete, or began well.
        detail: Description of the failure for the log.
    """

    outcome: SendOutcome
    answer: Answer | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call as it is sent to a target.

    Attributes:
        address: "IP:PORT" of the target.
        method: HTTP method.
        path: Path and query string exactly as the caller sent them.
        headers: Headers, in order.
        body: The body.
        call_id: ID that the caller gave to the call.
        timeout_seconds: How long to wait for the answer.
        on_fresh_connection: Whether the call needs a connection that no call
            has used before, so that the target can't close the connection as
            idle while the call is on its way.
        stream: The body, if it is passed on as it arrives.
        may_stream_answer: Returns whether a large answer may be passed on as it
            arrives; asked once it has begun.
    """

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    call_id: str
    timeout_seconds: float
    on_fresh_connection: bool
    stream: body_stream.BodyStream | None = None
    may_stream_answer: collections.abc.Callable[[], bool] = (
        answer_stream.may_always_stream
    )

    def known_bytes(self) -> int:
        """Returns the size of the body, or of its start if it is in chunks."""
        if self.stream is None:
            return len(self.body)
        return self.stream.length or body_stream.WHOLE_BODY_BYTES


class UpstreamClient:
    """Sends calls to targets over reused or new connections."""

    def __init__(
        self, header_names: protocol.HeaderNames, budget: memory.MemoryBudget
    ):
        """Initializes the client.

        Args:
            header_names: Names of the protocol's headers.
            budget: Memory for the answers of targets.
        """
        self._call_id_header = header_names.call_id
        self._reusing_session = connections.make_session(
            header_names.call_id, force_close=False
        )
        self._fresh_session = connections.make_session(
            header_names.call_id, force_close=True
        )
        self._budget = budget
        self._sent_bytes = sent_bytes.SentBytes(MAX_SENT_BYTES_PER_TARGET)

    async def close(self) -> None:
        """Closes all connections."""
        await self._reusing_session.close()
        await self._fresh_session.close()

    async def send(self, call: OutgoingCall) -> SendResult:
        """Sends a call and waits for its answer, or the start of a large one.

        Args:
            call: The call.

        Returns:
            The outcome, with the answer if it is complete or began well.
        """
        with self._sent_bytes.begin(call.address, call.known_bytes()) as body:
            if not body.is_admitted:
                return SendResult(SendOutcome.TARGET_FULL)
            return await self._send(call, body.count)

    async def _send(
        self,
        call: OutgoingCall,
        report_sent: collections.abc.Callable[[int], None],
    ) -> SendResult:
        """Sends a call for which its target has room."""
        session = (
            self._fresh_session
            if call.on_fresh_connection
            else self._reusing_session
        )
        deadline = asyncio.get_running_loop().time() + call.timeout_seconds
        timeout = _make_timeout(call.timeout_seconds)
        try:
            request = session.request(
                call.method,
                yarl.URL(f"http://{call.address}/"),
                data=_make_payload(call, report_sent),
                headers=self._make_headers(call),
                timeout=timeout,
                allow_redirects=False,
                read_bufsize=answer_stream.BLOCK_BYTES,
            )
            async with contextlib.AsyncExitStack() as stack:
                resp = await stack.enter_async_context(request)
                headers = heads.decode_fields(resp.raw_headers)
                body = await answer_stream.receive(
                    resp,
                    MAX_ANSWER_BYTES,
                    self._budget,
                    deadline,
                    call.may_stream_answer,
                )
                if isinstance(body, answer_stream.AnswerStream):
                    stack.pop_all()
                return _make_result(resp, headers, body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return SendResult(SendOutcome.NOT_SENT, detail=repr(exc))
        except TimeoutError as exc:
            if call.stream is not None and call.stream.note_timeout():
                return SendResult(SendOutcome.CALLER_FAILED, detail=repr(exc))
            return SendResult(SendOutcome.TIMED_OUT, detail=repr(exc))
        except bodies.BuffersFullError as exc:
            return SendResult(SendOutcome.NO_MEMORY, detail=repr(exc))
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            if call.stream is not None and call.stream.failure is not None:
                return SendResult(SendOutcome.CALLER_FAILED, detail=repr(exc))
            return SendResult(SendOutcome.BROKEN, detail=repr(exc))

    def _make_headers(self, call: OutgoingCall) -> dict[str, str]:
        """Returns the head of a call as its caller sent it, and its ID."""
        start_line = f"{call.method} {call.path} HTTP/1.1"
        headers = {
            heads.HEAD_FIELD: heads.format_head(start_line, call.headers)
        }
        if call.call_id:
            headers[self._call_id_header] = call.call_id
        return headers


def _make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns the limits of a call that may take a number of seconds."""
    connect_seconds = max(seconds - MIN_SENT_SECONDS, seconds / 2)
    return aiohttp.ClientTimeout(
        total=seconds,
        sock_connect=min(CONNECT_TIMEOUT_SECONDS, connect_seconds),
    )


def _make_payload(
    call: OutgoingCall, report_sent: collections.abc.Callable[[int], None]
) -> body_stream.StreamPayload | bytes | None:
    """Returns the body of a request, as the session takes it."""
    if call.stream is not None:
        return body_stream.StreamPayload(call.stream, report_sent)
    return call.body or None


def _make_result(
    resp: connections.Response,
    headers: collections.abc.Mapping[str, str],
    body: bytes | answer_stream.AnswerStream,
) -> SendResult:
    """Returns the result of an answer, of which the start was read."""
    if isinstance(body, answer_stream.AnswerStream):
        answer = Answer(resp.status, headers, b"", body)
    elif answer_stream.is_cut(resp):
        return SendResult(
            SendOutcome.BROKEN,
            detail="connection reset before the end of the body",
        )
    else:
        answer = Answer(resp.status, headers, body)
    return SendResult(SendOutcome.ANSWERED, answer)
