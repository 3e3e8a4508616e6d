"""Choice of moves and splits for given loads."""

import dataclasses

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


def _rebalance_repeatedly(shards, rates, candidates, rounds=12):
    """Applies rounds of moves and returns the resulting owners."""
    shards = list(shards)
    for _ in range(rounds):
        for move in planner.rebalance(shards, rates, candidates):
            old = shards[move.index]
            shards[move.index] = table.Shard(
                old.first, old.last, move.to, 1, ""
            )
    return [shard.owner.target_id for shard in shards]


@pytest.mark.parametrize("targets", [1, 2, 21, 140])
def test_initial_shards_cover_all_keys_evenly(targets):
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


def test_neighbouring_initial_shards_have_different_owners():
    shards = planner.make_initial_shards(_candidates(a=1.0, b=1.0, c=1.0), 1)
    pairs = zip(shards, shards[1:], strict=False)
    assert all(left.owner != right.owner for left, right in pairs)


def test_shards_of_removed_target_are_reassigned_evenly():
    shards = _shards("a", "a", "a", "a", "b", "c")
    moves = planner.reassign_orphaned_shards(
        shards, [1.0] * 6, _candidates(b=9, c=9), set()
    )
    assert [move.index for move in moves] == [0, 1, 2, 3]
    to = [move.to.target_id for move in moves]
    assert sorted(to) == ["b", "b", "c", "c"]


def test_moving_shards_are_not_reassigned():
    moves = planner.reassign_orphaned_shards(
        _shards("a", "a"), [1.0] * 2, _candidates(b=9), {0}
    )
    assert [move.index for move in moves] == [1]


def test_shards_are_reassigned_by_count_without_rates():
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
def test_repeated_rebalancing(owners, rates, capacities, expected):
    owners_after = _rebalance_repeatedly(
        _shards(*owners), rates, _candidates(**capacities)
    )
    for owner, expected_owner in zip(owners_after, expected, strict=True):
        assert expected_owner in (".", owner) or owners_after.count("b") == 2


def test_other_shards_leave_owner_of_hot_shard():
    candidates = _candidates(a=60, b=30, c=30)
    owners_after = _rebalance_repeatedly(
        _shards(*"aaabc"), [50, 4, 4, 2, 2], candidates
    )
    assert owners_after[0] == "a"
    assert "a" not in owners_after[1:3]


def test_slow_target_keeps_few_shards():
    candidates = _candidates(slow=8, fast=40)
    owners_after = _rebalance_repeatedly(
        _shards(*["slow"] * 4, *["fast"] * 4), [3] * 8, candidates
    )
    assert owners_after.count("slow") <= 1


def test_small_load_differences_cause_no_moves():
    candidates = _candidates(a=40, b=41)
    assert not planner.rebalance(_shards(*"abab"), [5, 5, 6, 5], candidates)


@pytest.mark.parametrize(("rate", "split"), [(1.0, False), (8.0, True)])
def test_hot_shards_are_selected_for_splitting(rate, split):
    shards = _shards(*"ab" * 8)
    hot_indexes = planner.find_hot_shards(
        shards, [rate] + [0.5] * 15, _candidates(a=36, b=36), set(), 64
    )
    assert hot_indexes == ([0] if split else [])


def test_hottest_bucket_becomes_its_own_shard():
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
def test_estimated_wait_grows_with_utilisation(slots):
    assert planner.estimate_wait(-1e-17, slots) == 0.0
    waits = [planner.estimate_wait(u / 20, slots) for u in range(40)]
    assert waits == sorted(waits)
    assert waits[4] < 0.3
    assert waits[30] > 5


def test_busiest_owner_is_relieved_once_while_a_move_from_it_lasts():
    candidates = _candidates(a=10.0, b=10.0, c=10.0, d=10.0)
    shards = _shards(*"aaabbbcd")
    rates = [4.0, 3.5, 3.5, 4.0, 3.5, 3.5, 1.0, 1.0]
    first = planner.rebalance(shards, rates, candidates)[0]
    planned = list(shards)
    planned[first.index] = dataclasses.replace(
        shards[first.index], owner=first.to
    )
    moves = planner.rebalance(planned, rates, candidates, {first.index})
    assert first.index not in {move.index for move in moves}
    sources = [planned[move.index].owner.target_id for move in moves]
    assert sources.count(shards[first.index].owner.target_id) <= 1
    assert moves


def test_empty_target_is_filled_while_other_shards_move():
    candidates = _candidates(a=1.0, b=1.0, c=1.0)
    shards = _shards(*"aaaabbbb")
    moves = planner.fill_empty_targets(shards, [1.0] * 8, candidates, 0.9, {0})
    assert len(moves) == 2
    assert {move.to for move in moves} == {_owner("c")}
    assert 0 not in {move.index for move in moves}


def test_no_moves_are_planned_again_while_they_last():
    candidates = _candidates(a=1.0, b=1.0)
    planned = _shards(*"aaab")
    assert not planner.fill_empty_targets(
        planned, [1.0] * 4, candidates, 0.9, {3}
    )
