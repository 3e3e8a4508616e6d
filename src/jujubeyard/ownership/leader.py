"""Leader election with a lease in the store."""

import asyncio
import random
import typing

from jujubeyard import clock
from jujubeyard.store import interface

LEADER_KEY = "leader"
LEASE_SECONDS = 1.6
RENEW_SECONDS = 0.35
CLOCK_MARGIN_SECONDS = 0.1
"""Subtracted from the lease because clocks run at different rates."""

ELECTION_JITTER_SECONDS = 0.15
RETRY_SECONDS = 0.4
FENCES_PER_TERM = 1 << 20
MAX_FENCES_USED = FENCES_PER_TERM - (1 << 16)
"""Number of fences after which a term ends. The rest is for what is still sent
until then."""


class Journal(typing.Protocol):
    """Log of the events of this node."""

    def log_event(self, event: str, **fields) -> None:
        """Logs an event.

        Args:
            event: Text of the event.
            **fields: Fields of the log line.
        """


class Leadership:
    """This node's part in the leader election.

    The leader writes an item to the store, bound to its lease. The store
    revision that creates the item is the number of the term. Revisions only
    grow, so the fences of a term are higher than those of all earlier terms.

    Attributes:
        term: Number of this node's term; 0 while it doesn't lead.
        won_at: Start of the term, in boot time (`clock.boottime`).
        renewal_failed: Whether the latest renewal of the lease failed.
        address: Address at which the last known leader receives reports; may
            be empty.
    """

    def __init__(
        self, store: interface.Store, prefix: str, address: str, log: Journal
    ):
        """Initializes a node that doesn't lead.

        Args:
            store: The store.
            prefix: Prefix of the key of the leader item.
            address: Address at which this node receives reports.
            log: Log of elections and terms.
        """
        self._store = store
        self._key = prefix + LEADER_KEY
        self._own_address = address
        self._log = log
        self._lease = 0
        self._valid_until = 0.0
        self._next_fence = 0
        self._vacant = asyncio.Event()
        self.term = 0
        self.won_at = 0.0
        self.renewal_failed = False
        self.address = ""

    @property
    def key(self) -> str:
        """Key of the leader item in the store."""
        return self._key

    @property
    def valid_until(self) -> float:
        """Boot time until which the lease can't have expired."""
        return self._valid_until

    def is_leader(self) -> bool:
        """Returns whether this node leads and its lease can't have expired."""
        return bool(self.term) and clock.boottime() < self._valid_until

    def allocate_fence(self) -> int:
        """Returns a fence higher than all that were allocated before."""
        self._next_fence += 1
        return self.term * FENCES_PER_TERM + self._next_fence

    def observe(self, item: interface.Item) -> None:
        """Handles a change of the leader item in the store."""
        if item.value is None:
            if self.term and item.revision > self.term:
                self._end_term("the leader item was removed")
            self._vacant.set()
            return
        self._vacant.clear()
        self.address = item.value.decode(errors="replace")
        if self.term and item.created_revision > self.term:
            self._end_term("another node leads")

    def observe_absence(self) -> None:
        """Handles a full read of the store that contains no leader item."""
        if not self.is_leader():
            self._vacant.set()

    async def run(self) -> None:
        """Campaigns for leadership and renews the lease, until cancelled."""
        while True:
            if self.term:
                await self._renew()
                if self._next_fence >= MAX_FENCES_USED:
                    await self.resign()
                await asyncio.sleep(RENEW_SECONDS)
                continue
            await self._vacant.wait()
            await asyncio.sleep(random.uniform(0.0, ELECTION_JITTER_SECONDS))
            if self._vacant.is_set() and not await self._campaign():
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.0))

    async def resign(self) -> None:
        """Resigns if another node can be elected.

        While the store is unavailable no other node can be. This node then
        leads until its lease may have expired, so that targets get the longest
        possible grants.
        """
        if self.term:
            await self._renew()
        if self.term and not self.renewal_failed:
            self._end_term("resigned")
            await self._store.end_lease(self._lease)

    async def _campaign(self) -> bool:
        """Tries to become the leader; returns whether this node was elected."""
        sent_at = clock.boottime()
        lease = await self._store.open_lease(LEASE_SECONDS)
        if lease.is_err():
            return False
        item = interface.Put(
            self._key, self._own_address.encode(), lease.ok_value
        )
        no_leader = interface.Condition(self._key, 0)
        outcome = await self._store.write([no_leader], [item])
        if outcome.is_err():
            if outcome.err_value.kind is interface.FailureKind.CONFLICT:
                self._vacant.clear()
            self._log.log_event(
                "leadership not won", detail=outcome.err_value.detail
            )
            await self._store.end_lease(lease.ok_value)
            return False
        self._lease = lease.ok_value
        self._valid_until = sent_at + LEASE_SECONDS - CLOCK_MARGIN_SECONDS
        self._next_fence = 0
        self._vacant.clear()
        self.won_at = clock.boottime()
        self.renewal_failed = False
        self.term = outcome.ok_value
        self._log.log_event("leadership won", term=self.term)
        return True

    async def _renew(self) -> None:
        sent_at = clock.boottime()
        term = self.term
        outcome = await self._store.renew_lease(self._lease)
        if self.term != term:
            return
        if outcome.is_ok():
            self.renewal_failed = False
            self._valid_until = sent_at + LEASE_SECONDS - CLOCK_MARGIN_SECONDS
            return
        if outcome.err_value.kind is interface.FailureKind.NO_LEASE:
            self._end_term("the lease no longer exists")
            self._vacant.set()
            return
        if not self.renewal_failed:
            self._log.log_event(
                "leadership not renewed", detail=outcome.err_value.detail
            )
        self.renewal_failed = True

    def _end_term(self, reason: str) -> None:
        self._log.log_event("leadership lost", term=self.term, reason=reason)
        self.term = 0
        self._valid_until = 0.0
