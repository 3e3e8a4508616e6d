"""Leadership by a lease in the store."""

import asyncio
import random
import typing

from jujubeyard import clock
from jujubeyard.store import interface

LEADER_KEY = "leader"
LEASE_SECONDS = 1.6
RENEW_SECONDS = 0.35
CERTAINTY_MARGIN_SECONDS = 0.1
"""Taken off the lease for clocks that differ in rate."""

ELECTION_JITTER_SECONDS = 0.15
RETRY_SECONDS = 0.4
FENCES_PER_TERM = 1 << 20


class Journal(typing.Protocol):
    """Where decisions are written."""

    def note(self, event: str, **fields) -> None:
        """Writes a decision."""


class Leadership:
    """Tries to lead, and keeps the lead.

    The revision at which the leader's item was created numbers its term; it
    only grows, so that fences of a term are above those of all terms before.

    Attributes:
        term: Number of this node's term; 0 while it doesn't lead.
        won_at: When the term was won, on the clock of `clock.boottime`.
        renewal_failed: Whether the latest renewal failed.
        address: Where the leader that is known takes reports; may be empty.
    """

    def __init__(
        self,
        store: interface.Store,
        prefix: str,
        address: str,
        journal: Journal,
    ):
        self._store = store
        self._key = prefix + LEADER_KEY
        self._address = address
        self._journal = journal
        self._lease = 0
        self._certain_until = 0.0
        self._next_fence = 0
        self._vacant = asyncio.Event()
        self.term = 0
        self.won_at = 0.0
        self.renewal_failed = False
        self.address = ""

    @property
    def key(self) -> str:
        """Key of the leader's item."""
        return self._key

    def is_certain(self) -> bool:
        """Returns whether this node certainly leads at this moment."""
        return bool(self.term) and clock.boottime() < self._certain_until

    def draw_fence(self) -> int:
        """Returns a fence above all that were drawn before."""
        self._next_fence += 1
        return self.term * FENCES_PER_TERM + self._next_fence

    def condition(self) -> interface.Condition:
        """Returns what makes a write fail once another node leads."""
        return interface.Condition(self._key, self.term)

    def observe(self, item: interface.Item) -> None:
        """Learns of a change of the leader's item."""
        if item.value is None:
            if self.term and item.revision > self.term:
                self._lose("the item was removed")
            self._vacant.set()
            return
        self._vacant.clear()
        self.address = item.value.decode(errors="replace")
        if self.term and item.created_revision > self.term:
            self._lose("another node leads")

    def observe_absence(self) -> None:
        """Learns that a full reading of the store shows no leader."""
        if not self.is_certain():
            self._vacant.set()

    async def run(self) -> None:
        """Leads, or waits to lead, until cancelled."""
        while True:
            if self.term:
                await self._renew()
                await asyncio.sleep(RENEW_SECONDS)
                continue
            await self._vacant.wait()
            await asyncio.sleep(random.uniform(0.0, ELECTION_JITTER_SECONDS))
            if self._vacant.is_set() and not await self._stand():
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.0))

    async def resign(self) -> None:
        """Gives the lead up at once, if another node can take it.

        While the store is away nobody can; the lead goes on until it isn't
        certain, so that keys are granted for as long as targets take.
        """
        if self.term:
            await self._renew()
        if self.term and not self.renewal_failed:
            self._lose("resigned")
            await self._store.end_lease(self._lease)

    async def _stand(self) -> bool:
        sent = clock.boottime()
        lease = await self._store.open_lease(LEASE_SECONDS)
        if lease.is_err():
            return False
        item = interface.Put(self._key, self._address.encode(), lease.ok_value)
        absent = interface.Condition(self._key, 0)
        outcome = await self._store.write([absent], [item])
        if outcome.is_err():
            if outcome.err_value.kind is interface.FailureKind.CONFLICT:
                self._vacant.clear()
            self._journal.note(
                "leadership not won", detail=outcome.err_value.detail
            )
            await self._store.end_lease(lease.ok_value)
            return False
        self._lease = lease.ok_value
        self._certain_until = sent + LEASE_SECONDS - CERTAINTY_MARGIN_SECONDS
        self._next_fence = 0
        self._vacant.clear()
        self.won_at = clock.boottime()
        self.renewal_failed = False
        self.term = outcome.ok_value
        self._journal.note("leadership won", term=self.term)
        return True

    async def _renew(self) -> None:
        sent = clock.boottime()
        term = self.term
        outcome = await self._store.renew_lease(self._lease)
        if self.term != term:
            return
        if outcome.is_ok():
            self.renewal_failed = False
            self._certain_until = (
                sent + LEASE_SECONDS - CERTAINTY_MARGIN_SECONDS
            )
            return
        if outcome.err_value.kind is interface.FailureKind.NO_LEASE:
            self._lose("the lease has ended")
            self._vacant.set()
            return
        if not self.renewal_failed:
            self._journal.note(
                "leadership not renewed", detail=outcome.err_value.detail
            )
        self.renewal_failed = True

    def _lose(self, reason: str) -> None:
        self._journal.note("leadership lost", term=self.term, reason=reason)
        self.term = 0
        self._certain_until = 0.0
