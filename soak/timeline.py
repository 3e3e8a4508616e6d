"""Writes a soak's disruptions and findings, to lay beside records and logs."""

import json
import math
import pathlib
import time

from soak import observations

FILE_NAME = "timeline.jsonl"


def write(directory: pathlib.Path, observed: observations.Observations) -> None:
    """Writes disruptions and findings as JSON lines, in the order of time.

    Times are monotonic seconds, as in the records of targets. The first line
    says what to add to them for the times in the nodes' logs.

    Args:
        directory: Where to write the file.
        observed: What was observed, with all findings.
    """
    entries = [_describe_disruption(each) for each in observed.disruptions]
    entries += [
        _describe_finding(each, observed.started_at)
        for each in observed.findings
    ]
    entries.sort(key=lambda entry: entry["at"])
    offset = time.time() - time.monotonic()
    clock = {"at": observed.started_at, "what": "start", "log_offset": offset}
    lines = [json.dumps(entry) + "\n" for entry in [clock, *entries]]
    (directory / FILE_NAME).write_text("".join(lines))


def _describe_disruption(disruption: observations.Disruption) -> dict:
    return {
        "at": disruption.start,
        "what": "planned work" if disruption.is_planned else "fault",
        "kind": disruption.kind,
        "scope": disruption.scope,
        "end": disruption.end if math.isfinite(disruption.end) else None,
    }


def _describe_finding(finding: observations.Finding, started_at: float) -> dict:
    return {
        "at": started_at + finding.at,
        "what": "finding",
        "rule": finding.rule.name,
        "detail": finding.detail,
    }
