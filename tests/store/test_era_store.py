"""Calls to the store that begin in one era and are answered in another."""

import pytest
import result

from jujubeyard.store import era_store
from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions
from tests.utils import fakes

EARLIER, CURRENT, NEXT = 3, 4, 5
KIND = interface.FailureKind


def _revision(era):
    return revisions.pack(era, 9)


class ScriptedStore:
    """Answers all calls, and names an era in the answers.

    Attributes:
        calls: Names of the calls, in order.
    """

    def __init__(self, era_tracker, answered_era):
        self._era_tracker = era_tracker
        self._answered_era = answered_era
        self.calls = []

    def _answer(self, call, value=None):
        self.calls.append(call)
        self._era_tracker.observe(self._answered_era)
        return result.Ok(value)

    async def watch(self, prefix, after, seconds, transfer=None):
        return self._answer("watch")

    async def write(self, conditions, puts):
        return self._answer("write", _revision(self._answered_era))

    async def open_lease(self, seconds):
        return self._answer("open_lease", _revision(CURRENT))

    async def renew_lease(self, lease):
        return self._answer("renew_lease")

    async def end_lease(self, lease):
        return self._answer("end_lease")


def _watch(store, era):
    return store.watch("own/", _revision(era), 1.0)


def _write_if(store, era):
    return store.write([interface.Condition("a", _revision(era))], [])


def _write_if_absent(store, era):
    return store.write([interface.Condition("a", 0)], [])


def _write_with_lease(store, era):
    return store.write([], [interface.Put("a", b"", _revision(era))])


def _open_lease(store, era):
    return store.open_lease(1.0)


def _renew_lease(store, era):
    return store.renew_lease(_revision(era))


def _end_lease(store, era):
    return store.end_lease(_revision(era))


def _make_store(answered_era):
    era_tracker = eras.EraTracker(fakes.RecordingJournal())
    era_tracker.observe(CURRENT)
    inner = ScriptedStore(era_tracker, answered_era)
    return era_store.EraStore(inner, era_tracker), inner


@pytest.mark.parametrize(
    ("call", "kind"),
    [
        (_watch, KIND.COMPACTED),
        (_write_if, KIND.CONFLICT),
        (_write_with_lease, KIND.NO_LEASE),
        (_renew_lease, KIND.NO_LEASE),
        (_end_lease, KIND.NO_LEASE),
    ],
)
async def test_what_an_earlier_era_gave_out_is_not_sent(call, kind):
    store, inner = _make_store(CURRENT)
    outcome = await call(store, EARLIER)
    assert outcome.err_value.kind is kind
    assert not inner.calls


@pytest.mark.parametrize(
    ("call", "kind"),
    [
        (_watch, KIND.COMPACTED),
        (_write_if, KIND.UNKNOWN),
        (_write_if_absent, KIND.UNKNOWN),
        (_write_with_lease, KIND.UNKNOWN),
        (_open_lease, KIND.UNKNOWN),
        (_renew_lease, KIND.NO_LEASE),
    ],
)
async def test_call_over_a_return_of_the_store_fails(call, kind):
    store, inner = _make_store(NEXT)
    outcome = await call(store, CURRENT)
    assert outcome.err_value.kind is kind
    assert len(inner.calls) == 1


@pytest.mark.parametrize(
    "call",
    [
        _watch,
        _write_if,
        _write_if_absent,
        _write_with_lease,
        _open_lease,
        _renew_lease,
        _end_lease,
    ],
)
async def test_call_within_an_era_is_passed_on(call):
    store, inner = _make_store(CURRENT)
    assert (await call(store, CURRENT)).is_ok()
    assert len(inner.calls) == 1
