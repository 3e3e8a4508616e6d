"""Which shards move where, under load that the planner answers."""

import pytest

from jujubeyard.ownership import planner
from jujubeyard.ownership import table


def _owner(name):
    return table.Owner(name, 1, f"{name}:1")


def _candidates(**capacities):
    return [
        planner.Candidate(_owner(name), capacity, 6)
        for name, capacity in capacities.items()
    ]


def _shards(*owners):
    ranges = table.split_key_space(len(owners))
    return tuple(
        table.Shard(first, last, _owner(owner), 1, "")
        for (first, last), owner in zip(ranges, owners, strict=True)
    )


def _replay(shards, rates, candidates, rounds=12):
    """Plays rounds of moves and returns the owners at the end."""
    shards = list(shards)
    for _ in range(rounds):
        for move in planner.rebalance(shards, rates, candidates):
            old = shards[move.index]
            shards[move.index] = table.Shard(
                old.first, old.last, move.to, 1, ""
            )
    return [shard.owner.target_id for shard in shards]


@pytest.mark.parametrize("targets", [1, 2, 21, 140])
def test_first_table_holds_all_keys_evenly(targets):
    candidates = _candidates(**{f"t{i}": 10.0 for i in range(targets)})
    shards = planner.make_initial_shards(candidates, 7)
    assert shards[0].first == 0
    assert shards[-1].last == 65535
    for left, right in zip(shards, shards[1:], strict=False):
        assert left.last + 1 == right.first
    counts = [
        sum(1 for shard in shards if shard.owner == candidate.owner)
        for candidate in candidates
    ]
    assert max(counts) - min(counts) <= 1


def test_neighbouring_shards_go_to_different_targets():
    shards = planner.make_initial_shards(_candidates(a=1.0, b=1.0, c=1.0), 1)
    pairs = zip(shards, shards[1:], strict=False)
    assert all(left.owner != right.owner for left, right in pairs)


def test_shards_of_a_target_that_left_go_to_the_others_evenly():
    shards = _shards("a", "a", "a", "a", "b", "c")
    moves = planner.reassign_orphaned_shards(
        shards, [1.0] * 6, _candidates(b=9, c=9), set()
    )
    assert [move.index for move in moves] == [0, 1, 2, 3]
    to = [move.to.target_id for move in moves]
    assert sorted(to) == ["b", "b", "c", "c"]


def test_moving_shards_are_left_alone():
    moves = planner.reassign_orphaned_shards(
        _shards("a", "a"), [1.0] * 2, _candidates(b=9), {0}
    )
    assert [move.index for move in moves] == [1]


def test_without_rates_shards_are_spread_by_number():
    shards = _shards("a", "a", "a", "a")
    moves = planner.reassign_orphaned_shards(
        shards, [0.0] * 4, _candidates(b=6, c=6), set()
    )
    assert sorted(move.to.target_id for move in moves) == ["b", "b", "c", "c"]


@pytest.mark.parametrize(
    ("owners", "rates", "capacities", "expected"),
    [
        pytest.param(
            "aabb", [5, 5, 5, 5], {"a": 40, "b": 40}, "aabb", id="even"
        ),
        pytest.param(
            "aaab", [9, 9, 9, 9], {"a": 30, "b": 30}, "baab", id="overloaded"
        ),
        pytest.param(
            "abcc",
            [50, 1, 1, 1],
            {"a": 20, "b": 20, "c": 60},
            "c...",
            id="hot shard goes to the fastest target",
        ),
    ],
)
def test_rounds_of_moves(owners, rates, capacities, expected):
    ended = _replay(_shards(*owners), rates, _candidates(**capacities))
    for seen, wanted in zip(ended, expected, strict=True):
        assert wanted in (".", seen) or ended.count("b") == 2


def test_cool_shards_leave_the_target_of_a_hot_one():
    candidates = _candidates(a=60, b=30, c=30)
    ended = _replay(_shards(*"aaabc"), [50, 4, 4, 2, 2], candidates)
    assert ended[0] == "a"
    assert "a" not in ended[1:3]


def test_a_slow_target_keeps_little():
    candidates = _candidates(slow=8, fast=40)
    ended = _replay(_shards(*["slow"] * 4, *["fast"] * 4), [3] * 8, candidates)
    assert ended.count("slow") <= 1


def test_small_differences_move_nothing():
    candidates = _candidates(a=40, b=41)
    assert not planner.rebalance(_shards(*"abab"), [5, 5, 6, 5], candidates)


@pytest.mark.parametrize(("rate", "split"), [(1.0, False), (8.0, True)])
def test_hot_shards_are_split(rate, split):
    shards = _shards(*"ab" * 8)
    places = planner.find_hot_shards(
        shards, [rate] + [0.5] * 15, _candidates(a=36, b=36), set(), 64
    )
    assert places == ([0] if split else [])


def test_the_hottest_part_of_a_split_stands_alone():
    shard = table.Shard(0, 511, _owner("a"), 1, "h")
    calls = [1.0] * 1024
    calls[3] = 50.0
    parts = planner.split_shard(shard, calls, 64)
    assert [(p.first, p.last) for p in parts] == [
        (0, 191),
        (192, 255),
        (256, 511),
    ]
    assert {(p.owner, p.fence) for p in parts} == {(_owner("a"), 1)}


@pytest.mark.parametrize("slots", [1, 3, 6])
def test_waits_grow_with_utilisation(slots):
    assert planner.estimate_wait(-1e-17, slots) == 0.0
    waits = [planner.estimate_wait(u / 20, slots) for u in range(40)]
    assert waits == sorted(waits)
    assert waits[4] < 0.3
    assert waits[30] > 5
