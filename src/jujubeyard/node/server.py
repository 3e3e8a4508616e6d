"""HTTP towards callers, the balancer and whoever reads metrics."""

import collections.abc
import json
import time

from aiohttp import web

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import protocol
from jujubeyard.node import settings

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
IDLE_SECONDS = 120.0
BACKLOG = 1024
LEAVING_RETRY_SECONDS = 0.05
DEFAULT_CALL_SECONDS = 30.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_BAD_REQUEST = 400
PASSED_OVER = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
    }
)
"""Headers of an answer that concern one connection only."""

Serve = collections.abc.Callable[
    [calls.Call], collections.abc.Coroutine[None, None, calls.Reply]
]


class CallerServer:
    """Takes calls.

    Attributes:
        active: Number of calls that are being served.
        is_leaving: Whether connections are closed after their next answer.
        is_refusing: Whether calls are refused.
    """

    def __init__(self, serve: Serve, names: protocol.HeaderNames):
        self._serve = serve
        self._names = names
        self.active = 0
        self.is_leaving = False
        self.is_refusing = False
        self._site: web.TCPSite | None = None
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=IDLE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def start(self, address: settings.Address) -> None:
        """Starts to listen."""
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, address.host, address.port, backlog=BACKLOG
        )
        await self._site.start()

    async def stop_listening(self) -> None:
        """Takes no new connections."""
        await self._site.stop()

    def close_idle(self) -> None:
        """Closes connections on which no call has been read."""
        for conn in self._runner.server.connections:
            if _is_idle(conn):
                conn.force_close()

    def is_quiet(self) -> bool:
        """Returns whether no call has been read that isn't answered."""
        return all(map(_is_idle, self._runner.server.connections))

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        self.active += 1
        try:
            return await self._handle_counted(req)
        finally:
            self.active -= 1

    async def _handle_counted(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        if self.is_refusing:
            code = codes.ResultCode.SHUTTING_DOWN
            return self._respond(calls.refuse(code, LEAVING_RETRY_SECONDS))
        try:
            call = self._read_call(req, body)
        except ValueError:
            return self._respond(calls.refuse(codes.ResultCode.BAD_REQUEST))
        return self._respond(await self._serve(call))

    def _read_call(self, req: web.Request, body: bytes) -> calls.Call:
        names = self._names
        key = req.headers.get(names.key)
        deadline = req.headers.get(names.deadline)
        seconds = DEFAULT_CALL_SECONDS
        if deadline is not None:
            seconds = float(deadline) / 1000.0
        number = None
        if key is not None:
            number = int(key)
            if not 0 <= number < protocol.KEY_COUNT:
                raise ValueError(f"key {number}")
        return calls.Call(
            call_id=req.headers.get(names.call_id, ""),
            method=req.method,
            host=req.headers.get("Host", ""),
            path=req.raw_path,
            headers=tuple(req.headers.items()),
            body=body,
            key=number,
            received=time.monotonic(),
            seconds=seconds,
        )

    def _respond(self, reply: calls.Reply) -> web.Response:
        if reply.headers:
            resp = web.Response(status=reply.status, body=reply.body)
            for name, text in reply.headers.items():
                if name.lower() not in PASSED_OVER:
                    resp.headers.add(name, text)
        else:
            resp = _explain(reply)
        if self.is_leaving:
            resp.force_close()
        return resp


def _is_idle(conn: web.RequestHandler) -> bool:
    """Returns whether a connection waits for its next request.

    A request that was parsed and isn't yet handed to a handler shows only in
    the connection's own state.
    """
    waiter = conn._waiter
    return waiter is not None and not waiter.done()


def _explain(reply: calls.Reply) -> web.Response:
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
    """Says whether the balancer should send callers here."""

    def __init__(self, path: str, is_ready: collections.abc.Callable[[], bool]):
        self._is_ready = is_ready
        app = web.Application()
        app.router.add_get(path, self._get)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: settings.Address) -> None:
        """Starts to listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def _get(self, _: web.Request) -> web.Response:
        ready = self._is_ready()
        return web.Response(status=HTTP_OK if ready else HTTP_UNAVAILABLE)


class MetricsServer:
    """Serves metrics as text."""

    def __init__(self, render: collections.abc.Callable[[], bytes]):
        self._render = render
        app = web.Application()
        app.router.add_get("/metrics", self._get)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: settings.Address) -> None:
        """Starts to listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def _get(self, _: web.Request) -> web.Response:
        return web.Response(body=self._render(), content_type="text/plain")
