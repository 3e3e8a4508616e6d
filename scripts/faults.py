"""Faults that tests and proofs put into a running cluster.

Each is a coroutine function of a harness and a random number generator. It
breaks something, waits, and mends what can be mended, so that the cluster must
serve everything again afterwards.
"""

import asyncio
import collections.abc
import json
import random

from jujubeyard import status
from scripts import cluster
from scripts import history

Fault = collections.abc.Callable[
    [history.Harness, random.Random],
    collections.abc.Coroutine[None, None, None],
]

LONGER_THAN_LEASE_SECONDS = 2.0
CUT_SECONDS = 2.5
SETTLE_SECONDS = 1.0
STORE_DOWN_SECONDS = 4.0
LONG_STORE_DOWN_SECONDS = 60.0
SLOW_STORE_MS = 400.0
DRAIN_SECONDS = 5.5
TURN_SECONDS = 0.5


def _pick_vm(harness: history.Harness, rng: random.Random) -> str:
    return rng.choice(harness.cluster.vms)


def _pick_target(
    harness: history.Harness, rng: random.Random, services: tuple[str, ...]
) -> str:
    names = [
        name
        for name, _, _, service in harness.cluster.targets()
        if service.name in services
    ]
    return rng.choice(names)


def _keyed(harness: history.Harness) -> tuple[str, ...]:
    return tuple(
        service.name
        for service in harness.cluster.spec.services
        if service.keyed
    )


async def kill_target(harness, rng) -> None:
    """Kills a target that owns keys, and starts it again."""
    name = _pick_target(harness, rng, _keyed(harness))
    harness.kill(f"target:{name}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_target(name)


async def kill_gate(harness, rng) -> None:
    """Kills a gate, and starts it again."""
    vm = _pick_vm(harness, rng)
    harness.kill(f"gate:{vm}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("gate", vm)


async def kill_gate_and_target(harness, rng) -> None:
    """Kills a gate and a target that it holds, at once."""
    pairs = []
    for vm in harness.cluster.vms:
        gate = await harness.cluster.status("gate", vm)
        held = [n for n in gate["targets"] if n.startswith(_keyed(harness))]
        pairs += [(vm, name) for name in sorted(held)]
    vm, victim = rng.choice(pairs)
    harness.kill(f"gate:{vm}")
    harness.kill(f"target:{victim}")
    await asyncio.sleep(2 * LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("gate", vm)
    harness.cluster.start_target(victim)


async def kill_vm(harness, rng) -> None:
    """Kills all processes of a VM, and starts them again."""
    vm = _pick_vm(harness, rng)
    harness.kill_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_vm(vm)


async def kill_first_controller(harness, rng) -> None:
    """Kills the controller that plans, and starts it again."""
    del rng
    vm = harness.cluster.vms[0]
    harness.kill(f"controller:{vm}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("controller", vm)


async def pause_gate(harness, rng) -> None:
    """Pauses a gate for longer than its lease; it must not send on waking."""
    vm = _pick_vm(harness, rng)
    await harness.pause(f"gate:{vm}", LONGER_THAN_LEASE_SECONDS)


async def pause_gate_and_controller(harness, rng) -> None:
    """Pauses a gate and the controller that plans, at once."""
    await asyncio.gather(
        pause_gate(harness, rng),
        harness.pause(
            f"controller:{harness.cluster.vms[0]}", LONGER_THAN_LEASE_SECONDS
        ),
    )


async def freeze_target(harness, rng) -> None:
    """Freezes a target that owns keys, and lets it go on."""
    name = _pick_target(harness, rng, _keyed(harness))
    await harness.pause(f"target:{name}", LONGER_THAN_LEASE_SECONDS)


async def _cut(harness, role: str, vm: str, document: dict) -> None:
    fleet = harness.cluster
    address = fleet.admin_address(role, vm)
    await fleet.put(address, "/faults", document)
    await asyncio.sleep(CUT_SECONDS)
    await fleet.put(address, "/faults", {})


async def cut_gate_off(harness, rng) -> None:
    """Cuts all links of a gate in both directions."""
    vm = _pick_vm(harness, rng)
    await _cut(harness, "gate", vm, {"drop_from": ["*:*"], "drop_to": ["*:*"]})


async def cut_gate_from_controllers(harness, rng) -> None:
    """Cuts a gate off from all but the entries, which still send it calls."""
    vm = _pick_vm(harness, rng)
    peers = ["controller:*", "gate:*"]
    await _cut(harness, "gate", vm, {"drop_from": peers, "drop_to": peers})


async def drain_zone_of_cut_gate(harness, rng) -> None:
    """Drains the zone of a gate that does not hear of it.

    The gate is cut off from all but the entries, some of which keep an old
    plan and go on sending it calls, while another gate is to hold its targets
    and gets calls of the other entries.
    """
    fleet = harness.cluster
    vm = _pick_vm(harness, rng)
    peers = ["controller:*", "gate:*"]
    stale = fleet.vms[::2]
    for other in stale:
        address = fleet.admin_address("entry", other)
        await fleet.put(address, "/faults", {"drop_from": ["controller:*"]})
    await asyncio.gather(
        _cut(harness, "gate", vm, {"drop_from": peers, "drop_to": peers}),
        harness.run_operator_command("zone", "drain", fleet.zone_of(vm)),
    )
    for other in stale:
        await fleet.put(fleet.admin_address("entry", other), "/faults", {})
    await harness.run_operator_command("zone", "restore", fleet.zone_of(vm))


async def cut_gate_inbound(harness, rng) -> None:
    """Loses all that others send to a gate, and not what it sends."""
    vm = _pick_vm(harness, rng)
    await _cut(harness, "gate", vm, {"drop_from": ["*:*"]})


async def cut_gate_outbound(harness, rng) -> None:
    """Loses all that a gate sends, and not what others send to it."""
    vm = _pick_vm(harness, rng)
    await _cut(harness, "gate", vm, {"drop_to": ["*:*"]})


async def cut_controller_off(harness, rng) -> None:
    """Cuts all links of the controller that plans."""
    del rng
    vm = harness.cluster.vms[0]
    document = {"drop_from": ["*:*"], "drop_to": ["*:*"]}
    await _cut(harness, "controller", vm, document)


async def _store_fault(harness, seconds: float, document: dict) -> None:
    fleet = harness.cluster
    await fleet.put(fleet.store_address, "/faults", document)
    await asyncio.sleep(seconds)
    await fleet.put(fleet.store_address, "/faults", {})


async def store_down(harness, rng) -> None:
    """Takes the store down for a few seconds."""
    del rng
    await _store_fault(harness, STORE_DOWN_SECONDS, {"down": True})


async def store_down_long(harness, rng) -> None:
    """Takes the store down for a minute."""
    del rng
    await _store_fault(harness, LONG_STORE_DOWN_SECONDS, {"down": True})


async def store_slow_while_target_dies(harness, rng) -> None:
    """Makes the store slow while a target is lost."""
    slow = {"delay_ms": SLOW_STORE_MS}
    await asyncio.gather(
        _store_fault(harness, STORE_DOWN_SECONDS, slow),
        kill_target(harness, rng),
    )


async def lose_store_answers(harness, rng) -> None:
    """Loses answers of writes that took effect, by operator and planner."""
    fleet = harness.cluster
    name = _pick_target(harness, rng, _keyed(harness))
    await fleet.put(fleet.store_address, "/faults", {"lose_answers": 3})
    await harness.run_operator_command("target", "drain", name)
    await asyncio.sleep(SETTLE_SECONDS)
    await harness.run_operator_command("target", "restore", name)
    await fleet.put(fleet.store_address, "/faults", {})


async def race_operators(harness, rng) -> None:
    """Lets two operators change the configuration from one base version."""
    del rng
    fleet = harness.cluster
    base = await fleet.command("status", "--json")
    version = _accepted_version(base[1])
    outcomes = await asyncio.gather(
        fleet.command("apply", "manifest.toml", "--base", str(version)),
        fleet.command("apply", "manifest.toml", "--base", str(version)),
    )
    won = [outcome for outcome, _ in outcomes]
    expected = {status.ExitStatus.SUCCESS, status.ExitStatus.CONFLICT}
    if set(won) != expected:
        raise RuntimeError(f"two operators got {outcomes}")
    await harness.record_accepted()


def _accepted_version(text: str) -> int:
    return json.loads(text)["accepted_version"]


async def turn_cold(harness, rng) -> None:
    """Turns a target cold without a word."""
    fleet = harness.cluster
    names = tuple(s.name for s in fleet.spec.services)
    name = _pick_target(harness, rng, names)
    address = fleet.target_address(name)
    await fleet.put(address, "/-/control", {"cold": True})
    await asyncio.sleep(SETTLE_SECONDS)


async def restart_target(harness, rng) -> None:
    """Restarts a target so fast that no probe notices."""
    names = tuple(s.name for s in harness.cluster.spec.services)
    name = _pick_target(harness, rng, names)
    harness.kill(f"target:{name}")
    harness.cluster.start_target(name)
    await asyncio.sleep(SETTLE_SECONDS)


async def cross_answers(harness, rng) -> None:
    """Makes a target answer with the name of another call."""
    fleet = harness.cluster
    name = _pick_target(harness, rng, _keyed(harness))
    address = fleet.target_address(name)
    await fleet.put(address, "/-/control", {"cross_answers": True})
    await asyncio.sleep(SETTLE_SECONDS)
    await fleet.put(address, "/-/control", {})


async def slow_target(harness, rng) -> None:
    """Slows a target so much that answers come after the deadline."""
    fleet = harness.cluster
    name = _pick_target(harness, rng, _keyed(harness))
    address = fleet.target_address(name)
    await fleet.put(address, "/-/control", {"slow_factor": 1000.0})
    await asyncio.sleep(2 * SETTLE_SECONDS)
    await fleet.put(address, "/-/control", {})


async def drain_zone(harness, rng) -> None:
    """Takes an availability zone out and back in."""
    zone = rng.choice(harness.cluster.spec.zones)
    await harness.run_operator_command("zone", "drain", zone)
    await asyncio.sleep(DRAIN_SECONDS)
    await harness.run_operator_command("zone", "restore", zone)


async def drain_target(harness, rng) -> None:
    """Takes a target out and back in."""
    name = _pick_target(harness, rng, _keyed(harness))
    await harness.run_operator_command("target", "drain", name)
    await asyncio.sleep(DRAIN_SECONDS)
    await harness.run_operator_command("target", "restore", name)


async def drain_targets_in_turn(harness, rng) -> None:
    """Takes targets that own keys out and back in, one after the other."""
    names = [
        name
        for name, _, _, service in harness.cluster.targets()
        if service.keyed
    ]
    rng.shuffle(names)
    for name in names:
        await harness.run_operator_command("target", "drain", name)
        await asyncio.sleep(TURN_SECONDS)
        await harness.run_operator_command("target", "restore", name)
        await asyncio.sleep(TURN_SECONDS)


async def restart_gate_gracefully(harness, rng) -> None:
    """Sends SIGTERM to a gate and starts another in its place."""
    vm = _pick_vm(harness, rng)
    await harness.terminate(f"gate:{vm}")
    harness.cluster.start_role("gate", vm)
    await asyncio.sleep(SETTLE_SECONDS)


async def restart_entry_gracefully(harness, rng) -> None:
    """Sends SIGTERM to an entry behind a balancer, and starts another.

    The balancer reads the entry's health and stops to send calls to it while
    it still accepts them.
    """
    vm = _pick_vm(harness, rng)
    address = harness.cluster.entry_address(vm)
    ended = asyncio.create_task(harness.terminate(f"entry:{vm}"))
    await harness.leave_balancer(address)
    await ended
    harness.cluster.start_role("entry", vm)
    await harness.join_balancer(address)
    await asyncio.sleep(SETTLE_SECONDS)


async def lag_vm_list(harness, rng) -> None:
    """Kills a VM that stays listed, then lists it as gone and back."""
    fleet = harness.cluster
    vm = _pick_vm(harness, rng)
    everyone = _vm_rows(fleet, fleet.vms)
    harness.kill_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    rest = _vm_rows(fleet, [v for v in fleet.vms if v != vm])
    await fleet.put(fleet.store_address, "/vms", {"vms": rest})
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    fleet.start_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    await fleet.put(fleet.store_address, "/vms", {"vms": everyone})


def _vm_rows(fleet: cluster.Cluster, vms: list[str]) -> list[dict]:
    return [{"vm": vm, "ip": fleet.vm_ip(vm), "state": "live"} for vm in vms]


ALL: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_target,
        kill_gate,
        kill_gate_and_target,
        kill_vm,
        kill_first_controller,
        pause_gate,
        pause_gate_and_controller,
        freeze_target,
        cut_gate_off,
        cut_gate_from_controllers,
        drain_zone_of_cut_gate,
        cut_gate_inbound,
        cut_gate_outbound,
        cut_controller_off,
        store_down,
        store_slow_while_target_dies,
        lose_store_answers,
        race_operators,
        turn_cold,
        restart_target,
        cross_answers,
        slow_target,
        drain_zone,
        drain_target,
        drain_targets_in_turn,
        restart_gate_gracefully,
        restart_entry_gracefully,
        lag_vm_list,
    )
}
"""Faults by name. store_down_long is run by the proofs only."""
