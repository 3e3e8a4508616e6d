"""Which owners of keys are silent, and which have ended."""

import collections.abc

from jujubeyard.ownership import table

SILENT_SECONDS = 1.0
"""How long an owner must be silent before its shards move."""


class Lives:
    """What orders and probes show of the lives of owners."""

    def __init__(
        self, is_replaced: collections.abc.Callable[[table.Owner], bool]
    ):
        """Makes a record of owners that are all well.

        Args:
            is_replaced: Returns whether the platform lists another life of
                an owner.
        """
        self._is_replaced = is_replaced
        self._silent_since: dict[table.Owner, float] = {}
        self._ended: set[table.Owner] = set()

    def note_answer(self, owner: table.Owner) -> None:
        """Learns that an owner answers."""
        self._silent_since.pop(owner, None)

    def note_silence(self, owner: table.Owner, now: float) -> bool:
        """Learns that an owner doesn't; returns whether that is new."""
        is_new = owner not in self._silent_since
        self._silent_since.setdefault(owner, now)
        return is_new

    def note_end(self, owner: table.Owner) -> None:
        """Learns that another process answers at an owner's address."""
        self._ended.add(owner)

    def is_silent(self, owner: table.Owner) -> bool:
        """Returns whether an owner didn't answer when it was asked last."""
        return owner in self._silent_since

    def answers(self, owner: table.Owner) -> bool:
        """Returns whether the latest that is known of an owner is good."""
        return not self.is_silent(owner) and owner not in self._ended

    def may_own(self, owner: table.Owner, now: float) -> bool:
        """Returns whether an owner may keep keys and be given more."""
        since = self._silent_since.get(owner)
        is_silent = since is not None and now - since > SILENT_SECONDS
        return not is_silent and owner not in self._ended

    def has_ended(self, owner: table.Owner) -> bool:
        """Returns whether that life of a target has certainly ended."""
        return owner in self._ended or self._is_replaced(owner)
