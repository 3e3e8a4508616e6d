"""Checks of what callers are told."""

import collections

from jujubeyard.events import findings
from jujubeyard.events import kinds


def check_answers(history: list[dict]) -> list[findings.Violation]:
    """Every caller gets the whole answer to its own request."""
    return [
        findings.Violation(
            "own-answer", "a caller got another's answer", (event,)
        )
        for event in findings.select(history, kinds.EventKind.CALLER_ANSWERED)
        if not event["own"]
    ]


def check_not_run(history: list[dict]) -> list[findings.Violation]:
    """A refusal that says "not run" is true.

    It speaks of one attempt: a request id that ran must not have been refused
    so in all its attempts.
    """
    started = {
        event["request_id"]: event
        for event in findings.select(history, kinds.EventKind.RUN_START)
    }
    sent = collections.Counter(
        event["request_id"]
        for event in findings.select(history, kinds.EventKind.CALLER_SENT)
    )
    refused = collections.defaultdict(list)
    for event in findings.select(history, kinds.EventKind.CALLER_ANSWERED):
        if event["not_run"]:
            refused[event["request_id"]].append(event)
    return [
        findings.Violation(
            "not-run",
            "a caller was told that a call did not run",
            (started[request_id], *events),
        )
        for request_id, events in refused.items()
        if request_id in started and len(events) >= sent[request_id]
    ]


def check_at_most_once(history: list[dict]) -> list[findings.Violation]:
    """A non-repeatable request runs at most once."""
    single = {
        event["request_id"]
        for event in findings.select(history, kinds.EventKind.CALLER_SENT)
        if not event["idempotent"]
    }
    found = []
    first: dict[str, dict] = {}
    for event in findings.select(history, kinds.EventKind.RUN_START):
        request_id = event["request_id"]
        if request_id not in single:
            continue
        if request_id in first:
            found.append(
                findings.Violation(
                    "at-most-once",
                    f"request {request_id} ran twice",
                    (first[request_id], event),
                )
            )
        first.setdefault(request_id, event)
    return found


def check_no_interrupted_calls(history: list[dict]) -> list[findings.Violation]:
    """A graceful shutdown cuts no request.

    Only for histories without other faults: all calls must be answered with
    a known outcome.
    """
    return [
        findings.Violation(
            "uncut", f"a call ended with {event['code']}", (event,)
        )
        for event in findings.select(history, kinds.EventKind.CALLER_ANSWERED)
        if event["code"] in (0, 300, 302)
    ]
