"""Which owners the shards of a service have, and which shards are moving."""

import collections.abc
import dataclasses

from jujubeyard.ownership import holds
from jujubeyard.ownership import planner
from jujubeyard.ownership import table


@dataclasses.dataclass(frozen=True, slots=True)
class FreedShard:
    """A shard that waits for its next owner.

    No target holds it, but for a pinned one, which its owner may hold.

    Attributes:
        move: The move that assigns its next owner.
        handover: State from its last owner for the next one; may be empty.
        freed_at: When the release was confirmed or the grant had expired, in
            boot time.
        is_pinned: Whether the owner of `move` must not be replaced by another
            candidate.
    """

    move: planner.Move
    handover: str
    freed_at: float
    is_pinned: bool = False


class Assignments:
    """The table of a service, its holds and its moves.

    A move begins, its shard is freed, and the move ends with the write of the
    next owner to the table.

    Attributes:
        table: The table of the term; None before it is loaded.
        holds: The holds of its shards.
    """

    def __init__(self, max_hold_seconds: float):
        """Initializes assignments without a table.

        Args:
            max_hold_seconds: Longest grant that targets accept.
        """
        self.table: table.ShardTable | None = None
        self.holds = holds.HoldTracker(max_hold_seconds)
        self._destinations: dict[int, table.Owner] = {}
        self._freed: dict[int, FreedShard] = {}

    def load(self, stored: table.ShardTable, won_at: float) -> float:
        """Sets the stored table with which a term starts.

        Args:
            stored: The table.
            won_at: Start of the term, in boot time.

        Returns:
            The latest expiry of the grants of earlier leaders.
        """
        self.table = stored
        return self.holds.load(stored.shards, won_at)

    def install(self, stored: table.ShardTable) -> None:
        """Replaces the table by one that the store holds."""
        self.holds.update_shards(stored.shards)
        self.table = stored

    def is_moving(self, first: int) -> bool:
        """Returns whether the shard that starts with a key is moving."""
        return first in self._destinations

    def is_settled(self, shard: table.Shard) -> bool:
        """Returns whether a shard is in the table as it is and isn't moving."""
        is_current = self.table.find(shard.first) == shard
        return is_current and not self.is_moving(shard.first)

    def moving_indexes(self) -> set[int]:
        """Returns the indexes of the shards that are moving."""
        return {
            index
            for index, shard in enumerate(self.table.shards)
            if self.is_moving(shard.first)
        }

    def settled_shards(self) -> list[table.Shard]:
        """Returns the shards that aren't moving."""
        return [
            shard
            for shard in self.table.shards
            if not self.is_moving(shard.first)
        ]

    def planned_shards(self) -> list[table.Shard]:
        """Returns the shards as they are once all moves have ended."""
        return [
            dataclasses.replace(
                shard, owner=self._destinations.get(shard.first, shard.owner)
            )
            for shard in self.table.shards
        ]

    def begin_move(self, first: int, to: table.Owner) -> None:
        """Records that a shard is to be freed for another owner."""
        self._destinations[first] = to

    def add_freed(self, first: int, freed_shard: FreedShard) -> None:
        """Queues a moving shard for the write of its next owner."""
        self._freed[first] = freed_shard

    def oldest_freed_at(self) -> float | None:
        """Returns since when a shard is queued; None if none is."""
        return min(
            (freed_shard.freed_at for freed_shard in self._freed.values()),
            default=None,
        )

    def expects_freed(self) -> bool:
        """Returns whether shards are moving that aren't queued."""
        return len(self._destinations) > len(self._freed)

    def take_freed(self) -> dict[int, FreedShard]:
        """Empties the queue; returns its shards by first key."""
        freed, self._freed = self._freed, {}
        return freed

    def put_back(self, freed: collections.abc.Mapping[int, FreedShard]) -> None:
        """Queues shards again whose next owners couldn't be written."""
        for first, freed_shard in freed.items():
            self._freed.setdefault(first, freed_shard)

    def end_move(self, first: int, freed_shard: FreedShard) -> None:
        """Records that the next owner of a shard is in the table."""
        if not freed_shard.is_pinned:
            self.holds.clear(first)
        self._destinations.pop(first, None)
