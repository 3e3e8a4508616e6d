"""Decides what a target's complete answer says about a call."""

import enum

from jujubeyard.node import protocol
from jujubeyard.node import upstream

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that state that a call has not run. An answer with one of them is
only valid if it also has the header that says so."""

MIN_SERVER_ERROR_STATUS = 500


class AnswerKind(enum.Enum):
    """What an answer says about the call that it was read for."""

    REFUSED = "not run"
    """The target has not run the call and won't."""

    INVALID = "invalid answer"
    """The answer isn't usable; the call may have run."""

    FAILED = "failed"
    """The target reports an error; the call may have run."""

    SERVED = "served"


def classify_answer(
    answer: upstream.Answer, call_id: str, header_names: protocol.HeaderNames
) -> AnswerKind:
    """Returns what an answer says about a call.

    An answer must name the call, be without an encoding and, if it is a
    success, be signed by the target.

    Args:
        answer: The answer.
        call_id: ID of the call.
        header_names: Names of the protocol's headers.
    """
    if answer.headers.get(header_names.call_id) != call_id:
        return AnswerKind.INVALID
    if header_names.not_run in answer.headers:
        return AnswerKind.REFUSED
    if "Content-Encoding" in answer.headers:
        return AnswerKind.INVALID
    if answer.status in NOT_RUN_STATUSES:
        return AnswerKind.INVALID
    if answer.status >= MIN_SERVER_ERROR_STATUS:
        return AnswerKind.FAILED
    is_success = 200 <= answer.status < 300
    if is_success and header_names.signature not in answer.headers:
        return AnswerKind.INVALID
    return AnswerKind.SERVED
