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
HANDSHAKE_SECONDS = 2.0
CLOSE_SECONDS = 0.2
POLICY_VIOLATION = 1008
_logger = logging.getLogger(__name__)

Handler = collections.abc.Callable[["Link", messages.Message], None]


class Link:
    """A connection to one peer.

    Messages sent in one turn of the event loop travel in one frame. Requests
    are matched with replies by their query number.

    Attributes:
        peer: The peer's Hello.
        closed: Set once the connection is gone.
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
        self._queries = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}

    @property
    def peer_name(self) -> str:
        """The peer's "vm/incarnation"."""
        return f"{self.peer.vm}/{self.peer.incarnation}"

    def send(self, message: messages.Message) -> bool:
        """Queues a message for the next frame.

        Returns:
            Whether it was queued; False on a closed link or a full outbox.
        """
        if self.closed.is_set() or len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            return False
        if self._faults.loses_to(self.peer.role, self.peer.vm):
            return True
        self._outbox.append(message)
        self._wakeup.set()
        return True

    def send_request(self, request: messages.Message) -> asyncio.Future | None:
        """Sends a request.

        Args:
            request: A message with a `query` field, which is filled in.

        Returns:
            A future of the reply, which fails with ConnectionError if the
            link closes first; None if the request was not queued.
        """
        request.query = next(self._queries)
        if not self.send(request):
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request.query] = fut
        fut.add_done_callback(
            lambda _, query=request.query: self._waiting.pop(query, None)
        )
        return fut

    async def run(self) -> None:
        """Reads and writes until the connection closes."""
        writer = asyncio.create_task(self._write_frames())
        try:
            await self._read_frames()
        finally:
            self._fail_waiting()
            writer.cancel()

    def close(self) -> None:
        """Closes the connection without waiting."""
        self._fail_waiting()
        self._conn.transport.abort()

    async def finish(self) -> None:
        """Sends what is queued, then closes the connection."""
        while self._outbox and not self.closed.is_set():
            await asyncio.sleep(0)
        await self._conn.close()

    async def _read_frames(self) -> None:
        try:
            async for frame in self._conn:
                traffic.total.received += len(frame)
                reading, batch = codec.decode_frame(frame)
                clock.hybrid.observe(reading)
                if self._faults.loses_from(self.peer.role, self.peer.vm):
                    continue
                for message in batch:
                    self._dispatch(message)
        except websockets.exceptions.ConnectionClosed:
            pass
        except errors.LinkError as exc:
            await self._conn.close(POLICY_VIOLATION, str(int(exc.code)))

    def _dispatch(self, message: messages.Message) -> None:
        if not isinstance(message, messages.REPLIES):
            self._handle(message)
            return
        fut = self._waiting.get(message.query)
        if fut is not None and not fut.done():
            fut.set_result(message)

    def _handle(self, message: messages.Message) -> None:
        try:
            self._handler(self, message)
        except Exception:
            name = type(message).__name__
            _logger.exception("%s of %s failed", name, self.peer_name)

    async def _write_frames(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                await self._write_outbox()
        except websockets.exceptions.ConnectionClosed:
            self._fail_waiting()
        except Exception:
            _logger.exception("link to %s can't write", self.peer_name)
            self.close()

    async def _write_outbox(self) -> None:
        while self._outbox:
            batch = self._outbox[: codec.MAX_MESSAGES_PER_FRAME]
            del self._outbox[: len(batch)]
            for frame in _encode(batch):
                traffic.total.sent += len(frame)
                await self._conn.send(frame)

    def _fail_waiting(self) -> None:
        self.closed.set()
        for fut in list(self._waiting.values()):
            if not fut.done():
                fut.set_exception(ConnectionError("link closed"))


def _encode(batch: list) -> list[bytes]:
    try:
        return [codec.encode_frame(batch, clock.hybrid.now())]
    except errors.LinkError:
        if len(batch) == 1:
            raise
    middle = len(batch) // 2
    return _encode(batch[:middle]) + _encode(batch[middle:])


async def connect(
    address: str,
    me: identity.Identity,
    handler: Handler,
    link_faults: faults.LinkFaults,
) -> Link:
    """Opens a link.

    Args:
        address: The peer's "ip:port".
        me: Who this process is.
        handler: Called with every message that is no reply.
        link_faults: Which messages to lose.

    Raises:
        errors.LinkError: The peer's identity is wrong.
        OSError: The peer can't be reached.
    """
    conn = await websockets.asyncio.client.connect(
        f"ws://{address}/",
        compression=None,
        max_size=codec.MAX_FRAME_BYTES,
        ping_interval=None,
        open_timeout=HANDSHAKE_SECONDS,
        close_timeout=CLOSE_SECONDS,
        proxy=None,
    )
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            challenge = await _receive_hello(conn)
            mine = identity.make_hello(me, challenge.nonce)
            await _send_hello(conn, mine)
            peer = await _receive_hello(conn)
        identity.check_hello(peer, me, mine.nonce)
    except (TimeoutError, errors.LinkError):
        conn.transport.abort()
        raise
    except websockets.exceptions.ConnectionClosed as exc:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_IDENTITY, f"peer refused: {exc}"
        ) from exc
    return Link(conn, peer, handler, link_faults)


async def accept(
    conn,
    me: identity.Identity,
    handler: Handler,
    link_faults: faults.LinkFaults,
) -> Link:
    """Completes the handshake of an incoming connection.

    Raises:
        errors.LinkError: The peer's identity is wrong.
        TimeoutError: The peer stays silent.
    """
    async with asyncio.timeout(HANDSHAKE_SECONDS):
        challenge = identity.make_hello(me, "")
        await _send_hello(conn, challenge)
        peer = await _receive_hello(conn)
        identity.check_hello(peer, me, challenge.nonce)
        await _send_hello(conn, identity.make_hello(me, peer.nonce))
    return Link(conn, peer, handler, link_faults)


async def _send_hello(conn, hello: messages.Hello) -> None:
    await conn.send(codec.encode_frame([hello], clock.hybrid.now()))


async def _receive_hello(conn) -> messages.Message:
    frame = await conn.recv()
    if not isinstance(frame, bytes):
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_FRAME, "frame is no binary frame"
        )
    _, batch = codec.decode_frame(frame)
    if len(batch) != 1:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_IDENTITY, "first frame is no Hello"
        )
    return batch[0]
