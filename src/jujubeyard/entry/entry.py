"""An entry: takes callers' HTTP requests and hands them to gates.

It holds no authority: its plan may be old, and a gate that no longer holds a
target says so without running the call.
"""

import asyncio
import random

from aiohttp import web

from jujubeyard import clock
from jujubeyard import codes
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
RETRY_BURST = 10.0
BACKOFF_SECONDS = 0.005
MAX_BACKOFF_SECONDS = 0.32
REPLY_GRACE_SECONDS = 0.1
MILLISECONDS = 1000.0
HEALTH_PATH = "/-/health"
SHUTDOWN_POLL_SECONDS = 0.02
MEASURE_SECONDS = 1.0
BALANCER_SECONDS = 1.0
"""How long a leaving entry still accepts calls, until the balancer, which
reads its health, sends none."""


class Entry:
    """One entry process."""

    def __init__(
        self, cfg: settings.EntrySettings, owner: process_runtime.ProcessRuntime
    ):
        self._cfg = cfg
        self._runtime = owner
        self._follower = follower.Follower(
            owner,
            list(cfg.controllers),
            MAX_CONTROLLERS,
            self._install,
            _ignore,
        )
        self._gates = pool.LinkPool(owner.identity, _ignore, owner.faults)
        self._tasks = ticker.BackgroundTasks(owner.logger)
        self._loads: dict[str, routing.GateLoad] = {}
        self._retries = budget.Budget(RETRY_RATIO, RETRY_BURST)
        self._rng = random.Random(owner.identity.name)
        self._metrics = metrics.EntryMetrics(owner.registry)
        self._next_measure = 0.0
        self._open_calls = 0
        self._leaving = False
        self._server = web.Server(self._serve, access_log=None)
        self._runner = web.ServerRunner(self._server)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the event is set, then finishes the open calls."""
        ticks = ticker.Ticker(
            TICK_SECONDS,
            (self._follower.maintain_links, self._measure),
            clock.boottime,
            self._runtime.logger,
        )
        self._tasks.spawn(ticks.run())
        await self._runner.setup()
        host, port = addresses.split(self._cfg.listen)
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()
        await stop.wait()
        self._leaving = True
        await asyncio.sleep(BALANCER_SECONDS)
        await site.stop()
        while self._open_calls:
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
        await self._runner.cleanup()
        await self._tasks.cancel()
        await self._follower.pool.stop()
        await self._gates.stop()

    def read_status(self) -> dict:
        """Returns what the admin port shows."""
        return {
            "plan_version": self._follower.plan_version,
            "config_version": self._follower.config_version,
            "open_calls": self._open_calls,
            "leaving": self._leaving,
            "gates": sorted(self._gates.links),
            "retries": self._retries.spent,
        }

    def _install(self) -> None:
        rows = self._follower.plan.gates.values()
        self._gates.set_peers({row.address for row in rows})

    async def _serve(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == HEALTH_PATH:
            return self._answer_health()
        self._open_calls += 1
        try:
            return await self._serve_call(req)
        finally:
            self._open_calls -= 1

    def _answer_health(self) -> web.Response:
        config = self._follower.config
        ready = config is not None and self._follower.plan is not None
        if ready and self._runtime.zone in config.drained_zones:
            ready = False
        ok = ready and not self._leaving
        return web.Response(status=200 if ok else 503)

    async def _serve_call(self, req: web.BaseRequest) -> web.StreamResponse:
        config = self._follower.config
        if config is None or self._follower.plan is None:
            return replies.make_refusal(codes.ResultCode.NOT_CONFIGURED)
        parsed = requests.parse_request(req, config)
        if parsed.is_err():
            self._metrics.refused.labels(int(parsed.err_value)).inc()
            return replies.make_refusal(parsed.err_value)
        body = await self._read_body(req)
        if body is None:
            return replies.make_refusal(codes.ResultCode.BODY_TOO_LARGE)
        started = clock.boottime()
        reply = await self._route(req, parsed.ok_value, body)
        self._count(parsed.ok_value, reply, clock.boottime() - started)
        return replies.make_response(reply)

    async def _read_body(self, req: web.BaseRequest) -> bytes | None:
        limit = self._cfg.max_body_bytes
        if (req.content_length or 0) > limit:
            return None
        if not req.body_exists:
            return b""
        chunks = []
        size = 0
        async for chunk in req.content.iter_any():
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    async def _route(
        self, req, parsed: requests.ParsedRequest, body: bytes
    ) -> messages.CallReply:
        """Sends a call until it is answered or its deadline passes."""
        deadline = clock.boottime() + parsed.budget_ms / MILLISECONDS
        shard = routing.find_shard(
            parsed.service, parsed.kind, parsed.key, parsed.request_id
        )
        self._retries.earn()
        backoff = BACKOFF_SECONDS
        may_have_run = False
        last = replies.make_local(codes.ResultCode.GATE_UNREACHABLE)
        while True:
            left = deadline - clock.boottime()
            if left <= 0:
                return replies.conclude(
                    replies.settle_at_deadline(last), may_have_run
                )
            call = self._make_call(req, parsed, shard, body, left)
            last = await self._attempt(parsed, call, left)
            if not self._should_retry(parsed, last):
                return replies.conclude(last, may_have_run)
            if not codes.CODE_INFO[codes.ResultCode(last.code)].not_run:
                may_have_run = True
            if await self._is_changed_within(min(backoff, max(0.0, left))):
                backoff = BACKOFF_SECONDS
            else:
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _is_changed_within(self, seconds: float) -> bool:
        """Waits for a new plan or configuration, for a time at most."""
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
            return parsed.kind.idempotent and self._retries.spend()
        return False

    def _make_call(self, req, parsed, shard, body, left) -> messages.Call:
        return messages.Call(
            0,
            parsed.service.name,
            parsed.kind.name,
            shard,
            parsed.key,
            parsed.member,
            parsed.request_id,
            left * MILLISECONDS,
            self._follower.plan_version,
            req.method,
            parsed.path,
            req.headers.get("Content-Type", ""),
            body,
        )

    async def _attempt(
        self, parsed, call: messages.Call, left: float
    ) -> messages.CallReply:
        plan = self._follower.plan
        route = routing.find_route(
            plan,
            parsed.service,
            self._follower.config.targets,
            call.shard,
            self._loads,
            self._rng,
        )
        if route is None:
            return replies.make_local(codes.ResultCode.NO_TARGET)
        peer = self._gates.get(route.address)
        fut = peer.send_request(call) if peer else None
        if fut is None:
            return replies.make_local(codes.ResultCode.GATE_UNREACHABLE)
        load = self._loads.setdefault(route.address, routing.GateLoad())
        load.outstanding += 1
        try:
            async with asyncio.timeout(left + REPLY_GRACE_SECONDS):
                reply = await fut
            load.queued = reply.queued
            return reply
        except ConnectionError:
            return replies.make_local(codes.ResultCode.OUTCOME_UNKNOWN)
        except TimeoutError:
            peer.send(messages.CancelCall(call.query))
            return replies.make_local(codes.ResultCode.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            peer.send(messages.CancelCall(call.query))
            raise
        finally:
            load.outstanding -= 1

    def _count(self, parsed, reply: messages.CallReply, seconds) -> None:
        service = parsed.service.name
        kind = parsed.kind.name
        self._metrics.calls.child(service, kind, reply.code).inc()
        self._metrics.seconds.child(service, kind).observe(seconds)
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

    def _measure(self, now: float) -> None:
        if now < self._next_measure:
            return
        self._next_measure = now + MEASURE_SECONDS
        self._metrics.open_calls.set(self._open_calls)
        self._metrics.update_month()


def _ignore(peer: link.Link, message: messages.Message) -> None:
    del peer, message
