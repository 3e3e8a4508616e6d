"""Eras of the store, as answers and other nodes name them."""

import pytest

from jujubeyard import connections
from jujubeyard.node import metrics
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.store import era_store
from jujubeyard.store import eras
from jujubeyard.store import revisions
from tests.utils import fakes
from tests.utils import raw_server


@pytest.mark.parametrize(
    ("observed", "current", "lines"),
    [
        ([], 0, []),
        ([3], 3, ["store era known"]),
        ([3, 3], 3, ["store era known"]),
        ([3, 4], 4, ["store era known", "store went back"]),
        ([3, 6], 6, ["store era known", "store went back"]),
        ([4, 3], 4, ["store era known"]),
    ],
)
def test_only_newer_eras_count(observed, current, lines):
    journal = fakes.RecordingJournal()
    tracker = eras.EraTracker(journal)
    calls = []
    tracker.add_listener(lambda: calls.append(tracker.current))
    for era in observed:
        tracker.observe(era)
    assert tracker.current == current
    assert [name for name, _ in journal.events] == lines
    assert len(calls) == len(lines)
    assert tracker.changes == lines.count("store went back")


def test_metrics_show_era():
    tracker = eras.EraTracker(fakes.RecordingJournal())
    node_metrics = metrics.Metrics()
    node_metrics.watch_eras(tracker)
    tracker.observe(5)
    tracker.observe(6)
    text = node_metrics.render().decode()
    assert "jujubeyard_store_era 6.0" in text
    assert "jujubeyard_store_returns 1.0" in text


@pytest.mark.parametrize(
    ("head", "era"),
    [
        ("HTTP/1.1 200 OK\r\nStore-Era: 0", 1),
        ("HTTP/1.1 200 OK\r\nStore-Era: 7", 8),
        ("HTTP/1.1 404 Not Found\r\nStore-Era: 7", 8),
        ("HTTP/1.1 200 OK\r\nStore-Era: 99999999999", 0),
        ("HTTP/1.1 200 OK\r\nStore-Era: -7", 0),
        ("HTTP/1.1 200 OK\r\nStore-Era: later", 0),
        ("HTTP/1.1 200 OK", 0),
    ],
)
async def test_every_answer_tells_era(head, era):
    answer = f"{head}\r\nContent-Length: 2\r\n\r\n{{}}".encode()
    tracker = eras.EraTracker(fakes.RecordingJournal())
    session = connections.make_session(headers.NAMES.call_id, force_close=False)
    async with raw_server.RawServer([answer]) as server:
        client = store.PlatformStore(server.address, session, 1.0, 1.0, tracker)
        await client.renew_lease(1)
    await session.close()
    assert tracker.current == era


@pytest.mark.parametrize(("era", "is_taken"), [(6, False), (7, True)])
async def test_answer_of_an_earlier_era_is_dropped(era, is_taken):
    """It left the store before the answer that named the current era."""
    head = f"HTTP/1.1 200 OK\r\nStore-Era: {era}\r\nContent-Length: 2"
    tracker = eras.EraTracker(fakes.RecordingJournal())
    tracker.observe(8)
    session = connections.make_session(headers.NAMES.call_id, force_close=False)
    async with raw_server.RawServer([f"{head}\r\n\r\n{{}}".encode()]) as server:
        client = store.PlatformStore(server.address, session, 1.0, 1.0, tracker)
        outcome = await client.renew_lease(1)
    await session.close()
    assert outcome.is_ok() is is_taken


@pytest.mark.parametrize("head", ["", "\r\nStore-Era: 7"])
@pytest.mark.parametrize("number", [1, 1 << 40, (1 << 63) - 1])
async def test_numbers_of_leases_and_revisions_may_be_as_large_as_any(
    head, number
):
    body = f'{{"lease": {number}, "revision": {number}}}'
    answer = (
        f"HTTP/1.1 200 OK{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
    tracker = eras.EraTracker(fakes.RecordingJournal())
    session = connections.make_session(headers.NAMES.call_id, force_close=False)
    async with raw_server.RawServer(*[[answer]] * 3) as server:
        client = era_store.EraStore(
            store.PlatformStore(server.address, session, 1.0, 1.0, tracker),
            tracker,
        )
        lease = (await client.open_lease(1.0)).ok_value
        renewal = await client.renew_lease(lease)
        written = await client.write([], [])
    await session.close()
    assert revisions.number_of(lease) == number
    assert renewal.is_ok()
    assert revisions.number_of(written.ok_value) == number
