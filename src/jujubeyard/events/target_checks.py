"""Checks of the calls that targets receive: slots, cold starts, drains."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds

DRAIN_GRACE_SECONDS = 5.0
"""How long a target may receive new calls after its drain is accepted."""


def check_slots(
    history: list[dict], cluster: findings.ClusterInfo
) -> list[findings.Violation]:
    """Checks that no target receives more calls than it can handle.

    A target refuses calls beyond its limit. Each time it turns cold without
    notice, it may refuse as many calls as it has slots, because these may
    have been in transit; at other times it must not refuse any.

    Args:
        history: Events of all processes, ordered by the hybrid clock.
        cluster: Facts about the cluster.

    Returns:
        A violation for each unexpected refusal and each excess over the slots.
    """
    violations = []
    allowed_refusals: collections.Counter = collections.Counter()
    for event in history:
        kind = event["kind"]
        if not event["process"].startswith("target:"):
            continue
        name = event["process"].partition(":")[2]
        if kind == kinds.EventKind.TARGET_COLD:
            allowed_refusals[name] = cluster.slots[name]
        elif kind == kinds.EventKind.RUN_REFUSED:
            if event["reason"] not in ("cold", "slots"):
                continue
            if allowed_refusals[name] <= 0:
                violations.append(
                    findings.Violation(
                        "cold-start",
                        f"{name} received more calls than it can handle",
                        (event,),
                    )
                )
            allowed_refusals[name] -= 1
        elif kind == kinds.EventKind.RUN_START:
            if event["in_flight"] > cluster.slots[name]:
                violations.append(
                    findings.Violation(
                        "cold-start",
                        f"{name} runs more calls than it has slots",
                        (event,),
                    )
                )
    return violations


def find_drained_runs(
    history: list[dict], cluster: findings.ClusterInfo
) -> list[tuple[dict, dict]]:
    """Finds runs that started at drained targets.

    A change takes effect when the first process installs it, if that is
    earlier than the event that records its acceptance: the operator's side
    records that event after the command has returned.

    Args:
        history: Events of all processes, ordered by the hybrid clock.
        cluster: Facts about the cluster.

    Returns:
        Pairs of the event that accepted the drain and the run-start event.
    """
    runs = []
    drain_events: dict[str, dict] = {}
    for event in sorted(
        [*_config_changes(history), *_run_starts(history)],
        key=lambda event: event["clock"],
    ):
        if event["kind"] == kinds.EventKind.CONFIG_ACCEPTED:
            drained_targets = {
                target
                for target, zone in cluster.zones.items()
                if zone in event["drained_zones"]
                or target in event["drained_targets"]
            }
            drain_events = {
                target: drain_events.get(target, event)
                for target in drained_targets
            }
        elif event["target"] in drain_events:
            runs.append((drain_events[event["target"]], event))
    return runs


def _run_starts(history: list[dict]) -> list[dict]:
    return findings.select_events(history, kinds.EventKind.RUN_START)


def _config_changes(history: list[dict]) -> list[dict]:
    """Returns accepted changes, dated by their first installation."""
    first_installs: dict[int, int] = {}
    for event in findings.select_events(
        history, kinds.EventKind.CONFIG_INSTALLED
    ):
        first_installs.setdefault(event["version"], event["clock"])
    changes = []
    for event in findings.select_events(
        history, kinds.EventKind.CONFIG_ACCEPTED
    ):
        installed_at = first_installs.get(event["version"], event["clock"])
        changes.append({**event, "clock": min(installed_at, event["clock"])})
    return changes


def check_drains(
    history: list[dict], cluster: findings.ClusterInfo
) -> list[findings.Violation]:
    """Checks that drained targets receive no new calls after a grace time.

    Args:
        history: Events of all processes, ordered by the hybrid clock.
        cluster: Facts about the cluster.

    Returns:
        A violation for each late run at a drained target.
    """
    return [
        findings.Violation(
            "drain",
            f"{event['target']} received a new call after its drain",
            (drain, event),
        )
        for drain, event in find_drained_runs(history, cluster)
        if findings.seconds_between(drain, event) > DRAIN_GRACE_SECONDS
    ]
