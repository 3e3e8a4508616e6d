"""Checks of what targets are sent: slots, cold starts, drains."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds

DRAIN_SECONDS = 5.0
"""How long after its acceptance a drain may still see new work."""


def check_slots(
    history: list[dict], rules: findings.ClusterInfo
) -> list[findings.Violation]:
    """A target in a cold start gets no more than it bears.

    A target refuses what it can't bear. Each time it turns cold without a
    word, it may have to refuse the calls that were on their way; at other
    times it must never have to.
    """
    found = []
    allowance: collections.Counter = collections.Counter()
    for event in history:
        kind = event["kind"]
        if not event["process"].startswith("target:"):
            continue
        name = event["process"].partition(":")[2]
        if kind == kinds.EventKind.TARGET_COLD:
            allowance[name] = rules.slots[name]
        elif kind == kinds.EventKind.RUN_REFUSED:
            if event["reason"] not in ("cold", "slots"):
                continue
            if allowance[name] <= 0:
                found.append(
                    findings.Violation(
                        "cold-start",
                        f"{name} was sent more than it bears",
                        (event,),
                    )
                )
            allowance[name] -= 1
        elif kind == kinds.EventKind.RUN_START:
            if event["in_flight"] > rules.slots[name]:
                found.append(
                    findings.Violation(
                        "cold-start", f"{name} exceeds its slots", (event,)
                    )
                )
    return found


def find_drained_runs(
    history: list[dict], rules: findings.ClusterInfo
) -> list[tuple[dict, dict]]:
    """Returns runs at drained targets, each with the drain's acceptance.

    A change counts from when the first process installed it, if that is
    earlier than the record of its acceptance, which its operator makes.
    """
    found = []
    drained: dict[str, dict] = {}
    for event in sorted(
        [*_changes(history), *_of_runs(history)], key=lambda e: e["clock"]
    ):
        if event["kind"] == kinds.EventKind.CONFIG_ACCEPTED:
            out = {
                target
                for target, zone in rules.zones.items()
                if zone in event["drained_zones"]
                or target in event["drained_targets"]
            }
            drained = {t: drained.get(t, event) for t in out}
        elif event["target"] in drained:
            found.append((drained[event["target"]], event))
    return found


def _of_runs(history: list[dict]) -> list[dict]:
    return findings.select(history, kinds.EventKind.RUN_START)


def _changes(history: list[dict]) -> list[dict]:
    installed: dict[int, int] = {}
    for event in findings.select(history, kinds.EventKind.CONFIG_INSTALLED):
        installed.setdefault(event["version"], event["clock"])
    changes = []
    for event in findings.select(history, kinds.EventKind.CONFIG_ACCEPTED):
        first = installed.get(event["version"], event["clock"])
        changes.append({**event, "clock": min(first, event["clock"])})
    return changes


def check_drains(
    history: list[dict], rules: findings.ClusterInfo
) -> list[findings.Violation]:
    """A drained zone or target gets no new work after a few seconds."""
    return [
        findings.Violation(
            "drain",
            f"{event['target']} got new work after its drain",
            (since, event),
        )
        for since, event in find_drained_runs(history, rules)
        if findings.seconds_between(since, event) > DRAIN_SECONDS
    ]
