"""Checks a merged history against what must always hold.

Runs at targets, as the targets themselves recorded them, are the ground truth.
Each check returns the broken promises with the events that show them.
"""

import collections
import dataclasses

from jujubeyard.events import kinds

DRAIN_SECONDS = 5.0
"""How long after its acceptance a drain may still see new work."""

CONFIG_SECONDS = 7.0
"""How long an accepted configuration may take to be in force everywhere."""

MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: Which one.
        message: What happened.
        events: The events that show it.
    """

    promise: str
    message: str
    events: tuple[dict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the checker has to know besides the history.

    Attributes:
        zones: Availability zone of each target.
        slots: Slots of each target.
    """

    zones: dict[str, str]
    slots: dict[str, int]


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


def check(history: list[dict], rules: Rules) -> list[Violation]:
    """Runs all checks.

    Args:
        history: Events of all processes, ordered by clock.
        rules: Facts about the cluster.
    """
    found = []
    for one in (
        check_single_owner,
        check_single_sender,
        check_epochs,
        check_answers,
        check_not_run,
        check_at_most_once,
        check_versions,
        check_in_force,
    ):
        found.extend(one(history))
    found.extend(check_slots(history, rules))
    found.extend(check_drains(history, rules))
    return found


def _of(history: list[dict], *wanted: kinds.EventKind) -> list[dict]:
    names = {str(kind) for kind in wanted}
    return [event for event in history if event["kind"] in names]


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


def check_single_owner(history: list[dict]) -> list[Violation]:
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


def _check_shard_runs(key, runs: list[_Run]) -> list[Violation]:
    found = []
    latest_end: dict[str, _Run] = {}
    newest = runs[0]
    for run in runs:
        target = run.start["target"]
        for other, before in latest_end.items():
            if other != target and before.ended_at > run.start["clock"]:
                found.append(
                    Violation(
                        "single-owner",
                        f"shard {key} runs at {other} and {target} at once",
                        (before.start, run.start),
                    )
                )
        if run.start["epoch"] < newest.start["epoch"]:
            found.append(
                Violation(
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


def check_single_sender(history: list[dict]) -> list[Violation]:
    """Only the newest holder of a target sends to it.

    No gate sends to a target under an older holder epoch than one under which
    a call has been sent before.
    """
    found = []
    newest: dict[str, dict] = {}
    for event in _of(history, kinds.EventKind.SEND):
        before = newest.get(event["target"])
        if before is not None and event["holder"] < before["holder"]:
            found.append(
                Violation(
                    "single-owner",
                    f"a former holder sent to {event['target']}",
                    (before, event),
                )
            )
        else:
            newest[event["target"]] = event
    return found


def check_epochs(history: list[dict]) -> list[Violation]:
    """An acknowledged assignment survives any tolerated loss.

    The epochs under which a shard is activated grow, and one epoch belongs to
    one target.
    """
    found = []
    newest: dict[tuple, dict] = {}
    owners: dict[tuple, dict] = {}
    for event in _of(history, kinds.EventKind.SHARD_ACTIVE):
        shard = (event["service"], event["shard"])
        before = newest.get(shard)
        if before is not None and event["epoch"] < before["epoch"]:
            found.append(
                Violation(
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
                Violation(
                    "assignment-survives",
                    f"shard {shard} has two owners under one epoch",
                    (owner, event),
                )
            )
    return found


def check_slots(history: list[dict], rules: Rules) -> list[Violation]:
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
                    Violation(
                        "cold-start",
                        f"{name} was sent more than it bears",
                        (event,),
                    )
                )
            allowance[name] -= 1
        elif kind == kinds.EventKind.RUN_START:
            if event["in_flight"] > rules.slots[name]:
                found.append(
                    Violation(
                        "cold-start", f"{name} exceeds its slots", (event,)
                    )
                )
    return found


def check_drains(history: list[dict], rules: Rules) -> list[Violation]:
    """A drained zone or target gets no new work after a few seconds."""
    found = []
    drained: dict[str, dict] = {}
    for event in history:
        if event["kind"] == kinds.EventKind.CONFIG_ACCEPTED:
            out = {
                target
                for target, zone in rules.zones.items()
                if zone in event["drained_zones"]
                or target in event["drained_targets"]
            }
            drained = {t: drained.get(t, event) for t in out}
        elif event["kind"] == kinds.EventKind.RUN_START:
            since = drained.get(event["target"])
            if since is None:
                continue
            if _seconds(since, event) > DRAIN_SECONDS:
                found.append(
                    Violation(
                        "drain",
                        f"{event['target']} got new work after its drain",
                        (since, event),
                    )
                )
    return found


def check_answers(history: list[dict]) -> list[Violation]:
    """Every caller gets the whole answer to its own request."""
    return [
        Violation("own-answer", "a caller got another's answer", (event,))
        for event in _of(history, kinds.EventKind.CALLER_ANSWERED)
        if not event["own"]
    ]


def check_not_run(history: list[dict]) -> list[Violation]:
    """A refusal that says "not run" is true.

    It speaks of one attempt: a request id that ran must not have been refused
    so in all its attempts.
    """
    started = {
        event["request_id"]: event
        for event in _of(history, kinds.EventKind.RUN_START)
    }
    sent = collections.Counter(
        event["request_id"]
        for event in _of(history, kinds.EventKind.CALLER_SENT)
    )
    refused = collections.defaultdict(list)
    for event in _of(history, kinds.EventKind.CALLER_ANSWERED):
        if event["not_run"]:
            refused[event["request_id"]].append(event)
    return [
        Violation(
            "not-run",
            "a caller was told that a call did not run",
            (started[request_id], *events),
        )
        for request_id, events in refused.items()
        if request_id in started and len(events) >= sent[request_id]
    ]


def check_at_most_once(history: list[dict]) -> list[Violation]:
    """A non-repeatable request runs at most once."""
    single = {
        event["request_id"]
        for event in _of(history, kinds.EventKind.CALLER_SENT)
        if not event["idempotent"]
    }
    found = []
    first: dict[str, dict] = {}
    for event in _of(history, kinds.EventKind.RUN_START):
        request_id = event["request_id"]
        if request_id not in single:
            continue
        if request_id in first:
            found.append(
                Violation(
                    "at-most-once",
                    f"request {request_id} ran twice",
                    (first[request_id], event),
                )
            )
        first.setdefault(request_id, event)
    return found


def check_uncut(history: list[dict]) -> list[Violation]:
    """A graceful shutdown cuts no request.

    Only for histories without other faults: all calls must be answered with
    a known outcome.
    """
    return [
        Violation("uncut", f"a call ended with {event['code']}", (event,))
        for event in _of(history, kinds.EventKind.CALLER_ANSWERED)
        if event["code"] in (0, 300, 302)
    ]


def check_versions(history: list[dict]) -> list[Violation]:
    """No process installs an older plan or configuration, or another one."""
    found = []
    installed: dict[tuple[str, str], dict] = {}
    for event in history:
        kind = event["kind"]
        if kind == kinds.EventKind.START:
            for key in list(installed):
                if key[0] == event["process"]:
                    del installed[key]
        if kind not in (
            kinds.EventKind.PLAN_INSTALLED,
            kinds.EventKind.CONFIG_INSTALLED,
        ):
            continue
        key = (event["process"], kind)
        before = installed.get(key)
        if before is not None and event["version"] <= before["version"]:
            found.append(
                Violation(
                    "never-reverts",
                    f"{event['process']} went back a version",
                    (before, event),
                )
            )
        installed[key] = event
    return found


def check_in_force(history: list[dict]) -> list[Violation]:
    """An accepted configuration is in force everywhere within seconds.

    Processes that were killed, paused or started in the meantime are
    excused, as are those of VMs that were cut off, which the history names in
    process-killed events.
    """
    found = []
    ended = _of(
        history,
        kinds.EventKind.PROCESS_KILLED,
        kinds.EventKind.PROCESS_PAUSED,
        kinds.EventKind.PROCESS_TERMINATED,
    )
    accepted = _of(history, kinds.EventKind.CONFIG_ACCEPTED)
    starts = _of(history, kinds.EventKind.START)
    installs = _of(history, kinds.EventKind.CONFIG_INSTALLED)
    last = history[-1]["clock"] if history else 0
    for change in accepted:
        due = change["clock"] + int(CONFIG_SECONDS * MICROSECONDS)
        if due > last:
            continue
        for process in {event["process"] for event in starts}:
            if _is_excused(process, change["clock"], due, starts, ended):
                continue
            if not any(
                event["process"] == process
                and event["version"] >= change["version"]
                and event["clock"] <= due
                for event in installs
            ):
                found.append(
                    Violation(
                        "in-force",
                        f"{process} lacks version {change['version']}",
                        (change,),
                    )
                )
    return found


def _is_excused(process, accepted_at: int, due: int, starts, ended) -> bool:
    running = [
        event["clock"] for event in starts if event["process"] == process
    ]
    if max(running) > accepted_at:
        return True
    return any(
        event["name"] == process and event["clock"] <= due for event in ended
    )


def _seconds(earlier: dict, later: dict) -> float:
    return (later["clock"] - earlier["clock"]) / MICROSECONDS
