"""Plans which shards to move, and to which targets. Performs no I/O.

The plans respond to targets that join, leave, become unresponsive or are slow,
and to single keys or groups of keys that become hot.
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
"""Minimum number of calls in the system that a move must save.

Calls in the system are those that wait or run. A smaller gain does not make up
for the interruption of the shard.
"""

MOVE_COST_SECONDS = 0.06
"""Added to `MIN_GAIN_CALLS` for each call per second to the moved shard.

The move interrupts these calls.
"""

MAX_BALANCE_MOVES = 8
"""Maximum number of moves in a plan."""

MAX_MOVING_SHARE = 1 / 16
"""Share of the shards that may be moving at a time while loads are balanced. A
move lasts as long as the work that its old owner still has."""

MAX_DESTINATIONS = 4
"""Number of least loaded targets considered as the destination of a move."""

URGENT_GAIN_CALLS = 2.0
"""Saved calls above which a move is made without delay.

The minimum gain and the cost of the move are subtracted first.
"""

MIN_MEAN_RATE = 1e-3
FULL_UTILIZATION = 0.95
OVERLOAD_SLOPE = 40.0
"""Slope of the estimated wait above `FULL_UTILIZATION`.

The queueing formula diverges there, so the estimate continues as a line.
"""

DOMINANT_UTILIZATION = 0.75
"""Share of its owner's capacity above which a shard is dominant.

A dominant shard may move to a faster target even if that saves no calls.
"""

DOMINANT_GAIN = 1.25
"""Minimum ratio of capacities, new to old target, to move a dominant shard."""

SPLIT_SHARE = 0.2
"""Share of the mean target capacity above which a shard is split."""

SPLIT_RATIO = 3.0
"""Multiple of the mean rate of a shard above which a shard is split.

A shard must exceed both this and `SPLIT_SHARE`.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may own keys.

    Attributes:
        owner: The target's current incarnation.
        capacity: Calls per second that it can serve.
        slots: Calls that it runs concurrently.
    """

    owner: table.Owner
    capacity: float
    slots: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned change of a shard's owner.

    Attributes:
        index: Index of the shard in its table.
        to: The new owner.
        reason: Reason of the move, for the log.
        is_urgent: Whether to make the move without delay.
    """

    index: int
    to: table.Owner
    reason: str
    is_urgent: bool = True


def choose_shard_count(targets: int) -> int:
    """Returns the number of shards of a service's first table.

    Args:
        targets: Number of targets.
    """
    min_count = max(MIN_SHARDS, targets * SHARDS_PER_TARGET)
    count = MIN_SHARDS
    while count < min_count and count < MAX_SHARDS:
        count *= 2
    return count


def make_initial_shards(
    candidates: collections.abc.Sequence[Candidate], fence: int
) -> tuple[table.Shard, ...]:
    """Returns the shards of a service's first table.

    Each shard goes to the target with the fewest shards for its capacity, which
    puts neighbouring shards on different targets.

    Args:
        candidates: Targets that may own keys; at least one.
        fence: Fencing token of all shards.
    """
    ranges = table.split_key_space(choose_shard_count(len(candidates)))
    shard_counts = {candidate.owner: 0 for candidate in candidates}
    shards = []
    for first, last in ranges:
        candidate = min(
            candidates, key=lambda c: (shard_counts[c.owner] + 1) / c.capacity
        )
        shard_counts[candidate.owner] += 1
        shards.append(table.Shard(first, last, candidate.owner, fence, ""))
    return tuple(shards)


def estimate_wait(utilization: float, slots: int) -> float:
    """Returns the mean wait for a slot, in mean processing times.

    Uses Sakasegawa's approximation for a multi-server queue, extended by a
    straight line above `FULL_UTILIZATION`, where the queue would grow without
    limit.

    Args:
        utilization: Offered load as a share of the capacity.
        slots: Number of servers of the queue.
    """
    clamped = min(max(utilization, 0.0), FULL_UTILIZATION)
    wait = clamped ** math.sqrt(2 * (slots + 1)) / (slots * (1.0 - clamped))
    return wait + OVERLOAD_SLOPE * max(0.0, utilization - clamped)


class LoadModel:
    """Estimated load of each target while moves are being planned.

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
        """Returns the calls per second that an owner can serve."""
        return self._candidates[owner].capacity

    def call_seconds(
        self, owner: table.Owner, added_rate: float = 0.0
    ) -> float:
        """Returns the mean time of a call at an owner, including its wait.

        Args:
            owner: The owner.
            added_rate: Calls per second to add to the owner's rate.
        """
        candidate = self._candidates[owner]
        rate = self.rates[owner] + added_rate
        wait = estimate_wait(rate / candidate.capacity, candidate.slots)
        return candidate.slots / candidate.capacity * (1.0 + wait)

    def call_count(self, owner: table.Owner, added_rate: float = 0.0) -> float:
        """Returns the mean number of calls that wait or run at an owner.

        Args:
            owner: The owner.
            added_rate: Calls per second to add to the owner's rate.
        """
        return (self.rates[owner] + added_rate) * self.call_seconds(
            owner, added_rate
        )

    def added_calls(self, owner: table.Owner, added_rate: float) -> float:
        """Returns the growth of the calls at an owner with an added rate."""
        return self.call_count(owner, added_rate) - self.call_count(owner)

    def owners_by_added_calls(self, rate: float) -> list[table.Owner]:
        """Returns the owners, sorted by `added_calls` for a rate."""
        return sorted(
            self.rates, key=lambda owner: self.added_calls(owner, rate)
        )

    def apply_move(
        self, rate: float, source: table.Owner, to: table.Owner
    ) -> None:
        """Updates the rates of both owners for a move.

        Args:
            rate: Calls per second of the shard.
            source: Owner before the move.
            to: Owner after the move.
        """
        if source in self.rates:
            self.rates[source] -= rate
        self.rates[to] += rate


def reassign_orphaned_shards(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving_indexes: collections.abc.Set[int],
) -> list[Move]:
    """Returns moves for the shards whose owner is no longer a candidate.

    Args:
        shards: All shards of the table.
        rates: Calls per second of each shard.
        candidates: Targets that may own keys.
        moving_indexes: Indexes of shards that are already being moved.
    """
    if not candidates:
        return []
    load_model = LoadModel(shards, rates, candidates)
    total = sum(rates)
    min_rate = max(total / len(shards), 1e-6) if shards else 0.0
    orphaned = [
        index
        for index, shard in enumerate(shards)
        if shard.owner not in load_model.rates and index not in moving_indexes
    ]
    moves = []
    for index in sorted(orphaned, key=lambda i: -rates[i]):
        rate = max(rates[index], min_rate)
        to = load_model.owners_by_added_calls(rate)[0]
        load_model.apply_move(rate, shards[index].owner, to)
        moves.append(Move(index, to, "owner is no longer a candidate"))
    return moves


def max_moving_shards(shards: int) -> int:
    """Returns how many shards may move at a time while loads are balanced."""
    return max(MAX_BALANCE_MOVES, int(MAX_MOVING_SHARE * shards))


def rebalance(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving_indexes: collections.abc.Set[int] = frozenset(),
) -> list[Move]:
    """Returns the moves that reduce the calls in the system most.

    Args:
        shards: All shards of the table; a moving one has its next owner.
        rates: Calls per second of each shard.
        candidates: Targets that may own keys.
        moving_indexes: Indexes of shards that are already being moved.

    Returns:
        At most `MAX_BALANCE_MOVES` moves, chosen greedily.
    """
    if len(candidates) < 2:
        return []
    load_model = LoadModel(shards, rates, candidates)
    mean_rate = max(sum(rates) / len(shards), MIN_MEAN_RATE)
    owners = [shard.owner for shard in shards]
    moves: list[Move] = []
    while len(moves) < MAX_BALANCE_MOVES:
        move = _find_best_move(
            owners, rates, load_model, mean_rate, moving_indexes
        )
        if move is None or any(move.index == m.index for m in moves):
            break
        load_model.apply_move(rates[move.index], owners[move.index], move.to)
        owners[move.index] = move.to
        moves.append(move)
    return moves


def fill_empty_targets(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    share: float,
    moving_indexes: collections.abc.Set[int] = frozenset(),
) -> list[Move]:
    """Returns moves that give shards to targets that have none.

    Args:
        shards: All shards of the table; a moving one has its next owner.
        rates: Calls per second of each shard.
        candidates: Targets that may own keys.
        share: Number of shards that each of them gets, as a share of the mean
            number of shards per target.
        moving_indexes: Indexes of shards that are already being moved.
    """
    counts = {candidate.owner: 0 for candidate in candidates}
    indexes: dict[table.Owner, list[int]] = {owner: [] for owner in counts}
    for index, shard in enumerate(shards):
        if shard.owner in counts:
            counts[shard.owner] += 1
            if index not in moving_indexes:
                indexes[shard.owner].append(index)
    new_count = max(1, int(share * len(shards) / max(len(counts), 1)))
    moves = []
    for owner in [owner for owner, count in counts.items() if not count]:
        for _ in range(new_count):
            source = max(counts, key=counts.__getitem__)
            if counts[source] <= new_count or not indexes[source]:
                break
            index = min(indexes[source], key=lambda i: rates[i])
            indexes[source].remove(index)
            counts[source] -= 1
            counts[owner] += 1
            moves.append(Move(index, owner, "new owner has no shards"))
    return moves


def _find_best_move(
    owners, rates, load_model: LoadModel, mean_rate: float, moving_indexes
) -> Move | None:
    """Returns the move from the busiest owner that saves the most calls."""
    owners_by_load = load_model.owners_by_added_calls(mean_rate)
    source = owners_by_load[-1]
    source_indexes = [
        index
        for index, owner in enumerate(owners)
        if owner == source and index not in moving_indexes
    ]
    best, best_gain = None, 0.0
    for index in source_indexes:
        rate = rates[index]
        saved_calls = -load_model.added_calls(source, -rate)
        for to in owners_by_load[:MAX_DESTINATIONS]:
            if to == source:
                continue
            gain = saved_calls - load_model.added_calls(to, rate)
            gain -= MIN_GAIN_CALLS + MOVE_COST_SECONDS * rate
            if gain > best_gain:
                is_urgent = gain > URGENT_GAIN_CALLS
                reason = "fewer calls in the system"
                best, best_gain = Move(index, to, reason, is_urgent), gain
    return best or _find_dominant_move(
        source, source_indexes, rates, load_model
    )


def _find_dominant_move(
    source, source_indexes, rates, load_model: LoadModel
) -> Move | None:
    """Returns the move of a dominant shard to a faster target, if any.

    `_find_best_move` finds no gain in this move while other shards load the
    fastest target. Later moves take those shards away from it.
    """
    if not source_indexes:
        return None
    index = max(source_indexes, key=lambda i: rates[i])
    rate = rates[index]
    capacity = load_model.capacity(source)
    if rate < DOMINANT_UTILIZATION * capacity:
        return None
    fastest = max(load_model.rates, key=load_model.capacity)
    if load_model.capacity(fastest) < DOMINANT_GAIN * capacity:
        return None
    if load_model.rates[fastest] > rate:
        return None
    return Move(index, fastest, "hot shard needs a faster target")


def find_hot_shards(
    shards: collections.abc.Sequence[table.Shard],
    rates: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving_indexes: collections.abc.Set[int],
    bucket_keys: int,
) -> list[int]:
    """Returns the indexes of shards that are hot enough to be split.

    Args:
        shards: All shards of the table.
        rates: Calls per second of each shard.
        candidates: Targets that may own keys.
        moving_indexes: Indexes of shards that are being moved.
        bucket_keys: Number of keys in a bucket. Calls are counted by bucket,
            so a bucket can't be split.
    """
    if not candidates or len(shards) >= MAX_SPLIT_SHARDS:
        return []
    mean = sum(c.capacity for c in candidates) / len(candidates)
    min_split_rate = max(
        SPLIT_SHARE * mean, SPLIT_RATIO * sum(rates) / len(shards)
    )
    return [
        index
        for index, shard in enumerate(shards)
        if rates[index] > min_split_rate
        and shard.last - shard.first + 1 >= 2 * bucket_keys
        and index not in moving_indexes
    ]


def split_shard(
    shard: table.Shard, calls: collections.abc.Sequence[float], bucket_keys: int
) -> list[table.Shard]:
    """Splits a shard so that its hottest bucket becomes a shard of its own.

    Args:
        shard: The shard to split.
        calls: Number of calls of each bucket of the key space.
        bucket_keys: Number of keys in a bucket.

    Returns:
        The parts, in the order of their keys.
    """
    buckets = range(shard.first // bucket_keys, shard.last // bucket_keys + 1)
    hottest = max(buckets, key=lambda bucket: calls[bucket])
    boundaries = {
        shard.first,
        hottest * bucket_keys,
        (hottest + 1) * bucket_keys,
    }
    starts = sorted(c for c in boundaries if shard.first <= c <= shard.last)
    ends = [start - 1 for start in starts[1:]] + [shard.last]
    return [
        dataclasses.replace(shard, first=start, last=end)
        for start, end in zip(starts, ends, strict=True)
    ]
