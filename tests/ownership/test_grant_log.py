"""What the log and the metrics say of grants and of the ends of holds."""

import pytest

from jujubeyard.node import metrics
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import holds
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from tests.ownership import test_shard_coordinator
from tests.utils import fakes

SERVICE = test_shard_coordinator.SERVICE
LABELS = {"service": SERVICE}
MAX_ROWS = grant_log.MAX_ROWS_PER_LINE
MAX_WAITING = grant_log.MAX_WAITING_RECORDS


class World:
    """A log with metrics."""

    def __init__(self):
        self.log = fakes.RecordingJournal()
        metric_set = metrics.Metrics()
        self.value = metric_set.registry.get_sample_value
        self.grants = grant_log.GrantLog(SERVICE, 3, self.log, metric_set)

    def start(self, fence):
        owner = table.Owner("a", 7, "a:1")
        request = target_requests.GrantRequest(
            owner, 64, 127, fence, 3.5, "", 0.0
        )
        self.grants.start(request, 10.0)


@pytest.fixture
def harness(monkeypatch):
    return test_shard_coordinator.CoordinatorHarness(monkeypatch)


def _lines(log, event):
    return [fields for name, fields in log.events if name == event]


@pytest.mark.parametrize(
    ("count", "rows", "left_out"),
    [
        (0, [], []),
        (MAX_ROWS + 1, [MAX_ROWS, 1], [0, 0]),
        (MAX_WAITING + 5, 3 * [MAX_ROWS], [5, 0, 0]),
    ],
)
def test_lines_and_their_rows_are_bounded(count, rows, left_out):
    world = World()
    for fence in range(count):
        world.start(fence)
        world.grants.end(fence, "done", 10.1, is_answered=True)
    for step in range(250):
        world.grants.flush(11.0 + 0.01 * step)
    lines = _lines(world.log, "grants")
    assert [len(line["rows"]) for line in lines] == rows
    assert [line["left_out"] for line in lines] == left_out


@pytest.mark.parametrize(
    ("outcome", "answers"),
    [("done", 1.0), ("unknown", None), (grant_log.TERM_ENDED, None)],
)
def test_row_and_metrics_of_a_grant(outcome, answers):
    world = World()
    world.start(9)
    world.grants.flush(30.0)
    if outcome != grant_log.TERM_ENDED:
        world.grants.end(9, outcome, 10.25, is_answered=answers is not None)
    world.grants.close(10.25)
    world.grants.end(9, "done", 10.5, is_answered=True)
    world.grants.close(30.0)
    (line,) = _lines(world.log, "grants")
    assert (line["term"], line["owners"]) == (3, [("a", 7, "a:1")])
    row = (64, 127, 0, 9, 3.5, 10.0, 10.25, outcome)
    assert line["rows"] == [row]
    assert len(line["columns"]) == len(row)
    count = world.value(
        "jujubeyard_grants_total", LABELS | {"outcome": outcome}
    )
    assert count == 1.0
    assert world.value("jujubeyard_grant_seconds_count", LABELS) == answers


async def test_every_grant_and_the_begin_of_the_term_are_logged(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(3.0)
    harness.coordinator.stop()
    targets = harness.target_client.targets.values()
    taken = sum((target.granted_fences for target in targets), [])
    lines = _lines(harness.log, "grants")
    assert {row[3] for line in lines for row in line["rows"]} == set(taken)
    (begin,) = _lines(harness.log, "term begins for service")
    assert begin["term"] == harness.leadership.term
    until = holds.latest_expiry(
        begin["won_at"], test_shard_coordinator.MAX_HOLD_SECONDS
    )
    assert begin["earlier_holds_until"] == pytest.approx(until)


async def test_grant_whose_sending_raises_an_error_is_logged(
    harness, monkeypatch
):
    monkeypatch.setattr(harness.target_client, "grant", lambda *_: 1 / 0)
    harness.add_targets("a")
    await harness.lead()
    await harness.run(2.0)
    rows = _lines(harness.log, "grants")[0]["rows"]
    assert {row[-1] for row in rows} == {grant_log.FAILED}


def _silence(harness):
    harness.target_client.targets["a"].is_unresponsive = True


def _replace(harness):
    """Ends the owner; another target has its address."""
    harness.target_client.targets["a"].held_until.clear()
    reply = target_requests.Reply(421, "", None)

    async def release(session, request, seconds):
        return reply

    harness.target_client.release = release


@pytest.mark.parametrize(
    ("act", "evidence", "answers", "replaced"),
    [
        pytest.param(lambda _: None, "released", 2, 0, id="released"),
        pytest.param(_silence, "grants expired", 0, 0, id="expired"),
        pytest.param(_replace, "another target replied", 1, 1, id="replaced"),
    ],
)
async def test_end_of_a_hold_is_logged_and_counted(
    harness, act, evidence, answers, replaced
):
    """The one answer of another target ends both holds of the owner."""
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    act(harness)
    harness.remove_candidate("a")
    await harness.run(3 * test_shard_coordinator.HOLD_SECONDS)
    freed = _lines(harness.log, "shard freed")
    assert {(f["evidence"], f["owner"], f["to"]) for f in freed} == {
        (evidence, "a", "b")
    }
    answered = [f for f in freed if f["release_answered_at"] is not None]
    assert len(answered) == answers
    for line in answered:
        assert line["release_sent_at"] <= line["freed_at"]
    for line in freed:
        assert line["release_fence"] > line["fence"]
        left = line["hold_until"] - line["freed_at"]
        assert left == pytest.approx(line["hold_left"], abs=0.002)
    name, labels = "jujubeyard_ended_holds_total", {"evidence": evidence}
    value = harness.metrics.registry.get_sample_value
    assert value(name, LABELS | labels) == len(freed) == 2
    assert harness.log.count("another target replied") == replaced


async def test_owner_other_than_the_planned_one_is_logged(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    _silence(harness)
    harness.remove_candidate("a")
    await harness.run(0.2)
    harness.add_targets("c")
    harness.remove_candidate("b")
    await harness.run(3 * test_shard_coordinator.HOLD_SECONDS)
    replaced = _lines(harness.log, "next owner replaced")
    assert [(r["planned"], r["to"]) for r in replaced] == 2 * [("b", "c")]
