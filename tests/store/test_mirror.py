"""Following the store through outages and lost history."""

import pytest
import result

from jujubeyard.store import mirror
from jujubeyard.store import ports


class Listener:
    def __init__(self):
        self.heard = []

    def take_all(self, items):
        self.heard.append(("all", [item.key for item in items]))

    def take_changes(self, items):
        self.heard.append(("changes", [item.key for item in items]))

    def note_outage(self, failure):
        self.heard.append(("outage", failure.kind.value))

    def note_answer(self):
        pass


class Scripted:
    """Answers watches from a script, and notes how long they wait."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.waits = []
        self.afters = []

    async def read_all(self):
        item = ports.Item("a", b"", 1, 1)
        return result.Ok(ports.Changes((item,), 10))

    async def watch(self, after, seconds):
        self.afters.append(after)
        self.waits.append(seconds)
        return self.answers.pop(0)


def _failure(kind):
    return result.Err(ports.Failure(kind, ""))


def _changes(revision, *keys):
    items = tuple(ports.Item(key, b"", revision, 1) for key in keys)
    return result.Ok(ports.Changes(items, revision))


UNKNOWN = _failure(ports.FailureKind.UNKNOWN)
COMPACTED = _failure(ports.FailureKind.COMPACTED)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    async def sleep(seconds):
        pass

    monkeypatch.setattr(mirror.asyncio, "sleep", sleep)


async def _follow(script, steps):
    listener = Listener()
    followed = mirror.Mirror(script, listener)
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
