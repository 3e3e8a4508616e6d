"""Following the store through outages and lost history."""

import asyncio

import pytest
import result

from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror


class Listener:
    def __init__(self):
        self.heard = []

    def apply_snapshot(self, prefix, items):
        self.heard.append(("all", [item.key for item in items]))

    def apply_changes(self, items):
        self.heard.append(("changes", [item.key for item in items]))

    def note_lost(self, failure):
        self.heard.append(("outage", failure.kind.value))


class Scripted:
    """Answers watches from a script, and notes how long they wait."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.waits = []
        self.afters = []

    async def read_all(self, prefix):
        item = interface.Item("a", b"", 1, 1)
        return result.Ok(interface.ItemBatch((item,), 10))

    async def watch(self, prefix, after, seconds):
        self.afters.append(after)
        self.waits.append(seconds)
        answer = self.answers.pop(0)
        if callable(answer):
            return await answer()
        return answer


def _failure(kind):
    return result.Err(interface.Failure(kind, ""))


def _changes(revision, *keys):
    items = tuple(interface.Item(key, b"", revision, 1) for key in keys)
    return result.Ok(interface.ItemBatch(items, revision))


UNKNOWN = _failure(interface.FailureKind.UNKNOWN)
COMPACTED = _failure(interface.FailureKind.COMPACTED)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(mirror, "RETRY_JITTER_SECONDS", 0.0)
    monkeypatch.setattr(mirror, "RETRY_SECONDS", 0.0)


def _make(script, listener):
    known = health.Health(listener.note_lost, lambda: None)
    return mirror.Mirror(script, "a", listener, known, 0.0)


async def _follow(script, steps):
    listener = Listener()
    followed = _make(script, listener)
    for _ in range(steps):
        if followed.revision is None:
            await followed._read_all()
        else:
            await followed._watch_once()
    return listener, followed


async def test_changes_follow_the_first_reading():
    script = Scripted(_changes(11, "b"), _changes(12))
    listener, followed = await _follow(script, 3)
    assert listener.heard == [("all", ["a"]), ("changes", ["b"])]
    assert script.afters == [10, 11]
    assert followed.revision == 12


async def test_an_outage_keeps_the_place():
    script = Scripted(UNKNOWN, _changes(11, "b"))
    listener, _ = await _follow(script, 3)
    assert script.afters == [10, 10]
    assert ("outage", "unknown") in listener.heard


async def test_lost_history_is_read_anew():
    listener, _ = await _follow(Scripted(COMPACTED), 3)
    assert listener.heard == [("all", ["a"])] * 2


async def test_watches_are_short_after_a_call_without_an_answer():
    script = Scripted(UNKNOWN, _changes(11), _changes(12))
    await _follow(script, 4)
    assert script.waits == [
        mirror.WATCH_SECONDS,
        mirror.DOUBTFUL_WATCH_SECONDS,
        mirror.WATCH_SECONDS,
    ]


async def _hang():
    await asyncio.Event().wait()


@pytest.mark.parametrize("sign", ["store lost", "others know more"])
async def test_a_watch_that_hears_nothing_is_begun_anew(sign):
    listener = Listener()
    followed = _make(Scripted(_hang, _changes(12, "b")), listener)
    await followed._read_all()
    watching = asyncio.create_task(followed._watch_once())
    await asyncio.sleep(0.01)
    if sign == "store lost":
        followed._health.record_failure(UNKNOWN.err_value)
    else:
        followed.wake_if_behind(12)
    async with asyncio.timeout(0.5):
        await watching
        await followed._watch_once()
    assert ("changes", ["b"]) in listener.heard
    assert followed.latest_revision == 12


async def test_what_is_known_wakes_no_watch():
    followed = _make(Scripted(_hang), Listener())
    await followed._read_all()
    watching = asyncio.create_task(followed._watch_once())
    await asyncio.sleep(0.01)
    followed.wake_if_behind(10)
    await asyncio.sleep(0.02)
    assert not watching.done()
    watching.cancel()


async def test_the_node_that_others_rely_on_watches_shortly():
    script = Scripted(_changes(11), _changes(12))
    followed = _make(script, Listener())
    await followed._read_all()
    await followed._watch_once()
    followed.is_low_latency = True
    await followed._watch_once()
    assert script.waits == [mirror.WATCH_SECONDS, mirror.PROMPT_WATCH_SECONDS]


async def test_a_watch_begun_in_an_outage_ends_with_it():
    listener = Listener()
    followed = _make(Scripted(UNKNOWN, _hang, _changes(12, "b")), listener)
    await followed._read_all()
    await followed._watch_once()
    watching = asyncio.create_task(followed._watch_once())
    await asyncio.sleep(0.01)
    followed._health.record_success()
    async with asyncio.timeout(0.3):
        await watching
        await followed._watch_once()
    assert ("changes", ["b"]) in listener.heard
