"""What a node knows: configuration, targets, owners of keys, other nodes."""

import asyncio
import collections.abc
import functools
import time

from jujubeyard import errors
from jujubeyard.node import journal
from jujubeyard.ownership import leader
from jujubeyard.ownership import table
from jujubeyard.routing import match
from jujubeyard.store import changes
from jujubeyard.store import interface
from jujubeyard.targets import registry

NODES = "nodes/"

Decoder = collections.abc.Callable[[interface.Item], changes.Change]


class View:
    """The listener of the store's mirrors.

    Attributes:
        routes: Routes in force; None until a configuration is known.
        registry: Targets.
        tables: Owners of keys by service.
        nodes: Names of the nodes that are listed.
        prefixes: Where items are kept.
    """

    def __init__(
        self,
        prefixes: changes.Prefixes,
        decode: Decoder,
        decode_malformed: collections.abc.Callable[[str], changes.Change],
        notes: journal.Journal,
    ):
        """Makes an empty view.

        Args:
            prefixes: Where items are kept.
            decode: Says what an item means.
            decode_malformed: Says what the key of a malformed item means.
            notes: Where changes are written.
        """
        self.prefixes = prefixes
        self._decode = decode
        self._decode_malformed = decode_malformed
        self._notes = notes
        self._leadership: leader.Leadership | None = None
        self._tables_changed = asyncio.Event()
        self.routes: match.RouteTable | None = None
        self.registry = registry.Registry()
        self.tables: dict[str, table.ShardTable] = {}
        self.nodes: set[str] = set()

    def follow_leader(self, leadership: leader.Leadership) -> None:
        """Tells a leadership of changes of the leader's item."""
        self._leadership = leadership

    def node_count(self) -> int:
        """Returns the number of nodes that are known, at least one."""
        return max(1, len(self.nodes))

    def table_key(self, service: str) -> str:
        """Returns the key of a service's table."""
        return self.prefixes.tables + service

    def node_key(self, node: str) -> str:
        """Returns the key under which a node is listed."""
        return f"{self.prefixes.fleet}{NODES}{node}"

    async def wait_for_tables(self, seconds: float) -> None:
        """Waits until a table changes, for a limited time."""
        try:
            await asyncio.wait_for(self._tables_changed.wait(), seconds)
        except TimeoutError:
            return

    def take_table(self, found: table.ShardTable) -> None:
        """Takes a table if it is newer than the one that is known."""
        known = self.tables.get(found.service)
        if known is not None and known.revision >= found.revision:
            return
        self.tables[found.service] = found
        changed, self._tables_changed = self._tables_changed, asyncio.Event()
        changed.set()

    def take_update(self, update: table.Update) -> None:
        """Takes what the leader says it has written, if it fits."""
        known = self.tables.get(update.service)
        found = table.apply_update(known, update) if known else None
        if found is not None:
            self.take_table(found)

    def apply_snapshot(
        self, prefix: str, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        """Takes all items below a prefix; what is not in it is gone."""
        read = [self._read(item) for item in items]
        if prefix == self.prefixes.targets:
            self._keep_targets(read)
        elif prefix == self.prefixes.operator:
            self._keep_zones(read)
        elif prefix == self.prefixes.fleet:
            self.nodes = set()
        for change in read:
            self._apply(change)
        keys = {item.key for item in items}
        if prefix == self.prefixes.fleet and self._leadership is not None:
            if self._leadership.key not in keys:
                self._leadership.observe_absence()

    def _keep_targets(self, read: list[changes.Change]) -> None:
        listed = {
            change.listing.target_id
            for change in read
            if isinstance(change, changes.TargetListed)
        }
        self.registry.keep_only(listed, time.monotonic())

    def _keep_zones(self, read: list[changes.Change]) -> None:
        zones = {
            change.zone
            for change in read
            if isinstance(change, changes.ZoneChanged)
        }
        for zone in self.registry.evacuated.keys() - zones:
            self.registry.set_evacuated(zone, False, time.monotonic())

    def apply_changes(
        self, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        """Takes what has changed in the store."""
        for item in items:
            self._apply(self._read(item))

    def note_store_lost(self, failure: interface.Failure) -> None:
        """Learns that the store doesn't answer."""
        self._notes.note("store lost", detail=failure.detail)

    def note_store_regained(self) -> None:
        """Learns that the store answers again."""
        self.registry.note_return(time.monotonic())
        self._notes.note("store regained")

    def _read(self, item: interface.Item) -> changes.Change:
        try:
            return self._decode(item)
        except errors.FormatError as exc:
            self._notes.note(
                "item passed over", key=item.key, detail=exc.message
            )
            return self._decode_malformed(item.key)

    @functools.singledispatchmethod
    def _apply(self, change: changes.Change) -> None:
        raise TypeError(f"no such change: {change!r}")

    @_apply.register
    def _(self, change: changes.ConfigurationChanged) -> None:
        found = change.configuration
        known = self.routes.configuration.version if self.routes else -1
        if found.version <= known:
            return
        self.routes = match.RouteTable(found)
        self._notes.note(
            "configuration in force", version=found.version, before=known
        )

    @_apply.register
    def _(self, change: changes.ZoneChanged) -> None:
        now = time.monotonic()
        self.registry.set_evacuated(change.zone, change.evacuated, now)
        self._notes.note(
            "zone evacuated" if change.evacuated else "zone taken back",
            zone=change.zone,
        )

    @_apply.register
    def _(self, change: changes.TargetListed) -> None:
        now = time.monotonic()
        known = self.registry.targets.get(change.listing.target_id)
        reborn = self.registry.put(change.listing, now)
        if known is None or reborn or known.listing != change.listing:
            self._notes.note(
                "target listed",
                target=change.listing.target_id,
                service=change.listing.service,
                address=change.listing.address,
                draining=change.listing.draining,
                cold_seconds=change.listing.cold_seconds,
                born=change.listing.born,
            )

    @_apply.register
    def _(self, change: changes.TargetRemoved) -> None:
        now = time.monotonic()
        self.registry.remove(change.target_id, now)
        self._notes.note("target no longer listed", target=change.target_id)

    @_apply.register
    def _(self, change: changes.RouterItemChanged) -> None:
        item = change.item
        name = item.key.removeprefix(self.prefixes.fleet)
        if name.startswith(NODES):
            self._apply_node(name.removeprefix(NODES), item)
        elif self._leadership is not None:
            if item.key == self._leadership.key:
                self._leadership.observe(item)

    @_apply.register
    def _(self, change: changes.UnknownItem) -> None:
        self._notes.note("item means nothing", key=change.key)

    def _apply_node(self, name: str, item: interface.Item) -> None:
        if item.value is None:
            self.nodes.discard(name)
        else:
            self.nodes.add(name)
