"""Keeps a node's shard tables up to date without watching the store.

The leader sends each change that it wrote in datagrams, and beacons with the
revisions of its tables. A node that missed a change, or that receives nothing
from the leader, reads the table from the store.
"""

import asyncio
import collections.abc
import dataclasses
import random
import time

from jujubeyard.node import cluster_view
from jujubeyard.node import datagrams
from jujubeyard.ownership import table
from jujubeyard.store import eras
from jujubeyard.store import mirror
from jujubeyard.store import revisions

TICK_SECONDS = 0.05
BEHIND_SECONDS = 0.1
"""Time for which a table may be older than the leader's before it is read."""

LEADER_SILENCE_SECONDS = 2.5
"""Time without a datagram of the leader after which tables are read
periodically."""

READ_PAUSE_SECONDS = 0.4
"""Pause between two reads of a table that is behind the leader's."""

LEADER_SILENCE_READ_PAUSE_SECONDS = 1.0
"""Pause between two reads of a table while the leader is silent."""

ReadTable = collections.abc.Callable[
    [str], collections.abc.Awaitable[table.ShardTable | None]
]


class TableSynchronizer:
    """Applies the leader's updates, and reads tables when some were missed."""

    def __init__(
        self,
        view: cluster_view.ClusterView,
        read_table: ReadTable,
        is_leader: collections.abc.Callable[[], bool],
        mirrors: collections.abc.Sequence[mirror.Mirror],
        era_tracker: eras.EraTracker | None = None,
    ):
        """Creates a synchronizer.

        Args:
            view: The view that holds the tables.
            read_table: Reads a service's table from the store.
            is_leader: Returns whether this node is the leader, which writes
                the tables itself.
            mirrors: Mirrors of the other prefixes of the store.
            era_tracker: Knows the era of the store; None if it has none.
        """
        self._era_tracker = era_tracker
        self._view = view
        self._read_table = read_table
        self._is_leader = is_leader
        self._mirrors = mirrors
        self._leader_seen_at = float("-inf")
        self._behind_since: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._pending_parts: dict[str, list[table.Update]] = {}

    def handle_update(self, update: table.Update) -> None:
        """Handles an update of the leader, or a part of one."""
        if self._is_ambiguous(revisions.era_of(update.revision)):
            return
        self._leader_seen_at = time.monotonic()
        complete_update = self._collect_parts(update)
        if complete_update is not None:
            self._view.apply_update(complete_update)
        self._check_revision(update.service, update.revision)

    def handle_beacon(self, beacon: datagrams.Beacon) -> None:
        """Handles a beacon of the leader."""
        if self._is_ambiguous(beacon.era):
            return
        self._leader_seen_at = time.monotonic()
        for service, revision in beacon.tables.items():
            self._check_revision(service, revision)
        for store_mirror in self._mirrors:
            store_mirror.wake_if_behind(
                beacon.items.get(store_mirror.prefix, 0)
            )

    def _is_ambiguous(self, era: int) -> bool:
        """Returns whether revisions can't be compared with those of the store.

        Leaders of versions that know no eras send them; tables are then read as
        if the leader were silent.

        Args:
            era: Era in the revisions.
        """
        if self._era_tracker is None:
            return False
        has_eras = self._era_tracker.current != eras.UNKNOWN_ERA
        return has_eras and era == eras.UNKNOWN_ERA

    def make_beacon(self) -> datagrams.Beacon | None:
        """Returns this node's beacon, or None if it isn't the leader."""
        if not self._is_leader():
            return None
        tables = {
            service: shard_table.revision
            for service, shard_table in self._view.tables.items()
        }
        items = {
            store_mirror.prefix: store_mirror.latest_revision
            for store_mirror in self._mirrors
        }
        return datagrams.Beacon(tables, items)

    async def run(self) -> None:
        """Reads outdated tables until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._is_leader():
                self._leader_seen_at = time.monotonic()
                continue
            for service in self._keyed_services():
                if self._should_read(service, time.monotonic()):
                    await self._read(service)

    def _collect_parts(self, part: table.Update) -> table.Update | None:
        """Returns the complete update once all of its parts have arrived."""
        parts = self._pending_parts.get(part.service, [])
        if parts and parts[0].revision != part.revision:
            parts = []
        if part not in parts:
            parts = [*parts, part]
        if len(parts) < part.parts:
            self._pending_parts[part.service] = parts
            return None
        self._pending_parts.pop(part.service, None)
        shards = tuple(shard for update in parts for shard in update.shards)
        return dataclasses.replace(part, shards=shards, parts=1)

    def _check_revision(self, service: str, leader_revision: int) -> None:
        current = self._view.tables.get(service)
        if leader_revision <= (current.revision if current else 0):
            self._behind_since.pop(service, None)
        else:
            self._behind_since.setdefault(service, time.monotonic())

    def _should_read(self, service: str, now: float) -> bool:
        seconds_since_read = now - self._read_at.get(service, float("-inf"))
        behind_since = self._behind_since.get(service)
        if behind_since is not None and now - behind_since > BEHIND_SECONDS:
            return seconds_since_read > READ_PAUSE_SECONDS
        is_leader_silent = now - self._leader_seen_at > LEADER_SILENCE_SECONDS
        return (
            is_leader_silent
            and seconds_since_read > LEADER_SILENCE_READ_PAUSE_SECONDS
        )

    async def _read(self, service: str) -> None:
        jitter = random.uniform(0.0, BEHIND_SECONDS)
        self._read_at[service] = time.monotonic() + jitter
        stored = await self._read_table(service)
        if stored is not None and stored.shards:
            self._view.apply_table(stored)
            self._behind_since.pop(service, None)

    def _keyed_services(self) -> list[str]:
        if self._view.routes is None:
            return []
        services = self._view.routes.configuration.services.values()
        return [service.name for service in services if service.keyed]
