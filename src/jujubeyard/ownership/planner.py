"""Decides which shards should move where. Plain functions, no input or output.

Load answered: targets that join, leave, fall silent or are slow, and keys that
become hot together.
"""

import collections.abc
import dataclasses

from jujubeyard.ownership import table

SHARDS_PER_TARGET = 6
MIN_SHARDS = 64
MAX_SHARDS = 512

OVERLOAD_RATIO = 1.25
"""A target's load over the mean above which shards move away."""

MIN_MOVED_LOAD = 0.02
"""Share of the mean load of a target below which a move gains nothing."""

MAX_BALANCE_MOVES = 4
JOIN_SHARE = 0.9
"""Share of the mean number of shards that a joined target is given."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may own keys.

    Attributes:
        owner: The target's present life.
        capacity: Its capacity, relative to the others.
    """

    owner: table.Owner
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A shard that should get another owner.

    Attributes:
        index: Place of the shard in its table.
        to: The owner that it should have.
        reason: Why, for the log.
    """

    index: int
    to: table.Owner
    reason: str


def choose_shard_count(targets: int) -> int:
    """Returns how many shards the keys of a service are divided into."""
    wanted = max(MIN_SHARDS, targets * SHARDS_PER_TARGET)
    count = MIN_SHARDS
    while count < wanted and count < MAX_SHARDS:
        count *= 2
    return count


def place_all(
    candidates: collections.abc.Sequence[Candidate], fence: int
) -> tuple[table.Shard, ...]:
    """Returns a first table: neighbouring shards go to different targets."""
    ranges = table.divide_keys(choose_shard_count(len(candidates)))
    given = {candidate.owner: 0 for candidate in candidates}
    shards = []
    for first, last in ranges:
        candidate = min(
            candidates, key=lambda c: (given[c.owner] + 1) / c.capacity
        )
        given[candidate.owner] += 1
        shards.append(table.Shard(first, last, candidate.owner, fence, ""))
    return tuple(shards)


@dataclasses.dataclass(slots=True)
class _Assignment:
    """Loads while moves are chosen."""

    loads: dict[table.Owner, float]
    capacities: dict[table.Owner, float]

    def least(self) -> table.Owner:
        return min(self.loads, key=lambda o: self.loads[o] / self.capacities[o])

    def pressure(self, owner: table.Owner) -> float:
        return self.loads[owner] / self.capacities[owner]


def choose_moves(
    shards: collections.abc.Sequence[table.Shard],
    loads: collections.abc.Sequence[float],
    candidates: collections.abc.Sequence[Candidate],
    moving: collections.abc.Set[int],
    may_balance: bool,
) -> list[Move]:
    """Returns the moves that should begin now.

    Args:
        shards: The table.
        loads: Estimated load of each shard.
        candidates: Targets that may own keys.
        moving: Places of shards that are being moved.
        may_balance: Whether shards may also move for load.
    """
    if not candidates:
        return []
    capacities = {c.owner: c.capacity for c in candidates}
    state = _Assignment(dict.fromkeys(capacities, 0.0), capacities)
    for shard, share in zip(shards, loads, strict=True):
        if shard.owner in state.loads:
            state.loads[shard.owner] += share
    moves = _rehome(shards, loads, state, moving)
    if may_balance and not moves and not moving:
        moves = _balance(shards, loads, state)
    return moves


def _rehome(shards, loads, state: _Assignment, moving) -> list[Move]:
    moves = []
    homeless = [
        index
        for index, shard in enumerate(shards)
        if shard.owner not in state.loads and index not in moving
    ]
    for index in sorted(homeless, key=lambda i: -loads[i]):
        to = state.least()
        state.loads[to] += loads[index]
        moves.append(Move(index, to, "owner may not keep it"))
    return moves


def _balance(shards, loads, state: _Assignment) -> list[Move]:
    moves = []
    mean = sum(state.loads.values()) / sum(state.capacities.values())
    if mean <= 0.0:
        return moves
    moved = set()
    for _ in range(MAX_BALANCE_MOVES):
        source = max(state.loads, key=state.pressure)
        to = state.least()
        if state.pressure(source) < OVERLOAD_RATIO * mean:
            break
        index = _best_shard(shards, loads, state, source, to, moved)
        if index is None:
            break
        moved.add(index)
        state.loads[source] -= loads[index]
        state.loads[to] += loads[index]
        moves.append(Move(index, to, "owner is overloaded"))
    return moves


def _best_shard(shards, loads, state, source, to, moved) -> int | None:
    """Returns the shard whose move lowers the higher pressure of the two most.

    The hottest shard of an overloaded target often can't move to advantage;
    its cool neighbours then do.
    """
    best, best_pressure = None, state.pressure(source)
    for index, shard in enumerate(shards):
        if shard.owner != source or index in moved:
            continue
        left = (state.loads[source] - loads[index]) / state.capacities[source]
        gained = (state.loads[to] + loads[index]) / state.capacities[to]
        pressure = max(left, gained)
        gain = best_pressure - pressure
        if gain > MIN_MOVED_LOAD * state.pressure(source):
            best, best_pressure = index, pressure
    return best
