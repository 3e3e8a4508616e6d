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
from soak import observations

BROKEN_MODES = [mode for mode in store.Mode if mode is not store.Mode.WORKS]
MAX_VERSION_STEP = 3
"""Largest step from one version to the next."""


class FaultContext:
    """What faults act on.

    Attributes:
        fleet: The processes and stand-ins.
        rng: Draws what is hit, and for how long.
    """

    def __init__(self, running_fleet: fleet.Fleet, rng: random.Random):
        self.fleet = running_fleet
        self.rng = rng

    @property
    def observed(self) -> observations.Observations:
        """What is seen."""
        return self.fleet.observed

    @contextlib.contextmanager
    def record_disruption(
        self, kind: str, scope: str, is_planned: bool = False
    ):
        """Records a time in which something is wrong."""
        made = observations.Disruption(
            kind, scope, time.monotonic(), is_planned=is_planned
        )
        self.observed.disruptions.append(made)
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
            for row in self.fleet.stable_targets()
            if service in ("", row.service.name)
            and len(self.fleet.peers(row.service.name)) > 2
        ]
        return self.rng.choice(rows) if rows else None

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        known = sorted(self.observed.versions)
        version = max(known, default=0) + self.rng.randint(1, MAX_VERSION_STEP)
        kept = [*known, version][-observations.KEPT_VERSION_ROUTES :]
        routes = [*callers.ROUTES, *map(callers.version_route, kept)]
        body = documents.make_configuration(
            version, fleet.SERVICES.values(), routes
        )
        self.fleet.store.put(documents.CONFIGURATION_KEY, body)
        self.observed.versions[version] = time.monotonic()


# Nodes.


async def kill_node(ctx: FaultContext) -> None:
    """Kills a node; it comes back soon."""
    nodes = ctx.running_nodes()
    await _kill(ctx, ctx.rng.sample(nodes, min(1, len(nodes))))


async def kill_all_nodes(ctx: FaultContext) -> None:
    """Kills all nodes at once; they come back soon."""
    await _kill(ctx, ctx.running_nodes())


async def _kill(ctx: FaultContext, nodes: list[fleet.Node]) -> None:
    with contextlib.ExitStack() as stack:
        for node in nodes:
            node.should_run = False
            stack.enter_context(ctx.record_disruption("kill", node.name))
            ctx.fleet.send_signal(node, signal.SIGKILL)
        await ctx.wait(0.3, 1.5)
        for node in nodes:
            node.process.wait()
            ctx.fleet.spawn(node)
            node.should_run = True


async def stop_node(ctx: FaultContext) -> None:
    """Stops a node in order; it comes back soon."""
    nodes = ctx.running_nodes()
    if not nodes:
        return
    node = ctx.rng.choice(nodes)
    node.should_run = False
    with ctx.record_disruption("stop", node.name, is_planned=True):
        ctx.fleet.send_signal(node, signal.SIGTERM)
        end = time.monotonic() + fleet.SHUTDOWN_SECONDS
        while node.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        ctx.fleet.send_signal(node, signal.SIGKILL)
        node.process.wait()
        await ctx.wait(0.2, 1.0)
        ctx.fleet.spawn(node)
    node.should_run = True


async def freeze_node(ctx: FaultContext) -> None:
    """Suspends a node's process for a while."""
    node = ctx.pick_node()
    with ctx.record_disruption("freeze", node.name):
        ctx.fleet.send_signal(node, signal.SIGSTOP)
        await ctx.wait(0.5, 4.0)
        ctx.fleet.send_signal(node, signal.SIGCONT)


async def reload_node(ctx: FaultContext) -> None:
    """Changes a node's settings file and says so."""
    node = ctx.pick_node()
    ctx.fleet.replace_settings(node, f"changed at {time.monotonic()}")
    ctx.fleet.send_signal(node, signal.SIGHUP)
    await ctx.wait(0.1, 0.5)


async def cut_node_from_store(ctx: FaultContext) -> None:
    """Silences, resets or delays a node's link to the store."""
    node = ctx.pick_node()
    with ctx.record_disruption("cut", node.name):
        how = ctx.rng.choice(("silent", "inward", "outward", "reset"))
        if how == "reset":
            node.store_proxy.is_refusing = True
            node.store_proxy.reset()
        else:
            node.store_proxy.pause(how != "outward", how != "inward")
        await ctx.wait(1.0, 5.0)
        node.store_proxy.is_refusing = False
        node.store_proxy.pause(False, False)


async def turn_nodes_away(ctx: FaultContext) -> None:
    """Lets the store refuse some nodes while it serves the others."""
    nodes = list(ctx.fleet.nodes)
    chosen = set(ctx.rng.sample(nodes, ctx.rng.randint(1, len(nodes) - 1)))
    mode = ctx.rng.choice([m for m in store.Mode if m is not store.Mode.WORKS])
    with contextlib.ExitStack() as stack:
        for name in chosen:
            stack.enter_context(ctx.record_disruption("turned away", name))
        await _with_store_faults(ctx, 5.0, mode=mode, nodes=chosen)


# The store.


async def _with_store_faults(ctx: FaultContext, most: float, **changes) -> None:
    for name, value in changes.items():
        setattr(ctx.fleet.store.faults, name, value)
    ctx.fleet.store.wake()
    await ctx.wait(0.5, most)
    ctx.fleet.store.heal()


async def stop_store(ctx: FaultContext) -> None:
    """Takes the store away; its leases pause or run out meanwhile."""
    mode = ctx.rng.choice([m for m in store.Mode if m is not store.Mode.WORKS])
    with ctx.record_disruption("store away", observations.EVERYWHERE):
        is_lapsing = ctx.rng.random() < 0.5
        await _with_store_faults(ctx, 9.0, mode=mode, is_lapsing=is_lapsing)


async def slow_store(ctx: FaultContext) -> None:
    """Delays the answers of the store."""
    with ctx.record_disruption("store slow", observations.EVERYWHERE):
        delay = ctx.rng.uniform(0.05, 0.6)
        await _with_store_faults(ctx, 5.0, delay_seconds=delay)


async def lose_store_answers(ctx: FaultContext) -> None:
    """Loses answers to writes that were done, or will be."""
    with ctx.record_disruption("answers lost", observations.EVERYWHERE):
        await _with_store_faults(ctx, 5.0, lost_share=0.3, late_share=0.2)


async def forget_history(ctx: FaultContext) -> None:
    """Drops the store's history."""
    with ctx.record_disruption("history dropped", observations.EVERYWHERE):
        ctx.fleet.store.forget_history()
        await ctx.wait(0.1, 0.5)


# Targets.


async def crash_target(ctx: FaultContext) -> None:
    """Ends a target; another one comes later, cold."""
    row = ctx.pick_target()
    if row is None:
        return
    with ctx.record_disruption("crash", row.name):
        await row.crash()
        await ctx.wait(0.5, 4.0)
        await ctx.fleet.add_target(row.service.name, row.zone)


async def cut_target_off(ctx: FaultContext) -> None:
    """Silences or resets the link to a target, which goes on running."""
    row = ctx.pick_target()
    if row is None:
        return
    target_proxy = ctx.fleet.target_proxies[row.name]
    with ctx.record_disruption("cut", row.name):
        how = ctx.rng.choice(("silent", "inward", "outward", "refuse"))
        if how == "refuse":
            target_proxy.is_refusing = True
            target_proxy.reset()
        else:
            target_proxy.pause(how != "outward", how != "inward")
        row.faults.is_mute = ctx.rng.random() < 0.5
        await ctx.wait(0.5, 8.0)
        target_proxy.is_refusing = False
        target_proxy.pause(False, False)
        row.faults.is_mute = False


async def reset_target(ctx: FaultContext) -> None:
    """Resets all connections to a target."""
    row = ctx.pick_target()
    if row is not None:
        with ctx.record_disruption("reset", row.name):
            ctx.fleet.target_proxies[row.name].reset()


async def slow_target(ctx: FaultContext) -> None:
    """Slows a target and delays its link."""
    row = ctx.pick_target()
    if row is None:
        return
    with ctx.record_disruption("slow", row.name):
        row.faults.slow_factor = ctx.rng.uniform(2.0, 8.0)
        ctx.fleet.target_proxies[row.name].delay_seconds = 0.02
        await ctx.wait(1.0, 5.0)
        row.faults.slow_factor = 1.0
        ctx.fleet.target_proxies[row.name].delay_seconds = 0.0


async def spoil_answers(ctx: FaultContext) -> None:
    """Lets targets lose or spoil some of their answers."""
    rows = [ctx.pick_target() for _ in range(3)]
    with contextlib.ExitStack() as stack:
        for row in filter(None, rows):
            stack.enter_context(
                ctx.record_disruption("spoilt answers", row.name)
            )
            row.faults.lost_share, row.faults.spoilt_share = 0.05, 0.1
        await ctx.wait(1.0, 5.0)
        for row in filter(None, rows):
            row.faults.lost_share = row.faults.spoilt_share = 0.0


async def delay_orders(ctx: FaultContext) -> None:
    """Lets targets apply some grants late and without an answer."""
    rows = ctx.fleet.peers("desk")
    with contextlib.ExitStack() as stack:
        for row in rows:
            stack.enter_context(ctx.record_disruption("late orders", row.name))
            row.faults.late_share = 0.4
        await ctx.wait(2.0, 6.0)
        for row in rows:
            row.faults.late_share = 0.0


# Planned work.


async def replace_target(ctx: FaultContext) -> None:
    """Starts a target, then lets another one of its service leave."""
    row = ctx.pick_target()
    if row is None:
        return
    await ctx.fleet.add_target(row.service.name, row.zone)
    await ctx.wait(0.0, 1.0)
    if row not in ctx.fleet.stable_targets():
        return
    row.is_draining = True
    while ctx.fleet.store.faults.is_down():
        await asyncio.sleep(0.1)
    if ctx.rng.random() < 0.7:
        row.drain()
    else:
        row.unlist()
    ctx.observed.drains.append(observations.Removal(row.name, time.monotonic()))
    await asyncio.sleep(fleet.DRAIN_SECONDS + ctx.rng.uniform(0.5, 3.0))
    if row.is_up:
        await row.crash()


async def change_configuration(ctx: FaultContext) -> None:
    """Writes some versions, one shortly after the other."""
    for _ in range(ctx.rng.randint(1, 4)):
        while ctx.fleet.store.faults.is_down():
            await asyncio.sleep(0.1)
        ctx.configure()
        await ctx.wait(0.05, 1.0)


async def evacuate_zone(ctx: FaultContext) -> None:
    """Takes an availability zone out, and back."""
    zone = ctx.rng.choice(fleet.ZONES)
    key = documents.evacuation_key(zone)
    while ctx.fleet.store.faults.is_down():
        await asyncio.sleep(0.1)
    ctx.fleet.store.put(key, b"{}")
    removal = observations.Removal(zone, time.monotonic())
    ctx.observed.evacuations.append(removal)
    await ctx.wait(2.0, 9.0)
    ctx.fleet.store.remove(key)
    removal.end = time.monotonic()


Fault = collections.abc.Callable[
    [FaultContext], collections.abc.Coroutine[None, None, None]
]
EXCLUSIVE_STORE_FAULTS = frozenset(
    {stop_store, slow_store, lose_store_answers, turn_nodes_away}
)
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
