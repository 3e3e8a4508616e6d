"""Listings that the store has from an older copy only."""

import dataclasses
import time

import pytest

from jujubeyard.node import cluster_view
from jujubeyard.targets import registry
from tests.utils import view_steps

LISTING = registry.Listing("t1", "desk", "t1:1", "z1", 6, False, 0.0, 7)


@pytest.fixture
def view(monkeypatch):
    monkeypatch.setattr(
        cluster_view, "KEEP_SECONDS", view_steps.PAST_KEEP_SECONDS / 2
    )
    return view_steps.make_view()


@pytest.mark.parametrize("told_by", ["change", "read"])
@pytest.mark.parametrize(
    ("steps", "available", "kept", "ends"),
    [
        pytest.param(
            [view_steps.read_targets(view_steps.make_target())],
            True,
            0,
            [],
            id="no era",
        ),
        pytest.param(
            [view_steps.go_back], False, 0, [], id="copy not read yet"
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
            ],
            False,
            1,
            [],
            id="listed",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.read_targets(view_steps.make_target()),
            ],
            False,
            1,
            [],
            id="listed, read twice",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target()),
            ],
            True,
            1,
            ["written again"],
            id="written again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target(seq=6)),
            ],
            True,
            0,
            [],
            id="written since",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.read_targets(view_steps.make_target(seq=6)),
            ],
            True,
            1,
            ["written again"],
            id="written again, read",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(),
                view_steps.change(view_steps.make_target()),
            ],
            True,
            0,
            [],
            id="not in the copy, written",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target(seq=1, born=8)),
            ],
            True,
            0,
            [],
            id="another incarnation",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target(seq=9, born=6)),
            ],
            False,
            1,
            [],
            id="earlier incarnation",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.NO_TARGET),
                view_steps.wait,
            ],
            False,
            1,
            ["removed"],
            id="removed again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.read_targets(),
                view_steps.wait,
            ],
            False,
            1,
            ["removed"],
            id="removed again, read",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.wait,
            ],
            True,
            1,
            ["still listed"],
            id="time over",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.wait,
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            0,
            [],
            id="read when the time is over",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
            ],
            False,
            1,
            [],
            id="again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target()),
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            1,
            ["written again"],
            id="again once it is written",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target()),
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            1,
            ["written again"],
            id="written again, then read",
        ),
        pytest.param(
            [view_steps.read_targets(view_steps.make_target(born=6))],
            True,
            0,
            [],
            id="earlier incarnation, no era",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.wait,
                view_steps.read_targets(view_steps.make_target(born=6)),
            ],
            True,
            0,
            [],
            id="earlier incarnation when the time is over",
        ),
    ],
)
async def test_removed_target(view, steps, available, kept, ends, told_by):
    removal = (
        view_steps.change(view_steps.NO_TARGET)
        if told_by == "change"
        else view_steps.read_targets()
    )
    for step in [view_steps.read_targets(view_steps.make_target()), removal]:
        await step(view)
    target = view.registry.targets["t1"]
    removed_at = target.removed_at
    for step in steps:
        await step(view)
    current = view.registry.targets["t1"]
    assert view.registry.is_available(current, time.monotonic()) is available
    if not available:
        assert current is target
        assert current.removed_at == removed_at
    assert view._log.count("target kept as removed") == kept
    assert not view._log.count("target kept as newer incarnation")
    assert (
        view_steps.find_reasons(view, "target listing no longer withheld")
        == ends
    )


@pytest.mark.parametrize(
    ("removal", "later"),
    [
        pytest.param(
            [view_steps.lose_store, view_steps.change(view_steps.NO_TARGET)],
            [],
            id="outage",
        ),
        pytest.param(
            [view_steps.lose_store, view_steps.read_targets()],
            [],
            id="outage, read",
        ),
        pytest.param(
            [view_steps.go_back, view_steps.read_targets()],
            [],
            id="not in the copy before",
        ),
        pytest.param(
            [view_steps.change(view_steps.NO_TARGET)],
            [view_steps.change(view_steps.make_target(seq=6))],
            id="expired alone",
        ),
    ],
)
async def test_target_whose_listing_expired_comes_back(view, removal, later):
    for step in [
        view_steps.read_targets(view_steps.make_target()),
        *removal,
        view_steps.go_back,
        view_steps.read_targets(view_steps.make_target()),
        *later,
    ]:
        await step(view)
    target = view.registry.targets["t1"]
    assert not target.removed_at
    assert view.registry.is_available(target, time.monotonic())


async def test_earlier_incarnation_in_the_copy_is_not_used(view):
    current, earlier = (
        view_steps.make_target("draining", seq=1, born=8),
        view_steps.make_target(born=7),
    )
    for step in [
        view_steps.read_targets(current),
        view_steps.go_back,
        view_steps.read_targets(earlier),
    ]:
        await step(view)
    target = view.registry.targets["t1"]
    assert target.listing.born == 8
    assert target.draining_since and not target.removed_at
    assert view._log.count("target kept as newer incarnation") == 1
    await view_steps.change(view_steps.make_target("draining", seq=2, born=8))(
        view
    )
    assert view_steps.find_reasons(
        view, "target listing no longer withheld"
    ) == ["written again"]


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(
            [view_steps.go_back, view_steps.change(view_steps.NO_TARGET)],
            id="told late of the era before",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.wait,
                view_steps.read_targets(),
                view_steps.go_back,
            ],
            id="read when the time was over",
        ),
    ],
)
async def test_removal_in_a_later_era_is_kept(view, steps):
    listed = view_steps.read_targets(view_steps.make_target())
    for step in [listed, *steps, listed]:
        await step(view)
    assert view.registry.targets["t1"].removed_at
    assert view._log.count("target kept as removed") == 1


async def test_forgotten_targets_take_no_memory(view):
    view.registry.put(dataclasses.replace(LISTING, target_id="t2"), 1.0)
    view._outdated_listings.remove("t2", 1.0, 1.0)
    view.registry.purge_removed(registry.RETENTION_SECONDS + 2.0)
    view.registry.put(LISTING, 70.0)
    view._outdated_listings.remove("t1", 70.0, 70.0)
    assert list(view._outdated_listings._removed) == ["t1"]
