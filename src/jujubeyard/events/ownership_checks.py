"""Checks of owners, senders and assignments."""

import collections
import dataclasses

from jujubeyard.events import findings
from jujubeyard.events import kinds


@dataclasses.dataclass(slots=True)
class _Run:
    """One call that a target started."""

    start: dict
    end: dict | None
    ended_at: int

    @property
    def took_effect(self) -> bool:
        """Whether the call was not fenced before its effect."""
        return self.end is None or self.end["done"]


def _collect_runs(history: list[dict]) -> list[_Run]:
    """Returns all runs; one without an end lasts until its process's end."""
    runs: dict[str, _Run] = {}
    open_runs: dict[str, dict[str, _Run]] = collections.defaultdict(dict)
    last = history[-1]["clock"] if history else 0
    for event in history:
        kind = event["kind"]
        if kind == kinds.EventKind.RUN_START:
            run = _Run(event, None, last)
            runs[event["run"]] = run
            open_runs[event["process"]][event["run"]] = run
        elif kind == kinds.EventKind.RUN_END:
            run = runs.get(event["run"])
            if run is not None:
                run.end = event
                run.ended_at = event["clock"]
                open_runs[event["process"]].pop(event["run"], None)
        elif kind == kinds.EventKind.PROCESS_KILLED:
            for run in open_runs.pop(event["name"], {}).values():
                run.ended_at = event["clock"]
    return list(runs.values())


def _service_of(event: dict) -> str:
    """Returns the service of a target's event: its name without number."""
    return event["target"].rpartition("-")[0]


def check_single_owner(history: list[dict]) -> list[findings.Violation]:
    """Every key has at most one owner at any time.

    Runs of one shard at different targets must not overlap, and none may
    start under an older epoch than one that has started before.
    """
    by_shard = collections.defaultdict(list)
    for run in _collect_runs(history):
        if run.start["shard"] >= 0 and run.took_effect:
            key = (_service_of(run.start), run.start["shard"])
            by_shard[key].append(run)
    found = []
    for key, runs in by_shard.items():
        runs.sort(key=lambda run: run.start["clock"])
        found.extend(_check_shard_runs(key, runs))
    return found


def _check_shard_runs(key, runs: list[_Run]) -> list[findings.Violation]:
    found = []
    latest_end: dict[str, _Run] = {}
    newest = runs[0]
    for run in runs:
        target = run.start["target"]
        for other, before in latest_end.items():
            if other != target and before.ended_at > run.start["clock"]:
                found.append(
                    findings.Violation(
                        "single-owner",
                        f"shard {key} runs at {other} and {target} at once",
                        (before.start, run.start),
                    )
                )
        if run.start["epoch"] < newest.start["epoch"]:
            found.append(
                findings.Violation(
                    "single-owner",
                    f"shard {key} runs under an older epoch",
                    (newest.start, run.start),
                )
            )
        if run.start["epoch"] > newest.start["epoch"]:
            newest = run
        known = latest_end.get(target)
        if known is None or known.ended_at < run.ended_at:
            latest_end[target] = run
    return found


def check_single_sender(history: list[dict]) -> list[findings.Violation]:
    """Only the newest holder of a target sends to it.

    No gate sends to a target under an older holder epoch than one under which
    a call has been sent before.
    """
    found = []
    newest: dict[str, dict] = {}
    for event in findings.select(history, kinds.EventKind.SEND):
        before = newest.get(event["target"])
        if before is not None and event["holder"] < before["holder"]:
            found.append(
                findings.Violation(
                    "single-owner",
                    f"a former holder sent to {event['target']}",
                    (before, event),
                )
            )
        else:
            newest[event["target"]] = event
    return found


def check_epochs(history: list[dict]) -> list[findings.Violation]:
    """An acknowledged assignment survives any tolerated loss.

    The epochs under which a shard is activated grow, and one epoch belongs to
    one target.
    """
    found = []
    newest: dict[tuple, dict] = {}
    owners: dict[tuple, dict] = {}
    for event in findings.select(history, kinds.EventKind.SHARD_ACTIVE):
        shard = (event["service"], event["shard"])
        before = newest.get(shard)
        if before is not None and event["epoch"] < before["epoch"]:
            found.append(
                findings.Violation(
                    "assignment-survives",
                    f"shard {shard} went back to an older epoch",
                    (before, event),
                )
            )
        else:
            newest[shard] = event
        owner = owners.setdefault((*shard, event["epoch"]), event)
        if owner["target"] != event["target"]:
            found.append(
                findings.Violation(
                    "assignment-survives",
                    f"shard {shard} has two owners under one epoch",
                    (owner, event),
                )
            )
    return found
