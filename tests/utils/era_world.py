"""Nodes and targets on one store that goes back, in virtual time."""

import asyncio
import collections
import dataclasses

import pytest

from jujubeyard import clock
from jujubeyard.node import cluster_view
from jujubeyard.node import metrics
from jujubeyard.node import tasks
from jujubeyard.ownership import adoption
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.store import changes
from jujubeyard.store import interface
from tests.utils import era_fakes
from tests.utils import fakes
from tests.utils import virtual_time

SERVICE = "desk"
MAX_HOLD_SECONDS = 10.0
TRAVEL_SECONDS = 0.005
COPY_SECONDS = 0.2
MAX_COPIES = 60
LIST_SECONDS = 0.25
FOLLOW_SECONDS = 0.05
READ_TABLE_SECONDS = 0.4
LISTINGS_PREFIX = "targets/"


class LeaseStore(era_fakes.DrillStore):
    """A store whose leases run out."""

    def __init__(self):
        super().__init__()
        self._lease_count = 0
        self._lease_ends: dict[int, float] = {}

    def take_copy(self):
        copy = super().take_copy()
        now = clock.boottime()
        copy["_lease_count"] = self._lease_count
        copy["_lease_ends"] = {
            lease: end - now for lease, end in self._lease_ends.items()
        }
        return copy

    def go_back(self, taken, keeps_leases=True):
        super().go_back(taken, keeps_leases)
        now = clock.boottime()
        self._lease_ends = {
            lease: now + taken["_lease_ends"][lease] for lease in self.leases
        }

    async def open_lease(self, seconds):
        if not self.is_down:
            self._lease_count += 1
            self.leases[self._lease_count] = set()
            self._lease_ends[self._lease_count] = clock.boottime() + seconds
        return self._finish_call("open_lease", self._lease_count)

    async def renew_lease(self, lease):
        if not self.is_down and lease in self.leases:
            self._lease_ends[lease] = clock.boottime() + leader.LEASE_SECONDS
        return await super().renew_lease(lease)

    async def end_lease(self, lease):
        if self.is_down:
            return self._finish_call("end_lease", None)
        return await super().end_lease(lease)

    def expire_due(self):
        for lease in list(self.leases):
            if self._lease_ends[lease] <= clock.boottime():
                self.expire(lease)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._history.append(interface.Item(key, None, self.revision, 0))


class NodeLink(era_fakes.Link):
    """Carries all calls of a node, unless its process is frozen.

    Attributes:
        frozen_at: When it was frozen last.
    """

    def __init__(self):
        self._running = asyncio.Event()
        self.frozen_at = 0.0
        self._running.set()

    @property
    def is_frozen(self):
        return not self._running.is_set()

    def freeze(self):
        self.frozen_at = clock.boottime()
        self._running.clear()

    def resume(self):
        self._running.set()

    async def wait_until_running(self):
        await self._running.wait()

    async def send(self):
        await self._running.wait()
        await asyncio.sleep(TRAVEL_SECONDS)

    async def deliver(self):
        await asyncio.sleep(TRAVEL_SECONDS)
        await self._running.wait()


class Target(fakes.FakeTarget):
    """A target that tells the world of each grant that it takes."""

    def __init__(self, owner, world):
        super().__init__(owner)
        self._world = world

    def grant(self, grant, now):
        reply = super().grant(grant, now)
        if reply.status == 200:
            self._world.check_grant(self, grant)
        return reply


class TargetClient(fakes.FakeTargetClient):
    """A node's calls to the targets of the world."""

    def __init__(self, world, link):
        super().__init__(clock.boottime)
        self.targets = world.targets
        self._link = link

    async def grant(self, session, request, seconds):
        return await self._call(super().grant, request, seconds)

    async def release(self, session, request, seconds):
        return await self._call(super().release, request, seconds)

    async def probe(self, session, service, owner):
        await self._link.send()
        outcome = await super().probe(session, service, owner)
        await self._link.deliver()
        return outcome

    async def _call(self, send, request, seconds):
        await self._link.send()
        try:
            reply = await send(None, request, seconds)
        except TimeoutError:
            await asyncio.sleep(seconds)
            await self._link.wait_until_running()
            raise
        await self._link.deliver()
        return reply


class Node(era_fakes.Node):
    """A node that stands for election and runs coordinators.

    Attributes:
        link: Its link to the store and to targets.
        view: Its view, which holds the tables.
    """

    def __init__(self, world, name):
        self.name = name
        self.link = NodeLink()
        super().__init__(world.store, name, self.link)
        self._world = world
        self.view = cluster_view.ClusterView(
            changes.Prefixes("op/", LISTINGS_PREFIX, "own/"),
            None,
            None,
            self.log,
        )
        service = config.Service(SERVICE, True, 130, 3.0, 11.0, "/health")
        self.view.routes = match.RouteTable(
            config.Configuration(1, (), {SERVICE: service}, 1000)
        )
        self._inputs = fakes.FakePlacementInputs()
        self._removed_at: dict[table.Owner, float] = {}
        self._client = ownership_client.OwnershipClient(
            self.store,
            fakes.FakeSession(),
            fakes.FakeSession(),
            TargetClient(world, self.link),
            lambda service: era_fakes.TABLES_PREFIX + service,
            self._publish,
            self.log,
        )
        self._runner = tasks.CoordinatorRunner(
            self.leadership,
            self.view,
            self._inputs,
            self._client,
            [],
            MAX_HOLD_SECONDS,
            metrics.Metrics(),
            self.era_tracker,
        )
        self.tasks = [
            asyncio.create_task(coro)
            for coro in (
                self.leadership.run(),
                self._runner.run(),
                self._follow_leader(),
                self._follow_listings(),
                self._follow_table(),
            )
        ]

    def kill(self):
        """Ends the process; what it sent before is still on its way."""
        self.link.freeze()
        for task in self.tasks:
            task.cancel()

    def _publish(self, written):
        self.view.apply_table(written)
        for node in self._world.nodes.values():
            if not node.link.is_frozen and not self.link.is_frozen:
                node.view.apply_table(written)

    async def _follow_leader(self):
        while True:
            batch = await self.store.read_all(self.leadership.key)
            if batch.is_ok():
                for item in batch.ok_value.items:
                    self.leadership.observe(item)
                if not batch.ok_value.items:
                    self.leadership.observe_absence()
            await asyncio.sleep(FOLLOW_SECONDS)

    async def _follow_listings(self):
        while True:
            batch = await self.store.read_all(LISTINGS_PREFIX)
            if batch.is_ok():
                self._take_listings(
                    [decode_owner(item) for item in batch.ok_value.items]
                )
            await asyncio.sleep(FOLLOW_SECONDS)

    def _take_listings(self, owners):
        now = clock.boottime()
        for owner in self._inputs.available_owners:
            if owner not in owners:
                self._removed_at[owner] = now
        oldest = now - adoption.latest_doubt(0.0, MAX_HOLD_SECONDS)
        self._inputs.available_owners = owners
        self._inputs.removed_owners = [
            owner
            for owner, removed_at in self._removed_at.items()
            if removed_at > oldest
        ]

    async def _follow_table(self):
        while True:
            await asyncio.sleep(READ_TABLE_SECONDS)
            if not self.leadership.is_leader():
                stored = await self._client.read_table(SERVICE)
                if stored is not None and stored.shards:
                    self.view.apply_table(stored)


def encode_owner(owner):
    return f"{owner.born} {owner.address}".encode()


def decode_owner(item):
    born, address = item.value.decode().split()
    name = item.key.removeprefix(LISTINGS_PREFIX)
    return table.Owner(name, int(born), address)


@dataclasses.dataclass(frozen=True)
class Violation:
    """A grant that a target must not have got."""

    at: float
    rule: str
    key: int
    taken_by: table.Owner
    fence: int
    others: dict


class World:
    """All nodes and targets, and the store.

    Attributes:
        store: The store.
        nodes: Nodes by name; of killed ones, their successors.
        targets: Running or ended targets by name.
        listed: Targets that say they are ready, by name.
        violations: What must not happen.
    """

    def __init__(self, nodes, targets):
        self._patch = pytest.MonkeyPatch()
        self._patch.setattr(planner, "MIN_SHARDS", 4)
        self._patch.setattr(planner, "SHARDS_PER_TARGET", 1)
        self._loop = virtual_time.VirtualLoop()
        self._patch.setattr(clock, "boottime", self._loop.time)
        self._runner = asyncio.Runner(loop_factory=lambda: self._loop)
        self.store = LeaseStore()
        self.nodes: dict[str, Node] = {}
        self.targets: dict[str, Target] = {}
        self.listed: dict[str, table.Owner] = {}
        self.violations: list[Violation] = []
        self._highest_fences = collections.defaultdict(dict)
        self._copies = collections.deque(maxlen=MAX_COPIES)
        self._born = 0
        for name in targets:
            self.start_target(name)
        self._runner.run(self._start(nodes))

    async def _start(self, nodes):
        self._tasks = [
            asyncio.create_task(self._serve_store()),
            asyncio.create_task(self._write_listings()),
        ]
        for name in nodes:
            self.nodes[name] = Node(self, name)

    def close(self):
        self._runner.close()
        self._patch.undo()

    def run(self, seconds):
        """Lets time pass; raises what ended a task of a node."""
        self._runner.run(asyncio.sleep(seconds))
        running = [task for node in self.nodes.values() for task in node.tasks]
        for task in (*self._tasks, *running):
            if task.done():
                task.result()

    async def _serve_store(self):
        copied_at = clock.boottime()
        while True:
            if not self.store.is_down:
                self.store.expire_due()
                if clock.boottime() >= copied_at:
                    copied_at += COPY_SECONDS
                    copy = self.store.take_copy()
                    self._copies.append((clock.boottime(), copy))
            await asyncio.sleep(FOLLOW_SECONDS / 2)

    async def _write_listings(self):
        """Writes again what targets and the operator had written."""
        while True:
            await asyncio.sleep(LIST_SECONDS)
            if self.store.is_down:
                continue
            wanted = {
                LISTINGS_PREFIX + name: encode_owner(owner)
                for name, owner in self.listed.items()
            }
            for key, value in wanted.items():
                item = self.store.items.get(key)
                if item is None or item.value != value:
                    await self.store.write([], [interface.Put(key, value)])
            for key in list(self.store.items):
                if key.startswith(LISTINGS_PREFIX) and key not in wanted:
                    self.store.remove(key)

    def drill(self, back_seconds, away_seconds, keeps_leases):
        """Lets the store go back by some seconds."""
        self.store.is_down = True
        self.run(away_seconds)
        until = clock.boottime() - away_seconds - back_seconds
        _, copy = next(
            (entry for entry in reversed(self._copies) if entry[0] <= until),
            self._copies[0],
        )
        self.store.is_down = False
        self.store.go_back(copy, keeps_leases)

    def find_leader(self):
        """Returns the name of a node that leads, or of any."""
        return next(
            (
                name
                for name, node in self.nodes.items()
                if node.leadership.is_leader()
            ),
            next(iter(self.nodes)),
        )

    def frozen_nodes(self):
        """Returns the frozen nodes; those frozen first come first."""
        frozen = [node for node in self.nodes.values() if node.link.is_frozen]
        return sorted(frozen, key=lambda node: node.link.frozen_at)

    def restart_node(self, name):
        async def restart():
            self.nodes[name].kill()
            self.nodes[name] = Node(self, name)

        self._runner.run(restart())

    def start_target(self, name):
        """Starts a target, or the next incarnation of one, and lists it."""
        self._born += 1
        owner = table.Owner(name, self._born, f"{name}:1")
        self.targets[name] = Target(owner, self)
        self.listed[name] = owner

    def crash_target(self, name):
        self.targets[name].held_until.clear()
        self.targets[name].is_unresponsive = True

    def unlist_target(self, name):
        self.listed.pop(name, None)

    def check_grant(self, target, grant):
        """Checks a grant that a target has taken."""
        now = clock.boottime()
        for key in fakes.covered_keys(grant):
            holders = {
                name: other.held_until[key] - now
                for name, other in self.targets.items()
                if other is not target and other.holds(key, now)
            }
            if holders:
                self._report("two holders", key, target, grant, holders)
            fences = self._highest_fences[key]
            name = target.owner.target_id
            higher = {
                other: fence
                for other, fence in fences.items()
                if other != name and fence >= grant.fence
            }
            if higher:
                self._report("fence too low", key, target, grant, higher)
            fences[name] = max(fences.get(name, 0), grant.fence)

    def _report(self, rule, key, target, grant, others):
        self.violations.append(
            Violation(
                clock.boottime(), rule, key, target.owner, grant.fence, others
            )
        )

    def unheld_keys(self):
        """Returns the sample keys that no target holds."""
        now = clock.boottime()
        return [
            key
            for key in fakes.SAMPLE_KEYS
            if not any(
                target.holds(key, now) for target in self.targets.values()
            )
        ]
