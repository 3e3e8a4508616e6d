"""Tests the table of request ids: lookup, eviction and handover."""

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard.admission import dedupe
from jujubeyard.load import generator

NOW = 1_800_000_000.0


def make_record(request_id: str, accepted_at: float) -> dedupe.IdRecord:
    return dedupe.IdRecord("desk", 1, request_id, accepted_at, None)


@pytest.mark.parametrize(
    ("issued_at", "horizon", "expected"),
    [
        (NOW, 0.0, False),
        (NOW - dedupe.WINDOW_SECONDS, 0.0, True),
        (NOW - 1.0, NOW - 2.0, False),
        (NOW - 3.0, NOW - 2.0, True),
    ],
)
def test_ids_up_to_horizon_or_window_may_be_duplicates(
    issued_at, horizon, expected
):
    table = dedupe.DedupeTable()
    table.set_horizon("desk", 1, horizon)
    may_be_duplicate = table.may_be_duplicate("desk", 1, issued_at, NOW)
    assert may_be_duplicate is expected


@pytest.mark.parametrize(
    ("text", "is_uuid7"),
    [
        (generator.make_request_id(), True),
        ("0190a5d6-6a5b-4c3d-8e2f-1a2b3c4d5e6f", False),
        ("order-17", False),
        ("", False),
    ],
)
def test_only_uuid7_has_a_timestamp(text, is_uuid7):
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
def test_accepted_id_is_never_accepted_again(arrivals, capacity):
    """Compares the table with a set that keeps every accepted id."""
    table = dedupe.DedupeTable(capacity)
    accepted_ids: set[str] = set()
    now = NOW
    first_issued: dict[str, float] = {}
    for id_number, delay in arrivals:
        now += delay
        request_id = f"id-{id_number}"
        first_issued.setdefault(request_id, now)
        kept = table.find("desk", request_id) is not None
        may_be_duplicate = table.may_be_duplicate(
            "desk", 1, first_issued[request_id], now
        )
        if not kept and not may_be_duplicate:
            assert request_id not in accepted_ids
            accepted_ids.add(request_id)
            table.add(make_record(request_id, now))
        assert len(table) <= capacity


def test_merge_adds_exported_ids_and_horizons():
    table = dedupe.DedupeTable()
    table.add(make_record("id-1", NOW))
    table.set_horizon("desk", 1, NOW - 5.0)
    ids, horizons = table.export("desk", {1})
    receiver = dedupe.DedupeTable()
    receiver.merge(ids, horizons, NOW)
    assert receiver.find("desk", "id-1") is not None
    assert receiver.may_be_duplicate("desk", 1, NOW - 6.0, NOW)
