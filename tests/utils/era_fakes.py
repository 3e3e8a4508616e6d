"""Fakes of a store that comes back from older copies."""

import copy

import result

from jujubeyard.ownership import fences
from jujubeyard.ownership import leader
from jujubeyard.store import era_store
from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions
from tests.utils import fakes

ERAS_PREFIX = "own/eras/"
TABLES_PREFIX = "own/shards/"


class DrillStore(fakes.FakeStore):
    """A store with bare numbers that can go back to a copy.

    Attributes:
        era: Its era.
    """

    def __init__(self, era: int = 1):
        super().__init__()
        self.era = era

    def take_copy(self) -> dict:
        """Returns a copy for `go_back`."""
        return copy.deepcopy(
            {
                "items": self.items,
                "leases": self.leases,
                "revision": self.revision,
                "_history": self._history,
            }
        )

    def go_back(self, taken: dict, keeps_leases: bool = True) -> None:
        """Goes back to a copy; a new era begins.

        Args:
            taken: The copy.
            keeps_leases: Whether the leases of the copy go on.
        """
        vars(self).update(copy.deepcopy(taken))
        self.era += 1
        if not keeps_leases:
            for lease in list(self.leases):
                self.expire(lease)

    async def watch(self, prefix, after, seconds, transfer=None):
        if after > self.revision:
            self.calls.append("watch")
            kind = interface.FailureKind.COMPACTED
            return result.Err(interface.Failure(kind, "fake"))
        return await super().watch(prefix, after, seconds, transfer)


class Link:
    """A node's connection to the store, on which nothing waits.

    Subclasses delay calls before they are sent and answers on their way.
    """

    async def send(self) -> None:
        """Returns once a call has reached the store."""

    async def deliver(self) -> None:
        """Returns once an answer has reached the node."""


class Adapter:
    """What a node's adapter makes of a store: revisions that hold the era."""

    def __init__(
        self,
        store: DrillStore,
        era_tracker: eras.EraTracker,
        link: Link | None = None,
    ):
        self._store = store
        self._era_tracker = era_tracker
        self._link = link or Link()

    async def read_all(self, prefix, transfer=None):
        return await self._call(
            lambda: self._store.read_all(prefix), self._pack_all
        )

    async def read(self, key):
        return await self._call(
            lambda: self._store.read(key),
            lambda item, era: item and self._pack_item(item, era),
        )

    async def watch(self, prefix, after, seconds, transfer=None):
        number = revisions.number_of(after)
        return await self._call(
            lambda: self._store.watch(prefix, number, seconds), self._pack_all
        )

    async def write(self, conditions, puts):
        bare_conditions = [
            interface.Condition(c.key, revisions.number_of(c.revision))
            for c in conditions
        ]
        bare_puts = [
            interface.Put(p.key, p.value, revisions.number_of(p.lease))
            for p in puts
        ]
        return await self._call(
            lambda: self._store.write(bare_conditions, bare_puts), _pack
        )

    async def open_lease(self, seconds):
        return await self._call(lambda: self._store.open_lease(seconds), _pack)

    async def renew_lease(self, lease):
        number = revisions.number_of(lease)
        return await self._call(lambda: self._store.renew_lease(number))

    async def end_lease(self, lease):
        number = revisions.number_of(lease)
        return await self._call(lambda: self._store.end_lease(number))

    async def _call(self, call, pack=lambda value, era: value):
        await self._link.send()
        outcome = await call()
        era, is_answered = self._store.era, not self._store.is_down
        await self._link.deliver()
        if is_answered:
            self._era_tracker.observe(era)
        if era < self._era_tracker.current:
            kind = interface.FailureKind.UNKNOWN
            return result.Err(interface.Failure(kind, "earlier era"))
        return outcome.map(lambda value: pack(value, era))

    def _pack_all(self, batch, era):
        items = tuple(self._pack_item(item, era) for item in batch.items)
        return interface.ItemBatch(items, _pack(batch.revision, era))

    def _pack_item(self, item, era):
        return interface.Item(
            item.key,
            item.value,
            _pack(item.revision, era),
            _pack(item.created_revision, era),
        )


def _pack(number, era):
    return revisions.pack(era, number)


class Node:
    """A node's store and its part in the leader election.

    Attributes:
        log: Its log.
        era_tracker: The era that it knows.
        store: The store, as its components use it.
        entries: Stored entries of eras.
        leadership: Its leadership.
    """

    def __init__(
        self,
        store: DrillStore,
        address: str = "10.0.0.1:7",
        link: Link | None = None,
    ):
        self.log = fakes.RecordingJournal()
        self.era_tracker = eras.EraTracker(self.log)
        adapter = Adapter(store, self.era_tracker, link)
        self.store = era_store.EraStore(adapter, self.era_tracker)
        self.entries = fences.EraEntries(
            self.store, self.era_tracker, ERAS_PREFIX, TABLES_PREFIX
        )
        self.leadership = leader.Leadership(
            self.store,
            "own/",
            address,
            self.log,
            self.era_tracker,
            self.entries,
        )


def make_leadership(
    store: interface.Store, address: str, log: leader.Journal
) -> leader.Leadership:
    """Returns the leadership of a node whose store doesn't tell its era."""
    era_tracker = eras.EraTracker(log)
    entries = fences.EraEntries(store, era_tracker, ERAS_PREFIX, TABLES_PREFIX)
    return leader.Leadership(store, "own/", address, log, era_tracker, entries)
