"""Checks a soak's observations against the guarantees."""

import bisect
import collections

from platform_standins import documents
from platform_standins import records
from soak import fleet
from soak import observations

HTTP_OK = 200
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a call has not run."""

CONFIGURATION_LIMIT_SECONDS = 2.0
"""Longest time from accepting a version until it is in force on a node."""

REVERT_TOLERANCE_SECONDS = 0.25
"""How long after a version was first served a probe of it may still fail."""

OBSERVATION_DELAY_SECONDS = 0.1
"""Longest delay with which the soak itself observes an event."""

MAX_PROBE_SECONDS = 1.0
"""Longest time from sending a probe to its response."""

RETRY_WINDOW_SECONDS = 10.0
COLD_WINDOW_SECONDS = 1.0
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERED_SHARE = 0.9
"""Share of served calls from which the fleet counts as recovered."""


def check_all(
    observed: observations.Observations,
) -> list[observations.Finding]:
    """Runs all checks.

    Args:
        observed: What was observed; the findings are added to it.

    Returns:
        All findings by time, including those made during the soak.
    """
    for check in (
        _check_run_twice,
        _check_refused_and_run,
        _check_interrupted_by_stop,
        _check_drains,
        _check_evacuations,
        _check_cold_rate,
        _check_retry_budget,
        _check_versions_in_force,
        _check_reverted_versions,
        _check_responses,
    ):
        check(observed)
    return sorted(observed.findings, key=lambda finding: finding.at)


def _runs_by_call(
    observed: observations.Observations,
) -> dict[str, list[records.Arrival]]:
    runs = collections.defaultdict(list)
    for arrival in observed.arrivals:
        if arrival.ran:
            runs[arrival.call_id].append(arrival)
    return runs


def _check_run_twice(observed: observations.Observations) -> None:
    for call_id, runs in _runs_by_call(observed).items():
        if len(runs) > 1 and not observed.calls[call_id].idempotent:
            target_names = ", ".join(run.target for run in runs)
            observed.add_finding(
                observations.Rule.TWICE,
                runs[1].at,
                f"{call_id} ran more than once: on {target_names}",
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
                f"{call.call_id} got status {call.status} from "
                f"{call.node} but ran on {run.target}",
            )


def _check_responses(observed: observations.Observations) -> None:
    for call in observed.calls.values():
        if call.status != HTTP_OK or not call.call_id.startswith("c"):
            continue
        valid_bodies = observed.responses.get(call.call_id, set())
        if call.body not in valid_bodies or not call.is_signed:
            observed.add_finding(
                observations.Rule.MIXED,
                call.ended_at,
                f"{call.call_id} got wrong response {call.body!r} from "
                f"{call.node}",
            )


def _check_interrupted_by_stop(observed: observations.Observations) -> None:
    targets_by_call = {
        arrival.call_id: arrival.target for arrival in observed.arrivals
    }
    for call in observed.calls.values():
        target_name = targets_by_call.get(call.call_id)
        if not call.was_interrupted or target_name is None:
            continue
        start, end = call.sent_at, call.ended_at
        if not observed.was_stopping(call.node, start, end):
            continue
        scopes = {call.node, target_name}
        if observed.is_undisrupted(scopes, start, end, allow_planned=True):
            observed.add_finding(
                observations.Rule.LOST,
                end,
                f"{call.call_id} was interrupted by the planned stop of "
                f"{call.node} after it had reached {target_name}",
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
        latest_arrival = removal.start + bound + OBSERVATION_DELAY_SECONDS
        for arrival in observed.arrivals:
            if name_of(arrival) != removal.name:
                continue
            if not latest_arrival < arrival.at < removal.end:
                continue
            node = observed.calls[arrival.call_id].node
            if observed.is_undisrupted({node}, removal.start, arrival.at):
                elapsed = arrival.at - removal.start
                observed.add_finding(
                    rule,
                    arrival.at,
                    f"{arrival.call_id} reached {arrival.target} through "
                    f"{node} {elapsed:.2f} s after the drain or evacuation "
                    f"of {removal.name} started",
                )


def _check_cold_rate(observed: observations.Observations) -> None:
    bound = (
        fleet.COLD_FACTOR * documents.COLD_CALLS_PER_SECOND + fleet.COLD_SLACK
    )
    times = collections.defaultdict(list)
    for arrival in observed.arrivals:
        if arrival.was_cold:
            times[arrival.target].append(arrival.at)
    for name, arrival_times in times.items():
        most, at = _max_in_window(sorted(arrival_times), COLD_WINDOW_SECONDS)
        if most > bound:
            observed.add_finding(
                observations.Rule.COLD,
                at,
                f"cold target {name} got {most} calls within a second",
            )


def _check_retry_budget(observed: observations.Observations) -> None:
    """Compares the retries in each window with the number of calls.

    The number of calls is the largest one of three windows: the same window,
    the one half a window earlier, and the one a whole window earlier.
    """
    sent_times = collections.defaultdict(list)
    for call in observed.calls.values():
        sent_times[call.service].append(call.sent_at)
    retry_times = collections.defaultdict(list)
    arrived_calls = set()
    for arrival in sorted(observed.arrivals, key=lambda arrival: arrival.at):
        if arrival.call_id in arrived_calls:
            retry_times[arrival.service].append(arrival.at)
        arrived_calls.add(arrival.call_id)
    for service, times in retry_times.items():
        sent = sorted(sent_times[service])
        for index, end in enumerate(times):
            start = end - RETRY_WINDOW_SECONDS
            count = index + 1 - bisect.bisect_left(times, start)
            call_count = max(
                _count_between(sent, start - shift, end - shift)
                for shift in (
                    0.0,
                    RETRY_WINDOW_SECONDS / 2,
                    RETRY_WINDOW_SECONDS,
                )
            )
            if count > fleet.RETRY_RATIO * call_count + fleet.RETRY_ALLOWANCE:
                observed.add_finding(
                    observations.Rule.BUDGET,
                    end,
                    f"{service} got {count} retries for {call_count} calls",
                )
                break


def _check_versions_in_force(observed: observations.Observations) -> None:
    for probe in observed.probes:
        accepted_at = observed.versions[probe.version]
        bound = (
            accepted_at
            + CONFIGURATION_LIMIT_SECONDS
            + OBSERVATION_DELAY_SECONDS
        )
        if probe.is_in_force or probe.sent_at < bound:
            continue
        if _may_have_dropped_route(observed, probe):
            continue
        if observed.is_undisrupted({probe.node}, accepted_at, probe.sent_at):
            age = probe.sent_at - accepted_at
            observed.add_finding(
                observations.Rule.CONFIGURATION,
                probe.sent_at,
                f"{probe.node} does not serve version {probe.version} "
                f"{age:.2f} s after the store accepted it",
            )


def _check_reverted_versions(observed: observations.Observations) -> None:
    first_served: dict[tuple[str, int, int], float] = {}
    for probe in sorted(observed.probes, key=lambda probe: probe.sent_at):
        key = (probe.node, probe.incarnation, probe.version)
        if probe.is_in_force:
            first_served.setdefault(key, probe.sent_at)
        elif (
            probe.sent_at
            > first_served.get(key, float("inf")) + REVERT_TOLERANCE_SECONDS
        ):
            if not _may_have_dropped_route(observed, probe):
                observed.add_finding(
                    observations.Rule.CONFIGURATION,
                    probe.sent_at,
                    f"{probe.node} stopped serving version {probe.version}",
                )


def _may_have_dropped_route(
    observed: observations.Observations, probe: observations.Probe
) -> bool:
    """Returns whether a later version may have dropped the probed route."""
    later_versions = [
        version
        for version, accepted_at in observed.versions.items()
        if version > probe.version
        and accepted_at <= probe.sent_at + MAX_PROBE_SECONDS
    ]
    return len(later_versions) >= observations.KEPT_VERSION_ROUTES


def _max_in_window(times: list[float], seconds: float) -> tuple[int, float]:
    """Finds the busiest window of a given length.

    Args:
        times: Sorted times, in seconds.
        seconds: Length of the window.

    Returns:
        The number of times in the window, and its start.
    """
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
    """Returns the share of served calls among those sent in a period.

    Probes are not counted.

    Args:
        observed: What was observed.
        start: Start of the period, in monotonic seconds.
        end: End of the period, in monotonic seconds.
    """
    calls = [
        call
        for call in observed.calls.values()
        if start <= call.sent_at < end and call.call_id.startswith("c")
    ]
    if not calls:
        return 0.0
    return sum(call.status == 200 for call in calls) / len(calls)
