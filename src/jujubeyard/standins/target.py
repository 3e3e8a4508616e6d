"""A stand-in of a target.

It works for a while on each call, bears little while it is cold, refuses what
it can't bear before running it, and, if so configured, checks grants. Its
events are the ground truth of a history.
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
MILLISECONDS = 1000.0


class TargetSettings(models.StrictModel):
    """Settings of the stand-in.

    Attributes:
        name: Name of the target.
        listen: "IP:PORT".
        events_file: Where events are recorded; none if empty.
        slots: Calls that it runs at once.
        cold_slots: Calls that it runs at once while it is cold.
        warm_calls: Calls that warm it up.
        work_ms: Median time of a call.
        spread: Standard deviation of the logarithm of the time.
        checks_grants: Whether it refuses calls without a grant.
        checks_deadlines: Whether it refuses calls past their deadline.
        seed: Seeds its random numbers.
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
    """What tests change while the stand-in runs.

    Attributes:
        slow_factor: Multiplies the time of calls.
        cold: Set once to turn it cold without a word.
        cross_answers: Whether answers name another call.
    """

    slow_factor: float = 1.0
    cold: bool = False
    cross_answers: bool = False


@dataclasses.dataclass(slots=True)
class Running:
    """One call that runs."""

    shard: int
    epoch: int


class StandinTarget:
    """One target."""

    def __init__(self, cfg: TargetSettings):
        self._cfg = cfg
        self._incarnation = f"{time.time_ns() // 1000:016d}"
        path = pathlib.Path(cfg.events_file) if cfg.events_file else None
        self._timeline = timeline.Timeline(f"target:{cfg.name}", path)
        self._rng = random.Random(cfg.seed)
        self._control = Control()
        self._calls: dict[int, Running] = {}
        self._served = 0
        self._holder = 0
        self._grants: dict[int, int] = {}
        self._expires = 0.0
        self._numbers = 0
        self._counts: collections.Counter = collections.Counter()
        self._latest_answer: dict = {}

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        if req.path == headers.HEALTH_PATH:
            return self._respond(200, {"load": len(self._calls)})
        if req.path == headers.GRANTS_PATH:
            return await self._take_grants(req)
        if req.path == "/-/control":
            self._control = Control(**await req.json())
            if self._control.cold:
                self._served = 0
                self._timeline.add(
                    kinds.EventKind.TARGET_COLD, target=self._cfg.name
                )
            return self._respond(200, {})
        if req.path == "/-/counts":
            return self._respond(200, dict(self._counts))
        return await self._take_call(req)

    async def _take_grants(self, req: web.BaseRequest) -> web.Response:
        document = await req.json()
        if document["incarnation"] != self._incarnation:
            return self._respond(412, {"running": []})
        if document["holder"] < self._holder:
            return self._respond(409, {"running": []})
        self._holder = document["holder"]
        granted = {int(s): e for s, e in document["grants"].items()}
        self._record_grants(granted)
        self._grants = granted
        self._expires = document["expires"]
        running = sorted(
            {
                row.shard
                for row in self._calls.values()
                if self._grants.get(row.shard) != row.epoch
            }
        )
        return self._respond(200, {"running": running})

    def _record_grants(self, granted: dict[int, int]) -> None:
        for shard, epoch in granted.items():
            if self._grants.get(shard) != epoch:
                self._timeline.add(
                    kinds.EventKind.GRANT, shard=shard, epoch=epoch
                )
        for shard, epoch in self._grants.items():
            if shard not in granted:
                self._timeline.add(
                    kinds.EventKind.REVOKE, shard=shard, epoch=epoch
                )

    async def _take_call(self, req: web.BaseRequest) -> web.Response:
        body = await req.read()
        refusal = self._find_refusal(req)
        call_id = req.headers.get(headers.CALL, "")
        if refusal:
            self._counts[f"refused-{refusal}"] += 1
            self._record_refusal(req, refusal)
            return self._respond(503, {}, call_id, refusal)
        number = self._start(req)
        finished = False
        try:
            await asyncio.sleep(self._work_seconds())
            finished = self._may_commit(req)
        finally:
            self._end(req, number, finished)
        if not finished:
            return self._respond(503, {}, call_id, headers.REFUSED_FENCED)
        self._served += 1
        return self._respond(200, self._make_answer(req, body), call_id)

    def _find_refusal(self, req: web.BaseRequest) -> str:
        meant_for = req.headers.get(headers.INCARNATION, self._incarnation)
        if meant_for != self._incarnation:
            return headers.REFUSED_INCARNATION
        if self._is_late(req):
            return headers.REFUSED_DEADLINE
        if not self._is_granted(req):
            return headers.REFUSED_GRANT
        if len(self._calls) >= self._limit():
            cold = self._limit() < self._cfg.slots
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
        if clock.boottime() >= self._expires:
            return False
        return self._grants.get(int(shard)) == epoch

    def _may_commit(self, req: web.BaseRequest) -> bool:
        """Returns whether a call's effect may be made now."""
        if self._is_late(req):
            return False
        if not self._cfg.checks_grants or headers.SHARD not in req.headers:
            return True
        shard = int(req.headers[headers.SHARD])
        epoch = int(req.headers.get(headers.EPOCH, "0"))
        if clock.boottime() < self._expires:
            return self._grants.get(shard, epoch) == epoch
        return False

    def _limit(self) -> int:
        if self._served < self._cfg.warm_calls:
            return self._cfg.cold_slots
        return self._cfg.slots

    def _work_seconds(self) -> float:
        seconds = self._cfg.work_ms / MILLISECONDS
        seconds *= self._rng.lognormvariate(0.0, self._cfg.spread)
        return seconds * self._control.slow_factor

    def _start(self, req: web.BaseRequest) -> int:
        self._numbers += 1
        shard = int(req.headers.get(headers.SHARD, "-1"))
        epoch = int(req.headers.get(headers.EPOCH, "0"))
        self._calls[self._numbers] = Running(shard, epoch)
        self._counts["started"] += 1
        self._record(kinds.EventKind.RUN_START, req, self._numbers)
        return self._numbers

    def _end(self, req: web.BaseRequest, number: int, done: bool) -> None:
        del self._calls[number]
        self._counts["done" if done else "not-done"] += 1
        self._record(kinds.EventKind.RUN_END, req, number, done=done)

    def _record(self, kind, req: web.BaseRequest, number: int, **more):
        if not self._timeline.records_calls:
            return
        self._timeline.add(
            kind,
            target=self._cfg.name,
            run=f"{self._incarnation}-{number}",
            key=req.headers.get(headers.KEY, ""),
            call_kind=req.headers.get(headers.KIND, ""),
            shard=int(req.headers.get(headers.SHARD, "-1")),
            epoch=int(req.headers.get(headers.EPOCH, "0")),
            holder=int(req.headers.get(headers.HOLDER, "0")),
            request_id=req.headers.get(headers.REQUEST_ID, ""),
            in_flight=len(self._calls),
            limit=self._limit(),
            **more,
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
        latest = self._latest_answer
        self._latest_answer = answer
        return latest if self._control.cross_answers and latest else answer

    def _respond(
        self, code: int, document: dict, call_id: str = "", refused: str = ""
    ) -> web.Response:
        sent = {
            headers.CLOCK: f"{clock.boottime():.6f}",
            headers.INCARNATION: self._incarnation,
            "Content-Type": "application/json",
        }
        if call_id:
            crossed = "crossed" if self._control.cross_answers else call_id
            sent[headers.CALL] = crossed
        if refused:
            sent[headers.REFUSED] = refused
        return web.Response(
            status=code, body=json.dumps(document).encode(), headers=sent
        )


async def serve(
    cfg: TargetSettings, env: context.Environment, stop: asyncio.Event
) -> None:
    """Serves until the event is set."""
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
    """Runs the program."""
    return process.run_daemon(PROGRAM, TargetSettings, serve, args, env)


if __name__ == "__main__":
    sys.exit(int(main()))
