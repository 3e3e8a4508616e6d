"""Frees shards: waits until no target holds them."""

import asyncio
import dataclasses

from jujubeyard import clock
from jujubeyard.ownership import assignments
from jujubeyard.ownership import cluster
from jujubeyard.ownership import evidence
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import holds
from jujubeyard.ownership import owner_watch
from jujubeyard.ownership import planner
from jujubeyard.ownership import service_term
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import revisions

MIN_RELEASE_SECONDS = 0.3


@dataclasses.dataclass(slots=True)
class ReleaseRecord:
    """The release of a shard, for the log. Times are boot time.

    Attributes:
        fence: Fence of the release; 0 until one is allocated.
        attempts: Number of requests that were sent.
        sent_at: When the latest request was sent; None if none was.
        answered_at: When its reply came; None without a reply.
    """

    fence: int = 0
    attempts: int = 0
    sent_at: float | None = None
    answered_at: float | None = None

    def to_fields(self) -> dict[str, int | float | None]:
        """Returns the fields of the log line of the shard's release."""
        return {
            "release_fence": self.fence,
            "release_attempts": self.attempts,
            "release_sent_at": service_term.round_time(self.sent_at),
            "release_answered_at": service_term.round_time(self.answered_at),
        }


class Releaser:
    """Frees the shards of one service during one term."""

    def __init__(
        self,
        term: service_term.ServiceTerm,
        assigned: assignments.Assignments,
        watch: owner_watch.OwnerWatch,
        cluster_state: cluster.ClusterState,
        meter: grant_log.Meter,
    ):
        """Initializes a releaser.

        Args:
            term: The term.
            assigned: The shards and their holds; freed shards are queued there.
            watch: Knows which owners have ended.
            cluster_state: Knows which addresses others have by now.
            meter: Metrics of the ends of holds.
        """
        self._term = term
        self._assigned = assigned
        self._watch = watch
        self._cluster_state = cluster_state
        self._meter = meter

    async def free(
        self, shard: table.Shard, move: planner.Move, now: float
    ) -> None:
        """Waits until no target holds a shard, then queues it for its move.

        Args:
            shard: The shard.
            move: The move that assigns its next owner.
            now: When the move began, in boot time.
        """
        hold = self._assigned.holds.get(shard.first)
        record = ReleaseRecord()
        proof, handover = await self._release(shard, hold, record)
        freed_at = clock.boottime()
        self._term.log_event(
            "shard freed",
            term=revisions.describe(self._term.number),
            first=shard.first,
            last=shard.last,
            owner=shard.owner.target_id,
            born=shard.owner.born,
            address=shard.owner.address,
            fence=shard.fence,
            to=move.to.target_id,
            to_born=move.to.born,
            reason=move.reason,
            evidence=proof.value,
            freed_at=service_term.round_time(freed_at),
            hold_until=service_term.round_time(hold.until),
            hold_left=round(hold.until - freed_at, 3),
            handover=bool(handover),
            waited=round(freed_at - now, 3),
            **record.to_fields(),
        )
        self._meter.count_hold_end(self._term.service, proof)
        self._assigned.add_freed(
            shard.first,
            assignments.FreedShard(move, handover, clock.boottime()),
        )

    async def _release(
        self, shard: table.Shard, hold: holds.Hold, record: ReleaseRecord
    ) -> tuple[evidence.Evidence, str]:
        """Waits until no target holds a shard.

        Retries the release until a reply proves that, or all grants have
        expired.

        Args:
            shard: The shard.
            hold: Its hold.
            record: Is filled for the log.

        Returns:
            The proof, and the owner's handover; that is empty if the owner
            didn't confirm the release.
        """
        await hold.wait_for_grant()
        fence = self._term.leadership.allocate_fence()
        request = target_requests.ReleaseRequest(
            shard.owner, shard.first, shard.last, fence
        )
        record.fence = fence
        while True:
            if self._watch.liveness.has_ended(shard.owner):
                return evidence.Evidence.OTHER_TARGET, ""
            remaining = hold.until - clock.boottime()
            if remaining <= 0.0:
                return evidence.Evidence.EXPIRED, ""
            if not self._term.is_leading():
                await asyncio.sleep(owner_watch.PROBE_SECONDS)
                continue
            seconds = max(remaining, MIN_RELEASE_SECONDS)
            result = await self._send_release(request, seconds, record)
            proof = evidence.judge_release(result)
            if proof is evidence.Evidence.RELEASED:
                return proof, result.reply.handover
            if proof is evidence.Evidence.OTHER_TARGET:
                self._watch.record_end(shard.owner, "release", result)
                continue
            remaining = hold.until - clock.boottime()
            await asyncio.sleep(
                min(owner_watch.PROBE_SECONDS, max(remaining, 0.01))
            )

    async def _send_release(
        self,
        request: target_requests.ReleaseRequest,
        seconds: float,
        record: ReleaseRecord,
    ) -> target_requests.Result:
        record.attempts += 1
        record.sent_at, record.answered_at = clock.boottime(), None
        is_replaced = self._cluster_state.is_replaced(
            self._term.service, request.target
        )
        result = await self._term.client.release(request, seconds, is_replaced)
        if result.reply is not None:
            record.answered_at = clock.boottime()
        return result
