"""Gives every key a single owner; runs on the leader, once per service.

Carries out the moves that `planner` chooses. The coordinator asks the old owner
to release a shard, or waits until the old owner's grant has expired, writes the
new owner to the shard table and sends it a grant.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from jujubeyard import clock
from jujubeyard.ownership import demand
from jujubeyard.ownership import evidence
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import holds
from jujubeyard.ownership import leader
from jujubeyard.ownership import liveness
from jujubeyard.ownership import liveness_check
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import revisions

SETTLE_SECONDS = 2.0
"""Time without a newly joined target before the first table is created."""

PROBE_SECONDS = 0.4
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

GRANT_WAIT_SECONDS = 0.1
"""Time limit for new grants to be answered before the table is published.

It lets new owners accept their grants before calls are routed to them.
"""

RENEW_TOGETHER_SECONDS = 0.2
"""How much earlier than due a renewal is sent beside others of its owner."""

MIN_RELEASE_SECONDS = 0.3
WRITE_RETRY_SECONDS = 0.3
"""Pause after a failed write of the table."""


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
            "release_sent_at": _round_time(self.sent_at),
            "release_answered_at": _round_time(self.answered_at),
        }


class ClusterState(typing.Protocol):
    """The node's knowledge of targets and their load."""

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""

    def is_replaced(self, service: str, owner: table.Owner) -> bool:
        """Returns whether an owner's address has become that of another."""

    def joined_at(self, service: str) -> float:
        """Returns when the most recent target joined, in boot time."""

    def shard_rates(self, shard_table: table.ShardTable) -> list[float]:
        """Returns the calls per second of each shard."""

    def bucket_calls(self, service: str) -> list[float]:
        """Returns the number of calls of each bucket, weighted by age."""

    def observe_reply(
        self, owner: table.Owner, reply: target_requests.Reply
    ) -> None:
        """Updates the load of a target from its reply to a request."""

    def pause_seconds(self, owner: table.Owner) -> float:
        """Returns how long an owner still wants no requests, in seconds."""

    def may_balance(self, service: str) -> bool:
        """Returns whether enough calls were measured to balance loads."""


class ShardCoordinator:
    """Assigns the shards of one service during one term of leadership.

    Attributes:
        service: Name of the service.
    """

    def __init__(
        self,
        service: str,
        leadership: leader.Leadership,
        cluster_state: ClusterState,
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
        self._leadership = leadership
        self._cluster_state = cluster_state
        self._client = client
        self._term = leadership.term
        self._meter = meter
        self._grant_log = grant_log.GrantLog(service, self._term, client, meter)
        self._table: table.ShardTable | None = None
        self._holds = holds.HoldTracker(max_hold_seconds)
        self._liveness = liveness.OwnerLiveness()
        self._liveness_check = liveness_check.LivenessCheck(
            self._check_owner, self._start_task
        )
        self._destinations: dict[int, table.Owner] = {}
        self._freed: dict[int, FreedShard] = {}
        self._renewal_failed_before = False
        self._is_writing = False
        self._unconfirmed_owners: set[table.Owner] = set()
        self._next_write_at = 0.0
        self._next_balance_at = 0.0
        self._next_non_urgent_at = 0.0
        self._is_stopped = False
        self._tasks: set[asyncio.Task] = set()

    @property
    def shard_table(self) -> table.ShardTable | None:
        """The table of the term; None before it is loaded."""
        return self._table

    @property
    def unconfirmed_owners(self) -> frozenset[table.Owner]:
        """Who got shards by writes that may have taken effect, unlike here."""
        return frozenset(self._unconfirmed_owners)

    def stop(self) -> None:
        """Stops at the end of the term; sends no further requests."""
        self._is_stopped = True
        self._grant_log.close(clock.boottime())
        for task in self._tasks:
            task.cancel()

    def load(self, stored: table.ShardTable) -> None:
        """Sets the stored table with which the term starts.

        `tick` does nothing before this call.
        """
        self._table = stored
        won_at = self._leadership.won_at
        until = self._holds.load(stored.shards, won_at)
        self._client.log_event(
            "term begins for service",
            service=self.service,
            term=revisions.describe(self._term),
            won_at=_round_time(won_at),
            loaded_at=_round_time(clock.boottime()),
            earlier_holds_until=_round_time(until),
            revision=revisions.describe(stored.revision),
            shards=len(stored.shards),
        )

    def tick(self, now: float) -> None:
        """Starts the moves, table writes and renewals that are due.

        Args:
            now: Boot time, in seconds.
        """
        self._grant_log.flush(now)
        if self._table is None or not self._is_leading():
            return
        if self._client.lost_addresses:
            self._check_lost_owners(now)
        if self._leadership.may_move():
            self._move(now)
        self._renew(now)

    def _move(self, now: float) -> None:
        """Starts the moves and the table writes that are due."""
        candidates = [
            candidate
            for candidate in self._cluster_state.candidates(self.service)
            if self._liveness.may_own(candidate.owner, now)
        ]
        if not self._table.shards:
            self._create_table(candidates, now)
            return
        self._start_moves(candidates, now)
        self._write_freed(candidates)

    def _is_leading(self) -> bool:
        """Returns whether the term in which this coordinator runs lasts."""
        leadership = self._leadership
        return leadership.term == self._term and leadership.is_leader()

    def _check_lost_owners(self, now: float) -> None:
        """Checks the owners that have closed all connections for grants.

        Their processes may have ended, and others may serve their names by now.
        A health check says whether these are cold; no grant is sent before it.
        """
        for owner in {shard.owner for shard in self._table.shards}:
            if owner.address not in self._client.lost_addresses:
                continue
            self._client.lost_addresses.discard(owner.address)
            self._client.log_event(
                "owner closed its connections",
                service=self.service,
                owner=owner.target_id,
                born=owner.born,
            )
            self._note_failure(owner, now)

    def _note_failure(self, owner: table.Owner, now: float) -> None:
        """Sends an owner no grants until it answers a health check."""
        if self._liveness.record_failure(owner, now):
            self._start_task(self._probe(owner))

    def _create_table(self, candidates, now: float) -> None:
        is_settled = (
            now - self._cluster_state.joined_at(self.service) > SETTLE_SECONDS
        )
        if not candidates or not is_settled or not self._may_write():
            return
        fence = self._leadership.allocate_fence()
        self._start_write(planner.make_initial_shards(candidates, fence), {})

    def _start_moves(self, candidates, now: float) -> None:
        shards = self._table.shards
        rates = self._cluster_state.shard_rates(self._table)
        moving_indexes = {
            index
            for index, shard in enumerate(shards)
            if shard.first in self._destinations
        }
        moves = planner.reassign_orphaned_shards(
            shards, rates, candidates, moving_indexes
        )
        if not moves and now >= self._next_balance_at and not self._is_writing:
            self._next_balance_at = now + BALANCE_SECONDS
            moves = self._balance(shards, rates, candidates, moving_indexes)
        for move in moves:
            shard = shards[move.index]
            self._destinations[shard.first] = move.to
            self._start_task(self._free_shard(shard, move, now))

    def _balance(
        self, shards, rates, candidates, moving_indexes
    ) -> list[planner.Move]:
        loads_known = self._cluster_state.may_balance(self.service)
        planned = self._plan_ahead(shards)
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
        moves = planner.rebalance(planned, rates, candidates, moving_indexes)
        now = clock.boottime()
        if (
            not any(move.is_urgent for move in moves)
            and now < self._next_non_urgent_at
        ):
            return []
        self._next_non_urgent_at = now + NON_URGENT_INTERVAL_SECONDS
        return moves

    def _plan_ahead(self, shards) -> list[table.Shard]:
        """Returns the shards as they are once all moves have ended."""
        return [
            dataclasses.replace(
                shard, owner=self._destinations.get(shard.first, shard.owner)
            )
            for shard in shards
        ]

    def _split_shards(self, indexes: list[int]) -> None:
        calls = self._cluster_state.bucket_calls(self.service)
        parts = []
        for index, shard in enumerate(self._table.shards):
            if index in indexes:
                parts += planner.split_shard(shard, calls, demand.BUCKET_KEYS)
            else:
                parts.append(shard)
        self._client.log_event(
            "shards split",
            service=self.service,
            firsts=[self._table.shards[index].first for index in indexes],
            shards=len(parts),
        )
        self._start_write(tuple(parts), {})

    async def _free_shard(
        self, shard: table.Shard, move: planner.Move, now: float
    ) -> None:
        """Waits until no target holds a shard, then queues it for its move."""
        hold = self._holds.get(shard.first)
        record = ReleaseRecord()
        proof, handover = await self._release(shard, hold, record)
        freed_at = clock.boottime()
        self._client.log_event(
            "shard freed",
            service=self.service,
            term=revisions.describe(self._term),
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
            freed_at=_round_time(freed_at),
            hold_until=_round_time(hold.until),
            hold_left=round(hold.until - freed_at, 3),
            handover=bool(handover),
            waited=round(freed_at - now, 3),
            **record.to_fields(),
        )
        self._meter.count_hold_end(self.service, proof)
        self._freed[shard.first] = FreedShard(move, handover, clock.boottime())

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
        fence = self._leadership.allocate_fence()
        request = target_requests.ReleaseRequest(
            shard.owner, shard.first, shard.last, fence
        )
        record.fence = fence
        while True:
            if self._liveness.has_ended(shard.owner):
                return evidence.Evidence.OTHER_TARGET, ""
            remaining = hold.until - clock.boottime()
            if remaining <= 0.0:
                return evidence.Evidence.EXPIRED, ""
            if not self._is_leading():
                await asyncio.sleep(PROBE_SECONDS)
                continue
            seconds = max(remaining, MIN_RELEASE_SECONDS)
            result = await self._send_release(request, seconds, record)
            proof = evidence.judge_release(result)
            if proof is evidence.Evidence.RELEASED:
                return proof, result.reply.handover
            if proof is evidence.Evidence.OTHER_TARGET:
                self._record_end(shard.owner, "release", result)
                continue
            remaining = hold.until - clock.boottime()
            await asyncio.sleep(min(PROBE_SECONDS, max(remaining, 0.01)))

    async def _send_release(
        self,
        request: target_requests.ReleaseRequest,
        seconds: float,
        record: ReleaseRecord,
    ) -> target_requests.Result:
        record.attempts += 1
        record.sent_at, record.answered_at = clock.boottime(), None
        is_replaced = self._cluster_state.is_replaced(
            self.service, request.target
        )
        result = await self._client.release(request, seconds, is_replaced)
        if result.reply is not None:
            record.answered_at = clock.boottime()
        return result

    def _write_freed(self, candidates) -> None:
        """Starts to write the new owners of the freed shards to the table."""
        if not self._freed or not candidates or not self._may_write():
            return
        more_expected = len(self._destinations) > len(self._freed)
        oldest = min(
            freed_shard.freed_at for freed_shard in self._freed.values()
        )
        if more_expected and clock.boottime() - oldest < BATCH_SECONDS:
            return
        owners = {candidate.owner for candidate in candidates}
        shards = list(self._table.shards)
        freed, self._freed = self._freed, {}
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
                fence=self._leadership.allocate_fence(),
                handover=freed_shard.handover,
            )
        self._start_write(tuple(shards), freed)

    def _owner_with_fewest_shards(self, candidates) -> table.Owner:
        shard_counts = dict.fromkeys((c.owner for c in candidates), 0)
        for shard in self._table.shards:
            if shard.owner in shard_counts:
                shard_counts[shard.owner] += 1
        return min(shard_counts, key=shard_counts.__getitem__)

    def _may_write(self) -> bool:
        return not self._is_writing and clock.boottime() >= self._next_write_at

    def _start_write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, FreedShard],
    ) -> None:
        self._is_writing = True
        known = set(self._table.shards)
        self._unconfirmed_owners |= {
            shard.owner for shard in shards if shard not in known
        }
        self._start_task(self._write(shards, freed))

    async def _write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, FreedShard],
    ) -> None:
        try:
            result = await self._client.write_table(
                table.ShardTable(
                    self.service, shards, self._table.item_revision
                ),
                self._leadership.conditions(self._term),
                revisions.era_of(self._term),
            )
        finally:
            self._is_writing = False
        if result.is_written:
            self._unconfirmed_owners.clear()
        if result.stored is not None:
            self._install_table(result.stored)
        if not result.is_written:
            if result.stored is not None:
                self._client.publish(result.stored)
            self._next_write_at = clock.boottime() + WRITE_RETRY_SECONDS
            for first, freed_shard in freed.items():
                self._freed.setdefault(first, freed_shard)
            return
        for first, freed_shard in freed.items():
            self._log_replaced_owner(first, freed_shard.move)
            if not freed_shard.is_pinned:
                self._holds.clear(first)
            self._destinations.pop(first, None)
        await self._grant_freed(freed)
        self._client.publish(result.stored)

    def _log_replaced_owner(self, first: int, move: planner.Move) -> None:
        """Logs if a freed shard went to another owner than was planned."""
        owner = self._table.find(first).owner
        if owner != move.to:
            self._client.log_event(
                "next owner replaced",
                service=self.service,
                term=revisions.describe(self._term),
                first=first,
                planned=move.to.target_id,
                to=owner.target_id,
                to_born=owner.born,
            )

    async def _grant_freed(self, freed: collections.abc.Iterable[int]) -> None:
        """Sends the grants of reassigned shards and waits for the replies."""
        grant_tasks = []
        for first in freed:
            shard, hold = self._table.find(first), self._holds.get(first)
            if not hold.is_sending:
                grant_tasks.append(self._start_grant(shard, hold))
        if grant_tasks:
            await asyncio.wait(grant_tasks, timeout=GRANT_WAIT_SECONDS)

    def _install_table(self, stored: table.ShardTable) -> None:
        """Replaces the table by one that the store holds."""
        self._holds.update_shards(stored.shards)
        self._table = stored

    def _renew(self, now: float) -> None:
        renewal_failed = self._leadership.renewal_failed
        if renewal_failed and not self._renewal_failed_before:
            self._holds.make_all_renewals_due()
        self._renewal_failed_before = renewal_failed
        soon_due = [
            (shard, hold)
            for shard in self._table.shards
            if (hold := self._holds.get(shard.first)).renew_at
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
        if hold.is_sending or shard.first in self._destinations:
            return False
        if not self._liveness.is_available(shard.owner):
            return False
        return self._leadership.renewal_failed or not self._may_wait(shard, now)

    def _may_wait(self, shard: table.Shard, now: float) -> bool:
        """Returns whether a renewal may wait until its owner's pause ends."""
        pause_seconds = self._cluster_state.pause_seconds(shard.owner)
        return self._holds.may_wait(shard.first, now, pause_seconds)

    def _start_grant(
        self, shard: table.Shard, hold: holds.Hold
    ) -> asyncio.Task:
        hold.renew_at = clock.boottime() + holds.RETRY_SECONDS
        hold.grant_task = self._start_task(self._grant(shard))
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
        now = clock.boottime()
        renewal_failed = self._leadership.renewal_failed
        seconds = self._holds.start_grant(shard.first, now, renewal_failed)
        request = target_requests.GrantRequest(
            shard.owner,
            shard.first,
            shard.last,
            self._leadership.allocate_fence(),
            seconds,
            shard.handover,
            min(
                now + holds.GRANT_TIMEOUT_SECONDS, self._leadership.valid_until
            ),
        )
        result = await self._send_grant(request, now)
        if self._is_stopped:
            return
        if result.outcome is target_requests.Outcome.DONE:
            self._liveness_check.record_answered(shard.owner, now)
        self._handle_grant_result(shard, request, result)

    async def _send_grant(
        self, request: target_requests.GrantRequest, now: float
    ) -> target_requests.Result:
        self._grant_log.start(request, now)
        outcome, is_answered = grant_log.FAILED, False
        try:
            result = await self._client.grant(
                request, holds.GRANT_TIMEOUT_SECONDS
            )
            outcome = result.outcome.value
            is_answered = result.reply is not None
        finally:
            self._grant_log.end(
                request.fence, outcome, clock.boottime(), is_answered
            )
        return result

    def _may_grant(self, shard: table.Shard) -> bool:
        """Returns whether this node may send the owner of a shard a grant."""
        return (
            self._is_leading()
            and self._table.find(shard.first) == shard
            and shard.first not in self._destinations
            and not self._liveness.has_ended(shard.owner)
        )

    async def _check_owner(self, owner: table.Owner) -> bool:
        """Returns whether an owner's process replies to a request.

        That is a health check while no other target has keys. It may wait for
        room at a busy owner, so that it is left out while there is no target
        that the keys could move to.
        """
        settled = [
            shard
            for shard in self._table.shards
            if shard.first not in self._destinations
        ]
        request = liveness_check.make_check(owner, settled)
        if request is None and not self._has_other_candidate(owner):
            return True
        if request is None:
            result = await self._client.probe(self.service, owner)
        else:
            result = await self._client.check(
                request, holds.GRANT_TIMEOUT_SECONDS
            )
        return self._handle_check_result(owner, result)

    def _has_other_candidate(self, owner: table.Owner) -> bool:
        candidates = self._cluster_state.candidates(self.service)
        return any(candidate.owner != owner for candidate in candidates)

    def _handle_check_result(
        self, owner: table.Owner, result: target_requests.Result
    ) -> bool:
        """Records the result of a check; returns whether the owner replied."""
        if result.reply is not None:
            self._cluster_state.observe_reply(owner, result.reply)
        if liveness_check.is_from_owner(result):
            self._record_reply(owner, "check", result)
            return True
        self._client.log_event(
            "owner check failed",
            service=self.service,
            owner=owner.target_id,
            born=owner.born,
            outcome=result.outcome.value,
            detail=result.detail,
        )
        if result.outcome is target_requests.Outcome.GONE:
            self._record_end(owner, "check", result)
        else:
            self._note_failure(owner, clock.boottime())
        return False

    def _handle_grant_result(
        self,
        shard: table.Shard,
        request: target_requests.GrantRequest,
        result: target_requests.Result,
    ) -> None:
        if result.reply is not None:
            self._cluster_state.observe_reply(shard.owner, result.reply)
        if result.outcome is target_requests.Outcome.DONE:
            self._record_reply(shard.owner, "grant", result)
            self._record_taken(shard, request)
            return
        self._client.log_event(
            "grant failed",
            service=self.service,
            first=shard.first,
            owner=shard.owner.target_id,
            fence=request.fence,
            outcome=result.outcome.value,
            detail=result.detail,
        )
        if result.outcome is target_requests.Outcome.GONE:
            self._record_end(shard.owner, "grant", result)
        elif result.outcome is target_requests.Outcome.FENCED:
            self._start_refence(shard)
        else:
            self._note_failure(shard.owner, clock.boottime())

    def _record_taken(
        self, shard: table.Shard, request: target_requests.GrantRequest
    ) -> None:
        """Logs the first grant that an owner takes since it got a shard."""
        hold = self._holds.get(shard.first)
        if hold.taken_since == shard.fence:
            return
        hold.taken_since = shard.fence
        self._client.log_event(
            "shard taken",
            service=self.service,
            first=shard.first,
            owner=shard.owner.target_id,
            born=shard.owner.born,
            fence=request.fence,
            seconds=request.hold_seconds,
        )

    def _record_end(
        self, owner: table.Owner, source: str, result: target_requests.Result
    ) -> None:
        """Records that another process replied at an owner's address."""
        if not self._liveness.has_ended(owner):
            self._client.log_event(
                "another target replied",
                service=self.service,
                term=revisions.describe(self._term),
                owner=owner.target_id,
                born=owner.born,
                address=owner.address,
                source=source,
                detail=result.detail,
                replied_at=_round_time(clock.boottime()),
            )
        self._liveness.record_end(owner)

    def _record_reply(
        self, owner: table.Owner, source: str, result: target_requests.Result
    ) -> None:
        """Records that an owner replied, to a request of some kind."""
        cold_seconds = result.reply.cold_seconds if result.reply else 0.0
        if self._liveness.is_unresponsive(owner):
            self._client.log_event(
                "owner replies again",
                service=self.service,
                owner=owner.target_id,
                born=owner.born,
                source=source,
                cold_seconds=cold_seconds,
            )
        self._liveness.record_reply(owner)

    def _start_refence(self, shard: table.Shard) -> None:
        """Assigns a shard to its owner again, with a higher fence."""
        current = self._table.find(shard.first)
        if current != shard or shard.first in self._destinations:
            return
        self._destinations[shard.first] = shard.owner
        move = planner.Move(0, shard.owner, "owner has seen a higher fence")
        self._freed[shard.first] = FreedShard(
            move, "", clock.boottime(), is_pinned=True
        )

    async def _probe(self, owner: table.Owner) -> None:
        while self._liveness.is_unresponsive(owner) and not self._is_stopped:
            await asyncio.sleep(PROBE_SECONDS)
            result = await self._client.probe(self.service, owner)
            if result.reply is not None:
                self._cluster_state.observe_reply(owner, result.reply)
            if result.outcome is target_requests.Outcome.DONE:
                self._record_reply(owner, "health check", result)
            elif result.outcome is target_requests.Outcome.GONE:
                self._record_end(owner, "health check", result)
                return

    def _start_task(self, coro: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._client.log_event(
                "shard coordinator failed", detail=repr(task.exception())
            )


def _round_time(seconds: float | None) -> float | None:
    """Rounds a time for the log."""
    return None if seconds is None else round(seconds, grant_log.TIME_DIGITS)
