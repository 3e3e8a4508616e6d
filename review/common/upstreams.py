"""Stand-in upstreams that hold keys, as the pages describe them."""

import array
import asyncio
import itertools
import json
import socket
import struct
import time

from jujubeyard import durations
from platform_standins import documents
from review.common import http1
from review.common import world

BUCKET_KEYS = 64
BUCKETS = 65536 // BUCKET_KEYS
LINGER_RESET = struct.pack("ii", 1, 0)
OVERLAP_SECONDS = 0.5
CHECK_SECONDS = 0.025


class Upstream:
    """An upstream; each start is a new incarnation that holds no keys.

    Attributes:
        name: Its id.
        service: Its service.
        address: Its address, "IP:PORT".
        life: Number of the incarnation; 0 before the first start.
        is_up: Whether its process runs.
        fences: Highest fence that this incarnation has seen, by bucket.
        expiries: When its grant ends, by bucket, in monotonic seconds.
    """

    def __init__(self, home: world.World, name: str, service, number: int):
        self.name = name
        self.service = service
        self._world = home
        self._ip = f"{home.prefix}.{100 + number}"
        self._port = world.free_ports(self._ip, 1)[0]
        self.address = f"{self._ip}:{self._port}"
        self._zone = ("a", "b", "c")[number % 3]
        self.life = 0
        self.is_up = False
        self.is_draining = False
        home.closers.append(self._end)
        self.runs: list[tuple[str, http1.Message]] = []
        self.extra_headers: list[tuple[str, str]] = []
        self._answer_numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, is_cold: bool, entry_after: float = 0.0) -> None:
        """Starts an incarnation.

        Args:
            is_cold: Whether it is cold for a while.
            entry_after: Time until it writes its entry in the store.
        """
        self.life += 1
        self._born = int(time.time() * 1000)
        self.fences = array.array("q", [0] * BUCKETS)
        self.expiries = array.array("d", [0.0] * BUCKETS)
        self.granted_fences = array.array("q", [0] * BUCKETS)
        self.is_draining = False
        self._cold_until = time.monotonic() + (3.0 if is_cold else 0.0)
        self._slots = asyncio.Semaphore(self.service.slots)
        self._running = [0] * BUCKETS
        self._run_ended = asyncio.Event()
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, reuse_address=True, backlog=512
        )
        self.is_up = True
        self._world.record(f"{self.name} life {self.life} starts")
        task = asyncio.create_task(self._send_heartbeats(entry_after))
        self._heartbeats = task

    async def crash(self) -> None:
        """Ends the process at once; its connections are reset."""
        self._world.record(f"{self.name} life {self.life} crashes")
        self._end()

    def _end(self) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self._heartbeats.cancel()
        self._server.close()
        for writer in list(self._writers):
            if writer.transport.is_closing():
                continue
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def holds(self, bucket: int, now: float) -> bool:
        """Returns whether a grant for a bucket is in force."""
        return self.expiries[bucket] > now

    async def _send_heartbeats(self, entry_after: float) -> None:
        await asyncio.sleep(entry_after)
        while True:
            self.write_entry()
            await asyncio.sleep(world.HEARTBEAT_SECONDS)

    def write_entry(self) -> None:
        """Writes the entry in the store."""
        self._world.store.put(
            documents.listing_key(self.name), self.make_entry()
        )

    def make_entry(self) -> bytes:
        """Returns the entry as the upstream writes it now."""
        left = max(0.0, self._cold_until - time.monotonic())
        return documents.make_listing(
            self.service,
            self.address,
            self._zone,
            self._born,
            self.is_draining,
            left,
        )

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                req = await http1.read_message(reader)
                if req is None:
                    return
                await self._answer(req, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: http1.Message, writer) -> None:
        if req.target == documents.HEALTH_PATH:
            self._reply(
                writer, req, 200, [("Jujubeyard-Instance-Id", self.name)]
            )
            return
        expected = req.headers.get("jujubeyard-expect-instance", self.name)
        if expected != self.name:
            self._refuse(writer, req, 421)
        elif req.target == "/grant":
            self._reply(writer, req, self._grant(json.loads(req.body)), [])
        elif req.target == "/release":
            await self._release(writer, req, json.loads(req.body))
        else:
            await self.call(req, writer)

    def _grant(self, document: dict) -> int:
        now = time.monotonic()
        fence, buckets = document["fence"], _buckets(document)
        seconds = durations.parse_seconds(document["hold_time"])
        if any(self.fences[bucket] > fence for bucket in buckets):
            self._log_grant(document, 409)
            return 409
        if self.granted_fences[buckets[0]] != fence:
            self._log_grant(document, 200)
        for bucket in buckets:
            self.fences[bucket] = fence
            self.granted_fences[bucket] = fence
            self.expiries[bucket] = now + seconds
        return 200

    def _log_grant(self, document: dict, status: int) -> None:
        self._world.record(
            f"{self.name} life {self.life}: grant {document['from']}.."
            f"{document['target']} fence {document['fence']} for "
            f"{document['hold_time']}: {status}"
        )

    async def _release(self, writer, req, document: dict) -> None:
        fence, buckets = document["fence"], _buckets(document)
        for bucket in buckets:
            self.expiries[bucket] = 0.0
            self.granted_fences[bucket] = 0
            self.fences[bucket] = max(self.fences[bucket], fence)
        self._world.record(
            f"{self.name} life {self.life}: release {document['from']}.."
            f"{document['target']} fence {fence}"
        )
        while any(self._running[bucket] for bucket in buckets):
            self._run_ended.clear()
            await self._run_ended.wait()
        self._reply(
            writer, req, 200, [("Jujubeyard-Handover", f"{fence:016x}")]
        )

    async def call(self, req: http1.Message, writer) -> None:
        """Runs a call, or turns it away."""
        bucket = -1
        if self.service.keyed:
            key = int(req.headers["jujubeyard-shard-key"])
            bucket = key // BUCKET_KEYS
            if not self.holds(bucket, time.monotonic()):
                self._refuse(writer, req, 421)
                return
        async with self._slots:
            self.runs.append((req.headers["jujubeyard-request-id"], req))
            self._world.record(
                f"{self.name} life {self.life} runs "
                f"{req.headers['jujubeyard-request-id']} bucket {bucket}"
            )
            if bucket >= 0:
                self._running[bucket] += 1
            try:
                await asyncio.sleep(self.service.work_seconds)
            finally:
                if bucket >= 0:
                    self._running[bucket] -= 1
                    self._run_ended.set()
        body = f"{self.name} {next(self._answer_numbers)}".encode()
        headers = [
            ("Jujubeyard-Response-Signature", "s"),
            *self.extra_headers,
        ]
        self._reply(writer, req, 200, headers, body)

    def _refuse(self, writer, req, status: int) -> None:
        headers = [
            ("Jujubeyard-Not-Executed", "1"),
            ("Jujubeyard-Instance-Id", self.name),
        ]
        self._reply(writer, req, status, headers)

    def _reply(self, writer, req, status, headers, body: bytes = b"") -> None:
        call_id = req.headers.get("jujubeyard-request-id")
        if call_id is not None:
            headers = [*headers, ("Jujubeyard-Request-Id", call_id)]
        running = self.service.slots - self._slots._value
        load = f"{running},0,{self.service.slots},100"
        headers = [
            *headers,
            ("Jujubeyard-Instance-Load", load),
            ("Content-Length", str(len(body))),
        ]
        head = http1.make_head(f"HTTP/1.1 {status} Status", headers)
        writer.write(head + body)


def _buckets(document: dict) -> range:
    first, last = document["from"], document["target"]
    return range(first // BUCKET_KEYS, last // BUCKET_KEYS + 1)


async def wait_until_held(upstreams: list[Upstream]) -> None:
    """Waits until each key is held.

    Raises:
        TimeoutError: They aren't in time.
    """
    async with asyncio.timeout(30.0):
        while not all(
            any(u.is_up and u.holds(b, time.monotonic()) for u in upstreams)
            for b in range(BUCKETS)
        ):
            await asyncio.sleep(0.1)


async def check_owners(home: world.World, upstreams: list[Upstream]) -> None:
    """Records keys that two upstreams hold for over half a second."""
    since: dict[tuple[int, str, str], float] = {}
    reported: set[tuple[str, int, str, int]] = set()
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        now = time.monotonic()
        current = {}
        up = [u for u in upstreams if u.is_up]
        for bucket in range(BUCKETS):
            holders = [u for u in up if u.expiries[bucket] > now]
            if len(holders) < 2:
                continue
            one, two = holders[:2]
            pair = (bucket, f"{one.name}/{one.life}", f"{two.name}/{two.life}")
            current[pair] = since.get(pair, now)
            label = (one.name, one.life, two.name, two.life)
            if now - current[pair] > OVERLAP_SECONDS and label not in reported:
                reported.add(label)
                home.violate(
                    f"OWNER: {pair[1]} (fence {one.fences[bucket]}) and "
                    f"{pair[2]} (fence {two.fences[bucket]}) both hold keys "
                    f"from {bucket * BUCKET_KEYS} for over half a second"
                )
        since = current
