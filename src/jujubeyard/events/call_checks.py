"""Checks of the answers that callers receive."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds


def check_own_answers(history: list[dict]) -> list[findings.Violation]:
    """Checks that callers get the complete answers to their own requests.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each answer that is not the expected one.
    """
    return [
        findings.Violation(
            "own-answer",
            "a caller received an answer that does not match its request",
            (event,),
        )
        for event in findings.select_events(
            history, kinds.EventKind.CALLER_ANSWERED
        )
        if not event["own"]
    ]


def check_not_run_replies(history: list[dict]) -> list[findings.Violation]:
    """Checks that requests reported as "not run" did not run.

    A refusal with "not run" applies to one attempt only, so a request that
    ran violates the guarantee only if all its attempts got such a refusal.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each request id that ran in spite of its refusals.
    """
    runs = {
        event["request_id"]: event
        for event in findings.select_events(history, kinds.EventKind.RUN_START)
    }
    attempts = collections.Counter(
        event["request_id"]
        for event in findings.select_events(
            history, kinds.EventKind.CALLER_SENT
        )
    )
    refusals = collections.defaultdict(list)
    for event in findings.select_events(
        history, kinds.EventKind.CALLER_ANSWERED
    ):
        if event["not_run"]:
            refusals[event["request_id"]].append(event)
    return [
        findings.Violation(
            "not-run",
            "a call ran although all its attempts were reported as not run",
            (runs[request_id], *events),
        )
        for request_id, events in refusals.items()
        if request_id in runs and len(events) >= attempts[request_id]
    ]


def check_at_most_once(history: list[dict]) -> list[findings.Violation]:
    """Checks that non-repeatable requests run at most once.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each repeated run.
    """
    non_repeatable = {
        event["request_id"]
        for event in findings.select_events(
            history, kinds.EventKind.CALLER_SENT
        )
        if not event["idempotent"]
    }
    violations = []
    first_runs: dict[str, dict] = {}
    for event in findings.select_events(history, kinds.EventKind.RUN_START):
        request_id = event["request_id"]
        if request_id not in non_repeatable:
            continue
        if request_id in first_runs:
            violations.append(
                findings.Violation(
                    "at-most-once",
                    f"request {request_id} ran twice",
                    (first_runs[request_id], event),
                )
            )
        first_runs.setdefault(request_id, event)
    return violations


def check_no_interrupted_calls(history: list[dict]) -> list[findings.Violation]:
    """Checks that a graceful shutdown interrupts no call.

    Applies only to histories without other faults, in which every call must
    be answered with a known outcome.

    Args:
        history: Events of all processes, ordered by the hybrid clock.

    Returns:
        A violation for each call without a known outcome.
    """
    return [
        findings.Violation(
            "uncut", f"a call ended with code {event['code']}", (event,)
        )
        for event in findings.select_events(
            history, kinds.EventKind.CALLER_ANSWERED
        )
        if event["code"] in (0, 300, 302)
    ]
