"""Checks of what was seen against the promises."""

import bisect
import collections

from platform_standins import documents
from platform_standins import target
from soak import fleet
from soak import record

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a call has not run."""

CONFIGURATION_SECONDS = 2.0
ROLLBACK_SECONDS = 0.25
SLACK_SECONDS = 0.1
"""Time that the soak itself may be late to see something."""

PROBE_SECONDS = 1.0
"""Longest time from the sending of a probe to its answer."""

BUDGET_SECONDS = 10.0
COLD_WINDOW_SECONDS = 1.0
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERED_SHARE = 0.9


def check_all(seen: record.Record) -> list[record.Finding]:
    """Returns all findings, those of the run included."""
    for check in (
        _check_twice,
        _check_refused,
        _check_lost,
        _check_drains,
        _check_evacuations,
        _check_cold,
        _check_budget,
        _check_versions,
        _check_rollback,
    ):
        check(seen)
    return sorted(seen.findings, key=lambda finding: finding.at)


def _runs_by_call(seen: record.Record) -> dict[str, list[target.Arrival]]:
    runs = collections.defaultdict(list)
    for arrival in seen.arrivals:
        if arrival.ran:
            runs[arrival.call_id].append(arrival)
    return runs


def _check_twice(seen: record.Record) -> None:
    for call_id, runs in _runs_by_call(seen).items():
        if len(runs) > 1 and not seen.sendings[call_id].idempotent:
            places = ", ".join(run.target for run in runs)
            seen.report(
                record.Rule.TWICE, runs[1].at, f"{call_id} ran at {places}"
            )


def _check_refused(seen: record.Record) -> None:
    runs = _runs_by_call(seen)
    for sending in seen.sendings.values():
        if sending.idempotent or sending.status not in PROMISES:
            continue
        for run in runs.get(sending.call_id, []):
            seen.report(
                record.Rule.REFUSED,
                sending.ended_at,
                f"{sending.call_id} got {sending.status} from "
                f"{sending.node} and ran at {run.target}",
            )


def _check_lost(seen: record.Record) -> None:
    reached = {arrival.call_id: arrival.target for arrival in seen.arrivals}
    for sending in seen.sendings.values():
        place = reached.get(sending.call_id)
        if not sending.was_cut or place is None:
            continue
        start, end = sending.sent_at, sending.ended_at
        if not seen.leaves(sending.node, start, end):
            continue
        scopes = {sending.node, place}
        if seen.is_calm(scopes, start, end, allows_stops=True):
            seen.report(
                record.Rule.LOST,
                end,
                f"{sending.call_id} was cut by {sending.node}, which leaves, "
                f"while {place} had it",
            )


def _check_drains(seen: record.Record) -> None:
    _check_leavings(
        seen,
        record.Rule.DRAIN,
        seen.drains,
        fleet.DRAIN_SECONDS,
        lambda arrival: arrival.target,
    )


def _check_evacuations(seen: record.Record) -> None:
    _check_leavings(
        seen,
        record.Rule.EVACUATION,
        seen.evacuations,
        fleet.EVACUATION_SECONDS,
        lambda arrival: seen.zones[arrival.target],
    )


def _check_leavings(seen, rule, leavings, bound: float, name_of) -> None:
    for leaving in leavings:
        latest = leaving.start + bound + SLACK_SECONDS
        for arrival in seen.arrivals:
            if name_of(arrival) != leaving.name:
                continue
            if not latest < arrival.at < leaving.end:
                continue
            node = seen.sendings[arrival.call_id].node
            if seen.is_calm({node}, leaving.start, arrival.at):
                late = arrival.at - leaving.start
                seen.report(
                    rule,
                    arrival.at,
                    f"{arrival.call_id} reached {arrival.target} by {node}, "
                    f"{late:.2f} s after {leaving.name} was to leave",
                )


def _check_cold(seen: record.Record) -> None:
    bound = (
        fleet.COLD_FACTOR * documents.COLD_CALLS_PER_SECOND + fleet.COLD_SLACK
    )
    times = collections.defaultdict(list)
    for arrival in seen.arrivals:
        if arrival.was_cold:
            times[arrival.target].append(arrival.at)
    for name, row in times.items():
        most, at = _densest(sorted(row), COLD_WINDOW_SECONDS)
        if most > bound:
            seen.report(
                record.Rule.COLD, at, f"{name} got {most} calls in a second"
            )


def _check_budget(seen: record.Record) -> None:
    calls = collections.defaultdict(list)
    for sending in seen.sendings.values():
        calls[sending.service].append(sending.sent_at)
    again = collections.defaultdict(list)
    reached = set()
    for arrival in sorted(seen.arrivals, key=lambda row: row.at):
        if arrival.call_id in reached:
            again[arrival.service].append(arrival.at)
        reached.add(arrival.call_id)
    for service, times in again.items():
        sent = sorted(calls[service])
        for index, end in enumerate(times):
            start = end - BUDGET_SECONDS
            count = index + 1 - bisect.bisect_left(times, start)
            owed = max(
                _count(sent, start - shift, end - shift)
                for shift in (0.0, BUDGET_SECONDS / 2, BUDGET_SECONDS)
            )
            if count > fleet.RETRY_RATIO * owed + fleet.RETRY_ALLOWANCE:
                seen.report(
                    record.Rule.BUDGET,
                    end,
                    f"{service} got {count} calls again beside {owed}",
                )
                break


def _check_versions(seen: record.Record) -> None:
    for probe in seen.probes:
        accepted_at = seen.versions[probe.version]
        bound = accepted_at + CONFIGURATION_SECONDS + SLACK_SECONDS
        if probe.knows or probe.sent_at < bound:
            continue
        if _is_dropped(seen, probe):
            continue
        if seen.is_calm({probe.node}, accepted_at, probe.sent_at):
            age = probe.sent_at - accepted_at
            seen.report(
                record.Rule.CONFIGURATION,
                probe.sent_at,
                f"{probe.node} doesn't know version {probe.version} after "
                f"{age:.2f} s",
            )


def _check_rollback(seen: record.Record) -> None:
    known: dict[tuple[str, int, int], float] = {}
    for probe in sorted(seen.probes, key=lambda row: row.sent_at):
        key = (probe.node, probe.life, probe.version)
        if probe.knows:
            known.setdefault(key, probe.sent_at)
        elif probe.sent_at > known.get(key, float("inf")) + ROLLBACK_SECONDS:
            if not _is_dropped(seen, probe):
                seen.report(
                    record.Rule.CONFIGURATION,
                    probe.sent_at,
                    f"{probe.node} forgot version {probe.version}",
                )


def _is_dropped(seen: record.Record, probe: record.Probe) -> bool:
    """Returns whether a version without the probed route may be in force."""
    later = [
        version
        for version, accepted_at in seen.versions.items()
        if version > probe.version
        and accepted_at <= probe.sent_at + PROBE_SECONDS
    ]
    return len(later) >= record.KEPT_VERSIONS


def _densest(times: list[float], seconds: float) -> tuple[int, float]:
    """Returns the most times in a window of a length, and its start."""
    best, at = 0, 0.0
    for index, start in enumerate(times):
        count = bisect.bisect_left(times, start + seconds) - index
        if count > best:
            best, at = count, start
    return best, at


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def served_share(seen: record.Record, start: float, end: float) -> float:
    """Returns the share of the calls of a time that were served."""
    rows = [
        sending
        for sending in seen.sendings.values()
        if start <= sending.sent_at < end and sending.call_id.startswith("c")
    ]
    if not rows:
        return 0.0
    return sum(row.status == 200 for row in rows) / len(rows)
