"""Keeps the calls of a node to the store within one era.

What a call has learned or assumed in one era says nothing about the next one.
"""

import collections.abc
import typing

import result

from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions

T = typing.TypeVar("T")
Outcome = result.Result[T, interface.Failure]


class EraStore:
    """Implements the store interface on a store that may go back.

    Revisions and leases are those of `revisions`; calls that need one of an
    earlier era fail without being sent.
    """

    def __init__(self, store: interface.Store, era_tracker: eras.EraTracker):
        """Initializes the store.

        Args:
            store: The store to call.
            era_tracker: Knows the era of the latest answer.
        """
        self._store = store
        self._era_tracker = era_tracker

    async def read_all(
        self, prefix: str, transfer: interface.Transfer | None = None
    ) -> Outcome[interface.ItemBatch]:
        """Returns all items whose keys start with a prefix."""
        return await self._store.read_all(prefix, transfer)

    async def read(self, key: str) -> Outcome[interface.Item | None]:
        """Returns an item, or None if it does not exist."""
        return await self._store.read(key)

    async def watch(
        self,
        prefix: str,
        after: int,
        seconds: float,
        transfer: interface.Transfer | None = None,
    ) -> Outcome[interface.ItemBatch]:
        """Waits for changes after a revision and returns them.

        The history is lost if the revision is one of an earlier era.
        """
        if self._is_current(after):
            batch = await self._store.watch(prefix, after, seconds, transfer)
            if self._is_current(after):
                return batch
        return _fail(interface.FailureKind.COMPACTED)

    async def write(
        self,
        conditions: collections.abc.Sequence[interface.Condition],
        puts: collections.abc.Sequence[interface.Put],
    ) -> Outcome[int]:
        """Writes all values atomically if all conditions hold."""
        era = self._era_tracker.current
        for condition in conditions:
            if condition.revision and not self._is_current(condition.revision):
                return _fail(interface.FailureKind.CONFLICT)
        for put in puts:
            if put.lease and not self._is_current(put.lease):
                return _fail(interface.FailureKind.NO_LEASE)
        outcome = await self._store.write(conditions, puts)
        if era not in (eras.UNKNOWN_ERA, self._era_tracker.current):
            return _fail(interface.FailureKind.UNKNOWN)
        return outcome

    async def open_lease(self, seconds: float) -> Outcome[int]:
        """Creates a lease that expires unless it is renewed in time."""
        lease = await self._store.open_lease(seconds)
        if lease.is_ok() and not self._is_current(lease.ok_value):
            return _fail(interface.FailureKind.UNKNOWN)
        return lease

    async def renew_lease(self, lease: int) -> Outcome[None]:
        """Renews a lease; one of an earlier era no longer exists."""
        if self._is_current(lease):
            outcome = await self._store.renew_lease(lease)
            if self._is_current(lease):
                return outcome
        return _fail(interface.FailureKind.NO_LEASE)

    async def end_lease(self, lease: int) -> Outcome[None]:
        """Revokes a lease, unless it is one of an earlier era."""
        if not self._is_current(lease):
            return _fail(interface.FailureKind.NO_LEASE)
        return await self._store.end_lease(lease)

    def _is_current(self, revision: int) -> bool:
        return revisions.era_of(revision) == self._era_tracker.current


def _fail(kind: interface.FailureKind) -> result.Err:
    detail = "the store went back to an earlier state"
    return result.Err(interface.Failure(kind, detail))
