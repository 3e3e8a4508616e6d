"""HTTP client that sends calls to targets and classifies the outcomes."""

import collections.abc
import dataclasses
import enum

import aiohttp
import yarl

from jujubeyard import bodies
from jujubeyard import connections
from jujubeyard import heads
from jujubeyard.node import protocol

MAX_ANSWER_BYTES = 8 * bodies.MIB
MAX_BUFFERED_BYTES = 48 * bodies.MIB
"""Largest size of all answers that are being read. The smallest VMs have 200
MB, of which a node without calls uses a quarter."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's complete answer.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The complete body.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """The result of sending a call to a target.

    Attributes:
        outcome: What is known about the call.
        answer: The answer; None unless it was complete.
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
    """

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    call_id: str
    timeout_seconds: float
    on_fresh_connection: bool


class UpstreamClient:
    """Sends calls to targets over reused or new connections."""

    def __init__(self, header_names: protocol.HeaderNames):
        self._call_id_header = header_names.call_id
        self._reusing_session = connections.make_session(
            header_names.call_id, force_close=False
        )
        self._fresh_session = connections.make_session(
            header_names.call_id, force_close=True
        )
        self._reader = bodies.BodyReader(MAX_ANSWER_BYTES, MAX_BUFFERED_BYTES)

    async def close(self) -> None:
        """Closes all connections."""
        await self._reusing_session.close()
        await self._fresh_session.close()

    async def send(self, call: OutgoingCall) -> SendResult:
        """Sends a call and waits for its complete answer.

        Args:
            call: The call.

        Returns:
            The outcome, with the answer if it is complete.
        """
        session = (
            self._fresh_session
            if call.on_fresh_connection
            else self._reusing_session
        )
        timeout = _make_timeout(call.timeout_seconds)
        try:
            async with session.request(
                call.method,
                yarl.URL(f"http://{call.address}/"),
                data=call.body or None,
                headers=self._make_headers(call),
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                body = await self._reader.read(resp.content)
                return _classify_answer(resp, body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return SendResult(SendOutcome.NOT_SENT, detail=repr(exc))
        except TimeoutError as exc:
            return SendResult(SendOutcome.TIMED_OUT, detail=repr(exc))
        except (aiohttp.ClientError, OSError, ValueError) as exc:
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


def _classify_answer(resp: connections.Response, body: bytes) -> SendResult:
    """Returns the result of an answer that was read to its end.

    A body without a length ends when the connection is closed, so that only a
    reset shows that it is incomplete.
    """
    has_length = "Content-Length" in resp.headers
    is_chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    if not has_length and not is_chunked and resp.response_protocol.was_reset:
        return SendResult(
            SendOutcome.BROKEN,
            detail="connection reset before the end of the body",
        )
    headers = heads.decode_fields(resp.raw_headers)
    return SendResult(
        SendOutcome.ANSWERED, Answer(resp.status, headers, body), ""
    )
