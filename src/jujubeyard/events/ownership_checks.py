"""Checks of shard owners, holders of targets and assignments."""

import collections
import dataclasses

from jujubeyard.events import findings
from jujubeyard.events import kinds


@dataclasses.dataclass(slots=True)
class _Run:
    """A call that a target started.

    Attributes:
        start: The run-start event.
        end: The run-end event, or None if there is none.
        ended_at: Clock reading at the end of the run, in microseconds.
    """

    start: dict
    end: dict | None
    ended_at: int

    @property
    def took_effect(self) -> bool:
        """Whether the call may have taken effect, that is, was not fenced."""
        return self.end is None or self.end["done"]


def _collect_runs(history: list[dict]) -> list[_Run]:
    """Returns all runs of a history.

    A run without a run-end event lasts until its process is killed, or else
    until the last event of the history.
    """
    runs: dict[str, _Run] = {}
    open_runs: dict[str, dict[str, _Run]] = collections.defaultdict(dict)
    history_end = history[-1]["clock"] if history else 0
    for event in history:
        kind = event["kind"]
        if kind == kinds.EventKind.RUN_START:
            run = _Run(event, None, history_end)
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


def _service_name(event: dict) -> str:
    """Returns the service of an event: its target's name without number."""
    return event["target"].rpartition("-")[0]


def check_single_owner(history: list[dict]) -> list[findings.Violation]:
    """Checks that every key has at most one owner at any time.

    Runs of one shard at different targets must not overlap, and no run may
    start under an older epoch than an earlier run.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each such overlap or older epoch.
    """
    runs_by_shard = collections.defaultdict(list)
    for run in _collect_runs(history):
        if run.start["shard"] >= 0 and run.took_effect:
            key = (_service_name(run.start), run.start["shard"])
            runs_by_shard[key].append(run)
    violations = []
    for key, runs in runs_by_shard.items():
        runs.sort(key=lambda run: run.start["clock"])
        violations.extend(_check_shard_runs(key, runs))
    return violations


def _check_shard_runs(shard, runs: list[_Run]) -> list[findings.Violation]:
    violations = []
    latest_ending: dict[str, _Run] = {}
    newest_run = runs[0]
    for run in runs:
        target = run.start["target"]
        for other_target, other_run in latest_ending.items():
            if (
                other_target != target
                and other_run.ended_at > run.start["clock"]
            ):
                violations.append(
                    findings.Violation(
                        "single-owner",
                        f"shard {shard} runs at {other_target} and {target} "
                        "at once",
                        (other_run.start, run.start),
                    )
                )
        if run.start["epoch"] < newest_run.start["epoch"]:
            violations.append(
                findings.Violation(
                    "single-owner",
                    f"shard {shard} runs under an older epoch than before",
                    (newest_run.start, run.start),
                )
            )
        if run.start["epoch"] > newest_run.start["epoch"]:
            newest_run = run
        previous = latest_ending.get(target)
        if previous is None or previous.ended_at < run.ended_at:
            latest_ending[target] = run
    return violations


def check_single_sender(history: list[dict]) -> list[findings.Violation]:
    """Checks that only the newest holder of a target sends to it.

    No gate may send to a target under an older holder epoch than that of an
    earlier call.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each call that a former holder sent.
    """
    violations = []
    newest_events: dict[str, dict] = {}
    for event in findings.select_events(history, kinds.EventKind.SEND):
        previous = newest_events.get(event["target"])
        if previous is not None and event["holder"] < previous["holder"]:
            violations.append(
                findings.Violation(
                    "single-owner",
                    f"a former holder sent a call to {event['target']}",
                    (previous, event),
                )
            )
        else:
            newest_events[event["target"]] = event
    return violations


def check_assignment_epochs(history: list[dict]) -> list[findings.Violation]:
    """Checks that acknowledged assignments survive all tolerated failures.

    The epochs under which a shard is activated must not decrease, and each
    epoch must belong to one target.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each older epoch and each second owner of an epoch.
    """
    violations = []
    newest_events: dict[tuple, dict] = {}
    owners: dict[tuple, dict] = {}
    for event in findings.select_events(history, kinds.EventKind.SHARD_ACTIVE):
        shard = (event["service"], event["shard"])
        previous = newest_events.get(shard)
        if previous is not None and event["epoch"] < previous["epoch"]:
            violations.append(
                findings.Violation(
                    "assignment-survives",
                    f"shard {shard} went back to an older epoch",
                    (previous, event),
                )
            )
        else:
            newest_events[shard] = event
        owner = owners.setdefault((*shard, event["epoch"]), event)
        if owner["target"] != event["target"]:
            violations.append(
                findings.Violation(
                    "assignment-survives",
                    f"shard {shard} has two owners under one epoch",
                    (owner, event),
                )
            )
    return violations
