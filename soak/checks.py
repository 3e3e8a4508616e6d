"""Checks of what was seen against the promises."""

import bisect
import collections

from platform_standins import documents
from platform_standins import target
from soak import fleet
from soak import observations

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a call has not run."""

CONFIGURATION_SECONDS = 2.0
ROLLBACK_SECONDS = 0.25
OBSERVATION_DELAY_SECONDS = 0.1
"""Time that the soak itself may be late to see something."""

MAX_PROBE_SECONDS = 1.0
"""Longest time from the sending of a probe to its answer."""

RETRY_WINDOW_SECONDS = 10.0
COLD_WINDOW_SECONDS = 1.0
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERED_SHARE = 0.9


def check_all(
    observed: observations.Observations,
) -> list[observations.Finding]:
    """Returns all findings, those of the run included."""
    for check in (
        _check_run_twice,
        _check_refused_and_run,
        _check_cut_by_stop,
        _check_drains,
        _check_evacuations,
        _check_cold_rate,
        _check_retry_budget,
        _check_versions_in_force,
        _check_reverted_versions,
    ):
        check(observed)
    return sorted(observed.findings, key=lambda finding: finding.at)


def _runs_by_call(
    observed: observations.Observations,
) -> dict[str, list[target.Arrival]]:
    runs = collections.defaultdict(list)
    for arrival in observed.arrivals:
        if arrival.ran:
            runs[arrival.call_id].append(arrival)
    return runs


def _check_run_twice(observed: observations.Observations) -> None:
    for call_id, runs in _runs_by_call(observed).items():
        if len(runs) > 1 and not observed.calls[call_id].idempotent:
            places = ", ".join(run.target for run in runs)
            observed.add_finding(
                observations.Rule.TWICE,
                runs[1].at,
                f"{call_id} ran at {places}",
            )


def _check_refused_and_run(observed: observations.Observations) -> None:
    runs = _runs_by_call(observed)
    for call in observed.calls.values():
        if call.idempotent or call.status not in NOT_RUN_STATUSES:
            continue
        for run in runs.get(call.call_id, []):
            observed.add_finding(
                observations.Rule.REFUSED,
                call.ended_at,
                f"{call.call_id} got {call.status} from "
                f"{call.node} and ran at {run.target}",
            )


def _check_cut_by_stop(observed: observations.Observations) -> None:
    reached = {arrival.call_id: arrival.target for arrival in observed.arrivals}
    for call in observed.calls.values():
        place = reached.get(call.call_id)
        if not call.was_cut or place is None:
            continue
        start, end = call.sent_at, call.ended_at
        if not observed.was_stopping(call.node, start, end):
            continue
        scopes = {call.node, place}
        if observed.is_undisrupted(scopes, start, end, allow_planned=True):
            observed.add_finding(
                observations.Rule.LOST,
                end,
                f"{call.call_id} was cut by {call.node}, which leaves, "
                f"while {place} had it",
            )


def _check_drains(observed: observations.Observations) -> None:
    _check_removals(
        observed,
        observations.Rule.DRAIN,
        observed.drains,
        fleet.DRAIN_SECONDS,
        lambda arrival: arrival.target,
    )


def _check_evacuations(observed: observations.Observations) -> None:
    _check_removals(
        observed,
        observations.Rule.EVACUATION,
        observed.evacuations,
        fleet.EVACUATION_SECONDS,
        lambda arrival: observed.zones[arrival.target],
    )


def _check_removals(observed, rule, removals, bound: float, name_of) -> None:
    for removal in removals:
        latest = removal.start + bound + OBSERVATION_DELAY_SECONDS
        for arrival in observed.arrivals:
            if name_of(arrival) != removal.name:
                continue
            if not latest < arrival.at < removal.end:
                continue
            node = observed.calls[arrival.call_id].node
            if observed.is_undisrupted({node}, removal.start, arrival.at):
                late = arrival.at - removal.start
                observed.add_finding(
                    rule,
                    arrival.at,
                    f"{arrival.call_id} reached {arrival.target} by {node}, "
                    f"{late:.2f} s after {removal.name} was to leave",
                )


def _check_cold_rate(observed: observations.Observations) -> None:
    bound = fleet.COLD_FACTOR * documents.COLD_RATE + fleet.COLD_SLACK
    times = collections.defaultdict(list)
    for arrival in observed.arrivals:
        if arrival.was_cold:
            times[arrival.target].append(arrival.at)
    for name, row in times.items():
        most, at = _max_in_window(sorted(row), COLD_WINDOW_SECONDS)
        if most > bound:
            observed.add_finding(
                observations.Rule.COLD,
                at,
                f"{name} got {most} calls in a second",
            )


def _check_retry_budget(observed: observations.Observations) -> None:
    sent_times = collections.defaultdict(list)
    for call in observed.calls.values():
        sent_times[call.service].append(call.sent_at)
    again = collections.defaultdict(list)
    reached = set()
    for arrival in sorted(observed.arrivals, key=lambda row: row.at):
        if arrival.call_id in reached:
            again[arrival.service].append(arrival.at)
        reached.add(arrival.call_id)
    for service, times in again.items():
        sent = sorted(sent_times[service])
        for index, end in enumerate(times):
            start = end - RETRY_WINDOW_SECONDS
            count = index + 1 - bisect.bisect_left(times, start)
            owed = max(
                _count_between(sent, start - shift, end - shift)
                for shift in (
                    0.0,
                    RETRY_WINDOW_SECONDS / 2,
                    RETRY_WINDOW_SECONDS,
                )
            )
            if count > fleet.RETRY_RATIO * owed + fleet.RETRY_ALLOWANCE:
                observed.add_finding(
                    observations.Rule.BUDGET,
                    end,
                    f"{service} got {count} calls again beside {owed}",
                )
                break


def _check_versions_in_force(observed: observations.Observations) -> None:
    for probe in observed.probes:
        accepted_at = observed.versions[probe.version]
        bound = accepted_at + CONFIGURATION_SECONDS + OBSERVATION_DELAY_SECONDS
        if probe.is_in_force or probe.sent_at < bound:
            continue
        if _may_lack_probed_route(observed, probe):
            continue
        if observed.is_undisrupted({probe.node}, accepted_at, probe.sent_at):
            age = probe.sent_at - accepted_at
            observed.add_finding(
                observations.Rule.CONFIGURATION,
                probe.sent_at,
                f"{probe.node} doesn't know version {probe.version} after "
                f"{age:.2f} s",
            )


def _check_reverted_versions(observed: observations.Observations) -> None:
    known: dict[tuple[str, int, int], float] = {}
    for probe in sorted(observed.probes, key=lambda row: row.sent_at):
        key = (probe.node, probe.incarnation, probe.version)
        if probe.is_in_force:
            known.setdefault(key, probe.sent_at)
        elif probe.sent_at > known.get(key, float("inf")) + ROLLBACK_SECONDS:
            if not _may_lack_probed_route(observed, probe):
                observed.add_finding(
                    observations.Rule.CONFIGURATION,
                    probe.sent_at,
                    f"{probe.node} forgot version {probe.version}",
                )


def _may_lack_probed_route(
    observed: observations.Observations, probe: observations.Probe
) -> bool:
    """Returns whether a version without the probed route may be in force."""
    later = [
        version
        for version, accepted_at in observed.versions.items()
        if version > probe.version
        and accepted_at <= probe.sent_at + MAX_PROBE_SECONDS
    ]
    return len(later) >= observations.KEPT_VERSION_ROUTES


def _max_in_window(times: list[float], seconds: float) -> tuple[int, float]:
    """Returns the most times in a window of a length, and its start."""
    best, at = 0, 0.0
    for index, start in enumerate(times):
        count = bisect.bisect_left(times, start + seconds) - index
        if count > best:
            best, at = count, start
    return best, at


def _count_between(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def served_share(
    observed: observations.Observations, start: float, end: float
) -> float:
    """Returns the share of the calls of a time that were served."""
    rows = [
        call
        for call in observed.calls.values()
        if start <= call.sent_at < end and call.call_id.startswith("c")
    ]
    if not rows:
        return 0.0
    return sum(row.status == 200 for row in rows) / len(rows)
