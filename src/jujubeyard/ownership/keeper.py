"""Keeps each key with one owner, on the node that leads.

Decisions are those of `planner`; this module carries them out: orders to
targets, waits until what they may hold has run out, and the stored tables.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from jujubeyard import clock
from jujubeyard.ownership import courier
from jujubeyard.ownership import demand
from jujubeyard.ownership import holds
from jujubeyard.ownership import leader
from jujubeyard.ownership import lives
from jujubeyard.ownership import orders
from jujubeyard.ownership import planner
from jujubeyard.ownership import table

SETTLE_SECONDS = 2.0
"""How long no target must have joined before the first table is made."""

PROBE_SECONDS = 0.4
BALANCE_SECONDS = 0.4
CALM_SECONDS = 1.2
"""Pause between rounds of moves that are not urgent."""

JOIN_SHARE = 0.5
"""Part of a mean target's shards that a target without any is given."""

BLIND_JOIN_SHARE = 0.9
"""The same while loads aren't known."""

GATHER_SECONDS = 0.05
"""How long shards that were freed wait for others to share a write."""

GRANTED_SECONDS = 0.1
"""How long a table waits for its new grants to be taken before it is told."""

MIN_RELEASE_SECONDS = 0.3
WRITE_PAUSE_SECONDS = 0.3
"""Pause after a write that did not succeed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """A shard that nobody holds any more.

    Attributes:
        move: Where it goes.
        handover: What its next owner needs; may be empty.
        freed_at: When that was known, in boot time.
        is_pinned: Whether it must stay with the owner that it has.
    """

    move: planner.Move
    handover: str
    freed_at: float
    is_pinned: bool = False


class Surroundings(typing.Protocol):
    """What a keeper asks of the node that it runs on."""

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""

    def joined_at(self, service: str) -> float:
        """Returns when the latest target joined, in boot time."""

    def is_ended(self, owner: table.Owner) -> bool:
        """Returns whether that life of the target has certainly ended."""

    def shard_rates(self, found: table.ShardTable) -> list[float]:
        """Returns the calls per second for each shard."""

    def bucket_calls(self, service: str) -> list[float]:
        """Returns the calls by bucket of keys, weighted by age."""

    def observe_reply(self, owner: table.Owner, reply: orders.Reply) -> None:
        """Takes what a reply to an order shows of a target."""

    def may_balance(self, service: str) -> bool:
        """Returns whether loads are known well enough to move shards."""


class Keeper:
    """Owns the table of one service during one term of leadership."""

    def __init__(
        self,
        service: str,
        leadership: leader.Leadership,
        surroundings: Surroundings,
        carrier: courier.Courier,
        max_hold_seconds: float,
    ):
        self.service = service
        self._leadership = leadership
        self._around = surroundings
        self._courier = carrier
        self._table: table.ShardTable | None = None
        self._holds = holds.Holds(max_hold_seconds)
        self._lives = lives.Lives(surroundings.is_ended)
        self._moving: set[int] = set()
        self._freed: dict[int, Freed] = {}
        self._was_in_doubt = False
        self._writing = False
        self._write_at = 0.0
        self._balance_at = 0.0
        self._calm_at = 0.0
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Ends the term: no further order is given."""
        self._stopped = True
        for task in self._tasks:
            task.cancel()

    def load(self, found: table.ShardTable) -> None:
        """Takes the table that the term begins with."""
        self._table = found
        self._holds.load(found.shards, self._leadership.won_at)

    def tick(self, now: float) -> None:
        """Gives the orders that are due.

        Args:
            now: Boot time, in seconds.
        """
        if self._table is None or not self._leadership.is_certain():
            return
        candidates = [
            candidate
            for candidate in self._around.candidates(self.service)
            if self._lives.may_own(candidate.owner, now)
        ]
        if not self._table.shards:
            self._place_all(candidates, now)
            return
        self._begin_moves(candidates, now)
        self._write_freed(candidates)
        self._renew(now)

    def _place_all(self, candidates, now: float) -> None:
        settled = now - self._around.joined_at(self.service) > SETTLE_SECONDS
        if not candidates or not settled or not self._may_write():
            return
        fence = self._leadership.draw_fence()
        self._begin_write(planner.place_all(candidates, fence), {})

    def _begin_moves(self, candidates, now: float) -> None:
        shards = self._table.shards
        rates = self._around.shard_rates(self._table)
        moving = {
            index
            for index, shard in enumerate(shards)
            if shard.first in self._moving
        }
        moves = planner.rehome(shards, rates, candidates, moving)
        if not moves and now >= self._balance_at and not self._writing:
            self._balance_at = now + BALANCE_SECONDS
            moves = self._balance(shards, rates, candidates, moving)
        for move in moves:
            shard = shards[move.index]
            self._moving.add(shard.first)
            self._start(self._free(shard, move, now))

    def _balance(self, shards, rates, candidates, moving) -> list[planner.Move]:
        knows_loads = self._around.may_balance(self.service)
        if not moving:
            share = JOIN_SHARE if knows_loads else BLIND_JOIN_SHARE
            moves = planner.welcome(shards, rates, candidates, share)
            if moves:
                return moves
        if not knows_loads:
            return []
        align = demand.BUCKET_KEYS
        splits = planner.choose_splits(shards, rates, candidates, moving, align)
        if splits and self._may_write():
            self._split(splits)
            return []
        if len(moving) >= planner.MAX_BALANCE_MOVES:
            return []
        moves = planner.rebalance(shards, rates, candidates)
        now = clock.boottime()
        if not any(move.is_urgent for move in moves) and now < self._calm_at:
            return []
        self._calm_at = now + CALM_SECONDS
        return [move for move in moves if move.index not in moving]

    def _split(self, places: list[int]) -> None:
        calls = self._around.bucket_calls(self.service)
        parts = []
        for index, shard in enumerate(self._table.shards):
            if index in places:
                parts += planner.split(shard, calls, demand.BUCKET_KEYS)
            else:
                parts.append(shard)
        self._courier.log_event(
            "shards divided",
            service=self.service,
            firsts=[self._table.shards[index].first for index in places],
            shards=len(parts),
        )
        self._begin_write(tuple(parts), {})

    async def _free(
        self, shard: table.Shard, move: planner.Move, now: float
    ) -> None:
        hold = self._holds.of(shard.first)
        handover = ""
        if not self._lives.has_ended(shard.owner):
            handover = await self._release(shard, hold, now)
        self._courier.log_event(
            "shard freed",
            service=self.service,
            first=shard.first,
            owner=shard.owner.target_id,
            fence=shard.fence,
            to=move.to.target_id,
            reason=move.reason,
            handover=bool(handover),
            waited=round(clock.boottime() - now, 3),
        )
        self._freed[shard.first] = Freed(move, handover, clock.boottime())

    async def _release(
        self, shard: table.Shard, hold: holds.Hold, now: float
    ) -> str:
        """Returns the handover once nobody can hold the shard any more."""
        fence = self._leadership.draw_fence()
        order = orders.Release(shard.owner, shard.first, shard.last, fence)
        while not self._lives.has_ended(shard.owner):
            left = hold.until - clock.boottime()
            if left <= 0.0:
                return ""
            if not self._leadership.is_certain():
                await asyncio.sleep(PROBE_SECONDS)
                continue
            seconds = max(left, MIN_RELEASE_SECONDS)
            outcome = await self._courier.release(order, seconds)
            if outcome.outcome is orders.Outcome.DONE:
                return outcome.reply.handover
            if outcome.outcome is orders.Outcome.GONE:
                self._lives.note_end(shard.owner)
                return ""
            await asyncio.sleep(min(PROBE_SECONDS, max(left, 0.01)))
        return ""

    def _write_freed(self, candidates) -> None:
        if not self._freed or not candidates or not self._may_write():
            return
        waiting = len(self._moving) > len(self._freed)
        oldest = min(entry.freed_at for entry in self._freed.values())
        if waiting and clock.boottime() - oldest < GATHER_SECONDS:
            return
        owners = {candidate.owner for candidate in candidates}
        shards = list(self._table.shards)
        freed, self._freed = self._freed, {}
        for index, shard in enumerate(shards):
            entry = freed.get(shard.first)
            if entry is None:
                continue
            to = entry.move.to
            if to not in owners and not entry.is_pinned:
                to = self._least(candidates)
            shards[index] = dataclasses.replace(
                shard,
                owner=to,
                fence=self._leadership.draw_fence(),
                handover=entry.handover,
            )
        self._begin_write(tuple(shards), freed)

    def _least(self, candidates) -> table.Owner:
        given = dict.fromkeys((c.owner for c in candidates), 0)
        for shard in self._table.shards:
            if shard.owner in given:
                given[shard.owner] += 1
        return min(given, key=given.__getitem__)

    def _may_write(self) -> bool:
        return not self._writing and clock.boottime() >= self._write_at

    def _begin_write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, Freed],
    ) -> None:
        self._writing = True
        self._start(self._write(shards, freed))

    async def _write(
        self,
        shards: tuple[table.Shard, ...],
        freed: collections.abc.Mapping[int, Freed],
    ) -> None:
        try:
            outcome = await self._courier.write_table(
                table.ShardTable(self.service, shards, self._table.revision),
                self._leadership.condition(),
            )
        finally:
            self._writing = False
        if outcome.stored is not None:
            self._adopt(outcome.stored)
        if not outcome.is_written:
            if outcome.stored is not None:
                self._courier.publish(outcome.stored)
            self._write_at = clock.boottime() + WRITE_PAUSE_SECONDS
            for first, entry in freed.items():
                self._freed.setdefault(first, entry)
            return
        for first in freed:
            self._holds.clear(first)
            self._moving.discard(first)
        await self._grant_freed(freed)
        self._courier.publish(outcome.stored)

    async def _grant_freed(self, freed: collections.abc.Iterable[int]) -> None:
        """Grants shards with new owners before calls are sent to these."""
        orders_sent = []
        for first in freed:
            shard, hold = self._table.find(first), self._holds.of(first)
            if not hold.sending:
                hold.sending = True
                orders_sent.append(self._start(self._grant(shard, hold)))
        if orders_sent:
            await asyncio.wait(orders_sent, timeout=GRANTED_SECONDS)

    def _adopt(self, stored: table.ShardTable) -> None:
        """Takes a table that the store holds, as written by this term."""
        self._holds.adopt(stored.shards)
        self._table = stored

    def _renew(self, now: float) -> None:
        in_doubt = self._leadership.renewal_failed
        if in_doubt and not self._was_in_doubt:
            self._holds.renew_all()
        self._was_in_doubt = in_doubt
        for shard in self._table.shards:
            hold = self._holds.of(shard.first)
            if hold.sending or hold.renew_at > now:
                continue
            if shard.first in self._moving:
                continue
            if not self._lives.answers(shard.owner):
                continue
            hold.sending = True
            self._start(self._grant(shard, hold))

    async def _grant(self, shard: table.Shard, hold: holds.Hold) -> None:
        try:
            await self._grant_once(shard, hold)
        finally:
            hold.sending = False

    async def _grant_once(self, shard: table.Shard, hold: holds.Hold) -> None:
        now = clock.boottime()
        is_current = self._table.find(shard.first) == shard
        if not self._leadership.is_certain() or not is_current:
            return
        if shard.first in self._moving:
            return
        in_doubt = self._leadership.renewal_failed
        seconds = self._holds.begin_grant(shard.first, now, in_doubt)
        grant = orders.Grant(
            shard.owner,
            shard.first,
            shard.last,
            shard.fence,
            seconds,
            shard.handover,
        )
        outcome = await self._courier.grant(grant, holds.ORDER_SECONDS)
        if self._stopped:
            return
        self._judge_grant(shard, outcome)

    def _judge_grant(self, shard, outcome: orders.Result) -> None:
        if outcome.reply is not None:
            self._around.observe_reply(shard.owner, outcome.reply)
        if outcome.outcome is orders.Outcome.DONE:
            self._lives.note_answer(shard.owner)
            return
        self._courier.log_event(
            "grant not taken",
            service=self.service,
            first=shard.first,
            owner=shard.owner.target_id,
            fence=shard.fence,
            outcome=outcome.outcome.value,
            detail=outcome.detail,
        )
        if outcome.outcome is orders.Outcome.GONE:
            self._lives.note_end(shard.owner)
        elif outcome.outcome is orders.Outcome.FENCED:
            self._begin_refence(shard)
        elif self._lives.note_silence(shard.owner, clock.boottime()):
            self._start(self._probe(shard.owner))

    def _begin_refence(self, shard: table.Shard) -> None:
        """Gives a shard to its owner again, under a higher fence."""
        current = self._table.find(shard.first)
        if current != shard or shard.first in self._moving:
            return
        self._moving.add(shard.first)
        move = planner.Move(0, shard.owner, "a higher fence was seen")
        self._freed[shard.first] = Freed(
            move, "", clock.boottime(), is_pinned=True
        )

    async def _probe(self, owner: table.Owner) -> None:
        while self._lives.is_silent(owner) and not self._stopped:
            await asyncio.sleep(PROBE_SECONDS)
            outcome = await self._courier.probe(self.service, owner)
            if outcome is orders.Outcome.DONE:
                self._lives.note_answer(owner)
            elif outcome is orders.Outcome.GONE:
                self._lives.note_end(owner)
                return

    def _start(self, coro: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._courier.log_event(
                "keeper failed", detail=repr(task.exception())
            )
