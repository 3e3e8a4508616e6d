"""Decides which shards should move where. Plain functions, no input or output.

Load answered: targets that join, leave, fall silent or are slow, and keys that
become hot, alone or together.
"""

import collections.abc
import dataclasses
import math

from jujubeyard.ownership import table

SHARDS_PER_TARGET = 6
MIN_SHARDS = 64
MAX_SHARDS = 512
MAX_SPLIT_SHARDS = 640

MIN_GAIN_CALLS = 0.2
"""Calls in the system that a move must save to be worth its interruption."""

MOVE_SECONDS = 0.06
"""The same, for each call per second that is interrupted by the move."""

MAX_BALANCE_MOVES = 8
DESTINATIONS = 4
URGENT_GAIN_CALLS = 2.0
"""Calls in the system that a move saves which shouldn't wait."""

MIN_RATE = 1e-3
FULL_UTILISATION = 0.95
OVERLOAD_SLOPE = 40.0
"""Growth of the wait beyond full utilisation, where it has no limit."""

DOMINANT_UTILISATION = 0.75
"""Part of its owner's capacity above which a shard is placed by itself."""

DOMINANT_GAIN = 1.25
"""How much more capacity another target must have for a dominant shard."""

SPLIT_SHARE = 0.2
"""Part of a mean target's capacity above which a shard is divided."""

SPLIT_RATIO = 3.0
"""The same, as a multiple of the mean rate of a shard."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may own keys.

    Attributes:
        owner: The target's present life.
        capacity: Calls that it can serve in a second.
        slots: Calls that it runs at once.
    """

    owner: table.Owner
    capacity: float
    slots: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A shard that should get another owner.

    Attributes:
        index: Place of the shard in its table.
        to: The owner that it should have.
        reason: Why, for the log.
        is_urgent: Whether it should not wait for others.
    """

    index: int
    to: table.Owner
    reason: str
    is_urgent: bool = True


def choose_shard_count(targets: int) -> int:
    """Returns how many shards the keys of a service are divided into."""
    wanted = max(MIN_SHARDS, targets * SHARDS_PER_TARGET)
    count = MIN_SHARDS
    while count < wanted and count < MAX_SHARDS:
        count *= 2
    return count


def make_initial_shards(
    candidates: collections.abc.Sequence[Candidate], fence: int
) -> tuple[table.Shard, ...]:
    """Returns a first table: neighbouring shards go to different targets."""
    ranges = table.split_key_space(choose_shard_count(len(candidates)))
    given = {candidate.owner: 0 for candidate in candidates}
    shards = []
    for first, last in ranges:
        candidate = min(
            candidates, key=lambda c: (given[c.owner] + 1) / c.capacity
        )
        given[candidate.owner] += 1
        shards.append(table.Shard(first, last, candidate.owner, fence, ""))
    return tuple(shards)


def estimate_wait(utilisation: float, slots: int) -> float:
    """Returns the mean wait for a slot, as a multiple of the work of a call.

    This is Sakasegawa's approximation of a queue with several servers, with a
    straight line where the queue would grow without limit.

    Args:
        utilisation: Part of the capacity that is asked for.
        slots: Number of servers.
    """
    bounded = min(max(utilisation, 0.0), FULL_UTILISATION)
    wait = bounded ** math.sqrt(2 * (slots + 1)) / (slots * (1.0 - bounded))
    return wait + OVERLOAD_SLOPE * max(0.0, utilisation - bounded)


class Balance:
    """Rates of targets while moves are chosen.

    Attributes:
        rates: Calls per second by owner.
    """

    def __init__(
        self,
        shards: collections.abc.Sequence[table.Shard],
        rates: collections.abc.Sequence[float],
        candidates: collections.abc.Sequence[Candidate],
    ):
        self._candidates = {c.owner: c for c in candidates}
        self.rates = dict.fromkeys(self._candidates, 0.0)
        for shard, rate in zip(shards, rates, strict=True):
            if shard.owner in self.rates:
                self.rates[shard.owner] += rate

    def capacity(self, owner: table.Owner) -> float:
        """Returns the calls that an owner can serve in a second."""
        return self._candidates[owner].capacity

    def seconds(self, owner: table.Owner, more: float = 0.0) -> float:
        """Returns the mean time of a call at an owner after a gain."""
        candidate = self._candidates[owner]
        rate = self.rates[owner] + more
        wait = estimate_wait(rate / candidate.capacity, candidate.slots)
        return candidate.slots / candidate.capacity * (1.0 + wait)

    def calls(self, owner: table.Owner, more: float = 0.0) -> float:
        """Returns the mean number of calls at an owner after a gain."""
        return (self.rates[owner] + more) * self.seconds(owner, more)

    def added_calls(self, owner: table.Owner, more: float) -> float:
        """Returns by how much the number of calls grows with a gain."""
        return self.calls(owner, more) - self.calls(owner)

    def cheapest(self, rate: float) -> list[table.Owner]:
        """Returns the owners, the best for another shard of a rate first."""
        return sorted(
            self.rates, key=lambda owner: self.added_calls(owner, rate)
        )

    def move(self, rate: float, source: table.Owner, to: table.Owner) -> None:
        """Counts a move."""
        if source in self.rates:
            self.rates[source] -= rate
        self.rates[to] += rate


def reassign_orphaned_shards(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving: collections.abc.Set[int],
) -> list[Move]:
    """Returns the moves of shards whose owners may not keep them.

    Args:
        shards: The table.
        rates: Calls per second for each shard.
        candidates: Targets that may own keys.
        moving: Places of shards that are being moved.
    """
    if not candidates:
        return []
    balance = Balance(shards, rates, candidates)
    total = sum(rates)
    floor = max(total / len(shards), 1e-6) if shards else 0.0
    homeless = [
        index
        for index, shard in enumerate(shards)
        if shard.owner not in balance.rates and index not in moving
    ]
    moves = []
    for index in sorted(homeless, key=lambda i: -rates[i]):
        rate = max(rates[index], floor)
        to = balance.cheapest(rate)[0]
        balance.move(rate, shards[index].owner, to)
        moves.append(Move(index, to, "owner may not keep it"))
    return moves


def rebalance(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
) -> list[Move]:
    """Returns the few moves that relieve overloaded targets most."""
    if len(candidates) < 2:
        return []
    balance = Balance(shards, rates, candidates)
    typical = max(sum(rates) / len(shards), MIN_RATE)
    owners = [shard.owner for shard in shards]
    moves: list[Move] = []
    while len(moves) < MAX_BALANCE_MOVES:
        move = _relieve(owners, rates, balance, typical)
        if move is None or any(move.index == m.index for m in moves):
            break
        balance.move(rates[move.index], owners[move.index], move.to)
        owners[move.index] = move.to
        moves.append(move)
    return moves


def welcome(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    share: float,
) -> list[Move]:
    """Returns the moves that give targets without shards a first share.

    Args:
        shards: The table.
        rates: Calls per second for each shard.
        candidates: Targets that may own keys.
        share: Part of a mean target's number of shards that each gets.
    """
    counts = {candidate.owner: 0 for candidate in candidates}
    places: dict[table.Owner, list[int]] = {owner: [] for owner in counts}
    for index, shard in enumerate(shards):
        if shard.owner in counts:
            counts[shard.owner] += 1
            places[shard.owner].append(index)
    wanted = max(1, int(share * len(shards) / max(len(counts), 1)))
    moves = []
    for owner in [owner for owner, count in counts.items() if not count]:
        for _ in range(wanted):
            source = max(counts, key=counts.__getitem__)
            if counts[source] <= wanted:
                break
            index = min(places[source], key=lambda i: rates[i])
            places[source].remove(index)
            counts[source] -= 1
            counts[owner] += 1
            moves.append(Move(index, owner, "a target without shards"))
    return moves


def _relieve(owners, rates, balance: Balance, typical: float) -> Move | None:
    """Returns the move that takes most calls off the busiest owner."""
    order = balance.cheapest(typical)
    source = order[-1]
    own = [index for index, owner in enumerate(owners) if owner == source]
    best, best_gain = None, 0.0
    for index in own:
        rate = rates[index]
        saved = -balance.added_calls(source, -rate)
        for to in order[:DESTINATIONS]:
            if to == source:
                continue
            gain = saved - balance.added_calls(to, rate)
            gain -= MIN_GAIN_CALLS + MOVE_SECONDS * rate
            if gain > best_gain:
                urgent = gain > URGENT_GAIN_CALLS
                reason = "calls are faster elsewhere"
                best, best_gain = Move(index, to, reason, urgent), gain
    return best or _replace_dominant(source, own, rates, balance)


def _replace_dominant(source, own, rates, balance: Balance) -> Move | None:
    """Returns the move of a hot shard that fills its owner by itself.

    No move of it gains while others keep the fastest target busy; they leave
    once it is there.
    """
    if not own:
        return None
    index = max(own, key=lambda i: rates[i])
    rate = rates[index]
    capacity = balance.capacity(source)
    if rate < DOMINANT_UTILISATION * capacity:
        return None
    fastest = max(balance.rates, key=balance.capacity)
    if balance.capacity(fastest) < DOMINANT_GAIN * capacity:
        return None
    if balance.rates[fastest] > rate:
        return None
    return Move(index, fastest, "a faster target for a hot shard")


def choose_splits(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving: collections.abc.Set[int],
    align: int,
) -> list[int]:
    """Returns the places of shards that are too hot to be moved whole.

    Args:
        shards: The table.
        rates: Calls per second for each shard.
        candidates: Targets that may own keys.
        moving: Places of shards that are being moved.
        align: Number of keys that can't be told apart by their rates.
    """
    if not candidates or len(shards) >= MAX_SPLIT_SHARDS:
        return []
    mean = sum(c.capacity for c in candidates) / len(candidates)
    bar = max(SPLIT_SHARE * mean, SPLIT_RATIO * sum(rates) / len(shards))
    return [
        index
        for index, shard in enumerate(shards)
        if rates[index] > bar
        and shard.last - shard.first + 1 >= 2 * align
        and index not in moving
    ]


def split(
    shard: table.Shard, calls: collections.abc.Sequence[float], align: int
) -> list[table.Shard]:
    """Returns a shard in parts of about equal rate, its hottest one alone.

    Args:
        shard: The shard.
        calls: Calls by bucket of keys.
        align: Number of keys in a bucket.
    """
    buckets = range(shard.first // align, shard.last // align + 1)
    hottest = max(buckets, key=lambda bucket: calls[bucket])
    cuts = {shard.first, hottest * align, (hottest + 1) * align}
    starts = sorted(c for c in cuts if shard.first <= c <= shard.last)
    ends = [start - 1 for start in starts[1:]] + [shard.last]
    return [
        dataclasses.replace(shard, first=start, last=end)
        for start, end in zip(starts, ends, strict=True)
    ]
