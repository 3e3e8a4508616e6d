"""Stand-in for a target, with injected faults."""

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
HEARTBEAT_SECONDS = 0.5
MISSED_HEARTBEATS_UNTIL_REMOVAL = 3
QUEUE_PER_SLOT = 4
LATE_GRANT_SECONDS = (1.0, 4.0)
"""Shortest and longest delay of a grant that is applied late."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a target.

    Attributes:
        slow_factor: Factor by which the processing time of calls grows.
        lost_share: Fraction of the responses that are never sent.
        corrupted_share: Fraction of the responses that are truncated or
            followed by extra bytes.
        late_share: Fraction of the grants that are applied late and answered
            only after the sender's timeout.
        store_unreachable: Whether the target cannot reach the store and its
            listing is no longer updated.
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
        call_id: ID of the call.
        target: Name of the target.
        service: Name of the target's service.
        at: Arrival time in monotonic seconds.
        was_cold: Whether the target was cold.
        ran: Whether the target started to process the call.
    """

    call_id: str
    target: str
    service: str
    at: float
    was_cold: bool
    ran: bool


class Observer(typing.Protocol):
    """Receiver of the calls, responses and conflicts at targets."""

    def record_arrival(self, arrival: Arrival) -> None:
        """Records a call that reached a target, whether or not it ran there."""

    def record_response(self, call_id: str, body: str) -> None:
        """Records the response body that a target created for a call."""

    def record_conflict(self, detail: str) -> None:
        """Records that two targets held a key, or a fence did not increase."""


class Fleet(typing.Protocol):
    """The set of all targets."""

    def peers(self, service: str) -> "list[Target]":
        """Returns all targets of a service that are up."""

    def find_running(self, name: str) -> "Target | None":
        """Returns the incarnation of a target that is up, if any."""


class Target:
    """One incarnation of a target.

    Attributes:
        name: Name of the target.
        service: Service of the target.
        zone: Availability zone of the target.
        address: Address to which nodes connect, as "IP:PORT".
        faults: Faults in force.
        keys: Keys that the target holds, with their fences.
        is_up: Whether the target's process runs.
        is_draining: Whether the target is draining.
    """

    def __init__(
        self,
        name: str,
        service: documents.Service,
        zone: str,
        address: str,
        kv_store: store.Store,
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
        self._store = kv_store
        self._observer = observer
        self._fleet = fleet
        self._rng = rng
        self._started_ms = int(time.time() * durations.MILLISECONDS_PER_SECOND)
        cold_seconds = documents.COLD_SECONDS if is_cold else 0.0
        self._cold_until = time.monotonic() + cold_seconds
        self._running_calls: collections.Counter[int] = collections.Counter()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting_calls = 0
        self._call_ended = asyncio.Event()
        self._response_numbers = itertools.count(1)
        self._runner: web.ServerRunner | None = None
        self._tasks: set[asyncio.Task] = set()
        self._heartbeat_at = time.monotonic()

    async def start(
        self, host: str, port: int, listing_delay: float = 0.0
    ) -> None:
        """Starts to serve requests and to publish the listing.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on.
            listing_delay: Time until the listing is first published, in
                seconds.
        """
        server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()
        self.is_up = True
        self._spawn(self._send_heartbeats(listing_delay))

    async def crash(self) -> None:
        """Stops at once; the listing expires after missed heartbeats."""
        self.is_up = False
        self.keys.clear()
        for conn in self._runner.server.connections:
            if conn.transport is not None:
                conn.transport.abort()
        await self._runner.cleanup()

    def drain(self) -> None:
        """Publishes that the target is draining."""
        self.is_draining = True
        self._publish_listing()

    def deregister(self) -> None:
        """Removes the listing from the store, but continues to serve."""
        self.faults.store_unreachable = True
        self._store.remove(documents.listing_key(self.name))

    def is_cold(self) -> bool:
        """Returns whether the target is cold."""
        return time.monotonic() < self._cold_until

    # Listing in the store.

    async def _send_heartbeats(self, delay: float) -> None:
        await asyncio.sleep(delay)
        while self.is_up:
            self._publish_listing()
            await asyncio.sleep(HEARTBEAT_SECONDS)
        remove_at = (
            self._heartbeat_at
            + MISSED_HEARTBEATS_UNTIL_REMOVAL * HEARTBEAT_SECONDS
        )
        while time.monotonic() < remove_at or self._store.faults.is_down():
            await asyncio.sleep(HEARTBEAT_SECONDS / 4)
        if self._fleet.find_running(self.name) is None:
            self._store.remove(documents.listing_key(self.name))

    def _publish_listing(self) -> None:
        if self._store.faults.is_down() or self.faults.store_unreachable:
            return
        self._heartbeat_at = time.monotonic()
        cold_seconds = max(0.0, self._cold_until - self._heartbeat_at)
        listing = documents.make_listing(
            self.service,
            self.address,
            self.zone,
            self._started_ms,
            self.is_draining,
            documents.COLD_SECONDS if cold_seconds else 0.0,
        )
        self._store.put(documents.listing_key(self.name), listing)

    # Grant and release requests.

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == documents.HEALTH_PATH:
            return self._respond_to_health_check()
        if req.headers.get(NAMES.expected_target, self.name) != self.name:
            return self._refuse(req, 421)
        if req.path == "/grant":
            return await self._handle_grant(req)
        if req.path == "/release":
            return await self._handle_release(req)
        return await self._handle_call(req)

    def _respond_to_health_check(self) -> web.Response:
        headers = {NAMES.target: self.name}
        cold_seconds = self._cold_until - time.monotonic()
        if cold_seconds > 0.0:
            milliseconds = cold_seconds * durations.MILLISECONDS_PER_SECOND
            headers[NAMES.cold] = str(round(milliseconds))
        return self._respond(200, headers)

    async def _handle_grant(self, req) -> web.Response:
        document = await req.json()
        arrived_at = time.monotonic()
        if self._rng.random() < self.faults.late_share:
            self._spawn(self._grant_late(document, arrived_at))
            await asyncio.sleep(LATE_GRANT_SECONDS[1])
            return self._respond(503)
        return self._respond(self.keys.grant(document, arrived_at))

    async def _grant_late(self, document: dict, arrived_at: float) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_GRANT_SECONDS))
        if self.is_up:
            self.keys.grant(document, arrived_at)

    async def _handle_release(self, req) -> web.Response:
        document = await req.json()
        buckets = self.keys.release(document)
        while any(self._running_calls[bucket] for bucket in buckets):
            self._call_ended.clear()
            await self._call_ended.wait()
        return self._respond(200, {NAMES.handover: f"{document['fence']:016x}"})

    # Calls.

    async def _handle_call(self, req) -> web.StreamResponse:
        await req.read()
        bucket = -1
        if self.service.keyed:
            bucket = int(req.headers[NAMES.key]) // demand.BUCKET_KEYS
        deadline = time.monotonic() + (
            int(req.headers[NAMES.deadline]) / durations.MILLISECONDS_PER_SECOND
        )
        if bucket >= 0 and not self.keys.holds(bucket):
            return self._refuse(req, 421)
        if self._waiting_calls >= QUEUE_PER_SLOT * self.service.slots:
            self._record_arrival(req, ran=False)
            return self._refuse(req, 503)
        self._waiting_calls += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting_calls -= 1
        try:
            return await self._run(req, bucket, deadline)
        finally:
            self._slots.release()

    async def _run(self, req, bucket: int, deadline: float):
        if bucket >= 0 and not self.keys.holds(bucket):
            return self._refuse(req, 421)
        is_expired = time.monotonic() > deadline
        self._record_arrival(req, ran=not is_expired)
        if is_expired:
            return self._refuse(req, 503)
        if bucket >= 0:
            self.keys.check_sole_owner(bucket)
        self._running_calls[bucket] += 1
        try:
            mean_seconds = self.service.work_seconds * self.faults.slow_factor
            await asyncio.sleep(mean_seconds * self._rng.uniform(0.5, 1.5))
        finally:
            self._running_calls[bucket] -= 1
            self._call_ended.set()
        return await self._respond_to_call(req)

    def _record_arrival(self, req, ran: bool) -> None:
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

    async def _respond_to_call(self, req) -> web.StreamResponse:
        call_id = req.headers[NAMES.call_id]
        body = f"{self.name} {call_id} {next(self._response_numbers)}"
        self._observer.record_response(call_id, body)
        draw = self._rng.random()
        if draw < self.faults.lost_share:
            req.transport.abort()
        elif draw < self.faults.lost_share + self.faults.corrupted_share:
            return await self._send_corrupted(req, call_id, body)
        return self._respond(
            200, {NAMES.call_id: call_id, NAMES.signature: "s"}, body
        )

    async def _send_corrupted(self, req, call_id: str, body: str):
        """Sends a truncated response, or one followed by extra bytes."""
        head = (
            f"HTTP/1.1 200 OK\r\n{NAMES.call_id}: {call_id}\r\n"
            f"{NAMES.signature}: s\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        if self._rng.random() < 0.5:
            req.transport.write((head + body[: len(body) // 2]).encode())
        else:
            response = (head + body).encode()
            req.transport.write(response + response)
        await asyncio.sleep(0.0)
        req.transport.close()
        return web.Response()

    def _refuse(self, req, status: int) -> web.Response:
        refusal = {NAMES.not_run: "1", NAMES.target: self.name}
        if NAMES.call_id in req.headers:
            refusal[NAMES.call_id] = req.headers[NAMES.call_id]
        return self._respond(status, refusal)

    def _respond(
        self, status: int, extra_headers: dict | None = None, body: str = ""
    ) -> web.Response:
        running = self.service.slots - self._slots._value
        load = f"{running},{self._waiting_calls},{self.service.slots},100"
        return web.Response(
            status=status,
            text=body,
            headers={NAMES.load: load, **(extra_headers or {})},
        )

    def _find_peers(self) -> "list[keys.HeldKeys]":
        peers = self._fleet.peers(self.service.name)
        return [peer.keys for peer in peers if peer is not self]

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
