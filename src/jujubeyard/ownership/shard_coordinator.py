"""Gives every key a single owner; runs on the leader, once per service.

Carries out the moves that `planner` chooses. The old owner of a shard is asked
to release it, or its grant is waited out (`releaser`), the new owner is written
to the shard table (`table_writer`) and is sent a grant (`granter`).
"""

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import demand
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import granter
from jujubeyard.ownership import leader
from jujubeyard.ownership import owner_watch
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import planner
from jujubeyard.ownership import releaser
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.ownership import table_writer
from jujubeyard.store import revisions

SETTLE_SECONDS = 2.0
"""Time without a newly joined target before the first table is created."""

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


class ShardCoordinator:
    """Assigns the shards of one service during one term of leadership.

    Attributes:
        service: Name of the service.
    """

    def __init__(
        self,
        service: str,
        leadership: leader.Leadership,
        cluster_state: cluster.ClusterState,
        client: ownership_client.OwnershipClient,
        max_hold_seconds: float,
        meter: grant_log.Meter,
    ):
        """Initializes a coordinator without a table; see `load`.

        Args:
            service: Name of the service.
            leadership: The term in which this coordinator runs.
            cluster_state: Targets and their load.
            client: Access to targets and to stored tables.
            max_hold_seconds: Longest grant that targets accept.
            meter: Metrics of grants and holds.
        """
        self.service = service
        self._cluster_state = cluster_state
        self._term = service_term.ServiceTerm(service, leadership, client)
        self._assigned = assignments.Assignments(max_hold_seconds)
        self._watch = owner_watch.OwnerWatch(
            self._term, self._assigned, cluster_state
        )
        self._releaser = releaser.Releaser(
            self._term, self._assigned, self._watch, cluster_state, meter
        )
        self._granter = granter.Granter(
            self._term, self._assigned, self._watch, cluster_state, meter
        )
        self._writer = table_writer.TableWriter(
            self._term, self._assigned, self._granter
        )
        self._next_balance_at = 0.0
        self._next_non_urgent_at = 0.0

    @property
    def shard_table(self) -> table.ShardTable | None:
        """The table of the term; None before it is loaded."""
        return self._assigned.table

    def stop(self) -> None:
        """Stops at the end of the term; sends no further requests."""
        self._granter.close_log(clock.boottime())
        self._term.stop()

    def load(self, stored: table.ShardTable) -> None:
        """Sets the stored table with which the term starts.

        `tick` does nothing before this call.
        """
        won_at = self._term.leadership.won_at
        until = self._assigned.load(stored, won_at)
        self._term.log_event(
            "term begins for service",
            term=revisions.describe(self._term.number),
            won_at=service_term.round_time(won_at),
            loaded_at=service_term.round_time(clock.boottime()),
            earlier_holds_until=service_term.round_time(until),
            revision=revisions.describe(stored.revision),
            shards=len(stored.shards),
        )

    def tick(self, now: float) -> None:
        """Starts the moves, table writes and renewals that are due.

        Args:
            now: Boot time, in seconds.
        """
        self._granter.flush_log(now)
        if self._assigned.table is None or not self._term.is_leading():
            return
        self._watch.check_lost_owners(now)
        candidates = [
            candidate
            for candidate in self._cluster_state.candidates(self.service)
            if self._watch.liveness.may_own(candidate.owner, now)
        ]
        if not self._assigned.table.shards:
            self._create_table(candidates, now)
            return
        self._start_moves(candidates, now)
        self._writer.write_freed(candidates)
        self._granter.renew(now)

    def _create_table(
        self, candidates: list[planner.Candidate], now: float
    ) -> None:
        is_settled = (
            now - self._cluster_state.joined_at(self.service) > SETTLE_SECONDS
        )
        if not candidates or not is_settled or not self._writer.may_write():
            return
        fence = self._term.leadership.allocate_fence()
        self._writer.start_write(
            planner.make_initial_shards(candidates, fence), {}
        )

    def _start_moves(
        self, candidates: list[planner.Candidate], now: float
    ) -> None:
        for move in self._choose_moves(candidates, now):
            shard = self._assigned.table.shards[move.index]
            self._assigned.begin_move(shard.first, move.to)
            self._term.start_task(self._releaser.free(shard, move, now))

    def _choose_moves(
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
