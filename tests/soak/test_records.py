"""Tests of the records of stand-in targets."""

import pytest

from platform_standins import records

EVENTS = [
    records.Started(1.5, "t1", "desk"),
    records.Granted(2.0, 0, 7, 1 << 60, 4.5),
    records.Released(2.25, 0, 7, 6),
    records.Arrival("c1", "t1", "desk", 2.5, True, False, 3),
    records.Arrival("c2", "t1", "pool", 2.5, False, True),
    records.Ended(3.0, "c2"),
    records.Responded("c2", 'a "body"\nof two lines, ü'),
]


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "t1.record"
    record = records.Record(path)
    for event in EVENTS:
        record.add(event)
    return path


def test_events_are_read_as_they_were_written(path):
    assert records.read(path) == EVENTS


@pytest.mark.parametrize("cut_bytes", [1, 2, 10])
def test_last_line_that_was_cut_off_is_left_out(path, cut_bytes):
    path.write_bytes(path.read_bytes()[:-cut_bytes])
    assert records.read(path) == EVENTS[:-1]


def test_record_without_a_whole_line_is_empty(path):
    path.write_bytes(path.read_bytes()[:5])
    assert records.read(path) == []


def test_broken_line_before_the_last_is_an_error(path):
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(lines[0][:-3] + b"".join(lines[1:]))
    with pytest.raises(ValueError):
        records.read(path)


def test_event_is_in_the_file_as_soon_as_it_was_added(tmp_path):
    record = records.Record(tmp_path / "t1.record")
    record.add(EVENTS[0])
    assert records.read(tmp_path / "t1.record") == EVENTS[:1]
