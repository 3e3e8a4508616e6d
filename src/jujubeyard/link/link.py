"""One long-lived, multiplexed connection between two processes."""

import asyncio
import collections.abc
import itertools
import logging

import websockets
import websockets.asyncio.client
import websockets.asyncio.server
import websockets.exceptions

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard import errors
from jujubeyard.link import codec
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import messages
from jujubeyard.link import traffic

MAX_OUTBOX_MESSAGES = 16384
HANDSHAKE_TIMEOUT_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 0.2
CLOSE_CODE_POLICY_VIOLATION = 1008
_logger = logging.getLogger(__name__)

Handler = collections.abc.Callable[["Link", messages.Message], None]


class Link:
    """A connection to one peer.

    Messages sent in one iteration of the event loop share a frame. Replies are
    matched with requests by their `query` field.

    Attributes:
        peer: The peer's Hello.
        closed: An event that is set once the connection is closed.
    """

    def __init__(
        self,
        conn,
        peer: messages.Hello,
        handler: Handler,
        link_faults: faults.LinkFaults,
    ):
        self.peer = peer
        self.closed = asyncio.Event()
        self._conn = conn
        self._handler = handler
        self._faults = link_faults
        self._outbox: list[messages.Message] = []
        self._wakeup = asyncio.Event()
        self._query_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future] = {}

    @property
    def peer_name(self) -> str:
        """The peer's "vm/incarnation"."""
        return f"{self.peer.vm}/{self.peer.incarnation}"

    def send(self, message: messages.Message) -> bool:
        """Queues a message for the next frame.

        Returns:
            Whether the message was accepted; False if the link is closed or
            the outbox is full. A message that an injected fault drops counts
            as accepted.
        """
        if self.closed.is_set() or len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            return False
        if self._faults.drops_to(self.peer.role, self.peer.vm):
            return True
        self._outbox.append(message)
        self._wakeup.set()
        return True

    def send_request(self, request: messages.Message) -> asyncio.Future | None:
        """Sends a request.

        Args:
            request: A message with a `query` field, which is set to a new ID.

        Returns:
            A future of the reply, which fails with ConnectionError if the
            link closes first; None if the request was not accepted.
        """
        request.query = next(self._query_ids)
        if not self.send(request):
            return None
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[request.query] = future
        future.add_done_callback(
            lambda _, query=request.query: self._pending_replies.pop(
                query, None
            )
        )
        return future

    async def run(self) -> None:
        """Receives and sends messages until the connection closes."""
        writer = asyncio.create_task(self._write_frames())
        try:
            await self._read_frames()
        finally:
            self._fail_pending()
            writer.cancel()

    def close(self) -> None:
        """Aborts the connection without sending queued messages."""
        self._fail_pending()
        self._conn.transport.abort()

    async def flush_and_close(self) -> None:
        """Sends the queued messages, then closes the connection."""
        while self._outbox and not self.closed.is_set():
            await asyncio.sleep(0)
        await self._conn.close()

    async def _read_frames(self) -> None:
        try:
            async for frame in self._conn:
                traffic.total.received += len(frame)
                reading, batch = codec.decode_frame(frame)
                clock.hybrid_clock.observe(reading)
                if self._faults.drops_from(self.peer.role, self.peer.vm):
                    continue
                for message in batch:
                    self._handle_incoming(message)
        except websockets.exceptions.ConnectionClosed:
            pass
        except errors.LinkError as exc:
            await self._conn.close(
                CLOSE_CODE_POLICY_VIOLATION, str(int(exc.code))
            )

    def _handle_incoming(self, message: messages.Message) -> None:
        if not isinstance(message, messages.REPLIES):
            self._call_handler(message)
            return
        future = self._pending_replies.get(message.query)
        if future is not None and not future.done():
            future.set_result(message)

    def _call_handler(self, message: messages.Message) -> None:
        try:
            self._handler(self, message)
        except Exception:
            name = type(message).__name__
            _logger.exception(
                "handler failed for %s message from %s", name, self.peer_name
            )

    async def _write_frames(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                await self._write_outbox()
        except websockets.exceptions.ConnectionClosed:
            self._fail_pending()
        except Exception:
            _logger.exception("failed to send messages to %s", self.peer_name)
            self.close()

    async def _write_outbox(self) -> None:
        while self._outbox:
            batch = self._outbox[: codec.MAX_MESSAGES_PER_FRAME]
            del self._outbox[: len(batch)]
            for frame in _encode_frames(batch):
                traffic.total.sent += len(frame)
                await self._conn.send(frame)

    def _fail_pending(self) -> None:
        self.closed.set()
        for future in list(self._pending_replies.values()):
            if not future.done():
                future.set_exception(ConnectionError("link closed"))


def _encode_frames(batch: list) -> list[bytes]:
    try:
        return [codec.encode_frame(batch, clock.hybrid_clock.now())]
    except errors.LinkError:
        if len(batch) == 1:
            raise
    middle = len(batch) // 2
    return _encode_frames(batch[:middle]) + _encode_frames(batch[middle:])


async def connect(
    address: str,
    own_identity: identity.Identity,
    handler: Handler,
    link_faults: faults.LinkFaults,
) -> Link:
    """Connects to a peer and performs the handshake.

    Args:
        address: The peer's "ip:port".
        own_identity: The identity of this process.
        handler: Called with every message that is not a reply.
        link_faults: Injected faults.

    Raises:
        errors.LinkError: The peer sent an invalid Hello or refused the
            connection.
        OSError: The peer can't be reached.
        TimeoutError: The handshake timed out.
    """
    conn = await websockets.asyncio.client.connect(
        f"ws://{address}/",
        compression=None,
        max_size=codec.MAX_FRAME_BYTES,
        ping_interval=None,
        open_timeout=HANDSHAKE_TIMEOUT_SECONDS,
        close_timeout=CLOSE_TIMEOUT_SECONDS,
        proxy=None,
    )
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            server_hello = await _receive_hello(conn)
            own_hello = identity.make_hello(own_identity, server_hello.nonce)
            await _send_hello(conn, own_hello)
            peer = await _receive_hello(conn)
        identity.verify_hello(peer, own_identity, own_hello.nonce)
    except (TimeoutError, errors.LinkError):
        conn.transport.abort()
        raise
    except websockets.exceptions.ConnectionClosed as exc:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_IDENTITY,
            f"peer closed the connection in the handshake: {exc}",
        ) from exc
    return Link(conn, peer, handler, link_faults)


async def accept(
    conn,
    own_identity: identity.Identity,
    handler: Handler,
    link_faults: faults.LinkFaults,
) -> Link:
    """Performs the handshake of an incoming connection.

    Args:
        conn: The incoming connection.
        own_identity: The identity of this process.
        handler: Called with every message that is not a reply.
        link_faults: Injected faults.

    Raises:
        errors.LinkError: The peer sent an invalid Hello.
        TimeoutError: The handshake timed out.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
        server_hello = identity.make_hello(own_identity, "")
        await _send_hello(conn, server_hello)
        peer = await _receive_hello(conn)
        identity.verify_hello(peer, own_identity, server_hello.nonce)
        await _send_hello(conn, identity.make_hello(own_identity, peer.nonce))
    return Link(conn, peer, handler, link_faults)


async def _send_hello(conn, hello: messages.Hello) -> None:
    await conn.send(codec.encode_frame([hello], clock.hybrid_clock.now()))


async def _receive_hello(conn) -> messages.Message:
    frame = await conn.recv()
    if not isinstance(frame, bytes):
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_FRAME, "first frame is not a binary frame"
        )
    _, batch = codec.decode_frame(frame)
    if len(batch) != 1:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_IDENTITY,
            "first frame does not hold exactly one message",
        )
    return batch[0]
