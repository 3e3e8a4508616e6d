"""Callers of a soak, their load balancer, and probes of versions."""

import asyncio
import itertools
import random
import time

import aiohttp

from jujubeyard import connections
from jujubeyard.platform import headers
from platform_standins import documents
from soak import fleet
from soak import observations

HEADER_NAMES = headers.NAMES
MEAN_PAUSE_SECONDS = 0.35
"""Mean pause of a caller between two calls."""

DEADLINE_SECONDS = 2.0
ABANDONED_SHARE = 0.02
"""Share of the calls that their caller abandons."""

ABANDON_SECONDS = 0.03
"""Time after which a caller abandons such a call."""

NEW_CONNECTION_SHARE = 0.3
"""Share of the callers that open a new connection for each call."""

HOT_KEY_SHARE = 0.3
"""Share of the keyed calls that use one of the few hot keys."""

HOT_KEY_COUNT = 40
"""Number of hot keys, which are adjacent."""

KEY_COUNT = 65536
READINESS_INTERVAL_SECONDS = 0.5
READINESS_TIMEOUT_SECONDS = 0.4
FAILURES_UNTIL_UNREADY = 2
"""Consecutive failed readiness checks until a node counts as not ready."""

PROBE_INTERVAL_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404
ROUTES = (
    documents.Route("read", "desk", True),
    documents.Route("write", "desk", False),
    documents.Route("order", "pool", False),
    documents.Route("look", "pool", True),
    documents.Route("fetch", "depot", True),
    documents.Route("dispatch", "depot", False),
)


def version_route(version: int) -> documents.Route:
    """Returns the route that exists only to probe a configuration version."""
    return documents.Route(f"v{version}", "pool", True)


class LoadBalancer:
    """Checks the readiness of nodes and assigns callers to ready ones."""

    def __init__(self, running_fleet: fleet.Fleet, rng: random.Random):
        self._fleet = running_fleet
        self._rng = rng
        self._failures: dict[str, int] = {}

    async def run(self) -> None:
        """Checks readiness until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                nodes = list(self._fleet.nodes.values())
                await asyncio.gather(
                    *(self._check_readiness(session, n) for n in nodes)
                )
                await asyncio.sleep(READINESS_INTERVAL_SECONDS)

    def choose(self) -> fleet.Node:
        """Returns a random node to connect to, a ready one if possible."""
        nodes = list(self._fleet.nodes.values())
        ready = [node for node in nodes if node.is_ready]
        return self._rng.choice(ready or nodes)

    async def _check_readiness(self, session, node: fleet.Node) -> None:
        url = f"http://{node.ip}:{fleet.READINESS_PORT}{headers.READINESS_PATH}"
        try:
            async with session.get(url) as resp:
                is_ready = resp.status == HTTP_OK
        except (aiohttp.ClientError, OSError, TimeoutError):
            is_ready = False
        if is_ready:
            self._failures[node.name] = 0
            node.is_ready = True
            return
        self._failures[node.name] = self._failures.get(node.name, 0) + 1
        if self._failures[node.name] >= FAILURES_UNTIL_UNREADY:
            node.is_ready = False


class Callers:
    """Sends calls on random routes and checks and records the responses."""

    def __init__(
        self,
        running_fleet: fleet.Fleet,
        balancer: LoadBalancer,
        rng: random.Random,
    ):
        self._fleet = running_fleet
        self._observed = running_fleet.observed
        self._balancer = balancer
        self._rng = rng
        self._call_numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends calls until cancelled."""
        count = self._fleet.shape.caller_count
        await asyncio.gather(*(self._run_caller() for _ in range(count)))

    async def _run_caller(self) -> None:
        connects_per_call = self._rng.random() < NEW_CONNECTION_SHARE
        session = connections.make_session(
            HEADER_NAMES.call_id, force_close=connects_per_call
        )
        node = self._balancer.choose()
        try:
            while True:
                pause = self._rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
                await asyncio.sleep(pause)
                if connects_per_call:
                    node = self._balancer.choose()
                is_reusable = await self._send_call(session, node)
                if not is_reusable:
                    node = self._balancer.choose()
        finally:
            await session.close()

    async def _send_call(self, session, node: fleet.Node) -> bool:
        """Sends a call; returns whether its connection can be reused."""
        route = self._rng.choice(ROUTES)
        call_id = f"c{next(self._call_numbers)}"
        call = observations.Call(
            call_id,
            node.name,
            route.name,
            route.service,
            route.idempotent,
            time.monotonic(),
        )
        self._observed.calls[call_id] = call
        is_abandoned = self._rng.random() < ABANDONED_SHARE
        timeout_seconds = ABANDON_SECONDS if is_abandoned else DEADLINE_SECONDS
        try:
            return await self._exchange(
                session, node, route, call, timeout_seconds
            )
        except TimeoutError:
            return False
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            was_connected = not isinstance(exc, aiohttp.ClientConnectorError)
            call.was_interrupted = was_connected
            return False
        finally:
            call.ended_at = time.monotonic()

    async def _exchange(
        self, session, node, route, call, timeout_seconds
    ) -> bool:
        request_headers = {
            "Host": documents.HOST,
            HEADER_NAMES.call_id: call.call_id,
            HEADER_NAMES.deadline: str(int(DEADLINE_SECONDS * 1000)),
        }
        if fleet.SERVICES[route.service].keyed:
            request_headers[HEADER_NAMES.key] = str(self._choose_key())
        method = "GET" if route.idempotent else "POST"
        async with session.request(
            method,
            f"{node.url}/{route.name}/1",
            headers=request_headers,
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
        ) as resp:
            body = await resp.text()
            call.status = resp.status
            self._record_response(call, resp, body)
            return "close" not in resp.headers.get("Connection", "").lower()

    def _choose_key(self) -> int:
        if self._rng.random() < HOT_KEY_SHARE:
            return self._rng.randrange(HOT_KEY_COUNT)
        return self._rng.randrange(KEY_COUNT)

    def _record_response(
        self, call: observations.Call, resp, body: str
    ) -> None:
        if resp.status == HTTP_OK:
            call.body = body
            call.is_signed = HEADER_NAMES.signature in resp.headers


class Prober:
    """Probes each node for the latest configuration versions."""

    def __init__(self, running_fleet: fleet.Fleet):
        self._fleet = running_fleet
        self._observed = running_fleet.observed

    async def run(self) -> None:
        """Sends probes until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
                nodes = self._fleet.nodes.values()
                all_versions = sorted(self._observed.versions)
                versions = all_versions[-observations.KEPT_VERSION_ROUTES :]
                await asyncio.gather(
                    *(
                        self._probe(session, node, version)
                        for node in nodes
                        for version in versions
                    )
                )

    async def _probe(self, session, node: fleet.Node, version: int) -> None:
        call_id = f"p{time.monotonic_ns()}-{node.name}-{version}"
        incarnation, sent_at = node.incarnation, time.monotonic()
        self._observed.calls[call_id] = observations.Call(
            call_id, node.name, f"v{version}", "pool", True, sent_at
        )
        request_headers = {
            "Host": documents.HOST,
            HEADER_NAMES.call_id: call_id,
            HEADER_NAMES.deadline: str(int(PROBE_TIMEOUT_SECONDS * 1000)),
        }
        url = f"{node.url}/v{version}/1"
        try:
            async with session.get(url, headers=request_headers) as resp:
                await resp.read()
                status = resp.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if status in (HTTP_OK, HTTP_NOT_FOUND):
            is_in_force = status == HTTP_OK
            self._observed.probes.append(
                observations.Probe(
                    node.name, incarnation, version, sent_at, is_in_force
                )
            )
