"""A controller: heartbeats, lease promises, planning and distribution.

Every VM runs one; no VM is reserved for controllers. Durable state is in the
platform's store; all other state is rebuilt from messages after a restart.
"""

import asyncio

from jujubeyard import clock
from jujubeyard import settings
from jujubeyard.controller import config_store
from jujubeyard.controller import distribution
from jujubeyard.controller import handlers
from jujubeyard.controller import heartbeats
from jujubeyard.controller import metrics
from jujubeyard.controller import planning
from jujubeyard.controller import ranks
from jujubeyard.controller import tables
from jujubeyard.controller import vm_list
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.lease import witness
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool
from jujubeyard.link import server
from jujubeyard.manifest import address as addresses
from jujubeyard.store import etcd_client
from jujubeyard.store import records

TICK_SECONDS = 0.1
SLOW_TICK_SECONDS = 0.4
VM_LIST_INTERVAL_SECONDS = 1.0
ROW_EXPIRY_SECONDS = 30.0


class Controller:
    """Handles messages and runs the periodic work of a controller.

    Attributes:
        tables: State received from other controllers, gates and the VM list.
        witness: Promises made to lease holders.
        name: Name of the process.
        distributor: Installs and distributes plans and configurations.
        installed: The newest configuration and plan.
    """

    def __init__(
        self,
        cfg: settings.ControllerSettings,
        runtime: process_runtime.ProcessRuntime,
    ) -> None:
        now = clock.boottime()
        self.tables = tables.Tables()
        self.witness = witness.Witness(now)
        self._cfg = cfg
        self.name = runtime.identity.name
        self._runtime = runtime
        self._store = etcd_client.EtcdClient(cfg.store)
        self._vm_list = vm_list.VmListClient(cfg.vm_list)
        self._server = server.LinkServer(
            runtime.identity, self.handle, runtime.faults
        )
        self._peers = pool.LinkPool(
            runtime.identity, self.handle, runtime.faults
        )
        self.distributor = distribution.Distributor(runtime, self._peers)
        self.installed = self.distributor.installed
        self._tasks = ticker.BackgroundTasks(runtime.logger)
        self._ticker = ticker.Ticker(
            TICK_SECONDS,
            (self._record_tick, self._send_heartbeats, self._plan),
            clock.boottime,
            runtime.logger,
        )
        self._ticker.set_idle_interval(TICK_SECONDS)
        self._watch_tasks: list[asyncio.Task] = []
        self._store_ok = True
        self._heartbeat_sender = heartbeats.HeartbeatSender()
        self._next_vm_list_poll = 0.0
        self._metrics = metrics.ControllerMetrics(runtime.registry)
        self._planning = planning.Planning(
            runtime,
            self.tables,
            self.distributor,
            config_store.PlanWriter(self._store, cfg.cluster),
            self._metrics,
            self._tasks,
            now,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the stop event is set."""
        await self._server.start(self._cfg.listen)
        self._tasks.spawn(self._ticker.run())
        slow = ticker.Ticker(
            SLOW_TICK_SECONDS,
            (
                self._maintain_links,
                self._watch_store,
                self._poll_vm_list,
                self._purge_stale_rows,
                self._update_metrics,
            ),
            clock.boottime,
            self._runtime.logger,
        )
        self._tasks.spawn(slow.run())
        await stop.wait()
        await self._tasks.cancel()
        await self._peers.stop()
        await self._server.stop()
        await self._store.close()
        await self._vm_list.close()

    def read_status(self) -> dict:
        """Returns the status document of the admin port."""
        now = clock.boottime()
        plan = self.installed.plan
        return {
            "plan_version": plan.version,
            "config_version": self.installed.config_version,
            "rank": self._rank(now),
            "store_ok": self._store_ok,
            "hears_enough": self._planning.has_quorum(now),
            "controllers": sorted(
                heartbeat.witness for heartbeat in self.tables.live_peers(now)
            ),
            "gates": sorted(self.tables.live_gates(now)),
            "witnesses": [
                [row.name for row in witness_set.members]
                for witness_set in plan.witness_sets
            ],
            "holdings": {name: row.gate for name, row in plan.holdings.items()},
            "owners": {
                name: table.owners for name, table in plan.shards.items()
            },
            "moving": sum(len(t.previous) for t in plan.shards.values()),
            "lost": sorted(
                target
                for gate in self.tables.live_gates(now).values()
                for target in gate.lost
            ),
            "store_calls": self._store.calls,
        }

    # Message handling.

    def handle(self, peer: link.Link, message: messages.Message) -> None:
        """Handles a message received from a peer."""
        handlers.handle_message(message, self, peer)

    def handle_renewal(self, renew: messages.Renew) -> None:
        """Records a gate's renewal.

        The next plan is made at once if the gate's lost targets or its
        leaving state have changed.
        """
        row = self.tables.gates.get(renew.holder)
        loads = renew.loads or (row.loads if row else [])
        if row and (row.renew.lost, row.renew.leaving) != (
            renew.lost,
            renew.leaving,
        ):
            self._request_plan()
        now = clock.boottime()
        self._planning.readiness.record_gate(now)
        self.tables.gates[renew.holder] = tables.GateRow(renew, now, loads)

    def install_config(self, body: bytes, from_store: bool) -> None:
        """Installs a configuration and, if it is newer, plans at once."""
        if self.distributor.install_config(body, from_store):
            self._request_plan()

    def _request_plan(self) -> None:
        self._planning.readiness.request_plan()
        self._ticker.wake()

    # Periodic work.

    def _record_tick(self, now: float) -> None:
        self._planning.record_tick(now, TICK_SECONDS)

    def _maintain_links(self, now: float) -> None:
        del now
        peer_addresses = set(self._cfg.peers)
        _, port = addresses.split(self._cfg.listen)
        for row in self.tables.vms.values():
            if row.unlisted_since is None:
                peer_addresses.add(f"{row.address}:{port}")
        for row in self.tables.peers.values():
            peer_addresses.add(row.heartbeat.address)
        for witness_set in self.installed.plan.witness_sets:
            peer_addresses.update(
                member.address for member in witness_set.members
            )
        peer_addresses.discard(self._cfg.listen)
        self._peers.set_peers(peer_addresses)

    def _send_heartbeats(self, now: float) -> None:
        if not self._heartbeat_sender.is_due(now):
            return
        live_heartbeats = self.tables.live_peers(now)
        links = list(self._peers.links.values())
        self._heartbeat_sender.send(
            self._make_heartbeat(), live_heartbeats, links
        )
        self.distributor.publish_members(self._members(now))

    def _make_heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            self._runtime.identity.name,
            self._cfg.listen,
            self._runtime.zone,
            self.installed.config_version,
            self.installed.plan.version,
            self._store_ok,
            heartbeats.HEARTBEAT_SECONDS,
        )

    def _live_heartbeats(self, now: float) -> list[messages.Heartbeat]:
        return [self._make_heartbeat(), *self.tables.live_peers(now)]

    def _members(self, now: float) -> messages.Members:
        live_heartbeats = self._live_heartbeats(now)
        rows = sorted(
            [heartbeat.witness, heartbeat.zone, heartbeat.address]
            for heartbeat in live_heartbeats
        )
        return messages.Members(rows)

    def _rank(self, now: float) -> int:
        return ranks.rank_of(
            self._make_heartbeat(), self.tables.live_peers(now)
        )

    def _watch_store(self, now: float) -> None:
        if self._watch_tasks:
            self._store_ok = self._store.healthy
        if self._rank(now) < ranks.WATCHER_COUNT:
            if not self._watch_tasks:
                self._planning.readiness.begin_warm_up(now)
                self._watch_tasks = [
                    self._tasks.spawn(self._watch_config()),
                    self._tasks.spawn(self._watch_plan()),
                ]
            return
        for task in self._watch_tasks:
            task.cancel()
        self._watch_tasks = []

    async def _watch_config(self) -> None:
        key = records.config_key(self._cfg.cluster)
        async for value in self._store.watch(key):
            self.install_config(value.body, True)

    async def _watch_plan(self) -> None:
        key = records.plan_key(self._cfg.cluster)
        async for value in self._store.watch(key):
            self.distributor.install_plan(value.body, True)

    def _plan(self, now: float) -> None:
        if not self._store_ok or not self._planning.is_due(now):
            return
        self._planning.readiness.record_attempt(now)
        if self._rank(now) == 0:
            self._planning.plan(now, self._live_heartbeats(now))

    def _poll_vm_list(self, now: float) -> None:
        if now < self._next_vm_list_poll:
            return
        self._next_vm_list_poll = now + VM_LIST_INTERVAL_SECONDS
        is_alone = not self.tables.live_peers(now)
        if not is_alone and self._rank(now) >= ranks.WATCHER_COUNT:
            return
        self._tasks.spawn(self._read_vm_list())

    async def _read_vm_list(self) -> None:
        listed = await self._vm_list.read()
        if listed:
            self.tables.update_vms(listed, clock.boottime())

    def _purge_stale_rows(self, now: float) -> None:
        self.tables.purge(now, ROW_EXPIRY_SECONDS)
        referenced_holders = set(self.installed.plan.gates)
        for holding in self.installed.plan.holdings.values():
            referenced_holders.update(holding.previous)
        self.witness.purge(referenced_holders, now)

    def _update_metrics(self, now: float) -> None:
        self._metrics.plan_version.set(self.installed.plan.version)
        self._metrics.config_version.set(self.installed.config_version)
        self._metrics.live_gates.set(len(self.tables.live_gates(now)))
        self._metrics.holders.set(len(self.witness))
        self._metrics.store_ok.set(int(self._store_ok))
