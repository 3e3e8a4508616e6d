"""HTTP client that sends calls to targets and classifies the outcomes."""

import collections.abc
import dataclasses
import enum
import socket
import struct

import aiohttp
from aiohttp import client_proto
import yarl

from jujubeyard import bodies
from jujubeyard.node import protocol

MAX_ANSWER_BYTES = 8 * bodies.MIB
MAX_BUFFERED_BYTES = 48 * bodies.MIB
"""Largest size of all answers that are being read. The smallest VMs have 200
MB, of which a node without calls uses a quarter."""

MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 300
MAX_MESSAGES_PER_CALL = 16
"""Answers to other calls and interim answers after which the answer of a call
is not waited for any longer."""

CONNECT_TIMEOUT_SECONDS = 0.4
KEEPALIVE_TIMEOUT_SECONDS = 4.0
TCP_USER_TIMEOUT_MS = 2000
"""How long sent data may stay unacknowledged by the peer's kernel before the
connection is closed."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes a close reset the connection, so that data delayed
on a link doesn't arrive later."""


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


class _ResponseProtocol(client_proto.ResponseHandler):
    """Discards answers to other calls, and records resets of its connection.

    A connection on which anything follows a complete answer is closed.
    """

    def __init__(self, loop, header_names: protocol.HeaderNames):
        super().__init__(loop)
        self._header_names = header_names
        self._expected_call_id: str | None = None
        self._is_out_of_sync = False
        self._is_answered = False
        self._message_count = 0
        self.was_reset = False

    def begin_call(self) -> None:
        """Prepares for the answer to the next call."""
        self._is_answered = False
        self._message_count = 0

    def set_expected_call(self, call_id: str | None) -> None:
        """Sets the ID of the call whose answer is read next."""
        self._expected_call_id = call_id

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be reused."""
        return self._is_out_of_sync or super().should_close

    async def read(self):
        """Returns the next answer, without those that belong to other calls.

        Once such an answer was discarded, the connection is not reused, nor
        after a refusal of a request that has no ID: written once more, it could
        not be told from the answer to the next request.

        Raises:
            aiohttp.ClientPayloadError: Too many answers came that are not the
                one to this call.
        """
        while True:
            message, payload = await super().read()
            self._message_count += 1
            if self._message_count > MAX_MESSAGES_PER_CALL:
                self._is_out_of_sync = True
                raise aiohttp.ClientPayloadError("too many answers")
            call_id = message.headers.get(self._header_names.call_id)
            if call_id is None or self._expected_call_id in (None, call_id):
                if self._expected_call_id is None:
                    self._is_out_of_sync |= message.code >= MIN_FAILURE_STATUS
                if message.code >= MIN_FINAL_STATUS:
                    payload.on_eof(self._finish_answer)
                return message, payload
            self._is_out_of_sync = True

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser, unless the answer is complete already."""
        if self._is_answered and data:
            self._is_out_of_sync = True
            self.abort()
            return
        super().data_received(data)
        if len(self) > MAX_MESSAGES_PER_CALL:
            self.set_exception(aiohttp.ClientPayloadError("too many answers"))
            self.abort()

    def _finish_answer(self) -> None:
        self._is_answered = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the connection was reset instead of closed."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class _Response(aiohttp.ClientResponse):
    """Keeps its protocol, to distinguish a reset from a close."""

    async def start(self, connection):
        """Starts to read the answer."""
        self.response_protocol = connection.protocol
        header_names = self.response_protocol._header_names
        self.response_protocol.set_expected_call(
            self.request_info.headers.get(header_names.call_id)
        )
        return await super().start(connection)


class _Connector(aiohttp.TCPConnector):
    """Provides only connections on which no data of earlier calls is left."""

    def __init__(self, header_names: protocol.HeaderNames, **options):
        super().__init__(socket_factory=_make_socket, **options)
        loop = self._loop
        self._factory = lambda: _ResponseProtocol(loop, header_names)

    async def connect(self, req, traces, timeout):
        """Returns a connection that is safe to use for a request."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if not conn.protocol.should_close:
                conn.protocol.begin_call()
                return conn
            conn.close()


def _make_socket(address_info) -> socket.socket:
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family, kind, proto)
    set_dead_peer_detection(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def set_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel close a connection whose peer is silent for seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def make_session(
    header_names: protocol.HeaderNames, force_close: bool
) -> aiohttp.ClientSession:
    """Returns a client session that never retries a request by itself.

    Args:
        header_names: Names of the protocol's headers.
        force_close: Whether each request uses a new connection.
    """
    options = {"limit": 0, "force_close": force_close}
    if not force_close:
        options["keepalive_timeout"] = KEEPALIVE_TIMEOUT_SECONDS
    session = aiohttp.ClientSession(
        connector=_Connector(header_names, **options),
        response_class=_Response,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
    )
    session._retry_connection = False
    return session


class UpstreamClient:
    """Sends calls to targets over reused or new connections."""

    def __init__(self, header_names: protocol.HeaderNames):
        self._reusing_session = make_session(header_names, force_close=False)
        self._fresh_session = make_session(header_names, force_close=True)
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
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with session.request(
                call.method,
                yarl.URL(f"http://{call.address}{call.path}", encoded=True),
                data=call.body or None,
                headers=call.headers,
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


def _classify_answer(resp: _Response, body: bytes) -> SendResult:
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
    return SendResult(
        SendOutcome.ANSWERED, Answer(resp.status, resp.headers, body), ""
    )
