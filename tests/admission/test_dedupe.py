"""Request ids: remembered, handed over, or refused as perhaps forgotten."""

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard.admission import dedupe
from jujubeyard.load import generator

NOW = 1_800_000_000.0


def make_row(request_id: str, seen_at: float) -> dedupe.IdRecord:
    return dedupe.IdRecord("desk", 1, request_id, seen_at, None)


@pytest.mark.parametrize(
    ("issued_at", "horizon", "forgotten"),
    [
        (NOW, 0.0, False),
        (NOW - dedupe.WINDOW_SECONDS, 0.0, True),
        (NOW - 1.0, NOW - 2.0, False),
        (NOW - 3.0, NOW - 2.0, True),
    ],
)
def test_old_ids_may_be_forgotten(issued_at, horizon, forgotten):
    table = dedupe.DedupeTable()
    table.set_horizon("desk", 1, horizon)
    found = table.may_be_duplicate("desk", 1, issued_at, NOW)
    assert found is forgotten


@pytest.mark.parametrize(
    ("text", "is_uuid7"),
    [
        (generator.make_request_id(), True),
        ("0190a5d6-6a5b-4c3d-8e2f-1a2b3c4d5e6f", False),
        ("order-17", False),
        ("", False),
    ],
)
def test_only_uuid7_carries_a_time(text, is_uuid7):
    assert (dedupe.uuid7_timestamp(text) is not None) is is_uuid7


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 30), strategies.floats(0.0, 900.0)
        ),
        max_size=60,
    ),
    strategies.integers(1, 8),
)
def test_unknown_id_is_never_one_that_was_taken_on(arrivals, capacity):
    """Against a naive set that forgets nothing."""
    table = dedupe.DedupeTable(capacity)
    taken: set[str] = set()
    now = NOW
    issued: dict[str, float] = {}
    for number, delay in arrivals:
        now += delay
        request_id = f"id-{number}"
        issued.setdefault(request_id, now)
        known = table.find("desk", request_id) is not None
        forgotten = table.may_be_duplicate("desk", 1, issued[request_id], now)
        if not known and not forgotten:
            assert request_id not in taken
            taken.add(request_id)
            table.add(make_row(request_id, now))
        assert len(table) <= capacity


def test_export_carries_ids_and_horizons():
    table = dedupe.DedupeTable()
    table.add(make_row("id-1", NOW))
    table.set_horizon("desk", 1, NOW - 5.0)
    ids, horizons = table.export("desk", {1})
    other = dedupe.DedupeTable()
    other.merge(ids, horizons, NOW)
    assert other.find("desk", "id-1") is not None
    assert other.may_be_duplicate("desk", 1, NOW - 6.0, NOW)
