"""Fences that grow although the store gives revisions out again.

The number of a term is a revision of the store. The offset of an era lies above
all that the store can lose on its return from a copy, so that the terms of an
era, with their offset, are higher than those of all earlier eras. Within an era
the fences are those of versions that know no eras.
"""

import collections.abc
import dataclasses

import result

from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions

FENCES_PER_TERM = 1 << 20

MAX_LOST_REVISIONS = 1 << 20
"""More than the store takes in writes in the seconds that it can lose."""


@dataclasses.dataclass(frozen=True, slots=True)
class EraEntry:
    """How the leaders of an era draw fences.

    Attributes:
        era: The era.
        offset: What is added to the numbers of its terms.
        conditions: Conditions of the write that makes a node the leader.
    """

    era: int = eras.UNKNOWN_ERA
    offset: int = 0
    conditions: tuple[interface.Condition, ...] = ()

    def first_fence(self, term: int) -> int:
        """Returns the fence below all those of a term.

        Args:
            term: Revision of the leader item.
        """
        return (revisions.number_of(term) + self.offset) * FENCES_PER_TERM


class EraEntries:
    """The stored entries of eras; candidates for leadership write them."""

    def __init__(
        self,
        store: interface.Store,
        era_tracker: eras.EraTracker,
        prefix: str,
        tables_prefix: str,
    ):
        """Initializes the entries; nothing is read.

        Args:
            store: The store.
            era_tracker: Knows the current era.
            prefix: Prefix of the keys of entries.
            tables_prefix: Prefix of the keys of shard tables.
        """
        self._store = store
        self._era_tracker = era_tracker
        self._prefix = prefix
        self._tables_prefix = tables_prefix
        self._known: EraEntry | None = None

    async def ensure(self) -> result.Result[EraEntry, interface.Failure]:
        """Returns the entry of the current era, and stores it if need be."""
        era = self._era_tracker.current
        if era == eras.UNKNOWN_ERA:
            return result.Ok(EraEntry())
        stored = await self._store.read_all(self._prefix)
        if stored.is_err():
            return stored
        items = {item.key: item for item in stored.ok_value.items}
        own = items.get(self._key(era))
        if own is not None:
            return result.Ok(
                self._make_entry(era, _parse_number(own.value), own.revision)
            )
        offset = await self._bound_offset(era, items.values())
        if offset.is_err():
            return offset
        key = self._key(era)
        written = await self._store.write(
            [interface.Condition(key, 0), *self.guard(era)],
            [interface.Put(key, str(offset.ok_value).encode())],
        )
        return written.map(
            lambda revision: self._make_entry(era, offset.ok_value, revision)
        )

    def _make_entry(self, era: int, offset: int, revision: int) -> EraEntry:
        is_stored = interface.Condition(self._key(era), revision)
        self._known = EraEntry(era, offset, (is_stored, *self.guard(era)))
        return self._known

    def guard(self, era: int) -> tuple[interface.Condition, ...]:
        """Returns the conditions that fail a write in a later era.

        They hold until that era has a leader.

        Args:
            era: The era in which the write is sent.
        """
        if era == eras.UNKNOWN_ERA:
            return ()
        return (interface.Condition(self._key(era + 1), 0),)

    def _key(self, era: int) -> str:
        return f"{self._prefix}{era}"

    async def _bound_offset(
        self, era: int, items: collections.abc.Iterable[interface.Item]
    ) -> result.Result[int, interface.Failure]:
        """Returns an offset above the terms of all earlier eras.

        Without an entry of an earlier era the store is new, or a version that
        knows no eras has led here, whose terms have no offset.
        """
        offsets = {
            _parse_number(item.key.removeprefix(self._prefix).encode()): (
                _parse_number(item.value)
            )
            for item in items
        }
        if not offsets:
            tables = await self._store.read_all(self._tables_prefix)
            if tables.is_err():
                return tables
            if not tables.ok_value.items:
                offsets[0] = 0
        if self._known is not None:
            offsets[self._known.era] = self._known.offset
        offsets.setdefault(self._era_tracker.first, 0)
        return result.Ok(
            max(
                offset + (era - earlier) * MAX_LOST_REVISIONS
                for earlier, offset in offsets.items()
                if earlier <= era
            )
        )


def _parse_number(value: bytes) -> int:
    """Returns a stored number; 0 for what no node has written."""
    return int(value) if value.isdigit() else 0
