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
from platform_standins import records

NAMES = headers.NAMES
HEARTBEAT_SECONDS = 0.5
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
    """

    slow_factor: float = 1.0
    lost_share: float = 0.0
    corrupted_share: float = 0.0
    late_share: float = 0.0


class Listings(typing.Protocol):
    """The store, as far as a target writes to it."""

    def put(self, key: str, value: bytes) -> None:
        """Writes the listing."""

    def remove(self, key: str) -> None:
        """Removes the listing."""


class Target:
    """One incarnation of a target.

    Attributes:
        name: Name of the target.
        service: Service of the target.
        zone: Availability zone of the target.
        address: Address to which nodes connect, as "IP:PORT".
        faults: Faults in force.
        keys: Keys that the target holds, with their fences.
        is_draining: Whether the target is draining.
    """

    def __init__(
        self,
        name: str,
        service: documents.Service,
        zone: str,
        address: str,
        listings: Listings,
        recorder: keys.Recorder,
        rng: random.Random,
        is_cold: bool,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.faults = Faults()
        self.keys = keys.HeldKeys(recorder)
        self.is_draining = False
        self._is_listed = True
        self._listings = listings
        self._recorder = recorder
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
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task] = set()

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
        self._site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await self._site.start()
        self._recorder.add(
            records.Started(time.monotonic(), self.name, self.service.name)
        )
        self._spawn(self._send_heartbeats(listing_delay))

    async def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are still served."""
        self._is_listed = False
        await self._site.stop()

    def drain(self) -> None:
        """Publishes that the target is draining."""
        self.is_draining = True
        self._publish_listing()

    def deregister(self) -> None:
        """Removes the listing from the store, but continues to serve."""
        self._is_listed = False
        self._listings.remove(documents.listing_key(self.name))

    def is_cold(self) -> bool:
        """Returns whether the target is cold."""
        return time.monotonic() < self._cold_until

    # Listing in the store.

    async def _send_heartbeats(self, delay: float) -> None:
        await asyncio.sleep(delay)
        while True:
            self._publish_listing()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _publish_listing(self) -> None:
        if not self._is_listed:
            return
        cold_seconds = max(0.0, self._cold_until - time.monotonic())
        listing = documents.make_listing(
            self.service,
            self.address,
            self.zone,
            self._started_ms,
            self.is_draining,
            documents.COLD_SECONDS if cold_seconds else 0.0,
        )
        self._listings.put(documents.listing_key(self.name), listing)

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
            self._record_arrival(req, bucket, ran=False)
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
        self._record_arrival(req, bucket, ran=not is_expired)
        if is_expired:
            return self._refuse(req, 503)
        mean_seconds = self.service.work_seconds * self.faults.slow_factor
        work_seconds = mean_seconds * self._rng.uniform(0.5, 1.5)
        self._running_calls[bucket] += 1
        try:
            is_done = await self._work(bucket, work_seconds)
        finally:
            self._running_calls[bucket] -= 1
            self._call_ended.set()
            call_id = req.headers[NAMES.call_id]
            self._recorder.add(records.Ended(time.monotonic(), call_id))
        if not is_done:
            return self._respond(500, {NAMES.call_id: call_id})
        return await self._respond_to_call(req)

    async def _work(self, bucket: int, seconds: float) -> bool:
        """Works on a call; returns whether its key was held all the while.

        A release lets it finish; the end of the grant does not.
        """
        end = time.monotonic() + seconds
        while True:
            now = time.monotonic()
            held_until = self.keys.held_until(bucket)
            if bucket >= 0 and 0.0 < held_until <= now:
                return False
            if now >= end:
                return True
            wake_at = end
            if bucket >= 0 and held_until:
                wake_at = min(end, held_until)
            await asyncio.sleep(max(0.0, wake_at - now))

    def _record_arrival(self, req, bucket: int, ran: bool) -> None:
        call_id = req.headers[NAMES.call_id]
        self._recorder.add(
            records.Arrival(
                call_id,
                self.name,
                self.service.name,
                time.monotonic(),
                self.is_cold(),
                ran,
                bucket,
            )
        )

    async def _respond_to_call(self, req) -> web.StreamResponse:
        call_id = req.headers[NAMES.call_id]
        body = f"{self.name} {call_id} {next(self._response_numbers)}"
        self._recorder.add(records.Responded(call_id, body))
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

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
