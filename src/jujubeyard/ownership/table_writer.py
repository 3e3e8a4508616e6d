"""Writes the shard table, with the next owners of freed shards."""

import collections.abc
import dataclasses

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import granter
from jujubeyard.ownership import planner
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.store import revisions

BATCH_SECONDS = 0.05
"""How long a freed shard waits so that others share its write of the table."""

WRITE_RETRY_SECONDS = 0.3
"""Pause after a failed write of the table."""


class TableWriter:
    """Writes the table of one service during one term, one write at a time."""

    def __init__(
        self,
        term: service_term.ServiceTerm,
        assigned: assignments.Assignments,
        shard_granter: granter.Granter,
    ):
        """Initializes a writer that may write.

        Args:
            term: The term.
            assigned: The table and the freed shards.
            shard_granter: Sends new owners their grants.
        """
        self._term = term
        self._assigned = assigned
        self._granter = shard_granter
        self._is_writing = False
        self._next_write_at = 0.0
        self._unconfirmed_owners: set[table.Owner] = set()

    @property
    def unconfirmed_owners(self) -> frozenset[table.Owner]:
        """Who got shards by writes that may have taken effect, unlike here."""
        return frozenset(self._unconfirmed_owners)

    @property
    def is_writing(self) -> bool:
        """Whether a write is in progress."""
        return self._is_writing

    def may_write(self) -> bool:
        """Returns whether a write may start now."""
        return not self._is_writing and clock.boottime() >= self._next_write_at

    def write_freed(self, candidates: list[planner.Candidate]) -> None:
        """Starts to write the new owners of the freed shards to the table.

        Args:
            candidates: Targets that may own keys.
        """
        oldest = self._assigned.oldest_freed_at()
        if oldest is None or not candidates or not self.may_write():
            return
        is_new = clock.boottime() - oldest < BATCH_SECONDS
        if is_new and self._assigned.expects_freed():
            return
        freed = self._assigned.take_freed()
        self.start_write(self._assign_owners(freed, candidates), freed)

    def _assign_owners(
        self,
        freed: collections.abc.Mapping[int, assignments.FreedShard],
        candidates,
    ) -> tuple[table.Shard, ...]:
        """Returns the shards of the table, the freed ones with new owners."""
        owners = {candidate.owner for candidate in candidates}
        shards = list(self._assigned.table.shards)
        for index, shard in enumerate(shards):
            freed_shard = freed.get(shard.first)
            if freed_shard is None:
                continue
            to = freed_shard.move.to
            if to not in owners and not freed_shard.is_pinned:
                to = self._owner_with_fewest_shards(candidates)
            shards[index] = dataclasses.replace(
                shard,
                owner=to,
                fence=self._term.leadership.allocate_fence(),
                handover=freed_shard.handover,
            )
        return tuple(shards)

    def _owner_with_fewest_shards(self, candidates) -> table.Owner:
        shard_counts = dict.fromkeys((c.owner for c in candidates), 0)
        for shard in self._assigned.table.shards:
            if shard.owner in shard_counts:
                shard_counts[shard.owner] += 1
        return min(shard_counts, key=shard_counts.__getitem__)

    def start_write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, assignments.FreedShard],
    ) -> None:
        """Starts to replace the shards of the table.

        Args:
            shards: The new shards.
            freed: Freed shards that have new owners, by first key.
        """
        known = set(self._assigned.table.shards)
        self._unconfirmed_owners |= {
            shard.owner for shard in shards if shard not in known
        }
        self._is_writing = True
        self._term.start_task(self._write(shards, freed))

    async def _write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, assignments.FreedShard],
    ) -> None:
        try:
            result = await self._term.client.write_table(
                table.ShardTable(
                    self._term.service,
                    shards,
                    self._assigned.table.item_revision,
                ),
                self._term.leadership.conditions(self._term.number),
                revisions.era_of(self._term.number),
            )
        finally:
            self._is_writing = False
        if result.is_written:
            self._unconfirmed_owners.clear()
        if result.stored is not None:
            self._assigned.install(result.stored)
        if not result.is_written:
            if result.stored is not None:
                self._term.client.publish(result.stored)
            self._next_write_at = clock.boottime() + WRITE_RETRY_SECONDS
            self._assigned.put_back(freed)
            return
        for first, freed_shard in freed.items():
            self._log_replaced_owner(first, freed_shard.move)
            self._assigned.end_move(first, freed_shard)
        await self._granter.grant_freed(freed)
        self._term.client.publish(result.stored)

    def _log_replaced_owner(self, first: int, move: planner.Move) -> None:
        """Logs if a freed shard went to another owner than was planned."""
        owner = self._assigned.table.find(first).owner
        if owner != move.to:
            self._term.log_event(
                "next owner replaced",
                term=revisions.describe(self._term.number),
                first=first,
                planned=move.to.target_id,
                to=owner.target_id,
                to_born=owner.born,
            )
