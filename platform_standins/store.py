"""Stand-in for the platform's store, with injected faults."""

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
from platform_standins import contents

EXPIRY_TICK_SECONDS = 0.05
MAX_PAGE_ITEMS = 500
ERA_HEADER = "Store-Era"
RESERVED_PREFIXES = ("op/", "servers/")
LATE_WRITE_SECONDS = (0.5, 3.0)
"""Shortest and longest delay of a write that is applied after its connection
was reset."""


class Mode(enum.Enum):
    """How the store handles calls of nodes."""

    NORMAL = "works"
    SILENT = "silent"
    UNAVAILABLE = "busy"
    TOO_MANY_REQUESTS = "many"
    RESETS = "resets"


ERROR_STATUSES = {Mode.UNAVAILABLE: 503, Mode.TOO_MANY_REQUESTS: 429}


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the store.

    Attributes:
        mode: How calls are handled.
        nodes: Names of the nodes to which the mode applies; None for all.
        delay_seconds: Delay of each reply.
        lost_share: Fraction of the writes that are applied without a reply.
        late_share: Fraction of the writes that are applied late and without
            a reply.
        leases_expire: Whether leases expire while the store is down.
    """

    mode: Mode = Mode.NORMAL
    nodes: set[str] | None = None
    delay_seconds: float = 0.0
    lost_share: float = 0.0
    late_share: float = 0.0
    leases_expire: bool = True

    def is_down(self) -> bool:
        """Returns whether the store serves no node."""
        return self.mode is not Mode.NORMAL and self.nodes is None


class Store:
    """In-memory key-value store with compare-and-swap, leases and watches.

    Attributes:
        faults: Faults in force.
        era: Number of times that it came back from a copy, from 1.
    """

    def __init__(self, rng: random.Random):
        self.faults = Faults()
        self.era = 1
        self._rng = rng
        self._contents = contents.Contents()
        self._copies = contents.Copies()
        self._copies.take(self._contents, time.monotonic())
        self._written_outside: dict[str, bytes | None] = {}
        self._changed = asyncio.Event()
        self._late_writes: set[asyncio.Task] = set()
        self._ticked_at = time.monotonic()

    @property
    def _last_lease_id(self) -> int:
        """ID of the newest lease; the cases in review/ read it."""
        return self._contents.last_lease_id

    def make_app(self, node: str) -> web.Application:
        """Returns the web application that serves one node."""
        app = web.Application()
        routes = {
            ("GET", "/kv-key"): self._read,
            ("GET", "/kv-range"): self._read_all,
            ("GET", "/kv-watch"): self._watch,
            ("POST", "/kv-txn"): self._txn,
            ("POST", "/kv-lease"): self._open_lease,
            ("POST", "/kv-keep/{lease}"): self._renew_lease,
            ("DELETE", "/kv-lease-end/{lease}"): self._end_lease,
        }
        for (method, path), handler in routes.items():
            app.router.add_route(
                method, path, self._wrap_with_faults(node, handler)
            )
        return app

    # Methods for the operator and the targets. They ignore the faults, which
    # the caller has to check.

    def put(self, key: str, value: bytes) -> None:
        """Writes an item, unless it has this value already."""
        self._written_outside[key] = value
        if self.value(key) != value:
            self._put(key, value, lease=0)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        current = self._contents.items.get(key)
        self._contents.revision += 1
        created = (
            current.created_revision if current else self._contents.revision
        )
        self._contents.items[key] = contents.Item(
            value, self._contents.revision, created, lease
        )
        self._record_change(key)

    def remove(self, key: str) -> None:
        """Removes an item."""
        self._written_outside[key] = None
        self._remove(key)

    def _remove(self, key: str) -> None:
        if self._contents.items.pop(key, None) is None:
            return
        self._contents.revision += 1
        self._contents.removed_revisions[key] = self._contents.revision
        self._record_change(key)

    def value(self, key: str) -> bytes:
        """Returns the value of an item; empty if there is none."""
        item = self._contents.items.get(key)
        return item.value if item else b""

    def compact_history(self) -> None:
        """Discards the history, so that older watches fail."""
        self._contents.compacted_revision = self._contents.revision
        self._contents.events.clear()
        self._wake()

    def go_back(self, seconds: float, keeps_leases: bool) -> None:
        """Goes back to a copy; a new era begins.

        Args:
            seconds: Age of the copy.
            keeps_leases: Whether the leases of the copy go on. Otherwise they
                are gone, with their items.
        """
        now = time.monotonic()
        copied_at, self._contents = self._copies.take_back(now - seconds)
        self.era += 1
        if keeps_leases:
            self._contents.renew_leases(now - copied_at)
        else:
            for lease_id in list(self._contents.leases):
                self._drop_lease(lease_id)
        self._wake()

    def write_again(self, prefix: str) -> None:
        """Writes again what the operator and targets wrote before.

        Args:
            prefix: Prefix of the keys.
        """
        for key, value in list(self._written_outside.items()):
            if not key.startswith(prefix):
                continue
            if value is None:
                self._remove(key)
            else:
                self.put(key, value)

    def clear_faults(self) -> None:
        """Ends all faults and wakes waiting calls."""
        self.faults = Faults()
        self._wake()

    def wake(self) -> None:
        """Wakes waiting calls, so that they check the faults again."""
        self._wake()

    async def run(self) -> None:
        """Expires leases until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_TICK_SECONDS)
            now = time.monotonic()
            elapsed, self._ticked_at = now - self._ticked_at, now
            if self.faults.is_down() and not self.faults.leases_expire:
                self._contents.renew_leases(elapsed)
            if not self.faults.is_down():
                self._copies.take(self._contents, now)
            expired = [
                lease_id
                for lease_id, lease in self._contents.leases.items()
                if lease.expires_at < now
            ]
            for lease_id in expired:
                self._drop_lease(lease_id)

    def _record_change(self, key: str) -> None:
        self._contents.events.append((key, self._contents.revision))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # Handlers of nodes' calls.

    def _wrap_with_faults(self, node: str, handler):
        async def wrapped(req: web.Request) -> web.StreamResponse:
            await req.read()
            if self.faults.delay_seconds:
                await asyncio.sleep(self.faults.delay_seconds)
            failure = await self._apply_mode(node, req)
            resp = failure or await handler(node, req)
            resp.headers[ERA_HEADER] = str(self.era)
            return resp

        return wrapped

    def _mode_for(self, node: str) -> Mode:
        nodes = self.faults.nodes
        if nodes is not None and node not in nodes:
            return Mode.NORMAL
        return self.faults.mode

    async def _apply_mode(self, node: str, req) -> web.Response | None:
        """Returns a failure if the mode requires one, or else None.

        A call waits as long as the store is silent; its connection is reset
        afterwards.
        """
        mode = self._mode_for(node)
        if mode is Mode.NORMAL:
            return None
        if mode in ERROR_STATUSES:
            return web.Response(status=ERROR_STATUSES[mode])
        while mode is Mode.SILENT:
            await self._changed.wait()
            mode = self._mode_for(node)
        return _reset(req)

    async def _read(self, _: str, req: web.Request) -> web.Response:
        key = req.query["key"]
        if key not in self._contents.items:
            return self._reply({}, status=404)
        return self._reply(self._describe(key))

    async def _read_all(self, _: str, req: web.Request) -> web.Response:
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = sorted(
            key
            for key in self._contents.items
            if key.startswith(prefix) and key > after
        )
        items = [self._describe(key) for key in keys[:MAX_PAGE_ITEMS]]
        return self._reply(
            {"items": items, "hasMore": len(keys) > MAX_PAGE_ITEMS}
        )

    async def _watch(self, node: str, req: web.Request) -> web.Response:
        prefix, after = req.query["prefix"], int(req.query["after"])
        seconds = int(req.query["waitMs"]) / durations.MILLISECONDS_PER_SECOND
        deadline = time.monotonic() + seconds
        while True:
            if not self._has_history(after):
                return self._reply({}, status=410)
            if self._mode_for(node) is not Mode.NORMAL:
                return await self._apply_mode(node, req) or _reset(req)
            events = self._events_after(prefix, after)
            remaining = deadline - time.monotonic()
            if events or remaining <= 0.0:
                return self._reply({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _has_history(self, after: int) -> bool:
        """Returns whether all changes after a revision are known."""
        current = self._contents
        return current.compacted_revision <= after <= current.revision

    def _events_after(self, prefix: str, after: int) -> list[dict]:
        latest = {
            key: revision
            for key, revision in self._contents.events
            if revision > after and key.startswith(prefix)
        }
        return [self._describe(key) for key in latest]

    async def _txn(self, _: str, req: web.Request) -> web.Response:
        document = await req.json()
        draw = self._rng.random()
        faults = self.faults
        if draw < faults.late_share:
            task = asyncio.create_task(self._write_late(document))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            return _reset(req)
        reply = self._write(document)
        if draw < faults.late_share + faults.lost_share:
            return _reset(req)
        return reply

    async def _write_late(self, document: dict) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_WRITE_SECONDS))
        self._write(document)

    def _write(self, document: dict) -> web.Response:
        expected = document["expected"]
        puts = document["puts"]
        if any(put["key"].startswith(RESERVED_PREFIXES) for put in puts):
            return self._reply({}, status=403)
        if any(put["lease"] not in {0, *self._contents.leases} for put in puts):
            return self._reply({}, status=404)
        for condition in expected:
            current = self._contents.items.get(condition["key"])
            if (current.revision if current else 0) != condition["revision"]:
                return self._reply({"items": []}, status=412)
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in document["deletes"]:
            self._remove(key)
        return self._reply({"revision": self._contents.revision})

    async def _open_lease(self, _: str, req: web.Request) -> web.Response:
        seconds = durations.parse_seconds((await req.json())["ttl_time"])
        self._contents.last_lease_id += 1
        expires_at = time.monotonic() + seconds
        self._contents.leases[self._contents.last_lease_id] = contents.Lease(
            seconds, expires_at
        )
        return self._reply({"lease": self._contents.last_lease_id})

    async def _renew_lease(self, _: str, req: web.Request) -> web.Response:
        lease = self._contents.leases.get(int(req.match_info["lease"]))
        if lease is None:
            return self._reply({}, status=404)
        self._contents.leases[int(req.match_info["lease"])] = (
            dataclasses.replace(
                lease, expires_at=time.monotonic() + lease.seconds
            )
        )
        return self._reply({})

    async def _end_lease(self, _: str, req: web.Request) -> web.Response:
        lease_id = int(req.match_info["lease"])
        if lease_id not in self._contents.leases:
            return self._reply({}, status=404)
        self._drop_lease(lease_id)
        return self._reply({})

    def _drop_lease(self, lease_id: int) -> None:
        del self._contents.leases[lease_id]
        attached = [
            key
            for key, item in self._contents.items.items()
            if item.lease == lease_id
        ]
        for key in attached:
            self._remove(key)

    def _describe(self, key: str) -> dict:
        item = self._contents.items.get(key)
        if item is None:
            revision = self._contents.removed_revisions[key]
            return {"key": key, "revision": revision, "removed": True}
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createdAt": item.created_revision,
            "lease": item.lease,
        }

    def _reply(
        self, document: collections.abc.Mapping, status: int = 200
    ) -> web.Response:
        body = json.dumps(
            {**document, "storeRevision": self._contents.revision}
        )
        return web.Response(
            status=status, body=body, content_type="application/json"
        )


def _reset(req: web.Request) -> web.Response:
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)
