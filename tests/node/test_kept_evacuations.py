"""Evacuations that a copy of the store doesn't have."""

import pytest

from jujubeyard.node import cluster_view
from tests.utils import view_steps


@pytest.fixture
def view(monkeypatch):
    monkeypatch.setattr(
        cluster_view, "KEEP_SECONDS", view_steps.PAST_KEEP_SECONDS / 2
    )
    return view_steps.make_view()


@pytest.mark.parametrize(
    ("steps", "evacuated", "kept", "ends"),
    [
        pytest.param([view_steps.read_zones()], False, 0, [], id="no era"),
        pytest.param(
            [view_steps.wait, view_steps.read_zones()],
            False,
            0,
            [],
            id="no era, much later",
        ),
        pytest.param([view_steps.go_back], True, 0, [], id="copy not read yet"),
        pytest.param(
            [view_steps.go_back, view_steps.read_zones()],
            True,
            1,
            [],
            id="missing",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.read_zones(),
            ],
            True,
            1,
            [],
            id="missing, read twice",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.change(view_steps.EVACUATION),
                view_steps.read_zones(),
            ],
            True,
            1,
            [],
            id="told late of the era before",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(view_steps.EVACUATION),
                view_steps.read_zones(),
            ],
            False,
            0,
            [],
            id="in the copy, then taken back",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.EVACUATION),
                view_steps.wait,
            ],
            True,
            1,
            ["written again"],
            id="written again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.read_zones(view_steps.EVACUATION),
                view_steps.wait,
            ],
            True,
            1,
            ["written again"],
            id="written again, read",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.NO_EVACUATION),
            ],
            False,
            1,
            ["taken back"],
            id="taken back",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.EVACUATION),
                view_steps.change(view_steps.NO_EVACUATION),
            ],
            False,
            1,
            ["written again"],
            id="written again and taken back",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.EVACUATION),
                view_steps.read_zones(),
            ],
            False,
            1,
            ["written again"],
            id="written again and taken back, read",
        ),
        pytest.param(
            [view_steps.go_back, view_steps.read_zones(), view_steps.wait],
            False,
            1,
            ["not written again"],
            id="time over",
        ),
        pytest.param(
            [view_steps.go_back, view_steps.wait, view_steps.read_zones()],
            False,
            0,
            [],
            id="read when the time is over",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.go_back,
                view_steps.read_zones(),
            ],
            True,
            1,
            [],
            id="again before it is written",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.EVACUATION),
                view_steps.go_back,
                view_steps.read_zones(),
            ],
            True,
            2,
            ["written again"],
            id="again once it is written",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_zones(),
                view_steps.change(view_steps.NO_EVACUATION),
                view_steps.go_back,
                view_steps.read_zones(),
            ],
            False,
            1,
            ["taken back"],
            id="again once it is taken back",
        ),
    ],
)
async def test_evacuation(view, steps, evacuated, kept, ends):
    for step in [view_steps.read_zones(view_steps.EVACUATION), *steps]:
        await step(view)
    assert ("z1" in view.registry.evacuated_since) is evacuated
    assert view._log.count("evacuation kept") == kept
    assert view_steps.find_reasons(view, "evacuation no longer kept") == ends


async def test_kept_evacuation_began_when_it_did(view):
    await view_steps.read_zones(view_steps.EVACUATION)(view)
    since = view.registry.evacuated_since["z1"]
    for step in [
        view_steps.go_back,
        view_steps.read_zones(),
        view_steps.change(view_steps.EVACUATION),
    ]:
        await step(view)
    assert view.registry.evacuated_since["z1"] == since
