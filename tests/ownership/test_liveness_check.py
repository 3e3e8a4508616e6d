"""Tests of the request that shows whether an owner's process runs."""

import pytest

from jujubeyard.ownership import liveness_check
from jujubeyard.ownership import table

OWNERS = {name: table.Owner(name, 1, f"{name}:1") for name in ("a", "b")}


def _make_shards(rows):
    return [
        table.Shard(100 * index, 100 * index + 99, OWNERS[name], fence, "")
        for index, (name, fence) in enumerate(rows)
    ]


@pytest.mark.parametrize(
    ("rows", "first"),
    [
        pytest.param([("a", 1), ("b", 1)], 100, id="keys of another"),
        pytest.param(
            [("b", 9), ("a", 1), ("b", 4), ("b", 7)],
            200,
            id="the longest with another, so that no call runs on them",
        ),
        pytest.param([("a", 1), ("a", 2)], None, id="no other owner"),
        pytest.param([], None, id="no shards"),
    ],
)
def test_check_is_for_keys_that_the_owner_has_not_had_lately(rows, first):
    check = liveness_check.make_check(OWNERS["a"], _make_shards(rows))
    if first is None:
        assert check is None
        return
    assert (check.first, check.last) == (first, first + 99)
    assert check.target == OWNERS["a"]
    assert check.fence == liveness_check.CHECK_FENCE
