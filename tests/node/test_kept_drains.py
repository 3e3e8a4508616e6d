"""Draining targets that a copy of the store shows as ready."""

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
    ("steps", "draining", "kept", "ends"),
    [
        pytest.param(
            [view_steps.read_targets(view_steps.make_target())],
            False,
            0,
            [],
            id="no era",
        ),
        pytest.param(
            [view_steps.change(view_steps.make_target(seq=6))],
            False,
            0,
            [],
            id="no era, late",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            1,
            [],
            id="ready",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            1,
            [],
            id="ready, read twice",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target(seq=6)),
            ],
            True,
            1,
            [],
            id="written again as ready",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.wait,
            ],
            True,
            1,
            [],
            id="ready for long",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target("draining", seq=6)),
            ],
            True,
            1,
            ["written again"],
            id="written again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.NO_TARGET),
            ],
            True,
            1,
            ["removed"],
            id="gone",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.change(view_steps.make_target(born=8)),
            ],
            False,
            1,
            ["another incarnation"],
            id="another incarnation",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target(born=6)),
            ],
            True,
            0,
            [],
            id="earlier incarnation",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
                view_steps.go_back,
                view_steps.read_targets(view_steps.make_target()),
            ],
            True,
            1,
            [],
            id="again",
        ),
        pytest.param(
            [
                view_steps.go_back,
                view_steps.change(view_steps.make_target(born=8)),
                view_steps.change(view_steps.make_target("draining", born=8)),
                view_steps.read_targets(view_steps.make_target(born=8)),
            ],
            True,
            1,
            [],
            id="told late of the era before",
        ),
    ],
)
async def test_draining_target(view, steps, draining, kept, ends):
    for step in [
        view_steps.read_targets(view_steps.make_target("draining", seq=5)),
        *steps,
    ]:
        await step(view)
    assert bool(view.registry.targets["t1"].draining_since) is draining
    assert view._log.count("target kept as draining") == kept
    assert (
        view_steps.find_reasons(view, "target no longer kept as draining")
        == ends
    )
