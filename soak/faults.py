"""Faults that a soak injects from outside the nodes, and planned work.

Each one is a coroutine function that injects a fault or performs planned work
and repairs what it broke before it returns.
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
from soak import store_returns
from soak import targets

BROKEN_MODES = [mode for mode in store.Mode if mode is not store.Mode.NORMAL]
MAX_VERSION_STEP = 3
"""Largest increment between two configuration versions."""

GROWN_ROUTES = 1_000
"""Number of routes that a grown configuration has more."""

SLOW_LINK_BYTES_PER_SECOND = 500_000
SLICE_SECONDS = 0.03
"""Time for which a slow node's process runs at a stretch."""

LEADER_SHARE = 0.5
"""Share of the faults of single nodes that are aimed at the leader."""


class FaultContext:
    """The fleet and the random generator that faults work with.

    Attributes:
        fleet: The fleet under test.
        rng: Random generator that decides what is affected, and for how long.
        extra_routes: Number of routes without calls in the configurations that
            are written.
    """

    def __init__(self, running_fleet: fleet.Fleet, rng: random.Random):
        self.fleet = running_fleet
        self.rng = rng
        self.extra_routes = 0

    @property
    def observed(self) -> observations.Observations:
        """What callers and targets of the fleet observe."""
        return self.fleet.observed

    @contextlib.contextmanager
    def record_disruption(
        self, kind: str, scope: str, is_planned: bool = False
    ):
        """Records a disruption that lasts until the with statement ends.

        Args:
            kind: What the fault or the planned work is.
            scope: The name of the affected node or target, or EVERYWHERE.
            is_planned: Whether it is planned work, not a fault.
        """
        disruption = observations.Disruption(
            kind, scope, time.monotonic(), is_planned=is_planned
        )
        self.observed.disruptions.append(disruption)
        try:
            yield
        finally:
            disruption.end = time.monotonic()

    async def wait(self, shortest: float, longest: float) -> None:
        """Waits for a random time between two bounds, in seconds."""
        await asyncio.sleep(self.rng.uniform(shortest, longest))

    async def wait_for_store(self) -> None:
        """Waits until the store isn't down."""
        while self.fleet.store.faults.is_down():
            await asyncio.sleep(0.1)

    def pick_node(self) -> fleet.Node:
        """Returns the leader or, with a probability of one half, any node."""
        leading = self.fleet.leading_node()
        if leading is not None and self.rng.random() < LEADER_SHARE:
            return leading
        return self.rng.choice(list(self.fleet.nodes.values()))

    def running_nodes(self) -> list[fleet.Node]:
        """Returns the nodes that no other fault is currently restarting."""
        return [n for n in self.fleet.nodes.values() if n.should_run]

    def pick_target(self, service: str = "") -> targets.Target | None:
        """Returns a random target that is up and not draining.

        Only targets of services with more than two running targets are
        considered, so that others remain.

        Args:
            service: The name of the service; any if empty.

        Returns:
            The target, or None if there is no such target.
        """
        candidates = [
            candidate
            for candidate in self.fleet.stable_targets()
            if service in ("", candidate.service.name)
            and len(self.fleet.peers(candidate.service.name)) > 2
        ]
        return self.rng.choice(candidates) if candidates else None

    def configure(self) -> None:
        """Writes the next configuration version to the store."""
        versions = sorted(self.observed.versions)
        version = max(versions, default=0) + self.rng.randint(
            1, MAX_VERSION_STEP
        )
        kept_versions = [*versions, version][
            -observations.KEPT_VERSION_ROUTES :
        ]
        routes = [*callers.ROUTES, *map(callers.version_route, kept_versions)]
        routes += [
            documents.Route(f"extra-{number}", "pool", True)
            for number in range(self.extra_routes)
        ]
        body = documents.make_configuration(
            version, fleet.SERVICES.values(), routes
        )
        self.fleet.store.put(documents.CONFIGURATION_KEY, body)
        self.observed.versions[version] = time.monotonic()


# Nodes.


async def kill_node(ctx: FaultContext) -> None:
    """Kills a node and restarts it."""
    nodes = ctx.running_nodes()
    await _kill(ctx, ctx.rng.sample(nodes, min(1, len(nodes))))


async def kill_all_nodes(ctx: FaultContext) -> None:
    """Kills all nodes at once and restarts them."""
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
    """Shuts a node down gracefully and restarts it.

    Kills it if it does not exit within SHUTDOWN_SECONDS.
    """
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
    """Suspends a node's process and resumes it."""
    node = ctx.pick_node()
    with ctx.record_disruption("freeze", node.name):
        ctx.fleet.send_signal(node, signal.SIGSTOP)
        await ctx.wait(0.5, 4.0)
        ctx.fleet.send_signal(node, signal.SIGCONT)


async def slow_node(ctx: FaultContext) -> None:
    """Lets a node's process run for a fifth of the time only."""
    node = ctx.pick_node()
    with ctx.record_disruption("slow", node.name):
        end = time.monotonic() + ctx.rng.uniform(1.0, 6.0)
        while time.monotonic() < end:
            ctx.fleet.send_signal(node, signal.SIGSTOP)
            await asyncio.sleep(4 * SLICE_SECONDS)
            ctx.fleet.send_signal(node, signal.SIGCONT)
            await asyncio.sleep(SLICE_SECONDS)


async def reload_node(ctx: FaultContext) -> None:
    """Changes a node's settings file and signals the node to reload it."""
    node = ctx.pick_node()
    ctx.fleet.replace_settings(node, f"changed at {time.monotonic()}")
    ctx.fleet.send_signal(node, signal.SIGHUP)
    await ctx.wait(0.1, 0.5)


async def cut_node_from_store(ctx: FaultContext) -> None:
    """Pauses or resets a node's connections to the store."""
    node = ctx.pick_node()
    with ctx.record_disruption("cut", node.name):
        cut_mode = ctx.rng.choice(("both", "inward", "outward", "reset"))
        if cut_mode == "reset":
            node.store_proxy.is_refusing = True
            node.store_proxy.reset()
        else:
            node.store_proxy.pause(cut_mode != "outward", cut_mode != "inward")
        await ctx.wait(1.0, 5.0)
        node.store_proxy.is_refusing = False
        node.store_proxy.pause(False, False)


async def turn_nodes_away(ctx: FaultContext) -> None:
    """Makes the store fail for some nodes while it serves the others."""
    nodes = list(ctx.fleet.nodes)
    affected = set(ctx.rng.sample(nodes, ctx.rng.randint(1, len(nodes) - 1)))
    mode = ctx.rng.choice(BROKEN_MODES)
    with contextlib.ExitStack() as stack:
        for name in affected:
            stack.enter_context(
                ctx.record_disruption("store failure for node", name)
            )
        await _inject_store_faults(ctx, 5.0, mode=mode, nodes=affected)


# The store.


async def _inject_store_faults(
    ctx: FaultContext, longest: float, **store_faults
) -> None:
    """Injects faults into the store and ends them after a random time.

    Args:
        ctx: The fleet and the random generator.
        longest: Longest duration, in seconds.
        **store_faults: Values of fields of the store's faults.
    """
    for name, value in store_faults.items():
        setattr(ctx.fleet.store.faults, name, value)
    ctx.fleet.store.wake()
    await ctx.wait(0.5, longest)
    ctx.fleet.store.clear_faults()


async def stop_store(ctx: FaultContext) -> None:
    """Makes the store fail for all nodes.

    Leases either expire meanwhile or are extended by the time of the outage.
    """
    mode = ctx.rng.choice(BROKEN_MODES)
    with ctx.record_disruption("store outage", observations.EVERYWHERE):
        leases_expire = ctx.rng.random() < 0.5
        await _inject_store_faults(
            ctx, 9.0, mode=mode, leases_expire=leases_expire
        )


async def slow_store(ctx: FaultContext) -> None:
    """Delays the responses of the store."""
    with ctx.record_disruption("slow store", observations.EVERYWHERE):
        delay = ctx.rng.uniform(0.05, 0.6)
        await _inject_store_faults(ctx, 5.0, delay_seconds=delay)


async def lose_store_answers(ctx: FaultContext) -> None:
    """Drops responses to writes that the store applies at once or later."""
    with ctx.record_disruption("lost store responses", observations.EVERYWHERE):
        await _inject_store_faults(ctx, 5.0, lost_share=0.3, late_share=0.2)


async def forget_history(ctx: FaultContext) -> None:
    """Drops the store's revision history."""
    with ctx.record_disruption(
        "store history dropped", observations.EVERYWHERE
    ):
        ctx.fleet.store.compact_history()
        await ctx.wait(0.1, 0.5)


# Targets.


async def crash_target(ctx: FaultContext) -> None:
    """Crashes a target and starts a cold replacement."""
    picked = ctx.pick_target()
    if picked is None:
        return
    with ctx.record_disruption("crash", picked.name):
        await picked.crash()
        await ctx.wait(0.5, 4.0)
        await ctx.fleet.add_target(picked.service.name, picked.zone)


async def restart_target(ctx: FaultContext) -> None:
    """Crashes a target up to three times; it starts again under its name.

    It is listed as the incarnation before until some time after its start.
    """
    picked = ctx.pick_target()
    if picked is None:
        return
    with ctx.record_disruption("restart", picked.name):
        for _ in range(ctx.rng.randint(1, 3)):
            await picked.crash()
            await ctx.wait(0.05, 1.5)
            listing_delay = ctx.rng.uniform(0.0, target.HEARTBEAT_SECONDS)
            picked = await ctx.fleet.restart_target(picked, listing_delay)
            await ctx.wait(0.2, 3.0)
            if not picked.is_up or picked.is_draining:
                return


async def cut_target_off(ctx: FaultContext) -> None:
    """Pauses or resets connections to a target that keeps running.

    With a probability of one half, the target also stops updating its listing.
    """
    picked = ctx.pick_target()
    if picked is None:
        return
    target_proxy = ctx.fleet.target_proxies[picked.name]
    with ctx.record_disruption("cut", picked.name):
        cut_mode = ctx.rng.choice(("both", "inward", "outward", "refuse"))
        if cut_mode == "refuse":
            target_proxy.is_refusing = True
            target_proxy.reset()
        else:
            target_proxy.pause(cut_mode != "outward", cut_mode != "inward")
        picked.is_store_unreachable = ctx.rng.random() < 0.5
        await ctx.wait(0.5, 8.0)
        target_proxy.is_refusing = False
        target_proxy.pause(False, False)
        picked.is_store_unreachable = False


async def freeze_target(ctx: FaultContext) -> None:
    """Suspends a target's process and resumes it."""
    picked = ctx.pick_target()
    if picked is None:
        return
    with ctx.record_disruption("freeze", picked.name):
        picked.freeze()
        await ctx.wait(0.3, 8.0)
        picked.thaw()


async def reset_target(ctx: FaultContext) -> None:
    """Resets all connections to a target."""
    picked = ctx.pick_target()
    if picked is not None:
        with ctx.record_disruption("reset", picked.name):
            ctx.fleet.target_proxies[picked.name].reset()


async def slow_target(ctx: FaultContext) -> None:
    """Slows a target down and delays its network traffic."""
    picked = ctx.pick_target()
    if picked is None:
        return
    with ctx.record_disruption("slow", picked.name):
        picked.set_faults(slow_factor=ctx.rng.uniform(2.0, 8.0))
        ctx.fleet.target_proxies[picked.name].delay_seconds = 0.02
        await ctx.wait(1.0, 5.0)
        picked.set_faults(slow_factor=1.0)
        ctx.fleet.target_proxies[picked.name].delay_seconds = 0.0


async def spoil_answers(ctx: FaultContext) -> None:
    """Makes up to three targets drop or corrupt some of their responses."""
    picked_targets = [ctx.pick_target() for _ in range(3)]
    with contextlib.ExitStack() as stack:
        for picked in filter(None, picked_targets):
            stack.enter_context(
                ctx.record_disruption("corrupted responses", picked.name)
            )
            picked.set_faults(lost_share=0.05, corrupted_share=0.1)
        await ctx.wait(1.0, 5.0)
        for picked in filter(None, picked_targets):
            picked.set_faults(lost_share=0.0, corrupted_share=0.0)


async def delay_orders(ctx: FaultContext) -> None:
    """Makes targets apply some grants late, without a successful response."""
    picked_targets = ctx.fleet.peers("desk")
    with contextlib.ExitStack() as stack:
        for picked in picked_targets:
            stack.enter_context(
                ctx.record_disruption("late grants", picked.name)
            )
            picked.set_faults(late_share=0.4)
        await ctx.wait(2.0, 6.0)
        for picked in picked_targets:
            picked.set_faults(late_share=0.0)


# Planned work.


async def hand_over_address(ctx: FaultContext) -> None:
    """Starts a target again under its name while its old process still serves.

    The old process keeps the connections that are open, for some seconds.
    """
    picked = ctx.pick_target()
    if picked is None:
        return
    with ctx.record_disruption("hand over", picked.name):
        picked.is_draining = True
        picked.stop_accepting()
        await ctx.wait(0.05, 0.3)
        listing_delay = ctx.rng.uniform(0.0, target.HEARTBEAT_SECONDS)
        await ctx.fleet.restart_target(picked, listing_delay)
        await ctx.wait(0.5, 5.0)
        await picked.crash()


async def replace_target(ctx: FaultContext) -> None:
    """Starts a target, then drains or unlists an older one of its service."""
    picked = ctx.pick_target()
    if picked is None:
        return
    await ctx.fleet.add_target(picked.service.name, picked.zone)
    await ctx.wait(0.0, 1.0)
    if picked not in ctx.fleet.stable_targets():
        return
    picked.is_draining = True
    await ctx.wait_for_store()
    if ctx.rng.random() < 0.7:
        picked.drain()
    else:
        picked.deregister()
    ctx.observed.drains.append(
        observations.Removal(picked.name, time.monotonic())
    )
    await asyncio.sleep(fleet.DRAIN_SECONDS + ctx.rng.uniform(0.5, 3.0))
    if picked.is_up:
        await picked.crash()


async def change_configuration(ctx: FaultContext) -> None:
    """Writes several configuration versions in quick succession."""
    for _ in range(ctx.rng.randint(1, 4)):
        await ctx.wait_for_store()
        ctx.configure()
        await ctx.wait(0.05, 1.0)


async def grow_configuration(ctx: FaultContext) -> None:
    """Adds many routes while some nodes have slow links to the store.

    The links are fast enough to receive a version in time.
    """
    nodes = list(ctx.fleet.nodes.values())
    slow_nodes = ctx.rng.sample(nodes, ctx.rng.randint(1, len(nodes)))
    for node in slow_nodes:
        node.store_proxy.bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
    for ctx.extra_routes in (GROWN_ROUTES, 0):
        await ctx.wait_for_store()
        ctx.configure()
        await ctx.wait(2.5, 5.0)
    for node in slow_nodes:
        node.store_proxy.bytes_per_second = None


async def evacuate_zone(ctx: FaultContext) -> None:
    """Evacuates an availability zone, then revokes the evacuation.

    A zone stays evacuated until the last of its evacuations is revoked.
    """
    zone = ctx.rng.choice(ctx.fleet.shape.zones)
    key = documents.evacuation_key(zone)
    await ctx.wait_for_store()
    ctx.fleet.store.put(key, b"{}")
    removal = observations.Removal(zone, time.monotonic())
    ctx.observed.evacuations.append(removal)
    await ctx.wait(2.0, 9.0)
    removal.end = time.monotonic()
    if not _is_evacuated(ctx.observed, zone):
        ctx.fleet.store.remove(key)


def _is_evacuated(observed: observations.Observations, zone: str) -> bool:
    """Returns whether an evacuation of a zone hasn't been revoked."""
    now = time.monotonic()
    return any(
        removal.name == zone and removal.end > now
        for removal in observed.evacuations
    )


Fault = collections.abc.Callable[
    [FaultContext], collections.abc.Coroutine[None, None, None]
]
_STORE_FAULTS = frozenset(
    {
        stop_store,
        slow_store,
        lose_store_answers,
        turn_nodes_away,
        store_returns.return_store,
        store_returns.return_store_twice,
    }
)
"""Faults that set the same faults of the store."""

NOT_BESIDE: dict[Fault, frozenset[Fault]] = {
    **dict.fromkeys(_STORE_FAULTS, _STORE_FAULTS),
    grow_configuration: frozenset({grow_configuration, change_configuration}),
    change_configuration: frozenset({grow_configuration}),
    slow_node: frozenset({freeze_node}),
    freeze_node: frozenset({slow_node}),
}
"""Faults beside which a fault isn't started."""

ALL: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_node,
        kill_all_nodes,
        stop_node,
        freeze_node,
        slow_node,
        reload_node,
        cut_node_from_store,
        turn_nodes_away,
        stop_store,
        slow_store,
        lose_store_answers,
        forget_history,
        crash_target,
        cut_target_off,
        freeze_target,
        reset_target,
        slow_target,
        spoil_answers,
        delay_orders,
        replace_target,
        change_configuration,
        grow_configuration,
        evacuate_zone,
        restart_target,
        store_returns.return_store,
        store_returns.return_store_twice,
    )
}

ONLY_BY_NAME: dict[str, Fault] = {hand_over_address.__name__: hand_over_address}
"""Faults that are not drawn: the platform says that they don't happen."""
