"""Tests of the mirror during outages and after compaction of the store."""

import asyncio
import time

import pytest
import result

from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror
from tests.utils import fakes


class RecordingListener:
    """Records what the mirror and its health report."""

    def __init__(self):
        self.calls = []
        self.ages = []

    def apply_snapshot(self, prefix, items, age_seconds):
        self.ages.append(age_seconds)
        self.calls.append(("all", [item.key for item in items]))

    def apply_changes(self, items, age_seconds):
        self.ages.append(age_seconds)
        self.calls.append(("changes", [item.key for item in items]))

    def record_outage(self, failure):
        self.calls.append(("outage", failure.kind.value))


class ScriptedStore:
    """Returns scripted outcomes of watches and records their arguments."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.durations = []
        self.start_revisions = []
        self.arriving_seconds = 0.0

    async def read_all(self, prefix, transfer=None):
        item = interface.Item("a", b"", 1, 1)
        return result.Ok(interface.ItemBatch((item,), 10))

    async def watch(self, prefix, after, seconds, transfer=None):
        self.start_revisions.append(after)
        self.durations.append(seconds)
        outcome = self.outcomes.pop(0)
        if callable(outcome):
            return await outcome()
        if self.arriving_seconds:
            transfer.record_chunk(1, time.monotonic())
            await asyncio.sleep(self.arriving_seconds)
        return outcome


def _failed(kind):
    return result.Err(interface.Failure(kind, ""))


def _changed(revision, *keys):
    items = tuple(interface.Item(key, b"", revision, 1) for key in keys)
    return result.Ok(interface.ItemBatch(items, revision))


UNKNOWN = _failed(interface.FailureKind.UNKNOWN)
COMPACTED = _failed(interface.FailureKind.COMPACTED)
TOO_LARGE = _failed(interface.FailureKind.TOO_LARGE)


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(mirror, "RETRY_JITTER_SECONDS", 0.0)
    monkeypatch.setattr(mirror, "RETRY_SECONDS", 0.0)


def _make_mirror(store, listener):
    store_health = health.Health(listener.record_outage, lambda: None)
    return mirror.Mirror(
        store, "a", listener, store_health, 0.0, fakes.RecordingJournal()
    )


async def _run_steps(store, steps):
    listener = RecordingListener()
    store_mirror = _make_mirror(store, listener)
    for _ in range(steps):
        if store_mirror.revision is None:
            await store_mirror._read_all()
        else:
            await store_mirror._watch_once()
    return listener, store_mirror


async def test_watch_continues_from_first_read():
    store = ScriptedStore(_changed(11, "b"), _changed(12))
    listener, store_mirror = await _run_steps(store, 3)
    assert listener.calls == [("all", ["a"]), ("changes", ["b"])]
    assert store.start_revisions == [10, 11]
    assert store_mirror.revision == 12


async def test_watch_resumes_at_same_revision_after_outage():
    store = ScriptedStore(UNKNOWN, _changed(11, "b"))
    listener, _ = await _run_steps(store, 3)
    assert store.start_revisions == [10, 10]
    assert ("outage", "unknown") in listener.calls


@pytest.mark.parametrize("failure", [COMPACTED, TOO_LARGE])
async def test_all_items_are_read_again_instead_of_the_history(failure):
    listener, _ = await _run_steps(ScriptedStore(failure), 3)
    assert listener.calls == [("all", ["a"])] * 2


async def test_watch_is_short_after_unanswered_call():
    store = ScriptedStore(UNKNOWN, _changed(11), _changed(12))
    await _run_steps(store, 4)
    assert store.durations == [
        mirror.WATCH_SECONDS,
        mirror.SHORT_WATCH_SECONDS,
        mirror.WATCH_SECONDS,
    ]


async def _never_reply():
    await asyncio.Event().wait()


@pytest.mark.parametrize("trigger", ["store lost", "others know more"])
async def test_hanging_watch_is_repeated(monkeypatch, trigger):
    monkeypatch.setattr(mirror, "REPLY_SECONDS", 0.05)
    listener = RecordingListener()
    store_mirror = _make_mirror(
        ScriptedStore(_never_reply, _changed(12, "b")), listener
    )
    await store_mirror._read_all()
    watch = asyncio.create_task(store_mirror._watch_once())
    await asyncio.sleep(0.01)
    if trigger == "store lost":
        store_mirror._health.record_failure(UNKNOWN.err_value)
    else:
        store_mirror.wake_if_behind(12)
    async with asyncio.timeout(0.5):
        await watch
    assert ("changes", ["b"]) in listener.calls
    assert store_mirror.latest_revision == 12


@pytest.mark.parametrize("trigger", ["store lost", "others know more"])
async def test_watch_is_not_repeated_while_its_answer_arrives(trigger):
    listener = RecordingListener()
    store = ScriptedStore(_changed(12, "b"))
    store.arriving_seconds = 0.1
    store_mirror = _make_mirror(store, listener)
    await store_mirror._read_all()
    watch = asyncio.create_task(store_mirror._watch_once())
    await asyncio.sleep(0.02)
    if trigger == "store lost":
        store_mirror._health.record_failure(UNKNOWN.err_value)
    else:
        store_mirror.wake_if_behind(12)
    await watch
    assert ("changes", ["b"]) in listener.calls
    assert len(store.durations) == 1


async def test_known_revision_does_not_repeat_watch():
    store_mirror = _make_mirror(
        ScriptedStore(_never_reply), RecordingListener()
    )
    await store_mirror._read_all()
    watch = asyncio.create_task(store_mirror._watch_once())
    await asyncio.sleep(0.01)
    store_mirror.wake_if_behind(10)
    await asyncio.sleep(0.02)
    assert not watch.done()
    watch.cancel()


async def test_low_latency_mirror_uses_shorter_watches():
    store = ScriptedStore(_changed(11), _changed(12))
    store_mirror = _make_mirror(store, RecordingListener())
    await store_mirror._read_all()
    await store_mirror._watch_once()
    store_mirror.is_low_latency = True
    await store_mirror._watch_once()
    assert store.durations == [
        mirror.WATCH_SECONDS,
        mirror.LOW_LATENCY_WATCH_SECONDS,
    ]


async def test_watch_started_during_outage_is_repeated_on_recovery():
    listener = RecordingListener()
    store_mirror = _make_mirror(
        ScriptedStore(UNKNOWN, _never_reply, _changed(12, "b")), listener
    )
    await store_mirror._read_all()
    await store_mirror._watch_once()
    watch = asyncio.create_task(store_mirror._watch_once())
    await asyncio.sleep(0.01)
    store_mirror._health.record_success()
    async with asyncio.timeout(0.3):
        await watch
    assert ("changes", ["b"]) in listener.calls


@pytest.mark.parametrize(
    ("wait_seconds", "beacons", "round_trip", "age_seconds"),
    [
        pytest.param(0.0, {}, 0.0, 0.0, id="at once"),
        pytest.param(0.3, {}, 0.0, 0.3, id="without beacons"),
        pytest.param(0.3, {0.2: 1}, 0.0, 0.1, id="known to be current before"),
        pytest.param(0.3, {0.1: 1, 0.2: 12}, 0.0, 0.2, id="known to be late"),
        pytest.param(0.3, {0.1: 1, 0.2: 0}, 0.0, 0.2, id="beacon behind"),
        pytest.param(0.3, {0.2: 1}, 0.15, 0.25, id="beacon queued on the way"),
        pytest.param(0.3, {0.2: 1}, 0.5, 0.3, id="answer newer than beacon"),
    ],
)
async def test_changes_are_as_old_as_the_last_proof_of_being_current(
    wait_seconds, beacons, round_trip, age_seconds
):
    async def answer():
        await asyncio.sleep(wait_seconds)
        return _changed(12, "b")

    listener = RecordingListener()
    store_mirror = _make_mirror(ScriptedStore(answer), listener)
    await store_mirror._read_all()
    store_mirror._health.round_trip_seconds = round_trip
    loop = asyncio.get_running_loop()
    for seconds, revision in beacons.items():
        loop.call_later(seconds, store_mirror.wake_if_behind, revision)
    await store_mirror._watch_once()
    assert listener.ages[0] == float("inf")
    assert listener.ages[1] == pytest.approx(age_seconds, abs=0.04)


async def test_mirror_is_behind_until_it_has_what_another_node_knows():
    store_mirror = _make_mirror(
        ScriptedStore(_changed(12, "b"), TOO_LARGE), RecordingListener()
    )
    assert store_mirror.is_behind()
    await store_mirror._read_all()
    assert not store_mirror.is_behind()
    store_mirror.wake_if_behind(12)
    assert store_mirror.is_behind()
    await store_mirror._watch_once()
    assert not store_mirror.is_behind()
    await store_mirror._watch_once()
    assert store_mirror.is_behind()


@pytest.mark.parametrize("trigger", ["store lost", "others know more"])
async def test_watch_whose_reply_may_be_on_its_way_is_not_repeated(trigger):
    async def answer():
        await asyncio.sleep(0.2)
        return _changed(12, "b")

    listener = RecordingListener()
    store = ScriptedStore(answer)
    store_mirror = _make_mirror(store, listener)
    await store_mirror._read_all()
    watch = asyncio.create_task(store_mirror._watch_once())
    for _ in range(3):
        await asyncio.sleep(0.05)
        if trigger == "store lost":
            store_mirror._health.record_failure(UNKNOWN.err_value)
        else:
            store_mirror.wake_if_behind(12)
    await watch
    assert ("changes", ["b"]) in listener.calls
    assert len(store.durations) == 1


async def test_watch_is_not_repeated_when_another_node_is_a_moment_ahead(
    monkeypatch,
):
    monkeypatch.setattr(mirror, "REPLY_SECONDS", 0.05)

    async def answer():
        await asyncio.sleep(0.2)
        return _changed(12, "b")

    listener = RecordingListener()
    store = ScriptedStore(answer)
    store_mirror = _make_mirror(store, listener)
    await store_mirror._read_all()
    watch = asyncio.create_task(store_mirror._watch_once())
    await asyncio.sleep(0.1)
    store_mirror.wake_if_behind(12)
    await watch
    assert ("changes", ["b"]) in listener.calls
    assert len(store.durations) == 1


@pytest.mark.parametrize(
    ("arriving_seconds", "queue_seconds", "pause_seconds"),
    [
        (0.0, 0.0, 0.3),
        (0.2, 0.0, 0.1),
        (0.4, 0.0, 0.0),
        (0.0, 0.2, 0.1),
        (0.0, 0.5, 0.0),
    ],
)
async def test_late_answer_does_not_delay_the_next_version_by_a_pause(
    arriving_seconds, queue_seconds, pause_seconds
):
    store = ScriptedStore(_changed(12, "b"))
    store.arriving_seconds = arriving_seconds
    store_mirror = _make_mirror(store, RecordingListener())
    store_mirror._batch_seconds = 0.3
    store_mirror._health.round_trip_seconds = queue_seconds
    await store_mirror._read_all()
    started_at = time.monotonic()
    await store_mirror._watch_once()
    seconds = time.monotonic() - started_at
    assert seconds == pytest.approx(arriving_seconds + pause_seconds, abs=0.05)


async def test_change_after_a_queued_answer_is_as_old_as_that_answer():
    async def answer():
        await asyncio.sleep(0.1)
        return _changed(13, "b")

    listener = RecordingListener()
    store_mirror = _make_mirror(
        ScriptedStore(_changed(12, "b"), answer), listener
    )
    await store_mirror._read_all()
    await asyncio.sleep(0.3)
    store_mirror._health.round_trip_seconds = 0.2
    await store_mirror._watch_once()
    await store_mirror._watch_once()
    assert listener.ages[2] == pytest.approx(0.3, abs=0.04)


@pytest.mark.parametrize("first", [UNKNOWN, COMPACTED, TOO_LARGE])
async def test_cut_watch_does_not_count_as_an_outage(monkeypatch, first):
    monkeypatch.setattr(mirror, "RETRY_SECONDS", 5.0)
    listener = RecordingListener()
    store_mirror = _make_mirror(
        ScriptedStore(first, _changed(12, "b")), listener
    )
    run = asyncio.create_task(store_mirror.run())
    await asyncio.sleep(0.05)
    run.cancel()
    assert ("changes", ["b"]) in listener.calls


@pytest.mark.parametrize("answer", [COMPACTED, TOO_LARGE])
async def test_answer_that_the_history_is_gone_ends_an_outage(answer):
    listener = RecordingListener()
    store_mirror = _make_mirror(ScriptedStore(UNKNOWN, answer), listener)
    await store_mirror._read_all()
    await store_mirror._watch_once()
    assert not store_mirror._health.is_available
    await store_mirror._watch_once()
    assert store_mirror._health.is_available
