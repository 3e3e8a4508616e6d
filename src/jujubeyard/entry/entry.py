"""An entry: receives callers' HTTP requests and routes them to gates.

An entry is not authoritative: its plan may be out of date. A gate that no
longer holds a target rejects the call without running it.
"""

import asyncio
import random

from aiohttp import web

from jujubeyard import bodies
from jujubeyard import clock
from jujubeyard import codes
from jujubeyard import memory
from jujubeyard import responses
from jujubeyard import settings
from jujubeyard.admission import budget
from jujubeyard.entry import metrics
from jujubeyard.entry import replies
from jujubeyard.entry import requests
from jujubeyard.entry import routing
from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool
from jujubeyard.manifest import address as addresses
from jujubeyard.plan import follower

TICK_SECONDS = 0.1
MAX_CONTROLLERS = 6
RETRY_RATIO = 0.1
"""Retries of calls of unknown outcome that are allowed per call."""

RETRY_BURST = 10.0
"""Maximum number of such retries that accumulate."""

INITIAL_BACKOFF_SECONDS = 0.005
MAX_BACKOFF_SECONDS = 0.32
REPLY_GRACE_SECONDS = 0.1
"""How long after the deadline of a call the entry waits for the reply."""

LINGER_SECONDS = 1.0
"""How long the rest of a body is discarded after an early answer."""

MAX_BUFFERED_BYTES = 32 * bodies.MIB
"""Largest size of all bodies that are being read from callers."""

MAX_WRITTEN_BYTES = 48 * bodies.MIB
"""Largest size of all large answers that are being written to callers, with
what waits in the buffers of their connections."""

MILLISECONDS_PER_SECOND = 1000.0
HEALTH_PATH = "/-/health"
SHUTDOWN_POLL_SECONDS = 0.02
METRICS_INTERVAL_SECONDS = 1.0
SHUTDOWN_DELAY_SECONDS = 1.0
"""How long an entry that shuts down keeps accepting calls, so that the load
balancer sees its failing health check and stops sending requests."""


class Entry:
    """Routes HTTP requests to gates and retries calls that did not run."""

    def __init__(
        self,
        cfg: settings.EntrySettings,
        runtime: process_runtime.ProcessRuntime,
    ):
        self._cfg = cfg
        self._runtime = runtime
        self._follower = follower.Follower(
            runtime,
            list(cfg.controllers),
            MAX_CONTROLLERS,
            self._update_gates,
            _ignore_message,
        )
        self._gates = pool.LinkPool(
            runtime.identity, _ignore_message, runtime.faults
        )
        self._tasks = ticker.BackgroundTasks(runtime.logger)
        self._gate_loads: dict[str, routing.GateLoad] = {}
        self._retry_budget = budget.Budget(RETRY_RATIO, RETRY_BURST)
        self._rng = random.Random(runtime.identity.name)
        self._metrics = metrics.EntryMetrics(runtime.registry)
        self._body_reader = bodies.BodyReader(
            cfg.max_body_bytes, MAX_BUFFERED_BYTES
        )
        self._writer = responses.ResponseWriter(
            self._log_abandoned, memory.MemoryBudget(MAX_WRITTEN_BYTES)
        )
        self._next_metrics_update = 0.0
        self._open_calls = 0
        self._shutting_down = False
        self._server = web.Server(
            self._handle_request, access_log=None, lingering_time=LINGER_SECONDS
        )
        self._runner = web.ServerRunner(self._server)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the stop event is set, then waits for open calls."""
        ticks = ticker.Ticker(
            TICK_SECONDS,
            (self._follower.maintain_links, self._update_metrics),
            clock.boottime,
            self._runtime.logger,
        )
        self._tasks.spawn(ticks.run())
        await self._runner.setup()
        host, port = addresses.split(self._cfg.listen)
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()
        await stop.wait()
        self._shutting_down = True
        await asyncio.sleep(SHUTDOWN_DELAY_SECONDS)
        await site.stop()
        while self._open_calls:
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
        await self._runner.cleanup()
        await self._tasks.cancel()
        await self._follower.pool.stop()
        await self._gates.stop()

    def read_status(self) -> dict:
        """Returns the status document of the admin port."""
        return {
            "plan_version": self._follower.plan_version,
            "config_version": self._follower.config_version,
            "open_calls": self._open_calls,
            "leaving": self._shutting_down,
            "gates": sorted(self._gates.links),
            "retries": self._retry_budget.spent,
        }

    def _update_gates(self) -> None:
        rows = self._follower.plan.gates.values()
        self._gates.set_peers({row.address for row in rows})

    async def _handle_request(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == HEALTH_PATH:
            return self._make_health_response()
        self._open_calls += 1
        try:
            return await self._writer.write(req, await self._handle_call(req))
        finally:
            self._open_calls -= 1

    def _log_abandoned(self, abandoned: responses.AbandonedResponse) -> None:
        self._runtime.logger.warning(
            "answer given up, caller too slow",
            extra={
                "path": abandoned.request.path,
                "bytes": abandoned.body_bytes,
                "unread_bytes": abandoned.unread_bytes,
                "seconds": round(abandoned.seconds, 3),
            },
        )

    def _make_health_response(self) -> web.Response:
        config = self._follower.config
        ready = config is not None and self._follower.plan is not None
        if ready and self._runtime.zone in config.drained_zones:
            ready = False
        ok = ready and not self._shutting_down
        return web.Response(status=200 if ok else 503)

    async def _handle_call(self, req: web.BaseRequest) -> web.StreamResponse:
        config = self._follower.config
        if config is None or self._follower.plan is None:
            return replies.make_error_response(codes.ResultCode.NOT_CONFIGURED)
        parsed = requests.parse_request(req, config)
        if parsed.is_err():
            self._metrics.refused_requests.labels(int(parsed.err_value)).inc()
            return replies.make_error_response(parsed.err_value)
        if (req.content_length or 0) > self._cfg.max_body_bytes:
            return _refuse_body(codes.ResultCode.BODY_TOO_LARGE)
        body = await self._body_reader.read_request(
            req.content, parsed.ok_value.timeout_ms / MILLISECONDS_PER_SECOND
        )
        if body.is_err():
            return _refuse_body(body.err_value)
        started = clock.boottime()
        with self._body_reader.hold(body.ok_value):
            reply = await self._route(req, parsed.ok_value, body.ok_value)
        self._record_call(parsed.ok_value, reply, clock.boottime() - started)
        return replies.make_response(reply)

    async def _route(
        self, req, parsed: requests.ParsedRequest, body: bytes
    ) -> messages.CallReply:
        """Sends a call, with retries, until its outcome is final.

        Retrying ends when an attempt has an outcome that must not be
        retried, or when the deadline passes.
        """
        deadline = (
            clock.boottime() + parsed.timeout_ms / MILLISECONDS_PER_SECOND
        )
        shard = routing.find_shard(
            parsed.service, parsed.kind, parsed.key, parsed.request_id
        )
        self._retry_budget.earn()
        backoff = INITIAL_BACKOFF_SECONDS
        may_have_run = False
        last_reply = replies.make_local_reply(codes.ResultCode.GATE_UNREACHABLE)
        while True:
            remaining_seconds = deadline - clock.boottime()
            if remaining_seconds <= 0:
                return replies.make_final_reply(
                    replies.reply_at_deadline(last_reply), may_have_run
                )
            call = self._make_call(req, parsed, shard, body, remaining_seconds)
            last_reply = await self._send_to_gate(
                parsed, call, remaining_seconds
            )
            if not self._should_retry(parsed, last_reply):
                return replies.make_final_reply(last_reply, may_have_run)
            if not codes.CODE_INFO[codes.ResultCode(last_reply.code)].not_run:
                may_have_run = True
            if await self._wait_for_change(
                min(backoff, max(0.0, remaining_seconds))
            ):
                backoff = INITIAL_BACKOFF_SECONDS
            else:
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _wait_for_change(self, seconds: float) -> bool:
        """Waits for a new plan or configuration, up to a timeout.

        Returns:
            Whether one arrived before the timeout.
        """
        try:
            await asyncio.wait_for(self._follower.changed.wait(), seconds)
        except TimeoutError:
            return False
        return True

    def _should_retry(self, parsed, reply: messages.CallReply) -> bool:
        code = codes.ResultCode(reply.code)
        if code in codes.REROUTABLE or code is codes.ResultCode.NO_TARGET:
            return True
        if code is codes.ResultCode.OUTCOME_UNKNOWN:
            return parsed.kind.idempotent and self._retry_budget.spend()
        return False

    def _make_call(
        self, req, parsed, shard, body, remaining_seconds
    ) -> messages.Call:
        return messages.Call(
            0,
            parsed.service.name,
            parsed.kind.name,
            shard,
            parsed.key,
            parsed.member,
            parsed.request_id,
            remaining_seconds * MILLISECONDS_PER_SECOND,
            self._follower.plan_version,
            req.method,
            parsed.path,
            req.headers.get("Content-Type", ""),
            body,
        )

    async def _send_to_gate(
        self, parsed, call: messages.Call, remaining_seconds: float
    ) -> messages.CallReply:
        plan = self._follower.plan
        route = routing.find_route(
            plan,
            parsed.service,
            self._follower.config.targets,
            call.shard,
            self._gate_loads,
            self._rng,
        )
        if route is None:
            return replies.make_local_reply(codes.ResultCode.NO_TARGET)
        peer = self._gates.get(route.address)
        future = peer.send_request(call) if peer else None
        if future is None:
            return replies.make_local_reply(codes.ResultCode.GATE_UNREACHABLE)
        load = self._gate_loads.setdefault(route.address, routing.GateLoad())
        load.outstanding += 1
        try:
            async with asyncio.timeout(remaining_seconds + REPLY_GRACE_SECONDS):
                reply = await future
            load.queued = reply.queued
            return reply
        except ConnectionError:
            return replies.make_local_reply(codes.ResultCode.OUTCOME_UNKNOWN)
        except TimeoutError:
            peer.send(messages.CancelCall(call.query))
            return replies.make_local_reply(codes.ResultCode.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            peer.send(messages.CancelCall(call.query))
            raise
        finally:
            load.outstanding -= 1

    def _record_call(self, parsed, reply: messages.CallReply, seconds) -> None:
        service = parsed.service.name
        kind = parsed.kind.name
        self._metrics.calls.child(service, kind, reply.code).inc()
        self._metrics.call_seconds.child(service, kind).observe(seconds)
        if not codes.CODE_INFO[codes.ResultCode(reply.code)].not_run:
            self._metrics.count_usage(parsed)
        if not self._runtime.timeline.records_calls:
            return
        self._runtime.timeline.add(
            kinds.EventKind.CALL_ANSWERED,
            service=service,
            call_kind=kind,
            key=parsed.key,
            request_id=parsed.request_id,
            code=reply.code,
            target=reply.target,
        )

    def _update_metrics(self, now: float) -> None:
        if now < self._next_metrics_update:
            return
        self._next_metrics_update = now + METRICS_INTERVAL_SECONDS
        self._metrics.open_calls.set(self._open_calls)
        self._metrics.update_month()


def _refuse_body(code: codes.ResultCode) -> web.Response:
    """Returns the response to a request whose body isn't read whole."""
    response = replies.make_error_response(code)
    response.force_close()
    return response


def _ignore_message(peer: link.Link, message: messages.Message) -> None:
    del peer, message
