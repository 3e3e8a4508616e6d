"""Tests of what a node's view of the cluster logs and keeps."""

import pytest

from jujubeyard.node import cluster_view
from jujubeyard.store import changes
from jujubeyard.targets import registry
from tests.utils import fakes


def _listing(**fields):
    defaults = {
        "target_id": "t1",
        "service": "desk",
        "address": "t1:1",
        "zone": "z1",
        "slots": 6,
        "draining": False,
        "cold_seconds": 3.0,
        "born": 1,
    }
    return registry.Listing(**(defaults | fields))


@pytest.fixture
def view():
    prefixes = changes.Prefixes("op/", "targets/", "own/")
    return cluster_view.ClusterView(
        prefixes, None, None, fakes.RecordingJournal()
    )


@pytest.mark.parametrize(
    ("second", "lines"),
    [
        pytest.param(_listing(), 1, id="same"),
        pytest.param(_listing(cold_seconds=2.0), 1, id="less cold"),
        pytest.param(_listing(draining=True), 2, id="draining"),
        pytest.param(_listing(born=2), 2, id="new incarnation"),
        pytest.param(_listing(address="t1:2"), 2, id="moved"),
    ],
)
def test_change_of_a_listing_is_logged(view, second, lines):
    view._apply(changes.TargetListed(_listing()))
    view._apply(changes.TargetListed(second))
    events = [fields for name, fields in view._log.events]
    assert len(events) == lines
    assert events[-1]["draining"] is second.draining
