"""Checks of installed plans and configurations."""

from jujubeyard.events import findings
from jujubeyard.events import kinds

CONFIG_INSTALL_SECONDS = 7.0
"""How long an accepted configuration may take to be in force everywhere."""


def check_versions(history: list[dict]) -> list[findings.Violation]:
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
                findings.Violation(
                    "never-reverts",
                    f"{event['process']} went back a version",
                    (before, event),
                )
            )
        installed[key] = event
    return found


def check_in_force(history: list[dict]) -> list[findings.Violation]:
    """An accepted configuration is in force everywhere within seconds.

    Processes that were killed, paused or started in the meantime are
    excused, as are those of VMs that were cut off, which the history names in
    process-killed events.
    """
    found = []
    ended = findings.select(
        history,
        kinds.EventKind.PROCESS_KILLED,
        kinds.EventKind.PROCESS_PAUSED,
        kinds.EventKind.PROCESS_TERMINATED,
    )
    accepted = findings.select(history, kinds.EventKind.CONFIG_ACCEPTED)
    starts = findings.select(history, kinds.EventKind.START)
    installs = findings.select(history, kinds.EventKind.CONFIG_INSTALLED)
    last = history[-1]["clock"] if history else 0
    for change in accepted:
        due = change["clock"] + int(
            CONFIG_INSTALL_SECONDS * findings.MICROSECONDS_PER_SECOND
        )
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
                    findings.Violation(
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
