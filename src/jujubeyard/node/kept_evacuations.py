"""Evacuations that outlast the store's return from an older copy."""

import collections.abc
import time

from jujubeyard.node import journal
from jujubeyard.targets import registry


class KeptEvacuations:
    """Keeps evacuations that a copy of the store doesn't have.

    The operator writes them again in the new era of the store.
    """

    def __init__(
        self, target_registry: registry.Registry, log: journal.Journal
    ):
        """Initializes the evacuations before the first change of the era.

        Args:
            target_registry: Holds the evacuated zones.
            log: Log of the evacuations that are kept.
        """
        self._registry = target_registry
        self._log = log
        self._is_snapshot_due = False
        self._earlier: set[str] = set()
        self._kept: set[str] = set()

    def begin_era(self) -> None:
        """Handles the beginning of an era of the store."""
        self._is_snapshot_due = True
        self._earlier = set(self._registry.evacuated_since)

    def end(self) -> None:
        """Ends the evacuations that nobody has written in the new era."""
        self._is_snapshot_due = False
        self._earlier.clear()
        for zone in sorted(self._kept):
            self._registry.set_evacuated(zone, False, time.monotonic())
            self._settle(zone, "not written again")

    def apply_snapshot(
        self, zones: collections.abc.Set[str], changed_at: float
    ) -> None:
        """Ends the evacuations that aren't listed, unless they are kept.

        Args:
            zones: Evacuated zones that are listed.
            changed_at: When the others may have ended, in monotonic seconds.
        """
        if self._is_snapshot_due:
            self._is_snapshot_due = False
            self._earlier.update(self._registry.evacuated_since)
        for zone in self._registry.evacuated_since.keys() - zones:
            if zone in self._earlier:
                self._keep(zone)
            else:
                self._registry.set_evacuated(zone, False, changed_at)

    def observe_change(self, zone: str, evacuated: bool) -> None:
        """Records that the operator began or ended an evacuation."""
        self._settle(zone, "written again" if evacuated else "taken back")

    def _keep(self, zone: str) -> None:
        if zone in self._kept:
            return
        self._kept.add(zone)
        since = self._registry.evacuated_since[zone]
        self._log.log_event(
            "evacuation kept",
            zone=zone,
            evacuated_seconds=round(time.monotonic() - since, 3),
        )

    def _settle(self, zone: str, reason: str) -> None:
        """Leaves a zone to the store from now on."""
        self._earlier.discard(zone)
        if zone in self._kept:
            self._kept.remove(zone)
            self._log.log_event(
                "evacuation no longer kept", zone=zone, reason=reason
            )
