"""Checks of the installed versions of plans and configurations."""

from jujubeyard.events import findings
from jujubeyard.events import kinds

CONFIG_INSTALL_SECONDS = 7.0
"""Time within which every process must install an accepted configuration."""


def check_versions_increase(history: list[dict]) -> list[findings.Violation]:
    """Checks that each process installs only newer versions.

    Applies to plans and to configurations; a restarted process may start with
    any version.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each installed version that is not newer.
    """
    violations = []
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
        previous = installed.get(key)
        if previous is not None and event["version"] <= previous["version"]:
            violations.append(
                findings.Violation(
                    "never-reverts",
                    f"{event['process']} installed a version that is not newer",
                    (previous, event),
                )
            )
        installed[key] = event
    return violations


def check_config_installed(history: list[dict]) -> list[findings.Violation]:
    """Checks that all processes install accepted configurations in time.

    Processes that started after the acceptance are exempt, as are those that
    were killed, paused or terminated before the deadline. For VMs that were
    cut off, the history lists their processes in process-killed events.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each process that lacks an accepted version.
    """
    violations = []
    end_events = findings.select_events(
        history,
        kinds.EventKind.PROCESS_KILLED,
        kinds.EventKind.PROCESS_PAUSED,
        kinds.EventKind.PROCESS_TERMINATED,
    )
    accepted = findings.select_events(history, kinds.EventKind.CONFIG_ACCEPTED)
    start_events = findings.select_events(history, kinds.EventKind.START)
    install_events = findings.select_events(
        history, kinds.EventKind.CONFIG_INSTALLED
    )
    history_end = history[-1]["clock"] if history else 0
    for change in accepted:
        deadline = change["clock"] + int(
            CONFIG_INSTALL_SECONDS * findings.MICROSECONDS_PER_SECOND
        )
        if deadline > history_end:
            continue
        for process in {event["process"] for event in start_events}:
            if _is_exempt(
                process, change["clock"], deadline, start_events, end_events
            ):
                continue
            if not any(
                event["process"] == process
                and event["version"] >= change["version"]
                and event["clock"] <= deadline
                for event in install_events
            ):
                violations.append(
                    findings.Violation(
                        "in-force",
                        f"{process} has not installed version "
                        f"{change['version']} in time",
                        (change,),
                    )
                )
    return violations


def _is_exempt(
    process, accepted_at: int, deadline: int, start_events, end_events
) -> bool:
    started_at = [
        event["clock"] for event in start_events if event["process"] == process
    ]
    if max(started_at) > accepted_at:
        return True
    return any(
        event["name"] == process and event["clock"] <= deadline
        for event in end_events
    )
