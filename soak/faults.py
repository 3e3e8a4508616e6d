"""Faults that a soak puts in from outside, and planned work beside them.

Each is a coroutine function of the world that breaks something or changes
something, and mends it before it ends.
"""

import asyncio
import collections.abc
import contextlib
import random
import signal
import time

from platform_standins import documents
from platform_standins import store
from platform_standins import target
from soak import callers
from soak import fleet
from soak import record

BROKEN_MODES = [mode for mode in store.Mode if mode is not store.Mode.NORMAL]
MOST_STEP = 3
"""Largest step from one version to the next."""


class World:
    """What faults act on.

    Attributes:
        fleet: The processes and stand-ins.
        rng: Draws what is hit, and for how long.
    """

    def __init__(self, running: fleet.Fleet, rng: random.Random):
        self.fleet = running
        self.rng = rng

    @property
    def record(self) -> record.Record:
        """What is seen."""
        return self.fleet.record

    @contextlib.contextmanager
    def span(self, kind: str, scope: str, is_planned: bool = False):
        """Records a time in which something is wrong."""
        made = record.Span(kind, scope, time.monotonic(), is_planned=is_planned)
        self.record.spans.append(made)
        try:
            yield
        finally:
            made.end = time.monotonic()

    async def wait(self, least: float, most: float) -> None:
        """Waits for a time between two bounds, in seconds."""
        await asyncio.sleep(self.rng.uniform(least, most))

    def pick_node(self) -> fleet.Node:
        """Returns a node."""
        return self.rng.choice(list(self.fleet.nodes.values()))

    def running_nodes(self) -> list[fleet.Node]:
        """Returns the nodes that no other fault stops and starts now."""
        return [n for n in self.fleet.nodes.values() if n.should_run]

    def pick_target(self, service: str = "") -> target.Target | None:
        """Returns a target that is up and stays, if its service has more."""
        rows = [
            row
            for row in self.fleet.steady()
            if service in ("", row.service.name)
            and len(self.fleet.peers(row.service.name)) > 2
        ]
        return self.rng.choice(rows) if rows else None

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        known = sorted(self.record.versions)
        version = max(known, default=0) + self.rng.randint(1, MOST_STEP)
        kept = [*known, version][-record.KEPT_VERSIONS :]
        routes = [*callers.ROUTES, *map(callers.version_route, kept)]
        body = documents.make_configuration(
            version, fleet.SERVICES.values(), routes
        )
        self.fleet.store.put(documents.CONFIGURATION_KEY, body)
        self.record.versions[version] = time.monotonic()


# Nodes.


async def kill_node(world: World) -> None:
    """Kills a node; it comes back soon."""
    nodes = world.running_nodes()
    await _kill(world, world.rng.sample(nodes, min(1, len(nodes))))


async def kill_all_nodes(world: World) -> None:
    """Kills all nodes at once; they come back soon."""
    await _kill(world, world.running_nodes())


async def _kill(world: World, nodes: list[fleet.Node]) -> None:
    with contextlib.ExitStack() as stack:
        for node in nodes:
            node.should_run = False
            stack.enter_context(world.span("kill", node.name))
            world.fleet.send_signal(node, signal.SIGKILL)
        await world.wait(0.3, 1.5)
        for node in nodes:
            node.process.wait()
            world.fleet.spawn(node)
            node.should_run = True


async def stop_node(world: World) -> None:
    """Stops a node in order; it comes back soon."""
    nodes = world.running_nodes()
    if not nodes:
        return
    node = world.rng.choice(nodes)
    node.should_run = False
    with world.span("stop", node.name, is_planned=True):
        world.fleet.send_signal(node, signal.SIGTERM)
        end = time.monotonic() + fleet.SHUTDOWN_SECONDS
        while node.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        world.fleet.send_signal(node, signal.SIGKILL)
        node.process.wait()
        await world.wait(0.2, 1.0)
        world.fleet.spawn(node)
    node.should_run = True


async def freeze_node(world: World) -> None:
    """Suspends a node's process for a while."""
    node = world.pick_node()
    with world.span("freeze", node.name):
        world.fleet.send_signal(node, signal.SIGSTOP)
        await world.wait(0.5, 4.0)
        world.fleet.send_signal(node, signal.SIGCONT)


async def reload_node(world: World) -> None:
    """Changes a node's settings file and says so."""
    node = world.pick_node()
    world.fleet.change_settings(node, f"changed at {time.monotonic()}")
    world.fleet.send_signal(node, signal.SIGHUP)
    await world.wait(0.1, 0.5)


async def cut_node_from_store(world: World) -> None:
    """Silences, resets or delays a node's link to the store."""
    node = world.pick_node()
    with world.span("cut", node.name):
        how = world.rng.choice(("silent", "inward", "outward", "reset"))
        if how == "reset":
            node.door.is_refusing = True
            node.door.reset()
        else:
            node.door.silence(how != "outward", how != "inward")
        await world.wait(1.0, 5.0)
        node.door.is_refusing = False
        node.door.silence(False, False)


async def turn_nodes_away(world: World) -> None:
    """Lets the store refuse some nodes while it serves the others."""
    nodes = list(world.fleet.nodes)
    chosen = set(world.rng.sample(nodes, world.rng.randint(1, len(nodes) - 1)))
    mode = world.rng.choice(
        [m for m in store.Mode if m is not store.Mode.NORMAL]
    )
    with contextlib.ExitStack() as stack:
        for name in chosen:
            stack.enter_context(world.span("turned away", name))
        await _with_store(world, 5.0, mode=mode, nodes=chosen)


# The store.


async def _with_store(world: World, most: float, **changes) -> None:
    for name, value in changes.items():
        setattr(world.fleet.store.faults, name, value)
    world.fleet.store.wake()
    await world.wait(0.5, most)
    world.fleet.store.clear_faults()


async def stop_store(world: World) -> None:
    """Takes the store away; its leases pause or run out meanwhile."""
    mode = world.rng.choice(
        [m for m in store.Mode if m is not store.Mode.NORMAL]
    )
    with world.span("store away", record.EVERYWHERE):
        leases_expire = world.rng.random() < 0.5
        await _with_store(world, 9.0, mode=mode, leases_expire=leases_expire)


async def slow_store(world: World) -> None:
    """Delays the answers of the store."""
    with world.span("store slow", record.EVERYWHERE):
        delay = world.rng.uniform(0.05, 0.6)
        await _with_store(world, 5.0, delay_seconds=delay)


async def lose_store_answers(world: World) -> None:
    """Loses answers to writes that were done, or will be."""
    with world.span("answers lost", record.EVERYWHERE):
        await _with_store(world, 5.0, lost_share=0.3, late_share=0.2)


async def forget_history(world: World) -> None:
    """Drops the store's history."""
    with world.span("history dropped", record.EVERYWHERE):
        world.fleet.store.compact_history()
        await world.wait(0.1, 0.5)


# Targets.


async def crash_target(world: World) -> None:
    """Ends a target; another one comes later, cold."""
    row = world.pick_target()
    if row is None:
        return
    with world.span("crash", row.name):
        await row.crash()
        await world.wait(0.5, 4.0)
        await world.fleet.add_target(row.service.name, row.zone)


async def cut_target_off(world: World) -> None:
    """Silences or resets the link to a target, which goes on running."""
    row = world.pick_target()
    if row is None:
        return
    carrier = world.fleet.links[row.name]
    with world.span("cut", row.name):
        how = world.rng.choice(("silent", "inward", "outward", "refuse"))
        if how == "refuse":
            carrier.is_refusing = True
            carrier.reset()
        else:
            carrier.silence(how != "outward", how != "inward")
        row.faults.store_unreachable = world.rng.random() < 0.5
        await world.wait(0.5, 8.0)
        carrier.is_refusing = False
        carrier.silence(False, False)
        row.faults.store_unreachable = False


async def reset_target(world: World) -> None:
    """Resets all connections to a target."""
    row = world.pick_target()
    if row is not None:
        with world.span("reset", row.name):
            world.fleet.links[row.name].reset()


async def slow_target(world: World) -> None:
    """Slows a target and delays its link."""
    row = world.pick_target()
    if row is None:
        return
    with world.span("slow", row.name):
        row.faults.slow_factor = world.rng.uniform(2.0, 8.0)
        world.fleet.links[row.name].delay_seconds = 0.02
        await world.wait(1.0, 5.0)
        row.faults.slow_factor = 1.0
        world.fleet.links[row.name].delay_seconds = 0.0


async def spoil_answers(world: World) -> None:
    """Lets targets lose or spoil some of their answers."""
    rows = [world.pick_target() for _ in range(3)]
    with contextlib.ExitStack() as stack:
        for row in filter(None, rows):
            stack.enter_context(world.span("spoilt answers", row.name))
            row.faults.lost_share, row.faults.corrupted_share = 0.05, 0.1
        await world.wait(1.0, 5.0)
        for row in filter(None, rows):
            row.faults.lost_share = row.faults.corrupted_share = 0.0


async def delay_orders(world: World) -> None:
    """Lets targets apply some grants late and without an answer."""
    rows = world.fleet.peers("desk")
    with contextlib.ExitStack() as stack:
        for row in rows:
            stack.enter_context(world.span("late orders", row.name))
            row.faults.late_share = 0.4
        await world.wait(2.0, 6.0)
        for row in rows:
            row.faults.late_share = 0.0


# Planned work.


async def replace_target(world: World) -> None:
    """Starts a target, then lets another one of its service leave."""
    row = world.pick_target()
    if row is None:
        return
    await world.fleet.add_target(row.service.name, row.zone)
    await world.wait(0.0, 1.0)
    if row not in world.fleet.steady():
        return
    row.is_draining = True
    while world.fleet.store.faults.is_down():
        await asyncio.sleep(0.1)
    if world.rng.random() < 0.7:
        row.drain()
    else:
        row.deregister()
    world.record.drains.append(record.Leaving(row.name, time.monotonic()))
    await asyncio.sleep(fleet.DRAIN_SECONDS + world.rng.uniform(0.5, 3.0))
    if row.is_up:
        await row.crash()


async def change_configuration(world: World) -> None:
    """Writes some versions, one shortly after the other."""
    for _ in range(world.rng.randint(1, 4)):
        while world.fleet.store.faults.is_down():
            await asyncio.sleep(0.1)
        world.configure()
        await world.wait(0.05, 1.0)


async def evacuate_zone(world: World) -> None:
    """Takes an availability zone out, and back."""
    zone = world.rng.choice(fleet.ZONES)
    key = documents.evacuation_key(zone)
    while world.fleet.store.faults.is_down():
        await asyncio.sleep(0.1)
    world.fleet.store.put(key, b"{}")
    leaving = record.Leaving(zone, time.monotonic())
    world.record.evacuations.append(leaving)
    await world.wait(2.0, 9.0)
    world.fleet.store.remove(key)
    leaving.end = time.monotonic()


Fault = collections.abc.Callable[
    [World], collections.abc.Coroutine[None, None, None]
]
ALONE = frozenset({stop_store, slow_store, lose_store_answers, turn_nodes_away})
"""Faults that change the same switches of the store."""

ALL: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_node,
        kill_all_nodes,
        stop_node,
        freeze_node,
        reload_node,
        cut_node_from_store,
        turn_nodes_away,
        stop_store,
        slow_store,
        lose_store_answers,
        forget_history,
        crash_target,
        cut_target_off,
        reset_target,
        slow_target,
        spoil_answers,
        delay_orders,
        replace_target,
        change_configuration,
        evacuate_zone,
    )
}
