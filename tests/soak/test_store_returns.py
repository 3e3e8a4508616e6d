"""Soaks in which the store comes back from older copies."""

import pytest

from soak import core

SECONDS = 25.0
PLAYS = [
    pytest.param(400, ("return_store",), id="alone"),
    pytest.param(
        401, ("return_store", "kill_node", "replace_target"), id="kills"
    ),
    pytest.param(402, ("return_store", "crash_target"), id="crashes"),
    pytest.param(
        403, ("return_store", "freeze_node", "replace_target"), id="freezes"
    ),
    pytest.param(
        404,
        ("return_store_twice", "cut_node_from_store", "cut_target_off"),
        id="twice and cuts",
    ),
]


@pytest.mark.parametrize(("seed", "only"), PLAYS)
def test_store_that_comes_back_from_a_copy_gives_no_key_two_owners(
    seed, only, tmp_path
):
    outcome = core.run_seed(seed, tmp_path, SECONDS, only)
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.call_count > 0
