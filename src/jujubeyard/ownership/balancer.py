"""Chooses which shards move next, and splits hot ones."""

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import demand
from jujubeyard.ownership import planner
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table_writer

BALANCE_SECONDS = 0.4
NON_URGENT_INTERVAL_SECONDS = 1.2
"""Minimum time between two rounds of moves that aren't urgent."""

JOIN_SHARE = 0.5
"""Number of shards that a target without shards gets, as a share of the mean
number of shards per target."""

UNKNOWN_LOAD_JOIN_SHARE = 0.9
"""Replaces `JOIN_SHARE` while the loads aren't known.

Loads can't be balanced then, so the target gets nearly a full share at once.
"""


class Balancer:
    """Chooses the moves of one service during one term."""

    def __init__(
        self,
        term: service_term.ServiceTerm,
        assigned: assignments.Assignments,
        cluster_state: cluster.ClusterState,
        writer: table_writer.TableWriter,
    ):
        """Initializes a balancer.

        Args:
            term: The term.
            assigned: The shards and their moves.
            cluster_state: Targets and their load.
            writer: Writes the table with split shards.
        """
        self._term = term
        self._assigned = assigned
        self._cluster_state = cluster_state
        self._writer = writer
        self._next_balance_at = 0.0
        self._next_non_urgent_at = 0.0

    def choose_moves(
        self, candidates: list[planner.Candidate], now: float
    ) -> list[planner.Move]:
        """Returns the moves to begin now; may start to split shards instead.

        Args:
            candidates: Targets that may own keys.
            now: Boot time.
        """
        shards = self._assigned.table.shards
        rates = self._cluster_state.shard_rates(self._assigned.table)
        moving_indexes = self._assigned.moving_indexes()
        moves = planner.reassign_orphaned_shards(
            shards, rates, candidates, moving_indexes
        )
        if moves or now < self._next_balance_at or self._writer.is_writing:
            return moves
        self._next_balance_at = now + BALANCE_SECONDS
        return self._balance(shards, rates, candidates, moving_indexes)

    def _balance(
        self, shards, rates, candidates, moving_indexes
    ) -> list[planner.Move]:
        loads_known = self._cluster_state.may_balance(self._term.service)
        planned = self._assigned.planned_shards()
        share = JOIN_SHARE if loads_known else UNKNOWN_LOAD_JOIN_SHARE
        moves = planner.fill_empty_targets(
            planned, rates, candidates, share, moving_indexes
        )
        if moves:
            return moves
        if not loads_known:
            return []
        bucket_keys = demand.BUCKET_KEYS
        hot_indexes = planner.find_hot_shards(
            shards, rates, candidates, moving_indexes, bucket_keys
        )
        if hot_indexes and self._writer.may_write():
            self._split_shards(hot_indexes)
            return []
        if len(moving_indexes) >= planner.max_moving_shards(len(shards)):
            return []
        return self._pace(
            planner.rebalance(planned, rates, candidates, moving_indexes)
        )

    def _pace(self, moves: list[planner.Move]) -> list[planner.Move]:
        """Returns the moves, or none while it is too early for them."""
        now = clock.boottime()
        if (
            not any(move.is_urgent for move in moves)
            and now < self._next_non_urgent_at
        ):
            return []
        self._next_non_urgent_at = now + NON_URGENT_INTERVAL_SECONDS
        return moves

    def _split_shards(self, indexes: list[int]) -> None:
        calls = self._cluster_state.bucket_calls(self._term.service)
        shards, parts = self._assigned.table.shards, []
        for index, shard in enumerate(shards):
            if index in indexes:
                parts += planner.split_shard(shard, calls, demand.BUCKET_KEYS)
            else:
                parts.append(shard)
        self._term.log_event(
            "shards split",
            firsts=[shards[index].first for index in indexes],
            shards=len(parts),
        )
        self._writer.start_write(tuple(parts), {})
