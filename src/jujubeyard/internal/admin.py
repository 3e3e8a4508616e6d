"""HTTP admin server of a process: metrics, status and events."""

import collections.abc

from aiohttp import web
import prometheus_client

from jujubeyard.internal import process_runtime
from jujubeyard.link import traffic
from jujubeyard.manifest import address as addresses

StatusReader = collections.abc.Callable[[], dict]


class AdminServer:
    """Serves /metrics, /status, /events and, if allowed, /faults."""

    def __init__(
        self,
        runtime: process_runtime.ProcessRuntime,
        read_status: StatusReader,
        allow_faults: bool,
    ):
        """Creates an admin server that does not listen yet.

        Args:
            runtime: Runtime of the process to report on.
            read_status: Returns the fields that the role adds to /status.
            allow_faults: Whether /faults may drop messages on links.
        """
        self._runtime = runtime
        self._read_status = read_status
        app = web.Application()
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/events", self._get_events)
        if allow_faults:
            app.router.add_put("/faults", self._put_faults)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: str) -> None:
        """Starts listening on an "IP:PORT" address."""
        await self._runner.setup()
        host, port = addresses.split(address)
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening and closes open connections."""
        await self._runner.cleanup()

    async def _get_metrics(self, _: web.Request) -> web.Response:
        body = prometheus_client.generate_latest(self._runtime.registry)
        return web.Response(body=body, content_type="text/plain")

    async def _get_status(self, _: web.Request) -> web.Response:
        identity = self._runtime.identity
        document = {
            "process": self._runtime.timeline.process,
            "name": identity.name,
        }
        document["role"] = identity.role
        document["zone"] = self._runtime.zone
        document["link_bytes"] = {
            "sent": traffic.total.sent,
            "received": traffic.total.received,
        }
        document.update(self._read_status())
        return web.json_response(document)

    async def _get_events(self, req: web.Request) -> web.Response:
        try:
            after = int(req.query.get("after", "0"))
        except ValueError as exc:
            raise web.HTTPBadRequest(text="after: must be a number") from exc
        return web.json_response(self._runtime.timeline.events_after(after))

    async def _put_faults(self, req: web.Request) -> web.Response:
        document = await req.json()
        self._runtime.faults.drop_from = set(document.get("drop_from", []))
        self._runtime.faults.drop_to = set(document.get("drop_to", []))
        return web.json_response(document)
