"""What proves that no target holds a shard any more.

Grants are addressed to a target by its name and address. Whichever process
serves that name there takes them: after a restart, that is another incarnation
than the one that the shard table names. Its listing therefore proves nothing
about the grants: they may have gone to the incarnation that is listed.
"""

import enum

from jujubeyard.ownership import target_requests


class Evidence(enum.Enum):
    """A proof that no target holds a shard any more."""

    RELEASED = "released"
    """The process at the owner's address has confirmed a release that was sent
    when no grant of the shard was in progress. It refuses lower fences."""

    EXPIRED = "grants expired"
    """All grants of the shard that were sent have expired, on a slow clock."""

    OTHER_TARGET = "another target replied"
    """A target with another name replied at the owner's address, so that the
    process that took the grants has ended."""


_PROOF_BY_OUTCOME = {
    target_requests.Outcome.DONE: Evidence.RELEASED,
    target_requests.Outcome.GONE: Evidence.OTHER_TARGET,
}


def judge_release(result: target_requests.Result) -> Evidence | None:
    """Returns what the result of a release proves, or None for nothing.

    Args:
        result: Result of a release that was sent to the owner of a shard when
            no grant of the shard was in progress.
    """
    return _PROOF_BY_OUTCOME.get(result.outcome)
