"""Keeps a node's tables of owners up to date without watching the store.

The leader sends what it has written as datagrams, and beacons that say how new
its tables are. A node that has missed something, or doesn't hear the leader,
reads the table from the store.
"""

import asyncio
import collections.abc
import dataclasses
import random
import time

from jujubeyard.node import datagrams
from jujubeyard.node import view
from jujubeyard.ownership import table
from jujubeyard.store import mirror

TICK_SECONDS = 0.05
BEHIND_SECONDS = 0.1
"""How long a table may be older than a beacon's before it is read."""

UNHEARD_SECONDS = 2.5
"""Silence of the leader after which tables are read now and then."""

READ_PAUSE_SECONDS = 0.4
UNHEARD_PAUSE_SECONDS = 1.0
"""Pauses between two readings of a table."""

ReadTable = collections.abc.Callable[
    [str], collections.abc.Awaitable[table.ShardTable | None]
]


class TableFollower:
    """Takes the leader's datagrams, and reads tables that are missed."""

    def __init__(
        self,
        known: view.View,
        read_table: ReadTable,
        leads: collections.abc.Callable[[], bool],
        mirrors: collections.abc.Sequence[mirror.Mirror],
    ):
        """Makes a follower.

        Args:
            known: Where tables are kept.
            read_table: Reads a service's table from the store.
            leads: Returns whether this node leads, and writes the tables.
            mirrors: What follows the rest of the store.
        """
        self._view = known
        self._read_table = read_table
        self._leads = leads
        self._mirrors = mirrors
        self._heard_at = float("-inf")
        self._behind_since: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._parts: dict[str, list[table.Update]] = {}

    def take_update(self, update: table.Update) -> None:
        """Takes what the leader has written, or a part of it."""
        self._heard_at = time.monotonic()
        whole = self._gather(update)
        if whole is not None:
            self._view.take_update(whole)
        self._compare(update.service, update.revision)

    def take_beacon(self, beacon: datagrams.Beacon) -> None:
        """Takes how new the leader's tables and mirrors are."""
        self._heard_at = time.monotonic()
        for service, revision in beacon.tables.items():
            self._compare(service, revision)
        for each in self._mirrors:
            each.wake_if_behind(beacon.items.get(each.prefix, 0))

    def make_beacon(self) -> datagrams.Beacon | None:
        """Returns what this node says as the leader; None if it isn't."""
        if not self._leads():
            return None
        tables = {name: t.revision for name, t in self._view.tables.items()}
        items = {each.prefix: each.latest_revision for each in self._mirrors}
        return datagrams.Beacon(tables, items)

    async def run(self) -> None:
        """Reads what was missed, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._leads():
                self._heard_at = time.monotonic()
                continue
            for service in self._keyed_services():
                if self._is_due(service, time.monotonic()):
                    await self._read(service)

    def _gather(self, part: table.Update) -> table.Update | None:
        """Returns a whole update once all of its parts have come."""
        parts = self._parts.get(part.service, [])
        if parts and parts[0].revision != part.revision:
            parts = []
        parts = [*parts, part]
        if len(parts) < part.parts:
            self._parts[part.service] = parts
            return None
        self._parts.pop(part.service, None)
        shards = tuple(shard for each in parts for shard in each.shards)
        return dataclasses.replace(part, shards=shards, parts=1)

    def _compare(self, service: str, revision: int) -> None:
        known = self._view.tables.get(service)
        if revision <= (known.revision if known else 0):
            self._behind_since.pop(service, None)
        else:
            self._behind_since.setdefault(service, time.monotonic())

    def _is_due(self, service: str, now: float) -> bool:
        waited = now - self._read_at.get(service, float("-inf"))
        behind_since = self._behind_since.get(service)
        if behind_since is not None and now - behind_since > BEHIND_SECONDS:
            return waited > READ_PAUSE_SECONDS
        is_unheard = now - self._heard_at > UNHEARD_SECONDS
        return is_unheard and waited > UNHEARD_PAUSE_SECONDS

    async def _read(self, service: str) -> None:
        jitter = random.uniform(0.0, BEHIND_SECONDS)
        self._read_at[service] = time.monotonic() + jitter
        found = await self._read_table(service)
        if found is not None and found.shards:
            self._view.take_table(found)
            self._behind_since.pop(service, None)

    def _keyed_services(self) -> list[str]:
        if self._view.routes is None:
            return []
        services = self._view.routes.configuration.services.values()
        return [service.name for service in services if service.keyed]
