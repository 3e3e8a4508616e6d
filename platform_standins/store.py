"""A stand-in of the platform's store, with the faults that it may have."""

import asyncio
import base64
import collections.abc
import dataclasses
import enum
import json
import random
import time

from aiohttp import web

from jujubeyard import durations

EXPIRY_TICK_SECONDS = 0.05
MAX_PAGE_ITEMS = 500
RESERVED_PREFIXES = ("op/", "servers/")
LATE_SECONDS = (0.5, 3.0)
"""Shortest and longest delay of a write that is done after its answer's
time."""


class Mode(enum.Enum):
    """How the store treats calls."""

    NORMAL = "works"
    SILENT = "silent"
    BUSY = "busy"
    MANY = "many"
    RESETS = "resets"


REFUSALS = {Mode.BUSY: 503, Mode.MANY: 429}


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the store.

    Attributes:
        mode: How calls are treated.
        nodes: Addresses of the nodes that the mode concerns; None for all.
        delay_seconds: Delay of each answer.
        lost_share: Share of the writes that are done and not answered.
        late_share: Share of the writes that are done late and not answered.
        is_lapsing: Whether leases run out while the store is away.
    """

    mode: Mode = Mode.NORMAL
    nodes: set[str] | None = None
    delay_seconds: float = 0.0
    lost_share: float = 0.0
    late_share: float = 0.0
    leases_expire: bool = True

    def is_down(self) -> bool:
        """Returns whether no node is served."""
        return self.mode is not Mode.NORMAL and self.nodes is None


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    seconds: float
    ends_at: float


class Store:
    """Key-value store with compare-and-swap, leases and watches.

    Attributes:
        faults: Its faults at this moment.
    """

    def __init__(self, rng: random.Random):
        self.faults = Faults()
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._events: list[tuple[str, int]] = []
        self._removed: dict[str, int] = {}
        self._revision = 1
        self._forgotten = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_number = 0
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task] = set()
        self._ticked_at = time.monotonic()

    def make_app(self, node: str) -> web.Application:
        """Returns the application that serves one node."""
        app = web.Application()
        routes = {
            ("GET", "/kv-key"): self._get,
            ("GET", "/kv-range"): self._range,
            ("GET", "/kv-watch"): self._watch,
            ("POST", "/kv-txn"): self._txn,
            ("POST", "/kv-lease"): self._open_lease,
            ("POST", "/kv-keep/{lease}"): self._keep,
            ("DELETE", "/kv-lease-end/{lease}"): self._end_lease,
        }
        for (method, path), handler in routes.items():
            app.router.add_route(method, path, self._guard(node, handler))
        return app

    # What the operator and the targets do; the caller looks at the faults.

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item."""
        known = self._entries.get(key)
        if known is not None and known.value == value:
            return
        self._revision += 1
        created = known.created if known else self._revision
        self._entries[key] = _Entry(value, self._revision, created, lease)
        self._note_change(key)

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self._entries.pop(key, None) is None:
            return
        self._revision += 1
        self._removed[key] = self._revision
        self._note_change(key)

    def compact_history(self) -> None:
        """Drops all history."""
        self._forgotten = self._revision
        self._events.clear()
        self._wake()

    def clear_faults(self) -> None:
        """Ends all faults."""
        self.faults = Faults()
        self._wake()

    def wake(self) -> None:
        """Lets calls that wait look at the faults again."""
        self._wake()

    async def run(self) -> None:
        """Ends leases that run out, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_TICK_SECONDS)
            now = time.monotonic()
            passed, self._ticked_at = now - self._ticked_at, now
            if self.faults.is_down() and not self.faults.leases_expire:
                for lease in self._leases.values():
                    lease.ends_at += passed
            ended = [n for n, row in self._leases.items() if row.ends_at < now]
            for number in ended:
                self._drop_lease(number)

    def _note_change(self, key: str) -> None:
        self._events.append((key, self._revision))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # Calls of nodes.

    def _guard(self, node: str, handler):
        async def guarded(req: web.Request) -> web.StreamResponse:
            await req.read()
            if self.faults.delay_seconds:
                await asyncio.sleep(self.faults.delay_seconds)
            refusal = await self._refuse(node, req)
            return refusal or await handler(node, req)

        return guarded

    def _mode_for(self, node: str) -> Mode:
        nodes = self.faults.nodes
        if nodes is not None and node not in nodes:
            return Mode.NORMAL
        return self.faults.mode

    async def _refuse(self, node: str, req) -> web.Response | None:
        mode = self._mode_for(node)
        if mode is Mode.NORMAL:
            return None
        if mode in REFUSALS:
            return web.Response(status=REFUSALS[mode])
        while mode is Mode.SILENT:
            await self._changed.wait()
            mode = self._mode_for(node)
        return _cut(req)

    async def _get(self, _: str, req: web.Request) -> web.Response:
        key = req.query["key"]
        if key not in self._entries:
            return self._reply({}, status=404)
        return self._reply(self._describe(key))

    async def _range(self, _: str, req: web.Request) -> web.Response:
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = sorted(
            key
            for key in self._entries
            if key.startswith(prefix) and key > after
        )
        items = [self._describe(key) for key in keys[:MAX_PAGE_ITEMS]]
        return self._reply(
            {"items": items, "hasMore": len(keys) > MAX_PAGE_ITEMS}
        )

    async def _watch(self, node: str, req: web.Request) -> web.Response:
        prefix, after = req.query["prefix"], int(req.query["after"])
        seconds = int(req.query["waitMs"]) / durations.MILLISECONDS_PER_SECOND
        until = time.monotonic() + seconds
        while True:
            if after < self._forgotten:
                return self._reply({}, status=410)
            if self._mode_for(node) is not Mode.NORMAL:
                return await self._refuse(node, req) or _cut(req)
            events = self._events_after(prefix, after)
            left = until - time.monotonic()
            if events or left <= 0.0:
                return self._reply({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _events_after(self, prefix: str, after: int) -> list[dict]:
        latest = {
            key: revision
            for key, revision in self._events
            if revision > after and key.startswith(prefix)
        }
        return [self._describe(key) for key in latest]

    async def _txn(self, _: str, req: web.Request) -> web.Response:
        document = await req.json()
        draw = self._rng.random()
        faults = self.faults
        if draw < faults.late_share:
            task = asyncio.create_task(self._write_late(document))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return _cut(req)
        reply = self._write(document)
        if draw < faults.late_share + faults.lost_share:
            return _cut(req)
        return reply

    async def _write_late(self, document: dict) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_SECONDS))
        self._write(document)

    def _write(self, document: dict) -> web.Response:
        expected = document["expected"]
        puts = document["puts"]
        if any(put["key"].startswith(RESERVED_PREFIXES) for put in puts):
            return self._reply({}, status=403)
        if any(put["lease"] not in {0, *self._leases} for put in puts):
            return self._reply({}, status=404)
        for row in expected:
            known = self._entries.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return self._reply({"items": []}, status=412)
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in document["deletes"]:
            self.remove(key)
        return self._reply({"revision": self._revision})

    async def _open_lease(self, _: str, req: web.Request) -> web.Response:
        seconds = durations.parse_seconds((await req.json())["ttl_time"])
        self._lease_number += 1
        ends_at = time.monotonic() + seconds
        self._leases[self._lease_number] = _Lease(seconds, ends_at)
        return self._reply({"lease": self._lease_number})

    async def _keep(self, _: str, req: web.Request) -> web.Response:
        lease = self._leases.get(int(req.match_info["lease"]))
        if lease is None:
            return self._reply({}, status=404)
        lease.ends_at = time.monotonic() + lease.seconds
        return self._reply({})

    async def _end_lease(self, _: str, req: web.Request) -> web.Response:
        number = int(req.match_info["lease"])
        if number not in self._leases:
            return self._reply({}, status=404)
        self._drop_lease(number)
        return self._reply({})

    def _drop_lease(self, number: int) -> None:
        del self._leases[number]
        bound = [k for k, row in self._entries.items() if row.lease == number]
        for key in bound:
            self.remove(key)

    def _describe(self, key: str) -> dict:
        entry = self._entries.get(key)
        if entry is None:
            revision = self._removed[key]
            return {"key": key, "revision": revision, "removed": True}
        return {
            "key": key,
            "value": base64.b64encode(entry.value).decode(),
            "revision": entry.revision,
            "createdAt": entry.created,
            "lease": entry.lease,
        }

    def _reply(
        self, document: collections.abc.Mapping, status: int = 200
    ) -> web.Response:
        body = json.dumps({**document, "storeRevision": self._revision})
        return web.Response(
            status=status, body=body, content_type="application/json"
        )


def _cut(req: web.Request) -> web.Response:
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)
