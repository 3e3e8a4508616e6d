"""Gives every key a single owner; runs on the leader, once per service.

Carries out the moves that `planner` chooses. The old owner of a shard is asked
to release it, or its grant is waited out (`releaser`), the new owner is written
to the shard table and is sent a grant.
"""

import asyncio
import collections.abc
import dataclasses

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import demand
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import holds
from jujubeyard.ownership import leader
from jujubeyard.ownership import liveness_check
from jujubeyard.ownership import owner_watch
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import planner
from jujubeyard.ownership import releaser
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
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

BATCH_SECONDS = 0.05
"""How long a freed shard waits so that others share its write of the table."""

WRITE_RETRY_SECONDS = 0.3
"""Pause after a failed write of the table."""

GRANT_WAIT_SECONDS = 0.1
"""Time limit for new grants to be answered before the table is published.

It lets new owners accept their grants before calls are routed to them.
"""

RENEW_TOGETHER_SECONDS = 0.2
"""How much earlier than due a renewal is sent beside others of its owner."""


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
        self._grant_log = grant_log.GrantLog(
            service, self._term.number, client, meter
        )
        self._liveness_check = liveness_check.LivenessCheck(
            self._watch.check, self._term.start_task
        )
        self._renewal_failed_before = False
        self._is_writing = False
        self._next_write_at = 0.0
        self._next_balance_at = 0.0
        self._next_non_urgent_at = 0.0

    @property
    def shard_table(self) -> table.ShardTable | None:
        """The table of the term; None before it is loaded."""
        return self._assigned.table

    def stop(self) -> None:
        """Stops at the end of the term; sends no further requests."""
        self._grant_log.close(clock.boottime())
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
        self._grant_log.flush(now)
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
        self._write_freed(candidates)
        self._renew(now)

    def _create_table(
        self, candidates: list[planner.Candidate], now: float
    ) -> None:
        is_settled = (
            now - self._cluster_state.joined_at(self.service) > SETTLE_SECONDS
        )
        if not candidates or not is_settled or not self._may_write():
            return
        fence = self._term.leadership.allocate_fence()
        self._start_write(planner.make_initial_shards(candidates, fence), {})

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
        if moves or now < self._next_balance_at or self._is_writing:
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
        if hot_indexes and self._may_write():
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
        self._start_write(tuple(parts), {})

    def _may_write(self) -> bool:
        """Returns whether a write may start now."""
        return not self._is_writing and clock.boottime() >= self._next_write_at

    def _write_freed(self, candidates: list[planner.Candidate]) -> None:
        """Starts to write the new owners of the freed shards to the table.

        Args:
            candidates: Targets that may own keys.
        """
        oldest = self._assigned.oldest_freed_at()
        if oldest is None or not candidates or not self._may_write():
            return
        is_new = clock.boottime() - oldest < BATCH_SECONDS
        if is_new and self._assigned.expects_freed():
            return
        freed = self._assigned.take_freed()
        self._start_write(self._assign_owners(freed, candidates), freed)

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

    def _start_write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, assignments.FreedShard],
    ) -> None:
        """Starts to replace the shards of the table.

        Args:
            shards: The new shards.
            freed: Freed shards that have new owners, by first key.
        """
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
        await self._grant_freed(freed)
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

    async def _grant_freed(self, freed: collections.abc.Iterable[int]) -> None:
        """Sends the grants of reassigned shards and waits for the replies.

        Args:
            freed: First keys of the shards.
        """
        grant_tasks = []
        for first in freed:
            shard = self._assigned.table.find(first)
            hold = self._assigned.holds.get(first)
            if not hold.is_sending:
                grant_tasks.append(self._start_grant(shard, hold))
        if grant_tasks:
            await asyncio.wait(grant_tasks, timeout=GRANT_WAIT_SECONDS)

    def _renew(self, now: float) -> None:
        """Starts the renewals that are due, and others of their owners."""
        renewal_failed = self._term.leadership.renewal_failed
        if renewal_failed and not self._renewal_failed_before:
            self._assigned.holds.make_all_renewals_due()
        self._renewal_failed_before = renewal_failed
        soon_due = [
            (shard, hold)
            for shard in self._assigned.table.shards
            if (hold := self._assigned.holds.get(shard.first)).renew_at
            <= now + RENEW_TOGETHER_SECONDS
            and self._may_renew(shard, hold, now)
        ]
        due_owners = {
            shard.owner for shard, hold in soon_due if hold.renew_at <= now
        }
        for shard, hold in soon_due:
            if shard.owner in due_owners:
                self._start_grant(shard, hold)

    def _may_renew(
        self, shard: table.Shard, hold: holds.Hold, now: float
    ) -> bool:
        """Returns whether a renewal could be sent now, due or not."""
        if hold.is_sending or self._assigned.is_moving(shard.first):
            return False
        if not self._watch.liveness.is_available(shard.owner):
            return False
        renewal_failed = self._term.leadership.renewal_failed
        return renewal_failed or not self._may_wait(shard, now)

    def _may_wait(self, shard: table.Shard, now: float) -> bool:
        """Returns whether a renewal may wait until its owner's pause ends."""
        pause_seconds = self._cluster_state.pause_seconds(shard.owner)
        return self._assigned.holds.may_wait(shard.first, now, pause_seconds)

    def _start_grant(
        self, shard: table.Shard, hold: holds.Hold
    ) -> asyncio.Task:
        hold.renew_at = clock.boottime() + holds.RETRY_SECONDS
        hold.grant_task = self._term.start_task(self._grant(shard))
        return hold.grant_task

    async def _grant(self, shard: table.Shard) -> None:
        """Sends the owner of a shard a grant, which may renew an earlier one.

        Each grant has a fence of its own, for another incarnation of the owner
        may take it: it serves the same name at the same address.
        """
        if not self._may_grant(shard):
            return
        is_running = await self._liveness_check.confirm(shard.owner)
        if not is_running or not self._may_grant(shard):
            return
        leadership, now = self._term.leadership, clock.boottime()
        seconds = self._assigned.holds.start_grant(
            shard.first, now, leadership.renewal_failed
        )
        request = target_requests.GrantRequest(
            shard.owner,
            shard.first,
            shard.last,
            leadership.allocate_fence(),
            seconds,
            shard.handover,
            min(now + holds.GRANT_TIMEOUT_SECONDS, leadership.valid_until),
        )
        result = await self._send_grant(request, now)
        if self._term.is_stopped:
            return
        if result.outcome is target_requests.Outcome.DONE:
            self._liveness_check.record_answered(shard.owner, now)
        self._handle_grant_result(shard, request, result)

    def _may_grant(self, shard: table.Shard) -> bool:
        """Returns whether this node may send the owner of a shard a grant."""
        return (
            self._term.is_leading()
            and self._assigned.is_settled(shard)
            and not self._watch.liveness.has_ended(shard.owner)
        )

    async def _send_grant(
        self, request: target_requests.GrantRequest, now: float
    ) -> target_requests.Result:
        self._grant_log.start(request, now)
        outcome, is_answered = grant_log.FAILED, False
        try:
            result = await self._term.client.grant(
                request, holds.GRANT_TIMEOUT_SECONDS
            )
            outcome = result.outcome.value
            is_answered = result.reply is not None
        finally:
            self._grant_log.end(
                request.fence, outcome, clock.boottime(), is_answered
            )
        return result

    def _handle_grant_result(
        self,
        shard: table.Shard,
        request: target_requests.GrantRequest,
        result: target_requests.Result,
    ) -> None:
        self._watch.record_load(shard.owner, result)
        if result.outcome is target_requests.Outcome.DONE:
            self._watch.record_reply(shard.owner, "grant", result)
            self._record_taken(shard, request)
            return
        self._term.log_event(
            "grant failed",
            first=shard.first,
            owner=shard.owner.target_id,
            fence=request.fence,
            outcome=result.outcome.value,
            detail=result.detail,
        )
        if result.outcome is target_requests.Outcome.GONE:
            self._watch.record_end(shard.owner, "grant", result)
        elif result.outcome is target_requests.Outcome.FENCED:
            self._start_refence(shard)
        else:
            self._watch.record_failure(shard.owner, clock.boottime())

    def _record_taken(
        self, shard: table.Shard, request: target_requests.GrantRequest
    ) -> None:
        """Logs the first grant that an owner takes since it got a shard."""
        hold = self._assigned.holds.get(shard.first)
        if hold.taken_since == shard.fence:
            return
        hold.taken_since = shard.fence
        self._term.log_event(
            "shard taken",
            first=shard.first,
            owner=shard.owner.target_id,
            born=shard.owner.born,
            fence=request.fence,
            seconds=request.hold_seconds,
        )

    def _start_refence(self, shard: table.Shard) -> None:
        """Assigns a shard to its owner again, with a higher fence."""
        if not self._assigned.is_settled(shard):
            return
        self._assigned.begin_move(shard.first, shard.owner)
        move = planner.Move(0, shard.owner, "owner has seen a higher fence")
        self._assigned.add_freed(
            shard.first,
            assignments.FreedShard(move, "", clock.boottime(), is_pinned=True),
        )
