"""HTTP servers for callers, readiness checks and metrics."""

import asyncio
import collections.abc
import functools
import json
import time

from aiohttp import http
from aiohttp import web

from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard import connections
from jujubeyard import durations
from jujubeyard import fields
from jujubeyard import heads
from jujubeyard import memory
from jujubeyard import responses
from jujubeyard.node import answer_stream
from jujubeyard.node import answer_writer
from jujubeyard.node import body_stream
from jujubeyard.node import calls
from jujubeyard.node import departures
from jujubeyard.node import journal
from jujubeyard.node import passing
from jujubeyard.node import pipelining
from jujubeyard.node import protocol
from jujubeyard.node import settings

MAX_BODY_BYTES = 256 * bodies.MIB
"""Largest body that a configuration can allow."""

LINGER_SECONDS = 1.0
"""How long the rest of a body is discarded after an early answer."""

MAX_HEADER_BYTES = 64 * 1024
IDLE_TIMEOUT_SECONDS = 120.0
BACKLOG = 1024
SHUTDOWN_RETRY_SECONDS = 0.05
BUFFERS_FULL_RETRY_SECONDS = 0.5
DEFAULT_CALL_TIMEOUT_SECONDS = 30.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_BAD_REQUEST = 400

CallHandler = collections.abc.Callable[
    [calls.Call], collections.abc.Coroutine[None, None, calls.Reply]
]


class CallerServer:
    """HTTP server that accepts calls from callers.

    Attributes:
        active: Number of calls in progress.
        is_refusing_calls: Whether new calls are refused.
    """

    def __init__(
        self,
        handle_call: CallHandler,
        header_names: protocol.HeaderNames,
        log: journal.Journal,
        may_repeat: collections.abc.Callable[[calls.Call], bool],
        budget: memory.MemoryBudget,
    ):
        """Initializes the server; it listens once it is started.

        Args:
            handle_call: Returns the reply to a call.
            header_names: Names of the protocol's headers.
            log: The log.
            may_repeat: Returns whether a call may run more than once.
            budget: Memory for all that is held for callers.
        """
        self._may_repeat = may_repeat
        self._handle_call = handle_call
        self._log = log
        self._header_names = header_names
        self._header_filter = passing.HeaderFilter(header_names)
        self.active = 0
        self.is_refusing_calls = False
        self._is_shutting_down = False
        self._site: web.TCPSite | None = None
        self._call_limits: set[asyncio.Timeout] = set()
        self._written_streams: set[answer_stream.AnswerStream] = set()
        self._budget = budget
        self._body_receiver = body_stream.BodyReceiver(MAX_BODY_BYTES, budget)
        self._writer = responses.ResponseWriter(self._log_abandoned, budget)
        self._server = pipelining.PipeliningServer(
            self._handle_request,
            self._start_early_call,
            self._log_end,
            self._log_untaken,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            lingering_time=LINGER_SECONDS,
            read_bufsize=pipelining.RECEIVE_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._runner = web.ServerRunner(self._server)

    async def start(self, address: settings.Address) -> None:
        """Starts to listen on an address."""
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, address.host, address.port, backlog=BACKLOG
        )
        await self._site.start()

    async def stop_listening(self) -> None:
        """Stops accepting new connections."""
        await self._site.stop()

    def close_idle_connections(self) -> None:
        """Closes the connections on which no call is in progress."""
        for conn in self._runner.server.connections:
            if conn.is_idle():
                conn.force_close()

    def is_idle(self) -> bool:
        """Returns whether every call that was read has been answered."""
        conns = self._runner.server.connections
        return all(conn.is_idle() or conn.is_ending() for conn in conns)

    def is_done(self) -> bool:
        """Returns whether all calls are answered, and the answers delivered.

        Answers on connections that are kept count as delivered.
        """
        return all(conn.is_idle() for conn in self._runner.server.connections)

    def begin_shutdown(self) -> None:
        """Makes each connection close once its calls are answered."""
        self._is_shutting_down = True
        self._server.is_starting_early = False

    async def _handle_request(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers a request, which counts as active until then."""
        self.active += 1
        try:
            resp = await self._answer_request(req)
            if isinstance(resp, answer_writer.StreamedResponse):
                return await self._write_stream(req, resp)
            return await self._writer.write(req, resp)
        finally:
            self.active -= 1

    async def _write_stream(
        self, req: web.BaseRequest, resp: answer_writer.StreamedResponse
    ) -> web.StreamResponse:
        """Writes an answer, unless `end_answers` ends it before."""
        self._written_streams.add(resp.stream)
        try:
            return await answer_writer.write(req, resp)
        finally:
            self._written_streams.discard(resp.stream)

    async def _answer_request(self, req: web.BaseRequest) -> web.Response:
        early_call = req.protocol.take_early_call(req)
        req.protocol.start_waiting_calls()
        if early_call is not None:
            return self._make_response(
                req, await pipelining.take_reply(early_call)
            )
        try:
            timeout_seconds = self._parse_timeout(req.headers)
        except ValueError:
            return self._refuse_body(req, codes.ResultCode.BAD_REQUEST)
        received = await self._body_receiver.receive(
            req.content,
            req.content_length,
            timeout_seconds,
            lambda: _ask_for_body(req),
        )
        if isinstance(received, codes.ResultCode):
            return self._refuse_body(req, received)
        with received.holding:
            if received.stream is None:
                return await self._answer_call(req, received, timeout_seconds)
            async with departures.watching(req.transport):
                resp = await self._answer_call(req, received, timeout_seconds)
        if not req.content.is_eof():
            resp.force_close()
        return resp

    def _start_early_call(
        self, message: http.RawRequestMessage, conn: pipelining.Connection
    ) -> collections.abc.Coroutine[None, None, calls.Reply] | None:
        """Returns the call in a request that has to wait for its turn.

        Returns:
            A coroutine that serves the call, or None if it is malformed or may
            not run more than once: the caller sends it again if the connection
            ends before its turn.
        """
        try:
            timeout_seconds = self._parse_timeout(message.headers)
            call = self._parse_call(message, conn, timeout_seconds)
        except ValueError:
            return None
        if not self._may_repeat(call) or self._budget.is_full():
            return None
        return self._serve_call(call)

    async def _answer_call(
        self,
        req: web.BaseRequest,
        received: body_stream.ReceivedBody,
        timeout_seconds: float,
    ) -> web.Response:
        """Returns the response to a request whose body was accepted."""
        if self.is_refusing_calls:
            code = codes.ResultCode.SHUTTING_DOWN
            return self._make_response(
                req, calls.make_error_reply(code, SHUTDOWN_RETRY_SECONDS)
            )
        try:
            call = self._parse_call(
                req._message,
                req.protocol,
                timeout_seconds,
                received.body,
                received.stream,
            )
        except ValueError:
            return self._make_response(
                req, calls.make_error_reply(codes.ResultCode.BAD_REQUEST)
            )
        return self._make_response(req, await self._serve_call(call))

    async def _serve_call(self, call: calls.Call) -> calls.Reply:
        """Returns the reply to a call, also if `end_calls` ends it before."""
        limit = asyncio.timeout(None)
        self._call_limits.add(limit)
        try:
            async with limit:
                return await self._handle_call(call)
        except TimeoutError:
            if call.progress.is_known_not_run:
                return calls.make_error_reply(
                    codes.ResultCode.SHUTTING_DOWN, SHUTDOWN_RETRY_SECONDS
                )
            return calls.make_error_reply(codes.ResultCode.OUTCOME_UNKNOWN)
        finally:
            self._call_limits.discard(limit)

    def end_calls(self) -> None:
        """Answers all calls in progress at once.

        Their outcome is unknown, but for those that no target may have run.
        """
        now = asyncio.get_running_loop().time()
        for limit in self._call_limits:
            limit.reschedule(now)

    def end_answers(self) -> None:
        """Resets the connections of callers whose answers aren't complete."""
        for stream in list(self._written_streams):
            stream.close()

    def _log_abandoned(self, abandoned: responses.AbandonedResponse) -> None:
        headers = abandoned.request.headers
        self._log.log_call(
            "answer given up, caller too slow",
            call=headers.get(self._header_names.call_id, ""),
            bytes=abandoned.body_bytes,
            unread_bytes=abandoned.unread_bytes,
            seconds=round(abandoned.seconds, 3),
        )

    def _log_end(self, end: pipelining.ConnectionEnd) -> None:
        headers = end.request.headers
        self._log.log_call(
            "connection closed behind an answer",
            call=headers.get(self._header_names.call_id, ""),
            unsent_bytes=end.untaken.unsent_bytes,
            unacknowledged_bytes=end.untaken.unacknowledged_bytes,
            waiting_requests=end.waiting_requests,
        )

    def _log_untaken(self, untaken: connections.Untaken) -> None:
        self._log.log_call(
            "answers not taken in time",
            unsent_bytes=untaken.unsent_bytes,
            unacknowledged_bytes=untaken.unacknowledged_bytes,
        )

    def _log_memory_refusal(self, req: web.BaseRequest) -> None:
        self._log.log_call(
            "call refused, memory is full",
            call=req.headers.get(self._header_names.call_id, ""),
            held_bytes=self._budget.held_bytes,
            max_bytes=self._budget.max_bytes,
        )

    def _refuse_body(
        self, req: web.BaseRequest, code: codes.ResultCode
    ) -> web.Response:
        """Returns the response to a request whose body isn't read.

        Calls behind it are only begun if its body has arrived whole.
        """
        retry_after = 0.0
        if code is codes.ResultCode.OVERLOADED:
            retry_after = BUFFERS_FULL_RETRY_SECONDS
            self._log_memory_refusal(req)
        reply = calls.make_error_reply(code, retry_after)
        resp = self._make_response(req, reply)
        if not req.protocol.has_early_calls():
            resp.force_close()
        return resp

    def _parse_timeout(
        self, headers: collections.abc.Mapping[str, str]
    ) -> float:
        """Returns how long the caller of a request waits, in seconds.

        Raises:
            ValueError: The deadline is malformed.
        """
        deadline_header = headers.get(self._header_names.deadline)
        if deadline_header is None:
            return DEFAULT_CALL_TIMEOUT_SECONDS
        timeout_ms = fields.parse_finite(deadline_header)
        return timeout_ms / durations.MILLISECONDS_PER_SECOND

    def _parse_call(
        self,
        message: http.RawRequestMessage,
        conn: pipelining.Connection,
        timeout_seconds: float,
        body: bytes = b"",
        stream: body_stream.BodyStream | None = None,
    ) -> calls.Call:
        """Returns the call in a request.

        Raises:
            ValueError: The key or a header is malformed.
        """
        header_names = self._header_names
        headers = message.headers
        key_header = headers.get(header_names.key)
        key = None
        if key_header is not None:
            key = fields.parse_decimal(key_header, protocol.KEY_COUNT - 1)
        passed_headers = heads.decode_fields(message.raw_headers)
        stated_host = headers.get("Host", "")
        host, path = heads.split_target(message.path, stated_host)
        if host != stated_host:
            passed_headers["Host"] = host
        return calls.Call(
            call_id=headers.get(header_names.call_id, ""),
            method=message.method,
            host=host,
            path=path,
            headers=tuple(passed_headers.items()),
            body=body,
            key=key,
            received_at=time.monotonic(),
            timeout_seconds=timeout_seconds,
            stream=stream,
            may_stream_answer=functools.partial(conn.begin_stream, message),
        )

    def _make_response(
        self, req: web.BaseRequest, reply: calls.Reply
    ) -> web.Response | answer_writer.StreamedResponse:
        """Returns the HTTP response for a reply.

        During a shutdown it closes the connection, but not before the calls
        behind it that were begun already are answered as well.
        """
        if reply.headers:
            resp = self._make_passed_response(req, reply)
        else:
            resp = _make_error_response(reply)
        if self._is_shutting_down and not req.protocol.has_early_calls():
            resp.force_close()
        return resp

    def _make_passed_response(
        self, req: web.BaseRequest, reply: calls.Reply
    ) -> web.Response | answer_writer.StreamedResponse:
        """Returns the response that passes on a target's answer."""
        if reply.stream is not None:
            resp = answer_writer.StreamedResponse(
                req, reply.status, reply.stream
            )
        else:
            resp = heads.Response(status=reply.status, body=reply.body)
        headers = reply.headers.items()
        for name, text in self._header_filter.filter_answer(headers):
            resp.headers.add(name, text)
        length = reply.headers.get("Content-Length")
        if length is not None and req.method == "HEAD":
            resp.headers["Content-Length"] = length
        return resp


async def _ask_for_body(req: web.BaseRequest) -> None:
    """Tells a caller that waits for it to send the body of its request."""
    expectation = req.headers.get("Expect", "").lower()
    if expectation == "100-continue" and req.version == http.HttpVersion11:
        await req.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        req.writer.output_size = 0


def _make_error_response(reply: calls.Reply) -> web.Response:
    """Returns a response of the router itself, with a JSON body."""
    document = {
        "code": int(reply.code),
        "name": reply.code.name.lower(),
        "summary": codes.CODE_INFO[reply.code].summary,
    }
    headers = {"Content-Type": "application/json"}
    if reply.retry_after:
        headers["Retry-After"] = f"{reply.retry_after:.3f}"
    return web.Response(
        status=reply.status, body=json.dumps(document), headers=headers
    )


class ReadinessServer:
    """HTTP server for the balancer's readiness checks."""

    def __init__(self, path: str, is_ready: collections.abc.Callable[[], bool]):
        self._is_ready = is_ready
        app = web.Application()
        app.router.add_get(path, self._get)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: settings.Address) -> None:
        """Starts to listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def _get(self, _: web.Request) -> web.Response:
        is_ready = self._is_ready()
        return web.Response(status=HTTP_OK if is_ready else HTTP_UNAVAILABLE)


class MetricsServer:
    """HTTP server that exposes the metrics in the Prometheus text format."""

    def __init__(self, render: collections.abc.Callable[[], bytes]):
        self._render = render
        app = web.Application()
        app.router.add_get("/metrics", self._get)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: settings.Address) -> None:
        """Starts to listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def _get(self, _: web.Request) -> web.Response:
        return web.Response(body=self._render(), content_type="text/plain")
