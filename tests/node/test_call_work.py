"""Forwarding teaches and uses estimates of work, with scripted answers."""

import asyncio

import pytest

from jujubeyard.node import upstream
from jujubeyard.scheduling import work
from tests.node import test_forward

BROKEN = upstream.SendResult(upstream.SendOutcome.BROKEN)
ANSWERED = test_forward.make_answer()


@pytest.fixture(name="harness")
def make_harness():
    return test_forward.Harness()


def _teach(harness, target, slowdown):
    """Has a target serve calls of which the first path's are costly."""
    model = harness.forwarder._selector.work.model
    for number in range(200):
        path, seconds = (("/read/1", 1.0), ("/read/2", 0.05))[number % 2]
        traits = work.CallTraits("pool", "read", path, 0, None)
        model.observe(traits, target.load.speed, slowdown * seconds)


@pytest.mark.parametrize("result", [ANSWERED, BROKEN])
async def test_backlog_ends_with_the_attempt(harness, result):
    target = harness.add_target("t1")
    seen = []

    async def see_backlog(call):
        seen.append(len(target.load.pending))
        return result

    harness.client.script = [see_backlog]
    await harness.serve("order")
    assert seen == [1]
    assert len(target.load.pending) == 0


async def test_backlog_ends_with_a_cancelled_call(harness):
    target = harness.add_target("t1")

    async def wait(call):
        await asyncio.Event().wait()

    harness.client.script = [wait]
    task = asyncio.create_task(harness.serve("order"))
    await asyncio.sleep(0.01)
    assert len(target.load.pending) == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert len(target.load.pending) == 0


@pytest.mark.parametrize(("tells_load", "served"), [(True, 20), (False, 0)])
async def test_costly_call_goes_to_the_fast_target(harness, tells_load, served):
    """The slow target's latest calls were cheap ones."""
    slow, fast = harness.add_target("t1"), harness.add_target("t2")
    for _ in range(30):
        _teach(harness, slow, 1.6)
        _teach(harness, fast, 0.7)
        slow.load.observe_success(0.08, 0.0)
        fast.load.observe_success(0.7, 0.0)
    if tells_load:
        for target in (slow, fast):
            report = test_forward.documents.parse_load_report("1,0,6,100")
            target.load.observe_report(report, 1.0)
    harness.client.script = [test_forward.make_answer() for _ in range(20)]
    for _ in range(20):
        await harness.serve("read")
    sent = [call.address for call in harness.client.sent]
    assert sent.count("t2:1") == served


async def test_expected_and_observed_work_are_logged_and_counted(harness):
    target = harness.add_target("t1")
    _teach(harness, target, 1.0)
    harness.client.script = [ANSWERED]
    await harness.serve("read")
    line = dict(harness.log.events)["call answered"]
    assert line["work_expected"] > 0.5
    assert 0.0 <= line["work_observed"] < 0.5
    text = harness.metrics.render().decode()
    assert 'jujubeyard_work_ratio_count{service="pool"} 1.0' in text
    assert "jujubeyard_work_groups" in text
