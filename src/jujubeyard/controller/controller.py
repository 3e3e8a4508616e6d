"""A controller: heartbeats, witnessing, planning and spreading.

Every VM runs one and none is set aside. What must last is in the platform's
store; all other state is heard again after a restart.
"""

import asyncio

from jujubeyard import clock
from jujubeyard import settings
from jujubeyard.controller import beats
from jujubeyard.controller import config_store
from jujubeyard.controller import handlers
from jujubeyard.controller import metrics
from jujubeyard.controller import planning
from jujubeyard.controller import ranks
from jujubeyard.controller import spread
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
VM_LIST_SECONDS = 1.0
FORGET_SECONDS = 30.0


class Controller:
    """One controller process."""

    def __init__(
        self,
        cfg: settings.ControllerSettings,
        owner: process_runtime.ProcessRuntime,
    ) -> None:
        now = clock.boottime()
        self.tables = tables.Tables()
        self.witness = witness.Witness(now)
        self._cfg = cfg
        self.name = owner.identity.name
        self._runtime = owner
        self._store = etcd_client.EtcdClient(cfg.store)
        self._vm_list = vm_list.VmListClient(cfg.vm_list)
        self._server = server.LinkServer(
            owner.identity, self.handle, owner.faults
        )
        self._peers = pool.LinkPool(owner.identity, self.handle, owner.faults)
        self.spreader = spread.Spreader(owner, self._peers)
        self.known = self.spreader.known
        self._tasks = ticker.BackgroundTasks(owner.logger)
        self._ticker = ticker.Ticker(
            TICK_SECONDS,
            (self._notice_tick, self._beat, self._plan),
            clock.boottime,
            owner.logger,
        )
        self._ticker.set_idle_interval(TICK_SECONDS)
        self._watches: list[asyncio.Task] = []
        self._store_ok = True
        self._beater = beats.Beater()
        self._next_vm_list = 0.0
        self._metrics = metrics.ControllerMetrics(owner.registry)
        self._planning = planning.Planning(
            owner,
            self.tables,
            self.spreader,
            config_store.PlanWriter(self._store, cfg.cluster),
            self._metrics,
            self._tasks,
            now,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the event is set."""
        await self._server.start(self._cfg.listen)
        self._tasks.spawn(self._ticker.run())
        slow = ticker.Ticker(
            SLOW_TICK_SECONDS,
            (
                self._keep_links,
                self._watch_store,
                self._poll_vm_list,
                self._forget,
                self._measure,
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
        """Returns what the admin port shows."""
        now = clock.boottime()
        plan = self.known.plan
        return {
            "plan_version": plan.version,
            "config_version": self.known.config_version,
            "rank": self._rank(now),
            "store_ok": self._store_ok,
            "hears_enough": self._planning.hears_enough(now),
            "controllers": sorted(
                beat.witness for beat in self.tables.live_peers(now)
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

    # Messages.

    def handle(self, peer: link.Link, message: messages.Message) -> None:
        """Handles a message of a peer."""
        handlers.receive(message, self, peer)

    def hear_gate(self, renew: messages.Renew) -> None:
        """Notes a gate's renewal; a loss is planned for at once."""
        row = self.tables.gates.get(renew.holder)
        loads = renew.loads or (row.loads if row else [])
        if row and (row.renew.lost, row.renew.leaving) != (
            renew.lost,
            renew.leaving,
        ):
            self._hurry()
        now = clock.boottime()
        self._planning.ready.notice_gate(now)
        self.tables.gates[renew.holder] = tables.GateRow(renew, now, loads)

    def install_config(self, body: bytes, from_store: bool) -> None:
        """Installs a configuration and plans for it at once."""
        if self.spreader.install_config(body, from_store):
            self._hurry()

    def _hurry(self) -> None:
        self._planning.ready.hurry()
        self._ticker.wake()

    # Systems.

    def _notice_tick(self, now: float) -> None:
        self._planning.notice_tick(now, TICK_SECONDS)

    def _keep_links(self, now: float) -> None:
        del now
        wanted = set(self._cfg.peers)
        _, port = addresses.split(self._cfg.listen)
        for row in self.tables.vms.values():
            if row.missed_since is None:
                wanted.add(f"{row.address}:{port}")
        for row in self.tables.peers.values():
            wanted.add(row.beat.address)
        for witness_set in self.known.plan.witness_sets:
            wanted.update(member.address for member in witness_set.members)
        wanted.discard(self._cfg.listen)
        self._peers.set_peers(wanted)

    def _beat(self, now: float) -> None:
        if not self._beater.is_due(now):
            return
        live = self.tables.live_peers(now)
        links = list(self._peers.links.values())
        self._beater.send(self._my_beat(), live, links)
        self.spreader.tell_members(self._members(now))

    def _my_beat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            self._runtime.identity.name,
            self._cfg.listen,
            self._runtime.zone,
            self.known.config_version,
            self.known.plan.version,
            self._store_ok,
            beats.BEAT_SECONDS,
        )

    def _live_beats(self, now: float) -> list[messages.Heartbeat]:
        return [self._my_beat(), *self.tables.live_peers(now)]

    def _members(self, now: float) -> messages.Members:
        live = self._live_beats(now)
        rows = sorted([b.witness, b.zone, b.address] for b in live)
        return messages.Members(rows)

    def _rank(self, now: float) -> int:
        return ranks.rank_of(self._my_beat(), self.tables.live_peers(now))

    def _watch_store(self, now: float) -> None:
        if self._watches:
            self._store_ok = self._store.healthy
        if self._rank(now) < ranks.WATCHERS:
            if not self._watches:
                self._planning.ready.start_listening(now)
                self._watches = [
                    self._tasks.spawn(self._watch_config()),
                    self._tasks.spawn(self._watch_plan()),
                ]
            return
        for task in self._watches:
            task.cancel()
        self._watches = []

    async def _watch_config(self) -> None:
        key = records.config_key(self._cfg.cluster)
        async for value in self._store.watch(key):
            self.install_config(value.body, True)

    async def _watch_plan(self) -> None:
        key = records.plan_key(self._cfg.cluster)
        async for value in self._store.watch(key):
            self.spreader.install_plan(value.body, True)

    def _plan(self, now: float) -> None:
        if not self._store_ok or not self._planning.is_due(now):
            return
        self._planning.ready.planned(now)
        if self._rank(now) == 0:
            self._planning.plan(now, self._live_beats(now))

    def _poll_vm_list(self, now: float) -> None:
        if now < self._next_vm_list:
            return
        self._next_vm_list = now + VM_LIST_SECONDS
        alone = not self.tables.live_peers(now)
        if not alone and self._rank(now) >= ranks.WATCHERS:
            return
        self._tasks.spawn(self._read_vm_list())

    async def _read_vm_list(self) -> None:
        listed = await self._vm_list.read()
        if listed:
            self.tables.update_vms(listed, clock.boottime())

    def _forget(self, now: float) -> None:
        self.tables.purge(now, FORGET_SECONDS)
        named = set(self.known.plan.gates)
        for holding in self.known.plan.holdings.values():
            named.update(holding.previous)
        self.witness.purge(named, now)

    def _measure(self, now: float) -> None:
        self._metrics.plan_version.set(self.known.plan.version)
        self._metrics.config_version.set(self.known.config_version)
        self._metrics.live_gates.set(len(self.tables.live_gates(now)))
        self._metrics.holders.set(len(self.witness))
        self._metrics.store_ok.set(int(self._store_ok))
