"""Tests of what a node's view of the cluster logs and keeps."""

import pytest

from jujubeyard.node import cluster_view
from jujubeyard.node import metrics
from jujubeyard.routing import config
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


def _error(name, field, kind=config.EntryKind.ROUTE):
    return config.EntryError(kind, name, field, "a host", "nothing")


@pytest.mark.parametrize(
    ("found", "lines", "counts"),
    [
        ([], 0, {}),
        ([_error("r1", "host"), _error("r1", "kind")], 1, {"route": 1}),
        (
            [
                _error("r1", "host"),
                _error("desk", "x", config.EntryKind.SERVICE),
            ],
            2,
            {"route": 1, "service": 1},
        ),
        (
            [_error(f"r{n}", "host") for n in range(500)],
            cluster_view.MAX_UNREADABLE_LINES,
            {"route": 500},
        ),
    ],
)
def test_unreadable_entries_are_logged_and_counted(view, found, lines, counts):
    metric_set = metrics.Metrics()
    metric_set.watch_unreadable(view.count_unreadable)
    for version in (2, 2, 3):
        configuration = config.Configuration(
            version, (), {}, 1, errors=tuple(found)
        )
        view._apply(changes.ConfigurationChanged(configuration))
    assert view._log.count("configuration entry not readable") == 2 * lines
    for kind in config.EntryKind:
        line = (
            f'jujubeyard_unreadable_entries{{kind="{kind.value}"}} '
            f"{float(counts.get(kind.value, 0))}"
        )
        assert line in metric_set.render().decode()
