"""Times that a history shows, to be held against their bounds."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds
from jujubeyard.events import target_checks
from jujubeyard.events import version_checks

RECOVERY_SECONDS = 2.0
"""How long a key may go without an owner in service after a loss."""


def slowest_installation(events: list[dict]) -> float:
    """Returns the longest time from an acceptance to an installation.

    Only processes that installed the version count; the checker finds those
    that never did.
    """
    slowest = 0
    for change in events:
        if change["kind"] != kinds.EventKind.CONFIG_ACCEPTED:
            continue
        first: dict[str, int] = {}
        for event in events:
            if event["kind"] != kinds.EventKind.CONFIG_INSTALLED:
                continue
            if event["version"] >= change["version"]:
                first.setdefault(event["process"], event["clock"])
        delays = [at - change["clock"] for at in first.values()]
        limit = int(
            2
            * version_checks.CONFIG_INSTALL_SECONDS
            * findings.MICROSECONDS_PER_SECOND
        )
        delays = [delay for delay in delays if delay < limit]
        slowest = max([slowest, *delays])
    return slowest / findings.MICROSECONDS_PER_SECOND


def latest_drained_work(
    events: list[dict], rules: findings.ClusterInfo
) -> float:
    """Returns how long after its drain a target last got new work."""
    return max(
        (
            findings.seconds_between(since, event)
            for since, event in target_checks.find_drained_runs(events, rules)
        ),
        default=0.0,
    )


def longest_gap(events: list[dict], service: str) -> float:
    """Returns how long the slowest shard of lost processes had no owner.

    Args:
        events: A merged history.
        service: Name of a keyed service.

    Returns:
        Seconds from the first loss until the last of the shards that the lost
        targets owned, or that the lost gates held, was active again; 0.0 if
        there is none.
    """
    lost: set[int] = set()
    last: dict[int, dict] = {}
    lost_at = 0
    gap = 0
    for event in events:
        kind = event["kind"]
        if kind in (
            kinds.EventKind.PROCESS_KILLED,
            kinds.EventKind.PROCESS_PAUSED,
        ):
            lost_at = lost_at or event["clock"]
            lost |= _owned_by(last, event["name"])
        elif kind == kinds.EventKind.SHARD_ACTIVE:
            if event["service"] != service:
                continue
            if event["shard"] in lost:
                lost.discard(event["shard"])
                gap = max(gap, event["clock"] - lost_at)
            last[event["shard"]] = event
    if lost:
        return float("inf")
    return gap / findings.MICROSECONDS_PER_SECOND


def _owned_by(last: dict[int, dict], name: str) -> set[int]:
    return {
        shard
        for shard, event in last.items()
        if name in (event["process"], f"target:{event['target']}")
    }


def count_by_code(events: list[dict]) -> dict[int, int]:
    """Returns callers' answers by result code."""
    counts = collections.Counter(
        event["code"]
        for event in events
        if event["kind"] == kinds.EventKind.CALLER_ANSWERED
    )
    return dict(sorted(counts.items()))
