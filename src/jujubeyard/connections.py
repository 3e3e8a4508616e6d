"""HTTP client sessions that keep the answers of a connection in step.

An answer is only taken for the request that it follows. Answers to other calls
are discarded, and a connection that brings more than was asked for is closed.
"""

import asyncio
import dataclasses
import errno
import fcntl
import socket
import struct
import termios

import aiohttp
from aiohttp import client_proto

from jujubeyard import bodies
from jujubeyard import heads
from jujubeyard import losses

MIN_INTERIM_STATUS = 100
SWITCHING_PROTOCOLS_STATUS = 101
"""Status that answers a request to change the protocol, which none here is."""

MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 300
MAX_FINAL_STATUS = 599
MAX_MESSAGES_PER_CALL = 16
"""Answers to other calls and interim answers after which the answer of a call
is not waited for any longer."""

MAX_BYTES_PER_CALL = 16 * bodies.MIB
"""Largest size of all that is received for a call, framing included."""

MAX_FRAMING_BYTES_PER_CALL = bodies.MIB
"""Largest size of what is received for a call beside bodies. Chunks of one byte
each need far more processor time than a body of the same size."""

MAX_FIELD_BYTES = 64 * 1024
MAX_FIELDS = 4096
"""Largest number of header fields of an answer, which the limit of framing
bounds together."""

PARSED_BYTES = 4096
"""Size of what is parsed at once."""

KEEPALIVE_TIMEOUT_SECONDS = 4.0
MAX_RESET_WAIT_SECONDS = 0.005
"""Longest time in which the reset of a new connection is awaited before it is
used; else that is as long as it took to connect."""

TCP_USER_TIMEOUT_MS = 2000
"""How long sent data may stay unacknowledged by the peer's kernel before the
connection is closed."""

SLOW_READER_TIMEOUT_MS = 0
"""The same for a peer that may read slowly: unlimited, as data that doesn't fit
into its window counts as unacknowledged too. The deadline of the call holds."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Size of what the kernel holds of a connection that isn't read. It counts as
memory of the process where that is limited."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes a close reset the connection, so that data delayed
on a link doesn't arrive later."""


class ResponseProtocol(client_proto.ResponseHandler):
    """Discards answers to other calls, and records resets of its connection.

    A connection on which anything follows a complete answer is closed.

    Attributes:
        call_id_header: Header with the ID of a call, in requests and answers.
        peer_address: Address of the peer ("IP:PORT"); empty before there is a
            connection.
        made_at: When the connection was made, in the time of the event loop.
        was_reset: Whether the connection was reset, by either side, instead of
            closed.
    """

    def __init__(
        self, loop, call_id_header: str, loss_tracker: losses.LossTracker
    ):
        super().__init__(loop)
        self.call_id_header = call_id_header
        self._loss_tracker = loss_tracker
        self.peer_address = ""
        self.made_at = loop.time()
        self._expected_call_id: str | None = None
        self._is_out_of_sync = False
        self._is_reader_slow = False
        self._is_answered = False
        self._message_count = 0
        self._received_bytes = 0
        self._payloads: list[aiohttp.StreamReader] = []
        self.was_reset = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Limits what is received at once."""
        transport.max_size = RECEIVE_BUFFER_BYTES
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self.peer_address = f"{host}:{port}"
        self._loss_tracker.add(self.peer_address)

    def begin_call(self) -> None:
        """Prepares for the next call and its answer."""
        if self._is_reader_slow:
            self._is_reader_slow = False
            set_send_timeout(self._socket(), TCP_USER_TIMEOUT_MS)
        self._is_answered = False
        self._message_count = 0
        self._received_bytes = 0
        self._payloads = []

    def tolerate_slow_reading(self) -> None:
        """Lets the peer take the current call slowly."""
        self._is_reader_slow = True
        set_send_timeout(self._socket(), SLOW_READER_TIMEOUT_MS)

    def _socket(self) -> socket.socket:
        return self.transport.get_extra_info("socket")

    def set_expected_call(self, call_id: str | None) -> None:
        """Sets the ID of the call whose answer is read next."""
        self._expected_call_id = call_id

    def forbid_reuse(self) -> None:
        """Makes the connection close instead of being used once more."""
        self._is_out_of_sync = True

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
            aiohttp.ClientPayloadError: Something came that is no answer, or too
                many answers that are not the one to this call.
        """
        while True:
            message, payload = await super().read()
            if not _may_begin_answer(message.code):
                self._is_out_of_sync = True
                raise aiohttp.ClientPayloadError(
                    f"status {message.code:03} begins no answer"
                )
            self._payloads.append(payload)
            self._message_count += 1
            if self._message_count > MAX_MESSAGES_PER_CALL:
                self._is_out_of_sync = True
                raise aiohttp.ClientPayloadError("too many answers")
            call_id = message.headers.get(self.call_id_header)
            if call_id is None or self._expected_call_id in (None, call_id):
                if self._expected_call_id is None:
                    self._is_out_of_sync |= message.code >= MIN_FAILURE_STATUS
                if message.code >= MIN_FINAL_STATUS:
                    payload.on_eof(self._finish_answer)
                return message, payload
            self._is_out_of_sync = True
            await _discard(payload)

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser until the answer is complete.

        The parser turns all that it is given into messages, so that it gets
        little at once: a block of small answers would take many times its size.
        """
        for start in range(0, len(data), PARSED_BYTES):
            if not self._parse(data[start : start + PARSED_BYTES]):
                return
        if not data:
            super().data_received(data)

    def _parse(self, data: bytes) -> bool:
        """Returns whether more data may follow."""
        if self._is_answered:
            self._is_out_of_sync = True
            self.abort()
            return False
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BYTES_PER_CALL:
            self._reset("too many bytes")
            return False
        super().data_received(data)
        if len(self) > MAX_MESSAGES_PER_CALL:
            self._reset("too many answers")
            return False
        if self._framing_bytes() > MAX_FRAMING_BYTES_PER_CALL:
            self._reset("too many bytes of framing")
            return False
        return self.exception() is None

    def _framing_bytes(self) -> int:
        """Returns the size of what was received beside bodies."""
        return self._received_bytes - sum(
            payload.total_bytes for payload in self._payloads
        )

    def _reset(self, reason: str) -> None:
        """Fails the call, whose answer isn't read any further."""
        self.was_reset = True
        error = aiohttp.ClientPayloadError(reason)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self.abort()

    def _finish_answer(self) -> None:
        self._is_answered = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the peer has closed or reset the connection."""
        self.was_reset |= exc is not None
        is_closed_by_peer = self.transport is not None
        super().connection_lost(exc)
        self._loss_tracker.remove(self.peer_address, is_closed_by_peer)


def _may_begin_answer(status: int) -> bool:
    """Returns whether a status is a final one of HTTP, or an interim one."""
    return (
        MIN_INTERIM_STATUS <= status <= MAX_FINAL_STATUS
        and status != SWITCHING_PROTOCOLS_STATUS
    )


async def _discard(payload: aiohttp.StreamReader) -> None:
    """Reads a body to its end; an unread one pauses its connection."""
    async for _ in payload.iter_any():
        pass


class Response(aiohttp.ClientResponse):
    """Keeps its protocol, to distinguish a reset from a close."""

    async def start(self, connection):
        """Starts to read the answer."""
        self.response_protocol = connection.protocol
        call_id_header = self.response_protocol.call_id_header
        self.response_protocol.set_expected_call(
            self.request_info.headers.get(call_id_header)
        )
        return await super().start(connection)

    def forbid_reuse(self) -> None:
        """Makes the connection close even if the answer was read whole."""
        self.response_protocol.forbid_reuse()


class Connector(aiohttp.TCPConnector):
    """Provides only connections on which no data of earlier calls is left."""

    def __init__(
        self,
        call_id_header: str,
        loss_tracker: losses.LossTracker | None = None,
        **options,
    ):
        """Initializes the connector.

        Args:
            call_id_header: Header with the ID of a call.
            loss_tracker: Is told of all connections; None if nobody asks it.
            **options: Options of the base class.
        """
        super().__init__(**options)
        loop = self._loop
        tracker = loss_tracker or losses.LossTracker()
        self._factory = lambda: ResponseProtocol(loop, call_id_header, tracker)
        self._usable_since: dict[str, float] = {}

    def replace_connections(self, address: str) -> None:
        """Lets requests to an address use only connections that are made later.

        Args:
            address: Address of a peer ("IP:PORT").
        """
        self._usable_since[address] = self._loop.time()

    async def connect(self, req, traces, timeout):
        """Returns a connection that is safe to use for a request."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if self._may_use(conn.protocol):
                conn.protocol.begin_call()
                return conn
            conn.close()

    def _may_use(self, proto: ResponseProtocol) -> bool:
        usable_since = self._usable_since.get(proto.peer_address, 0.0)
        return not proto.should_close and proto.made_at >= usable_since

    async def _create_connection(self, req, traces, timeout):
        """Returns a new connection that its peer hasn't reset at once.

        A peer whose connections are all in use accepts a further one and resets
        it. That arrives about as soon as the connection itself; a request that
        waits for it is known not to have been sent.

        Raises:
            aiohttp.ClientConnectorError: There is no connection.
        """
        started_at = self._loop.time()
        proto = await super()._create_connection(req, traces, timeout)
        connect_seconds = self._loop.time() - started_at
        await asyncio.sleep(min(connect_seconds, MAX_RESET_WAIT_SECONDS))
        if not proto.is_connected():
            error = ConnectionResetError(
                errno.ECONNRESET, "reset before a request was sent"
            )
            raise aiohttp.ClientConnectorError(req.connection_key, error)
        return proto


def _make_socket(address_info) -> socket.socket:
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family, kind, proto)
    set_dead_peer_detection(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    limit_receive_buffer(sock)
    return sock


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limits what the kernel holds of a connection that isn't read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Untaken:
    """What the peer of a connection hasn't taken of what was sent to it.

    Attributes:
        unsent_bytes: Size of what the process still holds.
        unacknowledged_bytes: Size of what the system still holds; None if it
            doesn't say.
    """

    unsent_bytes: int
    unacknowledged_bytes: int | None


def untaken(transport: asyncio.Transport) -> Untaken:
    """Returns what the peer of an open connection hasn't taken yet."""
    count = struct.pack("i", 0)
    sock = transport.get_extra_info("socket")
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return Untaken(transport.get_write_buffer_size(), None)
    (unacknowledged_bytes,) = struct.unpack("i", count)
    return Untaken(transport.get_write_buffer_size(), unacknowledged_bytes)


def is_delivered(transport: asyncio.Transport) -> bool:
    """Returns whether the peer's system is known to have all that was sent."""
    return untaken(transport) == Untaken(0, 0)


def set_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel close a connection whose peer is silent for seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    set_send_timeout(sock, TCP_USER_TIMEOUT_MS)


def set_send_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Sets how long sent data may stay unacknowledged, in milliseconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def make_session(
    call_id_header: str,
    force_close: bool,
    loss_tracker: losses.LossTracker | None = None,
) -> aiohttp.ClientSession:
    """Returns a client session that never retries a request by itself.

    Args:
        call_id_header: Header with the ID of a call.
        force_close: Whether each request uses a new connection.
        loss_tracker: Is told of all connections; None if nobody asks it.
    """
    options = {
        "limit": 0,
        "force_close": force_close,
        "socket_factory": _make_socket,
    }
    if not force_close:
        options["keepalive_timeout"] = KEEPALIVE_TIMEOUT_SECONDS
    session = aiohttp.ClientSession(
        connector=Connector(call_id_header, loss_tracker, **options),
        request_class=heads.Request,
        response_class=Response,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        max_headers=MAX_FIELDS,
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
    )
    session._retry_connection = False
    return session
