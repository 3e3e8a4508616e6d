"""Adopts a shard table of an earlier era of the store, before grants are sent.

Between the copy from which the store came back and that moment, earlier leaders
may have moved keys. What they knew is in no table that the store holds.
"""

import asyncio
import collections.abc
import dataclasses
import enum

from jujubeyard import clock
from jujubeyard.node import protocol
from jujubeyard.ownership import holds
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import eras
from jujubeyard.store import revisions

RELIST_SECONDS = 2.5
"""Time from the return of the store until the entries of targets that it lost
are written and read again."""

ASK_SECONDS = 1.0
"""Timeout of a release. It is answered once calls on its keys have ended."""

ASK_PAUSE_SECONDS = 0.3
MAX_CONCURRENT_TARGETS = 64
WRITE_RETRY_SECONDS = 0.2


class Proof(enum.Enum):
    """What proves that no target holds another one's keys."""

    CONTINUOUS = "this node led until the store went back"
    CONFIRMED = "all targets confirmed a release"
    EXPIRED = "grants of earlier leaders expired"


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteTable:
    """The table of a term since which nobody else can have moved keys.

    Attributes:
        shard_table: The table that the store confirmed last.
        unconfirmed_owners: Targets that got shards by later writes, which may
            have taken effect, so that a next leader may have granted them.
    """

    shard_table: table.ShardTable
    unconfirmed_owners: frozenset[table.Owner]


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """What a node knows of a table beside what the store holds.

    Attributes:
        newest: The table by which it sends calls; None if it has none.
        complete: The table of its own term, if that lasted until the store
            went back; else None.
        targets: Targets that may hold keys.
        has_read_targets: Returns whether the listings of targets were read in
            the current era.
        doubt_until: When all grants of earlier leaders have expired, in boot
            time, if this node was in doubt until the store went back and has
            sent none; else None.
    """

    newest: table.ShardTable | None
    complete: CompleteTable | None
    targets: collections.abc.Callable[[], collections.abc.Iterable[table.Owner]]
    has_read_targets: collections.abc.Callable[[], bool]
    doubt_until: float | None = None


def is_needed(
    stored: table.ShardTable,
    era_tracker: eras.EraTracker,
    max_hold_seconds: float,
) -> bool:
    """Returns whether a stored table must be adopted before it is used.

    Args:
        stored: The stored table, maybe an empty one.
        era_tracker: Knows the era of the store.
        max_hold_seconds: Longest grant that targets accept.
    """
    if era_tracker.current == eras.UNKNOWN_ERA:
        return False
    if stored.written_era != eras.UNKNOWN_ERA:
        return stored.written_era != era_tracker.current
    return clock.boottime() < _latest_doubt_without_era(
        era_tracker, max_hold_seconds
    )


def latest_doubt(learned_at: float, max_hold_seconds: float) -> float:
    """Returns when all grants of an earlier era have expired, in boot time.

    Its last leader may believe in its lease until the lease has run out.

    Args:
        learned_at: When this node learned of the current era.
        max_hold_seconds: Longest grant that targets accept.
    """
    last_grant_at = learned_at + leader.LEASE_SECONDS
    return holds.latest_expiry(last_grant_at, max_hold_seconds)


def _latest_doubt_without_era(
    era_tracker: eras.EraTracker, max_hold_seconds: float
) -> float:
    """Returns until when a table that tells no era is in doubt, in boot time.

    Without a return of the store in its time, a node that has just started asks
    the targets, but doesn't wait for those that don't answer: the table is one
    of a version that knows no eras, or the service is new.

    Args:
        era_tracker: Knows the era of the store.
        max_hold_seconds: Longest grant that targets accept.
    """
    learned_at = era_tracker.learned_at
    if era_tracker.changes:
        return latest_doubt(learned_at, max_hold_seconds)
    return learned_at + RELIST_SECONDS + ASK_SECONDS


class Adoption:
    """Makes a table of an earlier era the table of the current term.

    Attributes:
        doubt_until: When all grants of earlier leaders have expired, in boot
            time.
    """

    def __init__(
        self,
        service: str,
        leadership: leader.Leadership,
        era_tracker: eras.EraTracker,
        client: ownership_client.OwnershipClient,
        max_hold_seconds: float,
    ):
        """Initializes the adoption of the table of a service.

        Args:
            service: Name of the service.
            leadership: The term for which the table is adopted.
            era_tracker: Knows the era of the store.
            client: Access to targets and to stored tables.
            max_hold_seconds: Longest grant that targets accept.
        """
        self._service = service
        self._leadership = leadership
        self._era_tracker = era_tracker
        self._client = client
        self._term = leadership.term
        self._learned_at = era_tracker.learned_at
        since = max(leadership.won_at, self._learned_at)
        self._max_hold_seconds = max_hold_seconds
        self.doubt_until = latest_doubt(since, max_hold_seconds)

    async def run(
        self, stored: table.ShardTable, memory: Memory
    ) -> table.ShardTable | None:
        """Returns the table once it may be used.

        Args:
            stored: The stored table.
            memory: What this node knows beside it.

        Returns:
            The table, which the store holds; None if the term has ended or the
            stored table has changed.
        """
        started_at = clock.boottime()
        adopted = self._choose(stored, memory)
        if stored.written_era == eras.UNKNOWN_ERA:
            self.doubt_until = _latest_doubt_without_era(
                self._era_tracker, self._max_hold_seconds
            )
        elif memory.doubt_until is not None:
            self.doubt_until = memory.doubt_until
        if memory.complete is None:
            proof = await self._ask_all(adopted, stored, memory)
        else:
            proof = Proof.CONTINUOUS
            suspects = memory.complete.unconfirmed_owners
            if suspects:
                proof = await self._clear_doubt(adopted, lambda: suspects)
        if proof is None or not self._is_leading():
            return None
        self._client.log_event(
            "table adopted",
            service=self._service,
            evidence=proof.value,
            stored_era=stored.written_era,
            shards=len(adopted.shards),
            differing=len(table.compare(stored, adopted).shards),
            waited=round(clock.boottime() - started_at, 3),
        )
        return await self._write(adopted, stored)

    def _choose(
        self, stored: table.ShardTable, memory: Memory
    ) -> table.ShardTable:
        if memory.complete is not None:
            return memory.complete.shard_table
        if (
            memory.newest is not None
            and memory.newest.revision > stored.revision
        ):
            return memory.newest
        return stored

    def _is_leading(self) -> bool:
        leadership = self._leadership
        return leadership.term == self._term and leadership.is_leader()

    async def _ask_all(
        self,
        adopted: table.ShardTable,
        stored: table.ShardTable,
        memory: Memory,
    ) -> Proof | None:
        """Clears the doubt about all targets that may hold keys."""
        await _sleep_until(self._learned_at + RELIST_SECONDS)
        while not memory.has_read_targets() and self._is_leading():
            await asyncio.sleep(ASK_PAUSE_SECONDS)
        owners = {shard.owner for shard in (*adopted.shards, *stored.shards)}

        def find_targets() -> set[table.Owner]:
            return remove_ended(owners | set(memory.targets()))

        return await self._clear_doubt(adopted, find_targets)

    async def _clear_doubt(
        self,
        adopted: table.ShardTable,
        find_targets: collections.abc.Callable[[], set[table.Owner]],
    ) -> Proof | None:
        """Waits until no target holds keys that aren't its own.

        Returns:
            What proves it; None if the term has ended.
        """
        fence = self._leadership.allocate_fence()
        confirmed: set[table.Owner] = set()
        while True:
            open_targets = find_targets() - confirmed
            if not open_targets:
                return Proof.CONFIRMED
            if clock.boottime() >= self.doubt_until:
                return Proof.EXPIRED
            if not self._is_leading():
                return None
            newly_confirmed = await self._ask(open_targets, adopted, fence)
            confirmed |= newly_confirmed
            if newly_confirmed != open_targets:
                await asyncio.sleep(ASK_PAUSE_SECONDS)

    async def _ask(
        self,
        targets: collections.abc.Collection[table.Owner],
        adopted: table.ShardTable,
        fence: int,
    ) -> set[table.Owner]:
        """Asks targets to release all keys of others; returns who did."""
        room = asyncio.Semaphore(MAX_CONCURRENT_TARGETS)

        async def ask_one(target: table.Owner) -> bool:
            async with room:
                return await self._ask_one(target, adopted, fence)

        answers = await asyncio.gather(*map(ask_one, targets))
        unanswered = [
            target.target_id
            for target, has_released in zip(targets, answers, strict=True)
            if not has_released
        ]
        if unanswered:
            self._client.log_event(
                "targets not known to have released",
                service=self._service,
                targets=unanswered[:20],
                count=len(unanswered),
                doubt_left=round(self.doubt_until - clock.boottime(), 3),
            )
        return {
            target
            for target, has_released in zip(targets, answers, strict=True)
            if has_released
        }

    async def _ask_one(
        self, target: table.Owner, adopted: table.ShardTable, fence: int
    ) -> bool:
        for first, last in find_foreign_ranges(adopted, target):
            if not self._is_leading():
                return False
            result = await self._client.release(
                target_requests.ReleaseRequest(target, first, last, fence),
                ASK_SECONDS,
            )
            if result.outcome is target_requests.Outcome.GONE:
                return True
            if result.outcome is not target_requests.Outcome.DONE:
                return False
        return True

    async def _write(
        self, adopted: table.ShardTable, stored: table.ShardTable
    ) -> table.ShardTable | None:
        """Stores the adopted table; returns None if that isn't certain.

        A service without a table gets its first one by the coordinator.
        """
        if not adopted.shards:
            return adopted
        result = await self._client.write_table(
            table.ShardTable(
                self._service, adopted.shards, stored.item_revision
            ),
            self._leadership.conditions(self._term),
            revisions.era_of(self._term),
        )
        if not result.is_written:
            await asyncio.sleep(WRITE_RETRY_SECONDS)
            return None
        return result.stored


def find_foreign_ranges(
    adopted: table.ShardTable, target: table.Owner
) -> list[tuple[int, int]]:
    """Returns the ranges of keys that a table doesn't give a target.

    Another incarnation of a target at the same address counts as the target,
    as it takes the grants for it.

    Args:
        adopted: The table.
        target: The target.

    Returns:
        First and last key of each range.
    """
    ranges: list[tuple[int, int]] = []
    next_key = 0
    for shard in adopted.shards:
        if _serves_same_name(shard.owner, target):
            if next_key < shard.first:
                ranges.append((next_key, shard.first - 1))
            next_key = shard.last + 1
    if next_key < protocol.KEY_COUNT:
        ranges.append((next_key, protocol.KEY_COUNT - 1))
    return ranges


def remove_ended(targets: set[table.Owner]) -> set[table.Owner]:
    """Returns targets without those that have started again since.

    A start under a target's name shows that its process before has ended.

    Args:
        targets: Targets, maybe several incarnations of one.
    """
    latest: dict[str, int] = {}
    for target in targets:
        born = max(latest.get(target.target_id, 0), target.born)
        latest[target.target_id] = born
    return {
        target for target in targets if target.born == latest[target.target_id]
    }


def _serves_same_name(owner: table.Owner, target: table.Owner) -> bool:
    return (
        owner.target_id == target.target_id and owner.address == target.address
    )


async def _sleep_until(at: float) -> None:
    """Waits until a boot time."""
    await asyncio.sleep(max(0.0, at - clock.boottime()))
