"""A stand-in of a target, with the faults that it may have."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
import typing

from aiohttp import web

from jujubeyard import durations
from jujubeyard.ownership import demand
from jujubeyard.platform import headers
from platform_standins import documents
from platform_standins import keys
from platform_standins import store

NAMES = headers.NAMES
BEAT_SECONDS = 0.5
BEATS_UNTIL_GONE = 3
QUEUE_PER_SLOT = 4
LATE_ORDER_SECONDS = (1.0, 4.0)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a target.

    Attributes:
        slow_factor: Multiplies the time of calls.
        lost_share: Share of the answers that are never sent.
        spoilt_share: Share of the answers that are cut or followed by more.
        late_share: Share of the grants that are applied late, unanswered.
        is_mute: Whether it doesn't reach the store.
    """

    slow_factor: float = 1.0
    lost_share: float = 0.0
    corrupted_share: float = 0.0
    late_share: float = 0.0
    store_unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached a target.

    Attributes:
        call_id: Its name.
        target: The target.
        service: The target's service.
        at: When, in monotonic seconds.
        was_cold: Whether the target was cold.
        ran: Whether the target began to work on it.
    """

    call_id: str
    target: str
    service: str
    at: float
    was_cold: bool
    ran: bool


class Observer(typing.Protocol):
    """Who is told what a target sees."""

    def record_arrival(self, arrival: Arrival) -> None:
        """Takes a call that reached a target that may run it."""

    def record_answer(self, call_id: str, body: str) -> None:
        """Takes the body that a target made for a call."""

    def record_conflict(self, detail: str) -> None:
        """Takes a key that two targets hold, or a fence that didn't grow."""


class Fleet(typing.Protocol):
    """The targets beside a target."""

    def peers(self, service: str) -> "list[Target]":
        """Returns all targets of a service that are up."""


class Target:
    """One life of a target.

    Attributes:
        name: Its name.
        service: Its service.
        zone: Its availability zone.
        address: Where callers of it connect.
        faults: Its faults at this moment.
        keys: What it holds, and under which fences.
        is_up: Whether its process runs.
        is_draining: Whether it is about to leave.
    """

    def __init__(
        self,
        name: str,
        service: documents.Service,
        zone: str,
        address: str,
        kept: store.Store,
        observer: Observer,
        fleet: Fleet,
        rng: random.Random,
        is_cold: bool,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.faults = Faults()
        self.keys = keys.HeldKeys(name, observer, self._find_peers)
        self.is_up = False
        self.is_draining = False
        self._store = kept
        self._observer = observer
        self._fleet = fleet
        self._rng = rng
        self._born = int(time.time() * durations.MILLISECONDS_PER_SECOND)
        cold_seconds = documents.COLD_SECONDS if is_cold else 0.0
        self._cold_until = time.monotonic() + cold_seconds
        self._running: collections.Counter[int] = collections.Counter()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._idle = asyncio.Event()
        self._numbers = itertools.count(1)
        self._runner: web.ServerRunner | None = None
        self._tasks: set[asyncio.Task] = set()
        self._beat_at = time.monotonic()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen and to tell the store of itself."""
        server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()
        self.is_up = True
        self._spawn(self._beat())

    async def crash(self) -> None:
        """Ends at once; the store drops its entry when beats are missed."""
        self.is_up = False
        self.keys.clear()
        for conn in self._runner.server.connections:
            if conn.transport is not None:
                conn.transport.abort()
        await self._runner.cleanup()

    def drain(self) -> None:
        """Says that it is about to leave."""
        self.is_draining = True
        self._tell()

    def deregister(self) -> None:
        """Takes its entry out of the store, and goes on serving."""
        self.faults.store_unreachable = True
        self._store.remove(documents.listing_key(self.name))

    def is_cold(self) -> bool:
        """Returns whether it is cold."""
        return time.monotonic() < self._cold_until

    # The store.

    async def _beat(self) -> None:
        while self.is_up:
            self._tell()
            await asyncio.sleep(BEAT_SECONDS)
        gone_at = self._beat_at + BEATS_UNTIL_GONE * BEAT_SECONDS
        while time.monotonic() < gone_at or self._store.faults.is_down():
            await asyncio.sleep(BEAT_SECONDS / 4)
        self._store.remove(documents.listing_key(self.name))

    def _tell(self) -> None:
        if self._store.faults.is_down() or self.faults.store_unreachable:
            return
        self._beat_at = time.monotonic()
        left = max(0.0, self._cold_until - self._beat_at)
        listing = documents.make_listing(
            self.service,
            self.address,
            self.zone,
            self._born,
            self.is_draining,
            documents.COLD_SECONDS if left else 0.0,
        )
        self._store.put(documents.listing_key(self.name), listing)

    # Orders.

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == documents.HEALTH_PATH:
            return self._respond(200, {NAMES.target: self.name})
        if req.headers.get(NAMES.expected_target, self.name) != self.name:
            return self._refuse(421)
        if req.path == "/grant":
            return await self._take_grant(req)
        if req.path == "/release":
            return await self._take_release(req)
        return await self._take_call(req)

    async def _take_grant(self, req) -> web.Response:
        document = await req.json()
        arrived_at = time.monotonic()
        if self._rng.random() < self.faults.late_share:
            self._spawn(self._grant_late(document, arrived_at))
            await asyncio.sleep(LATE_ORDER_SECONDS[1])
            return self._respond(503)
        return self._respond(self.keys.grant(document, arrived_at))

    async def _grant_late(self, document: dict, arrived_at: float) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_ORDER_SECONDS))
        if self.is_up:
            self.keys.grant(document, arrived_at)

    async def _take_release(self, req) -> web.Response:
        document = await req.json()
        buckets = self.keys.release(document)
        while any(self._running[bucket] for bucket in buckets):
            self._idle.clear()
            await self._idle.wait()
        return self._respond(200, {NAMES.handover: f"{document['fence']:016x}"})

    # Calls.

    async def _take_call(self, req) -> web.StreamResponse:
        await req.read()
        bucket = -1
        if self.service.keyed:
            bucket = int(req.headers[NAMES.key]) // demand.BUCKET_KEYS
        deadline = time.monotonic() + (
            int(req.headers[NAMES.deadline]) / durations.MILLISECONDS_PER_SECOND
        )
        if bucket >= 0 and not self.keys.holds(bucket):
            return self._refuse(421)
        if self._waiting >= QUEUE_PER_SLOT * self.service.slots:
            self._note_arrival(req, ran=False)
            return self._refuse(503)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(req, bucket, deadline)
        finally:
            self._slots.release()

    async def _run(self, req, bucket: int, deadline: float):
        if bucket >= 0 and not self.keys.holds(bucket):
            return self._refuse(421)
        is_late = time.monotonic() > deadline
        self._note_arrival(req, ran=not is_late)
        if is_late:
            return self._refuse(503)
        if bucket >= 0:
            self.keys.check_sole_owner(bucket)
        self._running[bucket] += 1
        try:
            mean = self.service.work_seconds * self.faults.slow_factor
            await asyncio.sleep(mean * self._rng.uniform(0.5, 1.5))
        finally:
            self._running[bucket] -= 1
            self._idle.set()
        return await self._answer(req)

    def _note_arrival(self, req, ran: bool) -> None:
        call_id = req.headers[NAMES.call_id]
        self._observer.record_arrival(
            Arrival(
                call_id,
                self.name,
                self.service.name,
                time.monotonic(),
                self.is_cold(),
                ran,
            )
        )

    async def _answer(self, req) -> web.StreamResponse:
        call_id = req.headers[NAMES.call_id]
        body = f"{self.name} {call_id} {next(self._numbers)}"
        self._observer.record_answer(call_id, body)
        draw = self._rng.random()
        if draw < self.faults.lost_share:
            req.transport.abort()
        elif draw < self.faults.lost_share + self.faults.corrupted_share:
            return await self._spoil(req, call_id, body)
        return self._respond(
            200, {NAMES.call_id: call_id, NAMES.signature: "s"}, body
        )

    async def _spoil(self, req, call_id: str, body: str):
        """Sends half of an answer, or an answer and more bytes."""
        head = (
            f"HTTP/1.1 200 OK\r\n{NAMES.call_id}: {call_id}\r\n"
            f"{NAMES.signature}: s\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        if self._rng.random() < 0.5:
            req.transport.write((head + body[: len(body) // 2]).encode())
        else:
            whole = (head + body).encode()
            req.transport.write(whole + whole)
        await asyncio.sleep(0.0)
        req.transport.close()
        return web.Response()

    def _refuse(self, status: int) -> web.Response:
        return self._respond(
            status, {NAMES.not_run: "1", NAMES.target: self.name}
        )

    def _respond(
        self, status: int, more: dict | None = None, body: str = ""
    ) -> web.Response:
        running = self.service.slots - self._slots._value
        load = f"{running},{self._waiting},{self.service.slots},100"
        return web.Response(
            status=status, text=body, headers={NAMES.load: load, **(more or {})}
        )

    def _find_peers(self) -> "list[keys.HeldKeys]":
        peers = self._fleet.peers(self.service.name)
        return [peer.keys for peer in peers if peer is not self]

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
