"""Tests of the file of disruptions and findings."""

import json
import time

import pytest

from soak import observations
from soak import timeline


def test_disruptions_and_findings_are_written_on_the_clock_of_records(tmp_path):
    started_at = time.monotonic()
    observed = observations.Observations(started_at)
    observed.disruptions += [
        observations.Disruption("freeze", "t1", started_at + 2, started_at + 5),
        observations.Disruption("stop", "n1", started_at + 1, is_planned=True),
    ]
    rule = observations.Rule.OWNER
    observed.add_finding(rule, started_at + 3, "two held it")
    timeline.write(tmp_path, observed)
    lines = (tmp_path / timeline.FILE_NAME).read_text().splitlines()
    start, *entries = map(json.loads, lines)
    assert start["at"] == started_at
    wall = started_at + start["log_offset"]
    assert wall == pytest.approx(time.time(), abs=1.0)
    for entry in entries:
        entry["at"] = pytest.approx(entry["at"] - started_at)
    assert entries == [
        {
            "at": 1,
            "what": "planned work",
            "kind": "stop",
            "scope": "n1",
            "end": None,
        },
        {
            "at": 2,
            "what": "fault",
            "kind": "freeze",
            "scope": "t1",
            "end": started_at + 5,
        },
        {"at": 3, "what": "finding", "rule": "OWNER", "detail": "two held it"},
    ]
