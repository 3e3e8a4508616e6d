"""Tracks which owners of keys are unresponsive and which have ended."""

from jujubeyard.ownership import table

UNRESPONSIVE_SECONDS = 1.0
"""How long an owner must be unresponsive before its shards are moved."""


class OwnerLiveness:
    """State of owners, derived from the replies to requests and probes.

    A reply shows that a process serves the owner's name at its address, not
    that it is the incarnation that the shard table names.
    """

    def __init__(self):
        """Initializes a tracker in which all owners are available."""
        self._unresponsive_since: dict[table.Owner, float] = {}
        self._ended: set[table.Owner] = set()

    def record_reply(self, owner: table.Owner) -> None:
        """Records that an owner replied."""
        self._unresponsive_since.pop(owner, None)

    def record_failure(self, owner: table.Owner, now: float) -> bool:
        """Records that a request to an owner failed.

        Returns:
            Whether this is the first failure since the owner last replied.
        """
        was_responsive = owner not in self._unresponsive_since
        self._unresponsive_since.setdefault(owner, now)
        return was_responsive

    def record_end(self, owner: table.Owner) -> None:
        """Records that another process replied at an owner's address."""
        self._ended.add(owner)

    def is_unresponsive(self, owner: table.Owner) -> bool:
        """Returns whether the latest request to an owner failed."""
        return owner in self._unresponsive_since

    def is_available(self, owner: table.Owner) -> bool:
        """Returns whether an owner is responsive and has not ended."""
        return not self.is_unresponsive(owner) and owner not in self._ended

    def may_own(self, owner: table.Owner, now: float) -> bool:
        """Returns whether an owner may keep its shards and get more.

        An owner may be unresponsive for up to `UNRESPONSIVE_SECONDS`.
        """
        since = self._unresponsive_since.get(owner)
        is_timed_out = since is not None and now - since > UNRESPONSIVE_SECONDS
        return not is_timed_out and owner not in self._ended

    def has_ended(self, owner: table.Owner) -> bool:
        """Returns whether another process has replied at an owner's address."""
        return owner in self._ended
