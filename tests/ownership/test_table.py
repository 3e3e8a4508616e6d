"""The shard table, its encoding and its updates."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard import errors
from jujubeyard.ownership import demand
from jujubeyard.ownership import planner
from jujubeyard.ownership import table

OWNERS = [
    table.Owner(name, born, f"{name}:1") for name, born in (("a", 1), ("b", 2))
]


def _table(count, revision=1):
    shards = tuple(
        table.Shard(first, last, OWNERS[i % 2], i + 1, "h" * (i % 3))
        for i, (first, last) in enumerate(table.split_key_space(count))
    )
    return table.ShardTable("desk", shards, revision)


@hypothesis.given(
    count=strategies.integers(1, 512), key=strategies.integers(0, 65535)
)
def test_find_returns_shard_that_contains_key(count, key):
    shard = _table(count).find(key)
    assert shard.first <= key <= shard.last


def test_find_returns_none_in_empty_table():
    assert table.ShardTable("desk", (), 0).find(5) is None


def test_encoded_table_decodes_to_same_shards():
    original = _table(7)
    read = table.decode("desk", table.encode(original.shards), 1)
    assert read.shards == original.shards


@pytest.mark.parametrize("body", [b"", b"x", b"\xa0", b"\x80"])
def test_malformed_table_is_rejected(body):
    with pytest.raises(errors.FormatError):
        table.decode("desk", body, 1)


def _changed(old, index):
    shards = list(old.shards)
    shards[index] = dataclasses.replace(
        shards[index], owner=OWNERS[1], fence=99
    )
    return table.ShardTable("desk", tuple(shards), old.revision + 1)


def test_update_contains_only_changed_shards():
    old = _table(8)
    new = _changed(old, 2)
    update = table.compare(old, new)
    assert len(update.shards) == 1
    assert table.apply_update(old, update).shards == new.shards


def test_update_with_other_base_revision_is_rejected():
    old = _table(8)
    update = table.compare(old, _changed(old, 2))
    assert table.apply_update(_table(8, revision=5), update) is None


@pytest.mark.parametrize(
    ("before", "after"), [(8, 9), (8, 16), (16, 8), (1, 64)]
)
def test_update_between_different_shard_boundaries(before, after):
    old, new = _table(before), _table(after, revision=2)
    update = table.compare(old, new)
    assert table.apply_update(old, update).shards == new.shards


def test_update_after_split_contains_only_parts():
    old = _table(8)
    shard = old.shards[3]
    parts = planner.split_shard(
        shard, [1.0] * demand.BUCKETS, demand.BUCKET_KEYS
    )
    shards = (*old.shards[:3], *parts, *old.shards[4:])
    new = table.ShardTable(old.service, shards, 2)
    update = table.compare(old, new)
    assert update.shards == tuple(parts)
    assert table.apply_update(old, update).shards == shards
