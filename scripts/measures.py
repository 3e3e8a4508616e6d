"""Durations computed from recorded events, for comparison with bounds."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds
from jujubeyard.events import target_checks
from jujubeyard.events import version_checks

MAX_RECOVERY_SECONDS = 2.0
"""Longest permitted time without an active owner of a key after a loss."""


def longest_config_delay(events: list[dict]) -> float:
    """Returns the longest time from accepting to installing a configuration.

    Counts only processes that installed the version within twice
    CONFIG_INSTALL_SECONDS; the checker reports those that never did.

    Args:
        events: Events of all processes, merged.

    Returns:
        Seconds; 0.0 if no version was installed.
    """
    longest = 0
    for accepted in events:
        if accepted["kind"] != kinds.EventKind.CONFIG_ACCEPTED:
            continue
        installed_at: dict[str, int] = {}
        for event in events:
            if event["kind"] != kinds.EventKind.CONFIG_INSTALLED:
                continue
            if event["version"] >= accepted["version"]:
                installed_at.setdefault(event["process"], event["clock"])
        delays = [clock - accepted["clock"] for clock in installed_at.values()]
        limit = int(
            2
            * version_checks.CONFIG_INSTALL_SECONDS
            * findings.MICROSECONDS_PER_SECOND
        )
        delays = [delay for delay in delays if delay < limit]
        longest = max([longest, *delays])
    return longest / findings.MICROSECONDS_PER_SECOND


def longest_drain_time(
    events: list[dict], cluster_info: findings.ClusterInfo
) -> float:
    """Returns the longest time for which a drained target got new calls.

    Args:
        events: Events of all processes, merged.
        cluster_info: Zone and slots of each target.

    Returns:
        Seconds from the drain of a target until its last new call; 0.0 if no
        drained target got one.
    """
    return max(
        (
            findings.seconds_between(since, event)
            for since, event in target_checks.find_drained_runs(
                events, cluster_info
            )
        ),
        default=0.0,
    )


def longest_ownership_gap(events: list[dict], service: str) -> float:
    """Returns the time until all shards of lost processes were active again.

    Args:
        events: Events of all processes, merged.
        service: Name of a keyed service.

    Returns:
        Seconds from the first loss until the last of the shards that the lost
        targets owned, or that the lost gates held, was active again; 0.0 if
        no shard was affected, infinity if one was not active again.
    """
    unowned_shards: set[int] = set()
    active_events: dict[int, dict] = {}
    first_loss_at = 0
    gap = 0
    for event in events:
        kind = event["kind"]
        if kind in (
            kinds.EventKind.PROCESS_KILLED,
            kinds.EventKind.PROCESS_PAUSED,
        ):
            first_loss_at = first_loss_at or event["clock"]
            unowned_shards |= _shards_served_by(active_events, event["name"])
        elif kind == kinds.EventKind.SHARD_ACTIVE:
            if event["service"] != service:
                continue
            if event["shard"] in unowned_shards:
                unowned_shards.discard(event["shard"])
                gap = max(gap, event["clock"] - first_loss_at)
            active_events[event["shard"]] = event
    if unowned_shards:
        return float("inf")
    return gap / findings.MICROSECONDS_PER_SECOND


def _shards_served_by(active_events: dict[int, dict], name: str) -> set[int]:
    return {
        shard
        for shard, event in active_events.items()
        if name in (event["process"], f"target:{event['target']}")
    }


def count_by_code(events: list[dict]) -> dict[int, int]:
    """Returns the number of answers to callers by result code."""
    counts = collections.Counter(
        event["code"]
        for event in events
        if event["kind"] == kinds.EventKind.CALLER_ANSWERED
    )
    return dict(sorted(counts.items()))
