"""Grants shards to their owners and renews the grants."""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import holds
from jujubeyard.ownership import liveness_check
from jujubeyard.ownership import owner_watch
from jujubeyard.ownership import planner
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests

GRANT_WAIT_SECONDS = 0.1
"""Time limit for new grants to be answered before the table is published.

It lets new owners accept their grants before calls are routed to them.
"""

RENEW_TOGETHER_SECONDS = 0.2
"""How much earlier than due a renewal is sent beside others of its owner."""


class Granter:
    """Grants the shards of one service during one term."""

    def __init__(
        self,
        term: service_term.ServiceTerm,
        assigned: assignments.Assignments,
        watch: owner_watch.OwnerWatch,
        cluster_state: cluster.ClusterState,
        meter: grant_log.Meter,
    ):
        """Initializes a granter that has sent nothing.

        Args:
            term: The term.
            assigned: The shards and their holds.
            watch: Knows which owners reply.
            cluster_state: Knows which owners want no requests for now.
            meter: Metrics of grants.
        """
        self._term = term
        self._assigned = assigned
        self._watch = watch
        self._cluster_state = cluster_state
        self._grant_log = grant_log.GrantLog(
            term.service, term.number, term.client, meter
        )
        self._liveness_check = liveness_check.LivenessCheck(
            watch.check, term.start_task
        )
        self._renewal_failed_before = False

    def flush_log(self, now: float) -> None:
        """Logs the grants that have ended, if a line is due."""
        self._grant_log.flush(now)

    def close_log(self, now: float) -> None:
        """Logs all grants at the end of the term."""
        self._grant_log.close(now)

    async def grant_freed(self, freed: collections.abc.Iterable[int]) -> None:
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

    def renew(self, now: float) -> None:
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
