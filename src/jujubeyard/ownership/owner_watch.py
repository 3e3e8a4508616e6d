"""Watches whether the owners of keys reply, and whether they have ended."""

import asyncio

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import holds
from jujubeyard.ownership import liveness
from jujubeyard.ownership import liveness_check
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import revisions

PROBE_SECONDS = 0.4
"""Pause between requests to an owner that doesn't reply."""


class OwnerWatch:
    """Checks and probes the owners of the keys of one service.

    Attributes:
        liveness: What the replies of the owners say of them.
    """

    def __init__(
        self,
        term: service_term.ServiceTerm,
        assigned: assignments.Assignments,
        cluster_state: cluster.ClusterState,
    ):
        """Initializes a watch to which all owners are available.

        Args:
            term: The term.
            assigned: The shards and their owners.
            cluster_state: Targets and their load.
        """
        self.liveness = liveness.OwnerLiveness()
        self._term = term
        self._assigned = assigned
        self._cluster_state = cluster_state

    def check_lost_owners(self, now: float) -> None:
        """Checks the owners that have closed all connections for grants.

        Their processes may have ended, and others may serve their names by now.
        A health check says whether these are cold; no grant is sent before it.
        """
        lost_addresses = self._term.client.lost_addresses
        if not lost_addresses:
            return
        for owner in {shard.owner for shard in self._assigned.table.shards}:
            if owner.address not in lost_addresses:
                continue
            lost_addresses.discard(owner.address)
            self._term.log_event(
                "owner closed its connections",
                owner=owner.target_id,
                born=owner.born,
            )
            self.record_failure(owner, now)

    async def check(self, owner: table.Owner) -> bool:
        """Returns whether an owner's process replies to a request.

        That is a health check while no other target has keys. It may wait for
        room at a busy owner, so that it is left out while there is no target
        that the keys could move to.
        """
        request = liveness_check.make_check(
            owner, self._assigned.settled_shards()
        )
        if request is None and not self._has_other_candidate(owner):
            return True
        client = self._term.client
        if request is None:
            result = await client.probe(self._term.service, owner)
        else:
            result = await client.check(request, holds.GRANT_TIMEOUT_SECONDS)
        return self._handle_check_result(owner, result)

    def _has_other_candidate(self, owner: table.Owner) -> bool:
        candidates = self._cluster_state.candidates(self._term.service)
        return any(candidate.owner != owner for candidate in candidates)

    def _handle_check_result(
        self, owner: table.Owner, result: target_requests.Result
    ) -> bool:
        """Records the result of a check; returns whether the owner replied."""
        self.record_load(owner, result)
        if liveness_check.is_from_owner(result):
            self.record_reply(owner, "check", result)
            return True
        self._term.log_event(
            "owner check failed",
            owner=owner.target_id,
            born=owner.born,
            outcome=result.outcome.value,
            detail=result.detail,
        )
        if result.outcome is target_requests.Outcome.GONE:
            self.record_end(owner, "check", result)
        else:
            self.record_failure(owner, clock.boottime())
        return False

    def record_failure(self, owner: table.Owner, now: float) -> None:
        """Sends an owner no grants until it answers a health check."""
        if self.liveness.record_failure(owner, now):
            self._term.start_task(self._probe(owner))

    async def _probe(self, owner: table.Owner) -> None:
        while (
            self.liveness.is_unresponsive(owner) and not self._term.is_stopped
        ):
            await asyncio.sleep(PROBE_SECONDS)
            result = await self._term.client.probe(self._term.service, owner)
            self.record_load(owner, result)
            if result.outcome is target_requests.Outcome.DONE:
                self.record_reply(owner, "health check", result)
            elif result.outcome is target_requests.Outcome.GONE:
                self.record_end(owner, "health check", result)
                return

    def record_load(
        self, owner: table.Owner, result: target_requests.Result
    ) -> None:
        """Updates the load of a target from its reply, if there is one."""
        if result.reply is not None:
            self._cluster_state.observe_reply(owner, result.reply)

    def record_reply(
        self, owner: table.Owner, source: str, result: target_requests.Result
    ) -> None:
        """Records that an owner replied, to a request of some kind."""
        cold_seconds = result.reply.cold_seconds if result.reply else 0.0
        if self.liveness.is_unresponsive(owner):
            self._term.log_event(
                "owner replies again",
                owner=owner.target_id,
                born=owner.born,
                source=source,
                cold_seconds=cold_seconds,
            )
        self.liveness.record_reply(owner)

    def record_end(
        self, owner: table.Owner, source: str, result: target_requests.Result
    ) -> None:
        """Records that another process replied at an owner's address."""
        if not self.liveness.has_ended(owner):
            self._term.log_event(
                "another target replied",
                term=revisions.describe(self._term.number),
                owner=owner.target_id,
                born=owner.born,
                address=owner.address,
                source=source,
                detail=result.detail,
                replied_at=service_term.round_time(clock.boottime()),
            )
        self.liveness.record_end(owner)
