"""What a node does beside serving calls."""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.node import journal
from jujubeyard.node import surroundings
from jujubeyard.node import view
from jujubeyard.ownership import courier
from jujubeyard.ownership import keeper
from jujubeyard.ownership import leader
from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror

PRESENCE_SECONDS = 10.0
PRESENCE_RENEW_SECONDS = 1.0
"""Pause between renewals, by which a node notices that the store is away."""

PRESENCE_RETRY_SECONDS = 0.25
ENLIST_RETRY_SECONDS = 0.5
KEEPER_TICK_SECONDS = 0.03
IDLE_TICK_SECONDS = 0.2


class Presence:
    """Keeps the node listed while it lives, and notices outages."""

    def __init__(
        self,
        store: interface.Store,
        key: str,
        node: str,
        known_health: health.Health,
        notes: journal.Journal,
    ):
        self._store = store
        self._key = key
        self._node = node
        self._health = known_health
        self._notes = notes
        self._lease = 0

    async def run(self) -> None:
        """Lists the node until cancelled."""
        while True:
            if not self._lease:
                listed = await self._enlist()
                pause = PRESENCE_RENEW_SECONDS
                await asyncio.sleep(pause if listed else ENLIST_RETRY_SECONDS)
                continue
            outcome = await self._store.renew_lease(self._lease)
            if outcome.is_err():
                if outcome.err_value.kind is interface.FailureKind.NO_LEASE:
                    self._notes.note("listing lapsed", lease=self._lease)
                    self._lease = 0
                    continue
                self._health.record_failure(outcome.err_value)
                await asyncio.sleep(PRESENCE_RETRY_SECONDS)
                continue
            self._health.record_success()
            await asyncio.sleep(PRESENCE_RENEW_SECONDS)

    async def end(self) -> None:
        """Ends the listing at once."""
        if self._lease:
            lease, self._lease = self._lease, 0
            await self._store.end_lease(lease)

    async def _enlist(self) -> bool:
        lease = await self._store.open_lease(PRESENCE_SECONDS)
        if lease.is_err():
            return False
        item = interface.Put(self._key, self._node.encode(), lease.ok_value)
        outcome = await self._store.write([], [item])
        if outcome.is_err():
            self._notes.note("not listed", detail=outcome.err_value.detail)
            return False
        self._lease = lease.ok_value
        return True


class KeyKeeping:
    """Runs a keeper for each keyed service while the node leads."""

    def __init__(
        self,
        leadership: leader.Leadership,
        known: view.View,
        around: surroundings.Surroundings,
        carrier: courier.Courier,
        mirrors: collections.abc.Sequence[mirror.Mirror],
        max_hold_seconds: float,
    ):
        self._leadership = leadership
        self._mirrors = mirrors
        self._view = known
        self._courier = carrier
        self._max_hold_seconds = max_hold_seconds
        self._around = around
        self._term = 0
        self._keepers: dict[str, keeper.Keeper] = {}

    async def run(self) -> None:
        """Keeps keys while the node leads, until cancelled."""
        while True:
            if self._leadership.term != self._term:
                self._change_term()
                for each in self._mirrors:
                    each.is_low_latency = bool(self._term)
            if not self._term:
                await asyncio.sleep(IDLE_TICK_SECONDS / 4)
                continue
            await self._load_new()
            for running in self._keepers.values():
                self._tick(running)
            await asyncio.sleep(KEEPER_TICK_SECONDS)

    def _tick(self, running: keeper.Keeper) -> None:
        """Runs a keeper once; a fault in one plan must not end all others."""
        try:
            running.tick(clock.boottime())
        except Exception as exc:
            self._courier.note(
                "keeper failed", service=running.service, detail=repr(exc)
            )

    def _change_term(self) -> None:
        for running in self._keepers.values():
            running.stop()
        self._keepers = {}
        self._term = self._leadership.term

    async def _load_new(self) -> None:
        for service in self._keyed_services():
            if service in self._keepers:
                continue
            found = await self._courier.read_table(service)
            if found is None or self._leadership.term != self._term:
                return
            self._view.take_table(found)
            made = keeper.Keeper(
                service,
                self._leadership,
                self._around,
                self._courier,
                self._max_hold_seconds,
            )
            made.load(found)
            self._keepers[service] = made

    def _keyed_services(self) -> collections.abc.Iterator[str]:
        if self._view.routes is None:
            return
        for service in self._view.routes.configuration.services.values():
            if service.keyed:
                yield service.name
