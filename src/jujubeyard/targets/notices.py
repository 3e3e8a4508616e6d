"""What a target announces about itself in the headers of its answers."""

import collections.abc
import dataclasses

from jujubeyard import fields
from jujubeyard.node import protocol

MAX_PAUSE_SECONDS = 3600.0
"""Longest pause that a target gets, so that an odd figure doesn't exclude it
for good."""

UNAVAILABLE_STATUS = 503
LEAVING_VALUE = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """An announcement of a target.

    Attributes:
        is_leaving: Whether the target is about to shut down.
        pause_seconds: Time for which the target wants no requests of this node;
            0.0 if it doesn't ask for a pause.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0


NO_NOTICE = Notice()


def read_notice(
    status: int,
    headers: collections.abc.Mapping[str, str],
    target_id: str,
    header_names: protocol.HeaderNames,
) -> Notice:
    """Returns what a target announces with an answer.

    Args:
        status: HTTP status of the answer.
        headers: Headers of the answer.
        target_id: The target that the request was sent to. An answer that names
            another one says nothing about it.
        header_names: Names of the protocol's headers.
    """
    if headers.get(header_names.target, target_id) != target_id:
        return NO_NOTICE
    is_leaving = headers.get(header_names.leaving, "").strip() == LEAVING_VALUE
    pause_seconds = 0.0
    if status == UNAVAILABLE_STATUS:
        pause_seconds = _parse_pause(headers.get(header_names.pause, ""))
    return Notice(is_leaving, pause_seconds)


def _parse_pause(text: str) -> float:
    """Returns the length of a pause; 0.0 if the text isn't a number."""
    try:
        seconds = fields.parse_finite(text)
    except ValueError:
        return 0.0
    return min(max(seconds, 0.0), MAX_PAUSE_SECONDS)
