"""Sends calls to targets over HTTP and says what is known of each."""

import collections.abc
import dataclasses
import enum
import socket
import struct

import aiohttp
from aiohttp import client_proto
import yarl

from jujubeyard.node import protocol

CONNECT_SECONDS = 0.4
KEEPALIVE_SECONDS = 4.0
UNACKNOWLEDGED_MS = 2000
"""How long the peer's kernel may be silent before a connection is cut."""

ABORTIVE_CLOSE = struct.pack("ii", 1, 0)
"""Closing resets, so that nothing held up on a link arrives later."""


class SendOutcome(enum.Enum):
    """What is known of a call that was given to a target."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    BROKEN = "broken off"
    """The call may have run; there is no whole answer."""

    TIMED_OUT = "timed out"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The whole body.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """How a call that was given to a target ended.

    Attributes:
        outcome: What is known.
        answer: The answer, if there was a whole one.
        detail: What happened, for the log.
    """

    outcome: SendOutcome
    answer: Answer | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A call as it is sent to a target.

    Attributes:
        address: "IP:PORT" of the target.
        method: HTTP method.
        path: Path and query as the caller sent them.
        headers: Headers in order.
        body: The body.
        call_id: Names the call.
        seconds: Time until an answer is of no use.
        on_fresh_connection: Whether no earlier call may have used the
            connection, so that a close by the target can't cross the call.
    """

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    call_id: str
    seconds: float
    on_fresh_connection: bool


class _Protocol(client_proto.ResponseHandler):
    """Drops answers to other calls, and knows how its connection ended."""

    def __init__(self, loop, names: protocol.HeaderNames):
        super().__init__(loop)
        self._names = names
        self._call_id: str | None = None
        self._is_spoilt = False
        self.was_reset = False

    def expect(self, call_id: str | None) -> None:
        """Names the call whose answer is read next."""
        self._call_id = call_id

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be used again."""
        return self._is_spoilt or super().should_close

    async def read(self):
        """Returns the next answer that is not another call's."""
        while True:
            message, payload = await super().read()
            named = message.headers.get(self._names.call_id)
            if named is None or self._call_id in (None, named):
                return message, payload
            self._is_spoilt = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes whether the connection ended in order."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class _Response(aiohttp.ClientResponse):
    """Keeps the protocol, to tell a reset from an end."""

    async def start(self, connection):
        """Begins to read the answer."""
        self.wire = connection.protocol
        names = self.wire._names
        self.wire.expect(self.request_info.headers.get(names.call_id))
        return await super().start(connection)


class _Connector(aiohttp.TCPConnector):
    """Gives out only connections on which nothing is left over."""

    def __init__(self, names: protocol.HeaderNames, **options):
        super().__init__(socket_factory=_make_socket, **options)
        loop = self._loop
        self._factory = lambda: _Protocol(loop, names)

    async def connect(self, req, traces, timeout):
        """Returns a connection for a request."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if not conn.protocol.should_close:
                return conn
            conn.close()


def _make_socket(address_info) -> socket.socket:
    family, kind, proto, _, _ = address_info
    made = socket.socket(family, kind, proto)
    set_dead_peer_detection(made)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_CLOSE)
    return made


def set_dead_peer_detection(made: socket.socket) -> None:
    """Makes the kernel cut a connection whose peer is silent for seconds."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )


def make_session(
    names: protocol.HeaderNames, force_close: bool
) -> aiohttp.ClientSession:
    """Returns a session that never sends a call twice by itself.

    Args:
        names: Names of the headers.
        force_close: Whether each call gets a connection of its own.
    """
    options = {"limit": 0, "force_close": force_close}
    if not force_close:
        options["keepalive_timeout"] = KEEPALIVE_SECONDS
    session = aiohttp.ClientSession(
        connector=_Connector(names, **options),
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


class Upstreams:
    """Sends calls to targets."""

    def __init__(self, names: protocol.HeaderNames):
        self._kept = make_session(names, force_close=False)
        self._fresh = make_session(names, force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self._kept.close()
        await self._fresh.close()

    async def send(self, call: Outgoing) -> Sent:
        """Sends a call and waits for its whole answer."""
        session = self._fresh if call.on_fresh_connection else self._kept
        timeout = aiohttp.ClientTimeout(
            total=call.seconds, sock_connect=CONNECT_SECONDS
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
                body = await resp.read()
                return _judge(resp, body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return Sent(SendOutcome.NOT_SENT, detail=repr(exc))
        except TimeoutError as exc:
            return Sent(SendOutcome.TIMED_OUT, detail=repr(exc))
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            return Sent(SendOutcome.BROKEN, detail=repr(exc))


def _judge(resp: _Response, body: bytes) -> Sent:
    has_length = "Content-Length" in resp.headers
    is_chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    if not has_length and not is_chunked and resp.wire.was_reset:
        return Sent(SendOutcome.BROKEN, detail="reset before the body's end")
    return Sent(
        SendOutcome.ANSWERED, Answer(resp.status, resp.headers, body), ""
    )
