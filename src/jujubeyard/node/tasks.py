"""Background tasks of a node: its registration and shard coordinators."""

import asyncio
import collections.abc
import time

import result

from jujubeyard import clock
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import placement_inputs
from jujubeyard.ownership import adoption
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import shard_coordinator
from jujubeyard.ownership import table
from jujubeyard.store import eras
from jujubeyard.store import health
from jujubeyard.store import interface
from jujubeyard.store import mirror
from jujubeyard.store import revisions

REGISTRATION_LEASE_SECONDS = 10.0
LEASE_RENEW_SECONDS = 1.0
"""Pause between two renewals; a failed renewal reveals a store outage."""

RENEW_RETRY_SECONDS = 0.25
REGISTER_RETRY_SECONDS = 0.5
COORDINATOR_TICK_SECONDS = 0.03
IDLE_TICK_SECONDS = 0.2


class NodeRegistration:
    """Keeps the node listed in the store under a lease, and detects outages.

    The item disappears when the lease expires, for example after a crash.
    """

    def __init__(
        self,
        store: interface.Store,
        key: str,
        node: str,
        store_health: health.Health,
        log: journal.Journal,
    ):
        self._store = store
        self._key = key
        self._node = node
        self._health = store_health
        self._log = log
        self._lease = 0

    async def run(self) -> None:
        """Registers the node and renews its lease until cancelled."""
        while True:
            if not self._lease:
                is_registered = await self._register()
                pause = LEASE_RENEW_SECONDS
                await asyncio.sleep(
                    pause if is_registered else REGISTER_RETRY_SECONDS
                )
                continue
            outcome = await self._renew()
            if outcome.is_ok():
                await asyncio.sleep(LEASE_RENEW_SECONDS)
            elif outcome.err_value.kind is interface.FailureKind.NO_LEASE:
                self._log.log_event(
                    "node registration expired",
                    lease=revisions.describe(self._lease),
                )
                self._lease = 0
            else:
                await asyncio.sleep(RENEW_RETRY_SECONDS)

    async def end(self) -> None:
        """Removes the registration by ending its lease."""
        if self._lease:
            lease, self._lease = self._lease, 0
            await self._store.end_lease(lease)

    async def _renew(self) -> result.Result[None, interface.Failure]:
        started_at = time.monotonic()
        outcome = await self._store.renew_lease(self._lease)
        self._health.round_trip_seconds = time.monotonic() - started_at
        self._record(outcome)
        return outcome

    async def _register(self) -> bool:
        lease = await self._store.open_lease(REGISTRATION_LEASE_SECONDS)
        self._record(lease)
        if lease.is_err():
            return False
        item = interface.Put(self._key, self._node.encode(), lease.ok_value)
        outcome = await self._store.write([], [item])
        self._record(outcome)
        if outcome.is_err():
            self._log.log_event(
                "node registration failed", detail=outcome.err_value.detail
            )
            return False
        self._lease = lease.ok_value
        return True

    def _record(self, outcome: result.Result) -> None:
        """Records whether the store responded, even if the lease is gone."""
        if outcome.is_ok():
            self._health.record_success()
        elif outcome.err_value.kind is interface.FailureKind.NO_LEASE:
            self._health.record_success()
        else:
            self._health.record_failure(outcome.err_value)


class CoordinatorRunner:
    """Runs a shard coordinator for each keyed service while the node leads."""

    def __init__(
        self,
        leadership: leader.Leadership,
        view: cluster_view.ClusterView,
        inputs: placement_inputs.PlacementInputs,
        client: ownership_client.OwnershipClient,
        mirrors: collections.abc.Sequence[mirror.Mirror],
        max_hold_seconds: float,
        meter: grant_log.Meter,
        era_tracker: eras.EraTracker,
    ):
        """Initializes a runner.

        Args:
            leadership: The terms; it learns of a new era before the runner.
            view: The node's view of the cluster.
            inputs: Targets and load.
            client: Access to targets and to stored tables.
            mirrors: Mirrors of the store, which are faster on the leader.
            max_hold_seconds: Longest grant that targets accept.
            meter: Metrics of grants and holds.
            era_tracker: Knows the era of the store.
        """
        self._era_tracker = era_tracker
        era_tracker.add_listener(self._keep_tables)
        self._complete_tables: dict[str, adoption.CompleteTable] = {}
        self._doubts: dict[str, float] = {}
        self._adoptions: dict[str, adoption.Adoption] = {}
        self._adoption_tasks: set[asyncio.Task] = set()
        self._leadership = leadership
        self._mirrors = mirrors
        self._view = view
        self._client = client
        self._max_hold_seconds = max_hold_seconds
        self._meter = meter
        self._inputs = inputs
        self._term = 0
        self._coordinators: dict[str, shard_coordinator.ShardCoordinator] = {}

    async def run(self) -> None:
        """Runs the coordinators while the node leads, until cancelled."""
        while True:
            if self._leadership.term != self._term:
                self._change_term()
                for store_mirror in self._mirrors:
                    store_mirror.is_low_latency = bool(self._term)
            if not self._term:
                await asyncio.sleep(IDLE_TICK_SECONDS / 4)
                continue
            await self._start_new_coordinators()
            for coordinator in self._coordinators.values():
                self._tick(coordinator)
            await asyncio.sleep(COORDINATOR_TICK_SECONDS)

    def _tick(self, coordinator: shard_coordinator.ShardCoordinator) -> None:
        """Ticks a coordinator; an error in one must not stop the others."""
        try:
            coordinator.tick(clock.boottime())
        except Exception as exc:
            self._client.log_event(
                "shard coordinator failed",
                service=coordinator.service,
                detail=repr(exc),
            )

    def _change_term(self) -> None:
        for coordinator in self._coordinators.values():
            coordinator.stop()
        for task in self._adoption_tasks:
            task.cancel()
        self._coordinators = {}
        self._adoptions = {}
        self._term = self._leadership.term

    def _keep_tables(self) -> None:
        """Keeps what is known of a term that lasted until the store went back.

        The store's copy may hold older tables.
        """
        self._complete_tables = {}
        self._doubts = {}
        if not self._term or self._leadership.continuous_term != self._term:
            return
        has_lasted = self._leadership.has_lasted
        self._complete_tables = {
            service: adoption.CompleteTable(
                coordinator.shard_table,
                frozenset() if has_lasted else coordinator.unconfirmed_owners,
            )
            for service, coordinator in self._coordinators.items()
        }
        if has_lasted:
            self._doubts = {
                service: running.doubt_until
                for service, running in self._adoptions.items()
            }

    async def _start_new_coordinators(self) -> None:
        for service in self._keyed_services():
            if service in self._coordinators or service in self._adoptions:
                continue
            stored = await self._client.read_table(service)
            if stored is None or self._leadership.term != self._term:
                return
            self._log_table_read(stored)
            is_adopted_first = adoption.is_needed(
                stored, self._era_tracker, self._max_hold_seconds
            )
            if is_adopted_first:
                self._start_adoption(stored)
            else:
                self._start_coordinator(stored)

    def _log_table_read(self, stored: table.ShardTable) -> None:
        known = self._view.tables.get(stored.service)
        known_revision = known.revision if known is not None else 0
        self._client.log_event(
            "table read for term",
            service=stored.service,
            revision=revisions.describe(stored.revision),
            known_revision=revisions.describe(known_revision),
        )

    def _start_adoption(self, stored: table.ShardTable) -> None:
        service = stored.service
        running = adoption.Adoption(
            service,
            self._leadership,
            self._era_tracker,
            self._client,
            self._max_hold_seconds,
        )
        self._adoptions[service] = running
        task = asyncio.create_task(self._adopt(running, stored))
        self._adoption_tasks.add(task)
        task.add_done_callback(self._adoption_tasks.discard)

    async def _adopt(
        self, running: adoption.Adoption, stored: table.ShardTable
    ) -> None:
        """Starts a coordinator once a table of an earlier era may be used."""
        service, term = stored.service, self._term
        hold_seconds = adoption.latest_doubt(0.0, self._max_hold_seconds)
        is_continuous = self._leadership.is_continuous()
        complete = self._complete_tables.get(service)
        memory = adoption.Memory(
            self._view.tables.get(service),
            complete if is_continuous else None,
            lambda: self._inputs.possible_holders(service, hold_seconds),
            self._has_read_targets,
            self._doubts.get(service) if is_continuous else None,
        )
        try:
            adopted = await running.run(stored, memory)
        except Exception as exc:
            adopted = None
            self._client.log_event(
                "table adoption failed", service=service, detail=repr(exc)
            )
            await asyncio.sleep(IDLE_TICK_SECONDS)
        if self._term != term:
            return
        del self._adoptions[service]
        if adopted is not None and self._leadership.term == term:
            self._start_coordinator(adopted)

    def _has_read_targets(self) -> bool:
        """Returns whether targets were read in the current era of the store."""
        prefix = self._view.prefixes.targets
        return all(
            revisions.era_of(each.revision or 0) == self._era_tracker.current
            for each in self._mirrors
            if each.prefix == prefix
        )

    def _start_coordinator(self, stored: table.ShardTable) -> None:
        if stored.shards:
            self._client.publish(stored)
        coordinator = shard_coordinator.ShardCoordinator(
            stored.service,
            self._leadership,
            self._inputs,
            self._client,
            self._max_hold_seconds,
            self._meter,
        )
        coordinator.load(stored)
        self._coordinators[stored.service] = coordinator

    def _keyed_services(self) -> collections.abc.Iterator[str]:
        if self._view.routes is None:
            return
        for service in self._view.routes.configuration.services.values():
            if service.keyed:
                yield service.name
