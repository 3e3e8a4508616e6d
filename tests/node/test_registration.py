"""Tests of what a node's registration tells about the store."""

import asyncio

import pytest
import result

from jujubeyard.node import tasks
from jujubeyard.store import health
from jujubeyard.store import interface
from tests.utils import fakes


def _fail(kind):
    return result.Err(interface.Failure(kind, ""))


UNKNOWN = _fail(interface.FailureKind.UNKNOWN)
NO_LEASE = _fail(interface.FailureKind.NO_LEASE)
OK = result.Ok(None)


class ScriptedStore:
    """Answers the calls of a registration in turn, then never again."""

    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)

    async def _answer(self, *_):
        if not self._outcomes:
            await asyncio.Event().wait()
        return self._outcomes.pop(0)

    open_lease = write = renew_lease = end_lease = _answer


@pytest.mark.parametrize(
    ("outcomes", "is_available"),
    [
        pytest.param([OK], True, id="renewed"),
        pytest.param([UNKNOWN], False, id="no answer"),
        pytest.param([UNKNOWN, OK], True, id="renewed again"),
        pytest.param([UNKNOWN, NO_LEASE], True, id="expired in an outage"),
        pytest.param([NO_LEASE, UNKNOWN], False, id="lost after expiry"),
        pytest.param(
            [NO_LEASE, UNKNOWN, result.Ok(8)], True, id="opened after expiry"
        ),
    ],
)
async def test_lease_that_expired_in_an_outage_does_not_hide_its_end(
    monkeypatch, outcomes, is_available
):
    for pause in (
        "LEASE_RENEW_SECONDS",
        "RENEW_RETRY_SECONDS",
        "REGISTER_RETRY_SECONDS",
    ):
        monkeypatch.setattr(tasks, pause, 0.0)
    store = ScriptedStore(result.Ok(7), result.Ok(2), *outcomes)
    store_health = health.Health(lambda _: None, lambda: None)
    registration = tasks.NodeRegistration(
        store, "k", "n1", store_health, fakes.RecordingJournal()
    )
    run = asyncio.create_task(registration.run())
    await asyncio.sleep(0.05)
    run.cancel()
    assert store_health.is_available is is_available


@pytest.mark.parametrize("renewal", [OK, UNKNOWN])
async def test_time_of_a_renewal_tells_how_late_answers_are(renewal):
    class SlowStore(ScriptedStore):
        async def renew_lease(self, _):
            await asyncio.sleep(0.1)
            return renewal

    store_health = health.Health(lambda _: None, lambda: None)
    registration = tasks.NodeRegistration(
        SlowStore(result.Ok(7), result.Ok(2)),
        "k",
        "n1",
        store_health,
        fakes.RecordingJournal(),
    )
    await registration._register()
    run = asyncio.create_task(registration.run())
    await asyncio.sleep(0.2)
    run.cancel()
    assert store_health.round_trip_seconds == pytest.approx(0.1, abs=0.04)
