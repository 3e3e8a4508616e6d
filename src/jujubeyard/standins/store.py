"""Stand-in for the platform's key-value store and VM list.

Serves an in-memory subset of the etcd v3 JSON API (range, txn with one compare,
watch of one key), a VM list, and endpoints for fault injection.
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
MILLISECONDS_PER_SECOND = 1000.0


class StoreSettings(models.StrictModel):
    """Settings of the stand-in store.

    Attributes:
        listen: Address to listen on, as "IP:PORT".
        vms: Initial VM list; each row has vm, ip, zone and state.
    """

    listen: models.Address
    vms: list[dict[str, str]] = []


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject; set as JSON through PUT /faults.

    Attributes:
        down: Whether connections are aborted without a response.
        delay_ms: Delay before each response.
        lose_answers: Number of upcoming writes that are applied but whose
            connection is aborted instead of answered.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class StandinStore:
    """Serves the key-value store and the VM list."""

    def __init__(self, vms: list[dict[str, str]]):
        self._faults = Faults()
        self._vms = vms
        self._values: dict[str, tuple[str, int]] = {}
        self._revision = 0
        self._changed = asyncio.Condition()
        self._request_counts: dict[str, int] = {}
        self.stopping = False

    def make_app(self) -> web.Application:
        """Returns the web application with all endpoints."""
        app = web.Application()
        app.router.add_post("/v3/kv/range", self._with_faults(self._range))
        app.router.add_post("/v3/kv/txn", self._with_faults(self._txn))
        app.router.add_post("/v3/watch", self._with_faults(self._watch))
        app.router.add_get("/v1/vms", self._with_faults(self._get_vms))
        app.router.add_put("/vms", self._put_vms)
        app.router.add_put("/faults", self._put_faults)
        app.router.add_get("/calls", self._get_request_counts)
        return app

    def _with_faults(self, handler):
        async def handle_with_faults(req: web.Request) -> web.StreamResponse:
            self._request_counts[req.path] = (
                self._request_counts.get(req.path, 0) + 1
            )
            if self._faults.delay_ms:
                await asyncio.sleep(
                    self._faults.delay_ms / MILLISECONDS_PER_SECOND
                )
            if self._faults.down:
                return self._abort_connection(req)
            return await handler(req)

        return handle_with_faults

    def _abort_connection(self, req: web.Request) -> web.StreamResponse:
        if req.transport is not None:
            req.transport.abort()
        return web.Response(status=503)

    async def _range(self, req: web.Request) -> web.StreamResponse:
        document = await req.json()
        key = document["key"]
        kvs = [self._make_kv(key)] if key in self._values else []
        return self._respond({"kvs": kvs, "count": str(len(kvs))})

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
                return self._abort_connection(req)
        return self._respond({"succeeded": succeeded})

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        document = await req.json()
        key = document["create_request"]["key"]
        sent_revision = int(document["create_request"]["start_revision"]) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        while not self.stopping and not self._faults.down:
            _, revision = self._values.get(key, ("", 0))
            if revision > sent_revision:
                sent_revision = revision
                events = {"events": [{"kv": self._make_kv(key)}]}
                line = json.dumps({"result": events}) + "\n"
                await resp.write(line.encode())
                continue
            async with self._changed:
                await self._changed.wait()
        self._abort_connection(req)
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

    async def _get_request_counts(self, _: web.Request) -> web.StreamResponse:
        return web.json_response(self._request_counts)

    def _make_kv(self, key: str) -> dict:
        value, revision = self._values[key]
        return {"key": key, "value": value, "mod_revision": str(revision)}

    def _respond(self, document: dict) -> web.Response:
        header = {"revision": str(self._revision)}
        return web.json_response({"header": header, **document})


async def serve(
    cfg: StoreSettings, env: context.Environment, stop: asyncio.Event
) -> None:
    """Runs the stand-in store until `stop` is set."""
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
    """Runs the stand-in store as a program."""
    return process.run_daemon(PROGRAM, StoreSettings, serve, args, env)


if __name__ == "__main__":
    sys.exit(int(main()))
