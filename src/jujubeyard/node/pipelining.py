"""HTTP server that serves pipelined requests of a connection concurrently.

A caller may send requests before earlier ones on its connection are answered.
The server answers them in order, but begins their calls as they arrive.
"""

import asyncio
import collections.abc
import dataclasses

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web

from jujubeyard import connections
from jujubeyard.node import calls
from jujubeyard.node import lingering

MAX_EARLY_PER_CONNECTION = 4
MAX_EARLY_CALLS = 8
"""Largest number of early calls of all connections. Their answers are held in
memory until their turn."""

RECEIVE_BYTES = 16 * 1024
"""Size of what is received at once."""

EARLY_METHODS = frozenset({"GET", "HEAD"})

StartCall = collections.abc.Callable[
    [http.RawRequestMessage, "Connection"], collections.abc.Coroutine | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The end of a connection behind an answer, as the node wants it.

    Attributes:
        request: The request that was answered.
        untaken: What the caller hasn't taken yet.
        waiting_requests: Number of further requests that were received.
    """

    request: web.BaseRequest
    untaken: connections.Untaken
    waiting_requests: int


ReportEnd = collections.abc.Callable[[ConnectionEnd], None]
ReportUntaken = collections.abc.Callable[[connections.Untaken], None]


class PipeliningServer(web.Server):
    """Server whose connections begin calls while earlier ones are in progress.

    Attributes:
        early_count: Number of early calls whose answers aren't sent yet.
        is_starting_early: Whether further calls are begun early.
    """

    def __init__(
        self,
        handler,
        start_call: StartCall,
        report_end: ReportEnd,
        report_untaken: ReportUntaken,
        **options,
    ):
        """Initializes a server.

        Args:
            handler: Answers requests, in their order.
            start_call: Returns a coroutine that serves the call in a request,
                or None if the call must wait for its turn.
            report_end: Called as a connection ends that its caller would keep.
            report_untaken: Called if answers aren't taken in time.
            **options: Options of the base class.
        """
        super().__init__(handler, **options)
        self.start_call = start_call
        self.report_end = report_end
        self.report_untaken = report_untaken
        self.early_count = 0
        self.is_starting_early = True

    def __call__(self) -> "Connection":
        """Returns the handler of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)


class Connection(lingering.LingeringConnection):
    """Connection of a caller."""

    __slots__ = ("_early_calls", "_server", "_streamed_message")

    def __init__(self, server: PipeliningServer, **options):
        super().__init__(server, **options)
        self._server = server
        self._early_calls: dict[int, asyncio.Task[calls.Reply]] = {}
        self._streamed_message: http.RawRequestMessage | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Limits what is received at once."""
        transport.max_size = RECEIVE_BYTES
        connections.limit_receive_buffer(transport.get_extra_info("socket"))
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parses requests, and begins calls that may run early."""
        super().data_received(data)
        if self._current_request is not None:
            self._end_malformed_body()
            self.start_waiting_calls()

    def _end_malformed_body(self) -> None:
        """Fails the body of the current request, if the rest is malformed.

        The base class only reports an error behind the request.
        """
        content = self._current_request.content
        if content.is_eof() or not self._messages:
            return
        if not isinstance(self._messages[0][0], http.RawRequestMessage):
            error = http_exceptions.TransferEncodingError("malformed body")
            content.set_exception(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the early calls, whose answers nobody awaits any more."""
        super().connection_lost(exc)
        for message_id in list(self._early_calls):
            _discard(self._forget(message_id))

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes the end of a response, and of its connection if it is last."""
        if request._message is self._streamed_message:
            self._streamed_message = None
        resp, is_reset = await super().finish_response(
            request, resp, start_time
        )
        if not is_reset and not resp.keep_alive:
            self._report_end(request)
            self.force_close()
        return resp, is_reset

    def _report_end(self, req: web.BaseRequest) -> None:
        """Reports the end of a connection that its caller would have kept."""
        transport = self.transport
        if not req.keep_alive or transport is None or transport.is_closing():
            return
        self._server.report_end(
            ConnectionEnd(
                req, connections.untaken(transport), len(self._messages)
            )
        )

    def report_untaken(self, transport: asyncio.Transport) -> None:
        """Reports that a caller hasn't taken its answers in time."""
        self._server.report_untaken(connections.untaken(transport))

    def has_early_calls(self) -> bool:
        """Returns whether answers to early calls are still to be sent."""
        return bool(self._early_calls)

    def take_early_call(
        self, req: web.BaseRequest
    ) -> asyncio.Task[calls.Reply] | None:
        """Returns the early call of a request whose turn it is, if any."""
        if id(req._message) not in self._early_calls:
            return None
        return self._forget(id(req._message))

    def _forget(self, message_id: int) -> asyncio.Task[calls.Reply]:
        self._server.early_count -= 1
        return self._early_calls.pop(message_id)

    def begin_stream(self, message: http.RawRequestMessage) -> bool:
        """Returns whether an answer may be passed on as it arrives.

        If its target breaks it off, the connection ends with it. So it is
        passed on whole if calls behind it were begun, and none is begun behind
        it otherwise.

        Args:
            message: The request that is answered.
        """
        begun_ids = list(self._early_calls)
        if begun_ids and begun_ids[-1] != id(message):
            return False
        self._streamed_message = message
        return True

    def start_waiting_calls(self) -> None:
        """Begins the calls of waiting requests, up to the first that can't.

        A request must be in progress.
        """
        if self._streamed_message is not None:
            return
        if not _is_followed(self._current_request._message):
            return
        if not self._current_request.content.is_eof():
            return
        for message, payload in self._messages:
            if id(message) not in self._early_calls:
                if not self._may_start(message, payload):
                    return
                coro = self._server.start_call(message, self)
                if coro is None:
                    return
                self._server.early_count += 1
                self._early_calls[id(message)] = self._loop.create_task(coro)
            if not _is_followed(message):
                return

    def _may_start(self, message, payload) -> bool:
        return (
            self._server.is_starting_early
            and len(self._early_calls) < MAX_EARLY_PER_CONNECTION
            and self._server.early_count < MAX_EARLY_CALLS
            and isinstance(message, http.RawRequestMessage)
            and message.method in EARLY_METHODS
            and payload is streams.EMPTY_PAYLOAD
        )


async def take_reply(early_call: asyncio.Task[calls.Reply]) -> calls.Reply:
    """Returns the reply to an early call whose turn it is.

    Args:
        early_call: The call; it is discarded if the caller leaves meanwhile.
    """
    try:
        return await early_call
    except asyncio.CancelledError:
        _discard(early_call)
        raise


def _discard(early_call: asyncio.Task[calls.Reply]) -> None:
    """Ends an early call whose answer nobody awaits any more."""
    if not early_call.done():
        early_call.cancel()
    elif not early_call.cancelled() and not early_call.exception():
        stream = early_call.result().stream
        if stream is not None:
            stream.close()


def _is_followed(message) -> bool:
    """Returns whether requests behind a request are answered as well."""
    return not getattr(message, "should_close", True)
