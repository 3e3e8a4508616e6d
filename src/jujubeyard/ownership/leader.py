"""Leader election with a lease in the store."""

import asyncio
import random
import typing

from jujubeyard import clock
from jujubeyard.ownership import fences
from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions

LEADER_KEY = "leader"
LEASE_SECONDS = 1.6
RENEW_SECONDS = 0.35
CLOCK_MARGIN_SECONDS = 0.1
"""Subtracted from the lease because clocks run at different rates."""

ELECTION_JITTER_SECONDS = 0.15
RETRY_SECONDS = 0.4
SUCCESSION_SECONDS = 0.6
"""Time after the store went back in which only its last leader campaigns. It
knows more of the tables than others."""

TAKEOVER_SECONDS = 2.0
"""Time from an election until keys move. If the store goes back until then, the
leader before knows all moves, although its lease ran out in its absence."""

MAX_FENCES_USED = fences.FENCES_PER_TERM - (1 << 16)
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
    revision that writes the item is the number of the term. Terms, and the
    fences of a term, are higher than those of all earlier terms. A term ends
    with the era of the store in which it was won.

    Attributes:
        term: Number of this node's term; 0 while it doesn't lead.
        continuous_term: Term of this node since which nobody else can have
            moved keys until the current era of the store began, directly after
            the era of the term; 0 if there is none.
        has_lasted: Whether the lease of that term had certainly not run out.
        is_last_leader: Whether this node was the last known leader when the
            current era of the store began.
        has_seen_other: Whether another node's leader item was seen since then.
        won_at: Start of the term, in boot time (`clock.boottime`).
        renewal_failed: Whether the latest renewal of the lease failed.
        address: Address at which the last known leader receives reports; may
            be empty.
    """

    def __init__(
        self,
        store: interface.Store,
        prefix: str,
        address: str,
        log: Journal,
        era_tracker: eras.EraTracker,
        era_entries: fences.EraEntries,
    ):
        """Initializes a node that doesn't lead.

        Args:
            store: The store.
            prefix: Prefix of the key of the leader item.
            address: Address at which this node receives reports.
            log: Log of elections and terms.
            era_tracker: Knows the era of the store.
            era_entries: Stored entries of eras.
        """
        self._era_tracker = era_tracker
        self._era_entries = era_entries
        self._entry = fences.EraEntry()
        self._woken = asyncio.Event()
        self.continuous_term = 0
        self.has_lasted = False
        self.is_last_leader = False
        self.has_seen_other = False
        era_tracker.add_listener(self._begin_era)
        self._store = store
        self._key = prefix + LEADER_KEY
        self._own_address = address
        self._log = log
        self._lease = 0
        self._valid_until = 0.0
        self._moves_from = 0.0
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

    def is_continuous(self) -> bool:
        """Returns whether nobody else has led since `continuous_term`."""
        return bool(self.continuous_term) and not self.has_seen_other

    def may_move(self) -> bool:
        """Returns whether keys may get other owners in this term already."""
        return clock.boottime() >= self._moves_from

    def allocate_fence(self) -> int:
        """Returns a fence higher than all that were allocated before."""
        self._next_fence += 1
        return self._entry.first_fence(self.term) + self._next_fence

    def conditions(self, term: int) -> tuple[interface.Condition, ...]:
        """Returns the conditions that fail a write after a term has ended.

        Args:
            term: Number of the term; it may have ended already.
        """
        is_leader = interface.Condition(self._key, term)
        guard = self._era_entries.guard(revisions.era_of(term))
        return (is_leader, *guard)

    def observe(self, item: interface.Item) -> None:
        """Handles a change of the leader item in the store."""
        if item.value is None:
            if self.term and item.revision > self.term:
                self._end_term("the leader item was removed")
            self._vacant.set()
            return
        self.address = item.value.decode(errors="replace")
        if self._is_left_over(item):
            self._vacant.set()
            return
        self._vacant.clear()
        if self.address != self._own_address:
            self.has_seen_other = True
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
                if not self.term:
                    continue
                await self._pause(RENEW_SECONDS)
                continue
            await self._vacant.wait()
            await self._wait_for_last_leader()
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

    def _begin_era(self) -> None:
        """Ends the term once the store has come back from an older copy."""
        era = self._era_tracker.current
        is_next_era = revisions.era_of(self.term) + 1 == era
        is_unmoved = clock.boottime() < self._valid_until + TAKEOVER_SECONDS
        is_continuous = is_unmoved and is_next_era
        has_lasted = is_continuous and self.is_leader()
        continuous_term = self.term if is_continuous else 0
        self.has_seen_other = False
        self.is_last_leader = is_continuous or self.address == self._own_address
        if self.term:
            self._end_term("the store went back")
        self.continuous_term, self.has_lasted = continuous_term, has_lasted
        if self.is_last_leader:
            self._vacant.set()
        self._woken.set()

    async def _pause(self, seconds: float) -> None:
        """Waits for a time, or until a new era of the store begins."""
        self._woken.clear()
        try:
            await asyncio.wait_for(self._woken.wait(), seconds)
        except TimeoutError:
            return

    async def _wait_for_last_leader(self) -> None:
        """Lets the last leader of the era before campaign first."""
        has_eras = self._era_tracker.current != eras.UNKNOWN_ERA
        if not has_eras or self.is_last_leader:
            return
        campaign_at = self._era_tracker.learned_at + SUCCESSION_SECONDS
        await asyncio.sleep(max(0.0, campaign_at - clock.boottime()))

    def _is_left_over(self, item: interface.Item) -> bool:
        """Returns whether an item is this node's, of a term that has ended.

        It is in the copy from which the store came back, or was written late.
        """
        is_own = item.value == self._own_address.encode()
        return bool(is_own and not self.term and self._era_tracker.changes)

    async def _campaign(self) -> bool:
        """Tries to become the leader; returns whether this node was elected."""
        era = self._era_tracker.current
        entry = await self._era_entries.ensure()
        if entry.is_err():
            return False
        replaced = await self._find_left_over()
        if replaced is None:
            return False
        sent_at = clock.boottime()
        lease = await self._store.open_lease(LEASE_SECONDS)
        if lease.is_err():
            return False
        item = interface.Put(
            self._key, self._own_address.encode(), lease.ok_value
        )
        no_other_leader = interface.Condition(self._key, replaced)
        outcome = await self._store.write(
            [no_other_leader, *entry.ok_value.conditions], [item]
        )
        if outcome.is_err():
            is_conflict = (
                outcome.err_value.kind is interface.FailureKind.CONFLICT
            )
            if is_conflict and era == self._era_tracker.current:
                self._vacant.clear()
            self._log.log_event(
                "leadership not won", detail=outcome.err_value.detail
            )
            await self._store.end_lease(lease.ok_value)
            return False
        if revisions.era_of(outcome.ok_value) != entry.ok_value.era:
            await self._store.end_lease(lease.ok_value)
            return False
        self._begin_term(outcome.ok_value, entry.ok_value)
        self._lease = lease.ok_value
        self._valid_until = sent_at + LEASE_SECONDS - CLOCK_MARGIN_SECONDS
        return True

    async def _find_left_over(self) -> int | None:
        """Returns the revision of an own leader item that may be replaced.

        Returns:
            The revision; 0 if there is no leader item, and None if another node
            leads or the store doesn't answer.
        """
        if not self._era_tracker.changes:
            return 0
        stored = await self._store.read(self._key)
        if stored.is_err():
            return None
        item = stored.ok_value
        if item is None:
            return 0
        if not self._is_left_over(item):
            self._vacant.clear()
            self.has_seen_other = True
            return None
        return item.revision

    def _begin_term(self, term: int, entry: fences.EraEntry) -> None:
        self._entry = entry
        self._next_fence = 0
        self._vacant.clear()
        self.won_at = clock.boottime()
        self._moves_from = self.won_at
        if entry.era != eras.UNKNOWN_ERA:
            self._moves_from += TAKEOVER_SECONDS
        self.renewal_failed = False
        self.term = term
        self._log.log_event(
            "leadership won",
            term=revisions.describe(term),
            fence_offset=entry.offset,
        )

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
        self._log.log_event(
            "leadership lost",
            term=revisions.describe(self.term),
            reason=reason,
        )
        self.term = 0
        self.continuous_term = 0
        self._valid_until = 0.0
