"""Callers of a soak, the balancer before them, and probes of versions."""

import asyncio
import itertools
import random
import time

import aiohttp

from jujubeyard.node import upstream
from jujubeyard.platform import headers
from platform_standins import documents
from soak import fleet
from soak import record

NAMES = headers.NAMES
CALLERS = 24
PAUSE_SECONDS = 0.35
"""Mean pause of a caller between two calls."""

DEADLINE_SECONDS = 2.0
LEAVE_SHARE = 0.02
"""Share of the calls whose caller leaves early."""

LEAVE_SECONDS = 0.03
FRESH_SHARE = 0.3
"""Share of the callers that open a connection for each call."""

HOT_SHARE = 0.3
"""Share of the keyed calls that are about few neighbouring keys."""

HOT_KEYS = 40
KEYS = 65536
READINESS_SECONDS = 0.5
READINESS_LIMIT_SECONDS = 0.4
MISSES_UNTIL_OUT = 2
PROBE_SECONDS = 0.4
PROBE_LIMIT_SECONDS = 0.5
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
    """Returns the route that only some versions have."""
    return documents.Route(f"v{version}", "pool", True)


class Balancer:
    """Asks nodes whether they are ready, and spreads callers over them."""

    def __init__(self, running: fleet.Fleet, rng: random.Random):
        self._fleet = running
        self._rng = rng
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Asks until cancelled."""
        limit = aiohttp.ClientTimeout(total=READINESS_LIMIT_SECONDS)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                nodes = list(self._fleet.nodes.values())
                await asyncio.gather(*(self._ask(session, n) for n in nodes))
                await asyncio.sleep(READINESS_SECONDS)

    def choose(self) -> fleet.Node:
        """Returns a node for a new connection."""
        nodes = list(self._fleet.nodes.values())
        ready = [node for node in nodes if node.is_ready]
        return self._rng.choice(ready or nodes)

    async def _ask(self, session, node: fleet.Node) -> None:
        url = f"http://{node.ip}:{fleet.READINESS_PORT}{headers.READINESS_PATH}"
        try:
            async with session.get(url) as resp:
                is_ready = resp.status == HTTP_OK
        except (aiohttp.ClientError, OSError, TimeoutError):
            is_ready = False
        if is_ready:
            self._misses[node.name] = 0
            node.is_ready = True
            return
        self._misses[node.name] = self._misses.get(node.name, 0) + 1
        if self._misses[node.name] >= MISSES_UNTIL_OUT:
            node.is_ready = False


class Callers:
    """Sends calls of all kinds, and records what comes back."""

    def __init__(
        self,
        running: fleet.Fleet,
        balancer: Balancer,
        rng: random.Random,
    ):
        self._fleet = running
        self._record = running.record
        self._balancer = balancer
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends until cancelled."""
        await asyncio.gather(*(self._call_on() for _ in range(CALLERS)))

    async def _call_on(self) -> None:
        is_fresh = self._rng.random() < FRESH_SHARE
        session = upstream.make_session(NAMES, force_close=is_fresh)
        node = self._balancer.choose()
        try:
            while True:
                pause = self._rng.expovariate(1.0 / PAUSE_SECONDS)
                await asyncio.sleep(pause)
                if is_fresh:
                    node = self._balancer.choose()
                stays = await self._call(session, node)
                if not stays:
                    node = self._balancer.choose()
        finally:
            await session.close()

    async def _call(self, session, node: fleet.Node) -> bool:
        """Sends a call; returns whether its connection goes on."""
        route = self._rng.choice(ROUTES)
        call_id = f"c{next(self._numbers)}"
        sending = record.Sending(
            call_id,
            node.name,
            route.name,
            route.service,
            route.idempotent,
            time.monotonic(),
        )
        self._record.sendings[call_id] = sending
        leaves = self._rng.random() < LEAVE_SHARE
        limit = LEAVE_SECONDS if leaves else DEADLINE_SECONDS
        try:
            return await self._send(session, node, route, sending, limit)
        except TimeoutError:
            return False
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            connected = not isinstance(exc, aiohttp.ClientConnectorError)
            sending.was_cut = connected
            return False
        finally:
            sending.ended_at = time.monotonic()

    async def _send(self, session, node, route, sending, limit) -> bool:
        fields = {
            "Host": documents.HOST,
            NAMES.call_id: sending.call_id,
            NAMES.deadline: str(int(DEADLINE_SECONDS * 1000)),
        }
        if fleet.SERVICES[route.service].keyed:
            fields[NAMES.key] = str(self._choose_key())
        method = "GET" if route.idempotent else "POST"
        async with session.request(
            method,
            f"{node.url}/{route.name}/1",
            headers=fields,
            timeout=aiohttp.ClientTimeout(total=limit),
        ) as resp:
            body = await resp.text()
            sending.status = resp.status
            self._check(sending, resp, body)
            return "close" not in resp.headers.get("Connection", "").lower()

    def _choose_key(self) -> int:
        if self._rng.random() < HOT_SHARE:
            return self._rng.randrange(HOT_KEYS)
        return self._rng.randrange(KEYS)

    def _check(self, sending: record.Sending, resp, body: str) -> None:
        if resp.status != HTTP_OK:
            return
        made = self._record.answers.get(sending.call_id, set())
        signed = NAMES.signature in resp.headers
        if body not in made or not signed:
            self._record.report(
                record.Rule.MIXED,
                time.monotonic(),
                f"{sending.call_id} got {body!r} from {sending.node}",
            )


class Prober:
    """Asks each node whether it knows the latest versions."""

    def __init__(self, running: fleet.Fleet):
        self._fleet = running
        self._record = running.record

    async def run(self) -> None:
        """Asks until cancelled."""
        limit = aiohttp.ClientTimeout(total=PROBE_LIMIT_SECONDS)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                await asyncio.sleep(PROBE_SECONDS)
                nodes = self._fleet.nodes.values()
                known = sorted(self._record.versions)
                versions = known[-record.KEPT_VERSIONS :]
                await asyncio.gather(
                    *(
                        self._ask(session, node, version)
                        for node in nodes
                        for version in versions
                    )
                )

    async def _ask(self, session, node: fleet.Node, version: int) -> None:
        call_id = f"p{time.monotonic_ns()}-{node.name}-{version}"
        life, sent_at = node.life, time.monotonic()
        self._record.sendings[call_id] = record.Sending(
            call_id, node.name, f"v{version}", "pool", True, sent_at
        )
        fields = {
            "Host": documents.HOST,
            NAMES.call_id: call_id,
            NAMES.deadline: str(int(PROBE_LIMIT_SECONDS * 1000)),
        }
        url = f"{node.url}/v{version}/1"
        try:
            async with session.get(url, headers=fields) as resp:
                await resp.read()
                status = resp.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if status in (HTTP_OK, HTTP_NOT_FOUND):
            knows = status == HTTP_OK
            self._record.probes.append(
                record.Probe(node.name, life, version, sent_at, knows)
            )
