"""Gives every key a single owner; runs on the leader, once per service.

Carries out the moves that `balancer` chooses. The old owner of a shard is asked
to release it, or its grant is waited out (`releaser`), the new owner is written
to the shard table (`table_writer`) and is sent a grant (`granter`).
"""

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import balancer
from jujubeyard.ownership import cluster
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
        self._balancer = balancer.Balancer(
            self._term, self._assigned, cluster_state, self._writer
        )

    @property
    def shard_table(self) -> table.ShardTable | None:
        """The table of the term; None before it is loaded."""
        return self._assigned.table

    @property
    def unconfirmed_owners(self) -> frozenset[table.Owner]:
        """Who got shards by writes that may have taken effect, unlike here."""
        return self._writer.unconfirmed_owners

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
        if self._term.leadership.may_move():
            self._move(now)
        self._granter.renew(now)

    def _move(self, now: float) -> None:
        """Starts the moves and the table writes that are due."""
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
        for move in self._balancer.choose_moves(candidates, now):
            shard = self._assigned.table.shards[move.index]
            self._assigned.begin_move(shard.first, move.to)
            self._term.start_task(self._releaser.free(shard, move, now))
