"""Targets that drain on after the store's return from an older copy."""

import dataclasses

from jujubeyard.node import journal
from jujubeyard.targets import registry


class KeptDrains:
    """Keeps targets draining that a copy of the store shows as ready.

    A target that drains never becomes ready again in the same incarnation.
    """

    def __init__(
        self, target_registry: registry.Registry, log: journal.Journal
    ):
        """Initializes the drains before the first change of the era.

        Args:
            target_registry: The targets.
            log: Log of the targets that are kept draining.
        """
        self._registry = target_registry
        self._log = log
        self._is_snapshot_due = False
        self._draining: dict[str, int] = {}
        self._kept: set[str] = set()

    def begin_era(self) -> None:
        """Handles the beginning of an era of the store."""
        self._is_snapshot_due = True
        self._draining = self._find_draining()

    def begin_snapshot(self) -> None:
        """Prepares for the listings of all targets."""
        if self._is_snapshot_due:
            self._is_snapshot_due = False
            self._draining = self._find_draining()

    def correct(self, listing: registry.Listing) -> registry.Listing:
        """Returns a listing with the state that the target has.

        Args:
            listing: The listing that the store has.
        """
        target_id = listing.target_id
        if self._draining.get(target_id) != listing.born:
            self._draining.pop(target_id, None)
            self._settle(target_id, "another incarnation")
            return listing
        if listing.draining:
            self._settle(target_id, "written again")
            return listing
        self._keep(listing)
        return dataclasses.replace(listing, draining=True)

    def observe_removal(self, target_id: str) -> None:
        """Records that the listing of a target was removed."""
        self._settle(target_id, "removed")

    def _find_draining(self) -> dict[str, int]:
        """Returns the incarnations that are draining, by target."""
        return {
            target_id: target.listing.born
            for target_id, target in self._registry.targets.items()
            if target.draining_since
        }

    def _keep(self, listing: registry.Listing) -> None:
        if listing.target_id in self._kept:
            return
        self._kept.add(listing.target_id)
        known = self._registry.targets.get(listing.target_id)
        self._log.log_event(
            "target kept as draining",
            target=listing.target_id,
            born=listing.born,
            seq=listing.seq,
            known_seq=known.listing.seq if known is not None else None,
        )

    def _settle(self, target_id: str, reason: str) -> None:
        if target_id in self._kept:
            self._kept.remove(target_id)
            self._log.log_event(
                "target no longer kept as draining",
                target=target_id,
                reason=reason,
            )
