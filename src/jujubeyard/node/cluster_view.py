"""A node's view of the cluster: routes, targets, key owners, other nodes."""

import asyncio
import collections
import collections.abc
import dataclasses
import functools
import time

from jujubeyard import errors
from jujubeyard.node import countdown
from jujubeyard.node import journal
from jujubeyard.node import kept_drains
from jujubeyard.node import kept_evacuations
from jujubeyard.node import outdated_listings
from jujubeyard.ownership import leader
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.store import changes
from jujubeyard.store import interface
from jujubeyard.targets import registry

NODES_PREFIX = "nodes/"

KEEP_SECONDS = 10.0
"""Time until the operator and the targets have written again what the store
lost when it came back from an older copy."""

MAX_UNREADABLE_LINES = 20
"""Largest number of log lines on unreadable entries of one configuration."""

Decoder = collections.abc.Callable[[interface.Item], changes.Change]


class ClusterView:
    """State of the cluster, updated from the mirrors of the store.

    Attributes:
        routes: Routes in force; None until a configuration has been read.
        registry: All targets.
        tables: Shard tables by service.
        nodes: Names of the listed nodes.
        prefixes: Key prefixes of the store's items.
        is_configuration_outdated: Returns whether another node has read a newer
            configuration than this one.
    """

    def __init__(
        self,
        prefixes: changes.Prefixes,
        decode: Decoder,
        decode_malformed: collections.abc.Callable[[str], changes.Change],
        log: journal.Journal,
    ):
        """Creates an empty view.

        Args:
            prefixes: Key prefixes of the store's items.
            decode: Converts an item of the store into a change.
            decode_malformed: Returns the change to apply for a malformed
                item, given its key.
            log: Log of the changes.
        """
        self.prefixes = prefixes
        self._decode = decode
        self._decode_malformed = decode_malformed
        self._log = log
        self._leadership: leader.Leadership | None = None
        self.is_configuration_outdated = lambda: False
        self._tables_changed = asyncio.Event()
        self._changed_at = float("-inf")
        self._store_lost_at = time.monotonic()
        self.routes: match.RouteTable | None = None
        self.registry = registry.Registry()
        self._kept_evacuations = kept_evacuations.KeptEvacuations(
            self.registry, log
        )
        self._kept_drains = kept_drains.KeptDrains(self.registry, log)
        self._outdated_listings = outdated_listings.OutdatedListings(
            self.registry, log
        )
        self._keep_countdown = countdown.Countdown(
            KEEP_SECONDS, self._end_keeping
        )
        self.tables: dict[str, table.ShardTable] = {}
        self.nodes: set[str] = set()
        self._listed_nodes: set[str] = set()
        self._kept_nodes: set[str] = set()

    def set_leadership(self, leadership: leader.Leadership) -> None:
        """Sets the leadership to notify of changes of the leader item."""
        self._leadership = leadership

    def set_configuration_check(
        self, is_outdated: collections.abc.Callable[[], bool]
    ) -> None:
        """Sets how to find out whether a newer configuration is known."""
        self.is_configuration_outdated = is_outdated

    def begin_era(self) -> None:
        """Keeps what the store may have lost: it came from an older copy."""
        self._kept_evacuations.begin_era()
        self._kept_drains.begin_era()
        self._outdated_listings.begin_era()
        self._kept_nodes = set(self.nodes)
        self._keep_countdown.restart()

    def _end_keeping(self) -> None:
        """Applies what the store has had since the era began."""
        self._changed_at = time.monotonic()
        self._kept_evacuations.end()
        self._kept_nodes = set()
        self._update_nodes()
        for listing in self._outdated_listings.end():
            self._apply(changes.TargetListed(listing))

    def node_count(self) -> int:
        """Returns the number of listed nodes, but at least one."""
        return max(1, len(self.nodes))

    def count_unreadable(self) -> collections.Counter[config.EntryKind]:
        """Returns how many entries in force can't be read, by their kind."""
        if self.routes is None:
            return collections.Counter()
        errors_found = self.routes.configuration.errors
        entries = {(error.kind, error.name) for error in errors_found}
        return collections.Counter(kind for kind, _ in entries)

    def _log_unreadable(self, configuration: config.Configuration) -> None:
        """Logs the first error of each entry that can't be read."""
        first_errors = {}
        for error in configuration.errors:
            first_errors.setdefault((error.kind, error.name), error)
        logged = list(first_errors.values())[:MAX_UNREADABLE_LINES]
        for error in logged:
            self._log.log_event(
                "configuration entry not readable",
                version=configuration.version,
                kind=error.kind.value,
                entry=error.name,
                field=error.field,
                expected=error.expected,
                found=error.found,
            )

    def table_key(self, service: str) -> str:
        """Returns the store key of a service's shard table."""
        return self.prefixes.tables + service

    def node_key(self, node: str) -> str:
        """Returns the store key under which a node is listed."""
        return f"{self.prefixes.fleet}{NODES_PREFIX}{node}"

    async def wait_for_tables(self, seconds: float) -> None:
        """Waits until a shard table changes or the time is over."""
        try:
            await asyncio.wait_for(self._tables_changed.wait(), seconds)
        except TimeoutError:
            return

    def apply_table(self, new_table: table.ShardTable) -> None:
        """Replaces a service's shard table if the given one is newer."""
        current = self.tables.get(new_table.service)
        if current is not None and current.revision >= new_table.revision:
            return
        self.tables[new_table.service] = new_table
        changed, self._tables_changed = self._tables_changed, asyncio.Event()
        changed.set()

    def apply_update(self, update: table.Update) -> None:
        """Applies an update of the leader if its base is the current table."""
        current = self.tables.get(update.service)
        new_table = table.apply_update(current, update) if current else None
        if new_table is not None:
            self.apply_table(new_table)

    def apply_snapshot(
        self,
        prefix: str,
        items: collections.abc.Sequence[interface.Item],
        age_seconds: float,
    ) -> None:
        """Replaces everything below a prefix; missing items were removed.

        Args:
            prefix: The prefix.
            items: All items below it.
            age_seconds: Time since which items may have changed, in seconds.
        """
        self._changed_at = time.monotonic() - age_seconds
        decoded = [self._decode_item(item) for item in items]
        if prefix == self.prefixes.targets:
            decoded = self._remove_outdated_targets(decoded)
        elif prefix == self.prefixes.operator:
            self._end_unlisted_evacuations(decoded)
        elif prefix == self.prefixes.fleet:
            self._listed_nodes = set()
            self._update_nodes()
        for change in decoded:
            self._apply(change)
        keys = {item.key for item in items}
        if prefix == self.prefixes.fleet and self._leadership is not None:
            if self._leadership.key not in keys:
                self._leadership.observe_absence()

    def _remove_outdated_targets(
        self, decoded: list[changes.Change]
    ) -> list[changes.Change]:
        """Removes unlisted targets; returns the changes yet to be applied."""
        listed = {
            change.listing.target_id
            for change in decoded
            if isinstance(change, changes.TargetListed)
        }
        self._kept_drains.begin_snapshot()
        self._outdated_listings.keep_only(
            listed, time.monotonic(), self._changed_at
        )
        return [
            change
            for change in decoded
            if not isinstance(change, changes.TargetListed)
            or not self._outdated_listings.is_outdated(change.listing)
        ]

    def _end_unlisted_evacuations(self, decoded: list[changes.Change]) -> None:
        zones = {
            change.zone
            for change in decoded
            if isinstance(change, changes.ZoneChanged)
        }
        self._kept_evacuations.apply_snapshot(zones, self._changed_at)

    def apply_changes(
        self,
        items: collections.abc.Sequence[interface.Item],
        age_seconds: float,
    ) -> None:
        """Applies items that were written or removed.

        Args:
            items: The items.
            age_seconds: Time since which they may have changed, in seconds.
        """
        self._changed_at = time.monotonic() - age_seconds
        for item in items:
            self._apply(self._decode_item(item))

    def on_store_lost(self, failure: interface.Failure) -> None:
        """Handles the beginning of a store outage."""
        self._store_lost_at = time.monotonic()
        self._log.log_event("store unreachable", detail=failure.detail)

    def on_store_recovered(self) -> None:
        """Handles the end of a store outage."""
        now = time.monotonic()
        outage_seconds = now - self._store_lost_at
        self.registry.record_store_recovery(now, outage_seconds)
        self._log.log_event(
            "store reachable again", outage_seconds=round(outage_seconds, 3)
        )

    def _decode_item(self, item: interface.Item) -> changes.Change:
        try:
            return self._decode(item)
        except errors.FormatError as exc:
            self._log.log_event(
                "malformed store item ignored", key=item.key, detail=exc.message
            )
            return self._decode_malformed(item.key)

    @functools.singledispatchmethod
    def _apply(self, change: changes.Change) -> None:
        raise TypeError(f"unknown type of change: {change!r}")

    @_apply.register
    def _(self, change: changes.ConfigurationChanged) -> None:
        configuration = change.configuration
        before = self.routes.configuration.version if self.routes else -1
        if configuration.version <= before:
            return
        self.routes = match.RouteTable(configuration)
        self._log.log_event(
            "configuration in force",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            unreadable=sum(self.count_unreadable().values()),
        )
        self._log_unreadable(configuration)

    @_apply.register
    def _(self, change: changes.ZoneChanged) -> None:
        self._kept_evacuations.observe_change(change.zone, change.evacuated)
        self.registry.set_evacuated(
            change.zone, change.evacuated, self._changed_at
        )
        self._log.log_event(
            "zone evacuated" if change.evacuated else "zone evacuation ended",
            zone=change.zone,
        )

    @_apply.register
    def _(self, change: changes.TargetListed) -> None:
        now = time.monotonic()
        self._outdated_listings.observe_listing(change.listing)
        listing = self._kept_drains.correct(change.listing)
        current = self.registry.targets.get(listing.target_id)
        before = current.listing if current is not None else None
        self.registry.put(listing, now, self._changed_at)
        if before is None or _differs(before, listing):
            self._log.log_event(
                "target listed",
                target=listing.target_id,
                service=listing.service,
                address=listing.address,
                draining=listing.draining,
                cold_seconds=listing.cold_seconds,
                born=listing.born,
            )

    @_apply.register
    def _(self, change: changes.TargetRemoved) -> None:
        now = time.monotonic()
        self._kept_drains.observe_removal(change.target_id)
        self._outdated_listings.remove(change.target_id, now, self._changed_at)
        self._log.log_event("target no longer listed", target=change.target_id)

    @_apply.register
    def _(self, change: changes.RouterItemChanged) -> None:
        item = change.item
        name = item.key.removeprefix(self.prefixes.fleet)
        if name.startswith(NODES_PREFIX):
            self._apply_node(name.removeprefix(NODES_PREFIX), item)
        elif self._leadership is not None:
            if item.key == self._leadership.key:
                self._leadership.observe(item)

    @_apply.register
    def _(self, change: changes.UnknownItem) -> None:
        self._log.log_event("unrecognized store item ignored", key=change.key)

    def _apply_node(self, node: str, item: interface.Item) -> None:
        if item.value is None:
            self._listed_nodes.discard(node)
        else:
            self._listed_nodes.add(node)
        self._update_nodes()

    def _update_nodes(self) -> None:
        """Counts in the nodes that the store lost and that list themselves."""
        self.nodes = self._listed_nodes
        if self._kept_nodes:
            self.nodes = self._listed_nodes | self._kept_nodes


def _differs(before: registry.Listing, after: registry.Listing) -> bool:
    """Returns whether two listings differ in what calls depend on.

    The time left cold and the number of the report don't count.
    """
    same = dataclasses.replace(
        after, cold_seconds=before.cold_seconds, seq=before.seq
    )
    return same != before
