"""A stand-in of the platform: key-value store and VM list.

Serves the parts of the etcd v3 JSON API that the project uses (range, txn with
one compare, watch of one key) from memory, a VM list, and switches for faults.
"""

import asyncio
import dataclasses
import json
import sys

from aiohttp import web

from jujubeyard import context
from jujubeyard import status
from jujubeyard.internal import process
from jujubeyard.manifest import address as addresses
from jujubeyard.manifest import models

PROGRAM = "jujubeyard-standin-store"
MILLISECONDS = 1000.0


class StoreSettings(models.StrictModel):
    """Settings of the stand-in.

    Attributes:
        listen: "IP:PORT".
        vms: The VM list at the start, as rows of vm, ip, zone and state.
    """

    listen: models.Address
    vms: list[dict[str, str]] = []


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that tests switch on.

    Attributes:
        down: Whether connections are closed without an answer.
        delay_ms: Delay of each answer.
        lose_answers: Number of writes to come whose answer is lost after
            they took effect.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class StandinStore:
    """The store and the VM list."""

    def __init__(self, vms: list[dict[str, str]]):
        self._faults = Faults()
        self._vms = vms
        self._values: dict[str, tuple[str, int]] = {}
        self._revision = 0
        self._changed = asyncio.Condition()
        self._calls: dict[str, int] = {}
        self.stopping = False

    def make_app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application()
        app.router.add_post("/v3/kv/range", self._guard(self._range))
        app.router.add_post("/v3/kv/txn", self._guard(self._txn))
        app.router.add_post("/v3/watch", self._guard(self._watch))
        app.router.add_get("/v1/vms", self._guard(self._get_vms))
        app.router.add_put("/vms", self._put_vms)
        app.router.add_put("/faults", self._put_faults)
        app.router.add_get("/calls", self._get_calls)
        return app

    def _guard(self, handler):
        async def guarded(req: web.Request) -> web.StreamResponse:
            self._calls[req.path] = self._calls.get(req.path, 0) + 1
            if self._faults.delay_ms:
                await asyncio.sleep(self._faults.delay_ms / MILLISECONDS)
            if self._faults.down:
                return self._cut(req)
            return await handler(req)

        return guarded

    def _cut(self, req: web.Request) -> web.StreamResponse:
        if req.transport is not None:
            req.transport.abort()
        return web.Response(status=503)

    async def _range(self, req: web.Request) -> web.StreamResponse:
        document = await req.json()
        key = document["key"]
        kvs = [self._kv(key)] if key in self._values else []
        return self._reply({"kvs": kvs, "count": str(len(kvs))})

    async def _txn(self, req: web.Request) -> web.StreamResponse:
        document = await req.json()
        compare = document["compare"][0]
        put = document["success"][0]["request_put"]
        _, revision = self._values.get(compare["key"], ("", 0))
        succeeded = revision == int(compare["mod_revision"])
        if succeeded:
            self._revision += 1
            self._values[put["key"]] = (put["value"], self._revision)
            async with self._changed:
                self._changed.notify_all()
            if self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
                return self._cut(req)
        return self._reply({"succeeded": succeeded})

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        document = await req.json()
        key = document["create_request"]["key"]
        seen = int(document["create_request"]["start_revision"]) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        while not self.stopping and not self._faults.down:
            _, revision = self._values.get(key, ("", 0))
            if revision > seen:
                seen = revision
                events = {"events": [{"kv": self._kv(key)}]}
                line = json.dumps({"result": events}) + "\n"
                await resp.write(line.encode())
                continue
            async with self._changed:
                await self._changed.wait()
        self._cut(req)
        return resp

    async def _get_vms(self, _: web.Request) -> web.StreamResponse:
        return web.json_response({"vms": self._vms})

    async def _put_vms(self, req: web.Request) -> web.StreamResponse:
        self._vms = (await req.json())["vms"]
        return web.json_response({})

    async def _put_faults(self, req: web.Request) -> web.StreamResponse:
        self._faults = Faults(**await req.json())
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(dataclasses.asdict(self._faults))

    async def _get_calls(self, _: web.Request) -> web.StreamResponse:
        return web.json_response(self._calls)

    def _kv(self, key: str) -> dict:
        value, revision = self._values[key]
        return {"key": key, "value": value, "mod_revision": str(revision)}

    def _reply(self, document: dict) -> web.Response:
        header = {"revision": str(self._revision)}
        return web.json_response({"header": header, **document})


async def serve(
    cfg: StoreSettings, env: context.Environment, stop: asyncio.Event
) -> None:
    """Serves until the event is set."""
    del env
    standin = StandinStore(cfg.vms)
    runner = web.AppRunner(
        standin.make_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    host, port = addresses.split(cfg.listen)
    await web.TCPSite(runner, host, port).start()
    await stop.wait()
    standin.stopping = True
    await runner.cleanup()


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the program."""
    return process.run_daemon(PROGRAM, StoreSettings, serve, args, env)


if __name__ == "__main__":
    sys.exit(int(main()))
