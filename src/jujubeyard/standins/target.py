"""Stand-in for a target.

Simulates the work of each call with a random delay. Runs fewer calls at once
while it is cold, refuses calls beyond its capacity before running them, and
optionally checks grants. Its events are the ground truth for the checks of a
history.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import sys
import time

from aiohttp import web

from jujubeyard import clock
from jujubeyard import context
from jujubeyard import status
from jujubeyard.events import kinds
from jujubeyard.events import timeline
from jujubeyard.gate import headers
from jujubeyard.internal import process
from jujubeyard.manifest import address as addresses
from jujubeyard.manifest import models

PROGRAM = "jujubeyard-standin-target"
MILLISECONDS_PER_SECOND = 1000.0


class TargetSettings(models.StrictModel):
    """Settings of the stand-in target.

    Attributes:
        name: Name of the target.
        listen: Address to listen on, as "IP:PORT".
        events_file: File that events are written to; none if empty.
        slots: Maximum number of concurrent calls once warm.
        cold_slots: Maximum number of concurrent calls while cold.
        warm_calls: Number of completed calls after which it is warm.
        work_ms: Median duration of a call.
        spread: Standard deviation of the logarithm of the duration.
        checks_grants: Whether calls without a valid grant are refused.
        checks_deadlines: Whether calls past their deadline are refused.
        seed: Seed of the random number generator.
    """

    name: models.Name
    listen: models.Address
    events_file: str = ""
    slots: int = 6
    cold_slots: int = 1
    warm_calls: int = 10
    work_ms: float = 5.0
    spread: float = 0.2
    checks_grants: bool = False
    checks_deadlines: bool = True
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Control:
    """Switches changed at run time; set as JSON through /-/control.

    Attributes:
        slow_factor: Factor applied to the duration of calls.
        cold: Whether this request makes the target cold again, without a new
            incarnation.
        cross_answers: Whether a call gets the answer of the previous call and
            a call id that isn't its own.
    """

    slow_factor: float = 1.0
    cold: bool = False
    cross_answers: bool = False


@dataclasses.dataclass(slots=True)
class RunningCall:
    """A call in progress, with the shard and epoch that it was sent for."""

    shard: int
    epoch: int


class StandinTarget:
    """Answers the calls, grant requests and health probes of one target."""

    def __init__(self, cfg: TargetSettings):
        self._cfg = cfg
        self._incarnation = f"{time.time_ns() // 1000:016d}"
        path = pathlib.Path(cfg.events_file) if cfg.events_file else None
        self._timeline = timeline.Timeline(f"target:{cfg.name}", path)
        self._rng = random.Random(cfg.seed)
        self._control = Control()
        self._running_calls: dict[int, RunningCall] = {}
        self._completed_calls = 0
        self._holder = 0
        self._grants: dict[int, int] = {}
        self._grants_expire_at = 0.0
        self._last_call_number = 0
        self._counts: collections.Counter = collections.Counter()
        self._previous_answer: dict = {}

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Routes a request to its handler and returns the response."""
        if req.path == headers.HEALTH_PATH:
            return self._respond(200, {"load": len(self._running_calls)})
        if req.path == headers.GRANTS_PATH:
            return await self._handle_grants(req)
        if req.path == "/-/control":
            self._control = Control(**await req.json())
            if self._control.cold:
                self._completed_calls = 0
                self._timeline.add(
                    kinds.EventKind.TARGET_COLD, target=self._cfg.name
                )
            return self._respond(200, {})
        if req.path == "/-/counts":
            return self._respond(200, dict(self._counts))
        return await self._handle_call(req)

    async def _handle_grants(self, req: web.BaseRequest) -> web.Response:
        document = await req.json()
        if document["incarnation"] != self._incarnation:
            return self._respond(412, {"running": []})
        if document["holder"] < self._holder:
            return self._respond(409, {"running": []})
        self._holder = document["holder"]
        new_grants = {
            int(shard): epoch for shard, epoch in document["grants"].items()
        }
        self._record_grants(new_grants)
        self._grants = new_grants
        self._grants_expire_at = document["expires"]
        running = sorted(
            {
                call.shard
                for call in self._running_calls.values()
                if self._grants.get(call.shard) != call.epoch
            }
        )
        return self._respond(200, {"running": running})

    def _record_grants(self, new_grants: dict[int, int]) -> None:
        for shard, epoch in new_grants.items():
            if self._grants.get(shard) != epoch:
                self._timeline.add(
                    kinds.EventKind.GRANT, shard=shard, epoch=epoch
                )
        for shard, epoch in self._grants.items():
            if shard not in new_grants:
                self._timeline.add(
                    kinds.EventKind.REVOKE, shard=shard, epoch=epoch
                )

    async def _handle_call(self, req: web.BaseRequest) -> web.Response:
        body = await req.read()
        refusal = self._find_refusal(req)
        call_id = req.headers.get(headers.CALL, "")
        if refusal:
            self._counts[f"refused-{refusal}"] += 1
            self._record_refusal(req, refusal)
            return self._respond(503, {}, call_id, refusal)
        call_number = self._start_call(req)
        finished = False
        try:
            await asyncio.sleep(self._work_seconds())
            finished = self._may_commit(req)
        finally:
            self._end_call(req, call_number, finished)
        if not finished:
            return self._respond(503, {}, call_id, headers.REFUSED_FENCED)
        self._completed_calls += 1
        return self._respond(200, self._make_answer(req, body), call_id)

    def _find_refusal(self, req: web.BaseRequest) -> str:
        expected_incarnation = req.headers.get(
            headers.INCARNATION, self._incarnation
        )
        if expected_incarnation != self._incarnation:
            return headers.REFUSED_INCARNATION
        if self._is_late(req):
            return headers.REFUSED_DEADLINE
        if not self._is_granted(req):
            return headers.REFUSED_GRANT
        if len(self._running_calls) >= self._slot_limit():
            cold = self._slot_limit() < self._cfg.slots
            return headers.REFUSED_COLD if cold else headers.REFUSED_SLOTS
        return ""

    def _is_late(self, req: web.BaseRequest) -> bool:
        deadline = req.headers.get(headers.DEADLINE)
        if deadline is None or not self._cfg.checks_deadlines:
            return False
        return clock.boottime() > float(deadline)

    def _is_granted(self, req: web.BaseRequest) -> bool:
        if not self._cfg.checks_grants:
            return True
        if int(req.headers.get(headers.HOLDER, "0")) < self._holder:
            return False
        shard = req.headers.get(headers.SHARD)
        if shard is None:
            return True
        epoch = int(req.headers.get(headers.EPOCH, "0"))
        if clock.boottime() >= self._grants_expire_at:
            return False
        return self._grants.get(int(shard)) == epoch

    def _may_commit(self, req: web.BaseRequest) -> bool:
        """Returns whether a call that has run may still take effect."""
        if self._is_late(req):
            return False
        if not self._cfg.checks_grants or headers.SHARD not in req.headers:
            return True
        shard = int(req.headers[headers.SHARD])
        epoch = int(req.headers.get(headers.EPOCH, "0"))
        if clock.boottime() < self._grants_expire_at:
            return self._grants.get(shard, epoch) == epoch
        return False

    def _slot_limit(self) -> int:
        if self._completed_calls < self._cfg.warm_calls:
            return self._cfg.cold_slots
        return self._cfg.slots

    def _work_seconds(self) -> float:
        seconds = self._cfg.work_ms / MILLISECONDS_PER_SECOND
        seconds *= self._rng.lognormvariate(0.0, self._cfg.spread)
        return seconds * self._control.slow_factor

    def _start_call(self, req: web.BaseRequest) -> int:
        self._last_call_number += 1
        shard = int(req.headers.get(headers.SHARD, "-1"))
        epoch = int(req.headers.get(headers.EPOCH, "0"))
        self._running_calls[self._last_call_number] = RunningCall(shard, epoch)
        self._counts["started"] += 1
        self._record_run(kinds.EventKind.RUN_START, req, self._last_call_number)
        return self._last_call_number

    def _end_call(
        self, req: web.BaseRequest, call_number: int, finished: bool
    ) -> None:
        del self._running_calls[call_number]
        self._counts["done" if finished else "not-done"] += 1
        self._record_run(
            kinds.EventKind.RUN_END, req, call_number, done=finished
        )

    def _record_run(
        self, kind, req: web.BaseRequest, call_number: int, **fields
    ):
        if not self._timeline.records_calls:
            return
        self._timeline.add(
            kind,
            target=self._cfg.name,
            run=f"{self._incarnation}-{call_number}",
            key=req.headers.get(headers.KEY, ""),
            call_kind=req.headers.get(headers.KIND, ""),
            shard=int(req.headers.get(headers.SHARD, "-1")),
            epoch=int(req.headers.get(headers.EPOCH, "0")),
            holder=int(req.headers.get(headers.HOLDER, "0")),
            request_id=req.headers.get(headers.REQUEST_ID, ""),
            in_flight=len(self._running_calls),
            limit=self._slot_limit(),
            **fields,
        )

    def _record_refusal(self, req: web.BaseRequest, reason: str) -> None:
        if self._timeline.records_calls:
            self._timeline.add(
                kinds.EventKind.RUN_REFUSED,
                target=self._cfg.name,
                reason=reason,
                request_id=req.headers.get(headers.REQUEST_ID, ""),
            )

    def _make_answer(self, req: web.BaseRequest, body: bytes) -> dict:
        answer = {
            "target": self._cfg.name,
            "request_id": req.headers.get(headers.REQUEST_ID, ""),
            "key": req.headers.get(headers.KEY, ""),
            "path": req.path_qs,
            "echo": body.decode(errors="replace"),
        }
        previous = self._previous_answer
        self._previous_answer = answer
        return previous if self._control.cross_answers and previous else answer

    def _respond(
        self, code: int, document: dict, call_id: str = "", refused: str = ""
    ) -> web.Response:
        response_headers = {
            headers.CLOCK: f"{clock.boottime():.6f}",
            headers.INCARNATION: self._incarnation,
            "Content-Type": "application/json",
        }
        if call_id:
            answered_id = "crossed" if self._control.cross_answers else call_id
            response_headers[headers.CALL] = answered_id
        if refused:
            response_headers[headers.REFUSED] = refused
        return web.Response(
            status=code,
            body=json.dumps(document).encode(),
            headers=response_headers,
        )


async def serve(
    cfg: TargetSettings, env: context.Environment, stop: asyncio.Event
) -> None:
    """Runs the stand-in target until `stop` is set."""
    del env
    standin = StandinTarget(cfg)
    server = web.Server(
        standin.handle, access_log=None, handler_cancellation=True
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    host, port = addresses.split(cfg.listen)
    await web.TCPSite(runner, host, port, backlog=512).start()
    await stop.wait()
    await runner.cleanup()


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the stand-in target as a program."""
    return process.run_daemon(PROGRAM, TargetSettings, serve, args, env)


if __name__ == "__main__":
    sys.exit(int(main()))
