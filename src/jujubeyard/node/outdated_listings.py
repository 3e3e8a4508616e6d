"""Listings of targets that the store has from an older copy only."""

import collections.abc
import time

from jujubeyard.node import journal
from jujubeyard.targets import registry


class OutdatedListings:
    """Withholds listings that are older than what the node knows.

    After the store's return from an older copy, a target may be listed whose
    listing had been removed, or an earlier incarnation of a target. A target
    whose listing had expired because of an outage of the store isn't affected.
    """

    def __init__(
        self, target_registry: registry.Registry, log: journal.Journal
    ):
        """Initializes the listings before the first change of the era.

        Args:
            target_registry: The targets.
            log: Log of the listings that are withheld.
        """
        self._registry = target_registry
        self._log = log
        self._is_comparing = False
        self._is_snapshot_due = False
        self._removed: dict[str, registry.Listing] = {}
        self._removed_earlier: dict[str, registry.Listing] = {}
        self._withheld: dict[str, registry.Listing] = {}

    def begin_era(self) -> None:
        """Handles the beginning of an era of the store."""
        self._is_comparing = True
        self._is_snapshot_due = True
        self._removed_earlier = dict(self._removed)

    def end(self) -> list[registry.Listing]:
        """Ends the comparison; returns the listings withheld until now."""
        self._is_comparing = False
        self._is_snapshot_due = False
        listings = list(self._withheld.values())
        for listing in listings:
            self._settle(listing.target_id, "still listed")
        return listings

    def remove(self, target_id: str, now: float, changed_at: float) -> None:
        """Marks a target as no longer listed.

        Args:
            target_id: Name of the target.
            now: Time at which the node learned of it, in monotonic seconds.
            changed_at: When it may have been removed.
        """
        target = self._registry.targets.get(target_id)
        was_listed = target is not None and not target.removed_at
        self._registry.remove(target_id, now, changed_at)
        if was_listed and not target.is_usable(now):
            self._record_removal(target.listing)
        self._settle(target_id, "removed")

    def keep_only(
        self,
        target_ids: collections.abc.Set[str],
        now: float,
        changed_at: float,
    ) -> None:
        """Marks all targets except the given ones as no longer listed.

        Args:
            target_ids: Names of the targets that are listed.
            now: Time at which the node learned of it, in monotonic seconds.
            changed_at: When the others may have been removed.
        """
        if self._is_snapshot_due:
            self._is_snapshot_due = False
            self._removed_earlier = dict(self._removed)
            # The copy may lack targets that were listed after it was made.
            self._registry.keep_only(set(target_ids), now, changed_at)
        for target_id in self._registry.targets.keys() - target_ids:
            self.remove(target_id, now, changed_at)

    def is_outdated(self, listing: registry.Listing) -> bool:
        """Returns whether to withhold a listing, and remembers it then.

        Args:
            listing: One of the listings of all targets.
        """
        if not self._is_comparing or not self._is_older(listing):
            return False
        is_new = listing.target_id not in self._withheld
        self._withheld[listing.target_id] = listing
        if is_new:
            self._log_withheld(listing)
        return True

    def observe_listing(self, listing: registry.Listing) -> None:
        """Records that a listing is used: it was written in this era."""
        self._removed.pop(listing.target_id, None)
        self._removed_earlier.pop(listing.target_id, None)
        self._settle(listing.target_id, "written again")

    def _record_removal(self, listing: registry.Listing) -> None:
        self._removed = {
            target_id: removed
            for target_id, removed in self._removed.items()
            if target_id in self._registry.targets
        }
        self._removed[listing.target_id] = listing

    def _is_older(self, listing: registry.Listing) -> bool:
        known = self._registry.targets.get(listing.target_id)
        if known is None:
            return False
        if listing.born != known.listing.born:
            return listing.born < known.listing.born
        removed = self._removed_earlier.get(listing.target_id)
        return removed is not None and listing.seq <= removed.seq

    def _log_withheld(self, listing: registry.Listing) -> None:
        known = self._registry.targets[listing.target_id]
        removed_seconds = None
        if known.removed_at:
            removed_seconds = round(time.monotonic() - known.removed_at, 3)
        self._log.log_event(
            "target kept as removed"
            if known.removed_at
            else "target kept as newer incarnation",
            target=listing.target_id,
            born=listing.born,
            seq=listing.seq,
            known_born=known.listing.born,
            known_seq=known.listing.seq,
            removed_seconds=removed_seconds,
        )

    def _settle(self, target_id: str, reason: str) -> None:
        if self._withheld.pop(target_id, None) is not None:
            self._log.log_event(
                "target listing no longer withheld",
                target=target_id,
                reason=reason,
            )
