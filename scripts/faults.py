"""Faults that tests and scripts.prove inject into a running cluster.

A fault is a coroutine function that takes a harness and a random number
generator, which selects the affected processes. It injects the fault, waits and
undoes it where possible; the cluster must then serve all calls again.
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
LINK_CUT_SECONDS = 2.5
SETTLE_SECONDS = 1.0
STORE_DOWN_SECONDS = 4.0
LONG_STORE_DOWN_SECONDS = 60.0
STORE_DELAY_MS = 400.0
DRAIN_SECONDS = 5.5
DRAIN_TURN_SECONDS = 0.5


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


def _keyed_service_names(harness: history.Harness) -> tuple[str, ...]:
    return tuple(
        service.name
        for service in harness.cluster.spec.services
        if service.keyed
    )


async def kill_target(harness, rng) -> None:
    """Kills a target that owns keys and starts it again."""
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    harness.kill(f"target:{name}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_target(name)


async def kill_gate(harness, rng) -> None:
    """Kills a gate and starts it again."""
    vm = _pick_vm(harness, rng)
    harness.kill(f"gate:{vm}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("gate", vm)


async def kill_gate_and_target(harness, rng) -> None:
    """Kills a gate and a target of a keyed service that the gate holds."""
    pairs = []
    for vm in harness.cluster.vms:
        gate = await harness.cluster.status("gate", vm)
        held_targets = [
            n
            for n in gate["targets"]
            if n.startswith(_keyed_service_names(harness))
        ]
        pairs += [(vm, name) for name in sorted(held_targets)]
    vm, target_name = rng.choice(pairs)
    harness.kill(f"gate:{vm}")
    harness.kill(f"target:{target_name}")
    await asyncio.sleep(2 * LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("gate", vm)
    harness.cluster.start_target(target_name)


async def kill_vm(harness, rng) -> None:
    """Kills all processes of a VM and starts them again."""
    vm = _pick_vm(harness, rng)
    harness.kill_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_vm(vm)


async def kill_first_controller(harness, rng) -> None:
    """Kills the controller that makes the plans and starts it again."""
    del rng
    vm = harness.cluster.vms[0]
    harness.kill(f"controller:{vm}")
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    harness.cluster.start_role("controller", vm)


async def pause_gate(harness, rng) -> None:
    """Pauses a gate for longer than its lease.

    When it resumes, the gate must not send calls under the expired lease.
    """
    vm = _pick_vm(harness, rng)
    await harness.pause(f"gate:{vm}", LONGER_THAN_LEASE_SECONDS)


async def pause_gate_and_controller(harness, rng) -> None:
    """Pauses a gate together with the controller that makes the plans."""
    await asyncio.gather(
        pause_gate(harness, rng),
        harness.pause(
            f"controller:{harness.cluster.vms[0]}", LONGER_THAN_LEASE_SECONDS
        ),
    )


async def freeze_target(harness, rng) -> None:
    """Pauses a target that owns keys, then resumes it."""
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    await harness.pause(f"target:{name}", LONGER_THAN_LEASE_SECONDS)


async def _apply_link_faults(
    harness, role: str, vm: str, document: dict
) -> None:
    local_cluster = harness.cluster
    address = local_cluster.admin_address(role, vm)
    await local_cluster.put(address, "/faults", document)
    await asyncio.sleep(LINK_CUT_SECONDS)
    await local_cluster.put(address, "/faults", {})


async def cut_gate_off(harness, rng) -> None:
    """Cuts all links of a gate in both directions."""
    vm = _pick_vm(harness, rng)
    await _apply_link_faults(
        harness, "gate", vm, {"drop_from": ["*:*"], "drop_to": ["*:*"]}
    )


async def cut_gate_from_controllers(harness, rng) -> None:
    """Cuts a gate's links to controllers and other gates.

    Entries still send calls to it.
    """
    vm = _pick_vm(harness, rng)
    peers = ["controller:*", "gate:*"]
    await _apply_link_faults(
        harness, "gate", vm, {"drop_from": peers, "drop_to": peers}
    )


async def drain_zone_of_cut_gate(harness, rng) -> None:
    """Drains the zone of a gate that does not receive the new plan.

    The gate is cut off from controllers and other gates. Some entries are cut
    off from the controllers, keep the old plan and still send calls to the
    gate. The new plan assigns the gate's targets to another gate, which
    receives the calls of the other entries.
    """
    local_cluster = harness.cluster
    vm = _pick_vm(harness, rng)
    peers = ["controller:*", "gate:*"]
    stale_entry_vms = local_cluster.vms[::2]
    for entry_vm in stale_entry_vms:
        address = local_cluster.admin_address("entry", entry_vm)
        await local_cluster.put(
            address, "/faults", {"drop_from": ["controller:*"]}
        )
    await asyncio.gather(
        _apply_link_faults(
            harness, "gate", vm, {"drop_from": peers, "drop_to": peers}
        ),
        harness.run_operator_command(
            "zone", "drain", local_cluster.zone_of(vm)
        ),
    )
    for entry_vm in stale_entry_vms:
        await local_cluster.put(
            local_cluster.admin_address("entry", entry_vm), "/faults", {}
        )
    await harness.run_operator_command(
        "zone", "restore", local_cluster.zone_of(vm)
    )


async def cut_gate_inbound(harness, rng) -> None:
    """Drops all messages to a gate, but none that it sends."""
    vm = _pick_vm(harness, rng)
    await _apply_link_faults(harness, "gate", vm, {"drop_from": ["*:*"]})


async def cut_gate_outbound(harness, rng) -> None:
    """Drops all messages that a gate sends, but none sent to it."""
    vm = _pick_vm(harness, rng)
    await _apply_link_faults(harness, "gate", vm, {"drop_to": ["*:*"]})


async def cut_controller_off(harness, rng) -> None:
    """Cuts all links of the controller that makes the plans."""
    del rng
    vm = harness.cluster.vms[0]
    document = {"drop_from": ["*:*"], "drop_to": ["*:*"]}
    await _apply_link_faults(harness, "controller", vm, document)


async def _apply_store_faults(harness, seconds: float, document: dict) -> None:
    local_cluster = harness.cluster
    await local_cluster.put(local_cluster.store_address, "/faults", document)
    await asyncio.sleep(seconds)
    await local_cluster.put(local_cluster.store_address, "/faults", {})


async def store_down(harness, rng) -> None:
    """Makes the store unavailable for a few seconds."""
    del rng
    await _apply_store_faults(harness, STORE_DOWN_SECONDS, {"down": True})


async def store_down_long(harness, rng) -> None:
    """Makes the store unavailable for a minute."""
    del rng
    await _apply_store_faults(harness, LONG_STORE_DOWN_SECONDS, {"down": True})


async def store_slow_while_target_dies(harness, rng) -> None:
    """Delays the store's responses while a target is down."""
    delay = {"delay_ms": STORE_DELAY_MS}
    await asyncio.gather(
        _apply_store_faults(harness, STORE_DOWN_SECONDS, delay),
        kill_target(harness, rng),
    )


async def lose_store_answers(harness, rng) -> None:
    """Drops store responses to writes that took effect.

    Affects writes by the operator and by the controller that makes the plans.
    """
    local_cluster = harness.cluster
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    await local_cluster.put(
        local_cluster.store_address, "/faults", {"lose_answers": 3}
    )
    await harness.run_operator_command("target", "drain", name)
    await asyncio.sleep(SETTLE_SECONDS)
    await harness.run_operator_command("target", "restore", name)
    await local_cluster.put(local_cluster.store_address, "/faults", {})


async def race_operators(harness, rng) -> None:
    """Applies two concurrent changes that are based on the same version.

    Raises:
        RuntimeError: Not exactly one of them succeeded.
    """
    del rng
    local_cluster = harness.cluster
    status_result = await local_cluster.run_command("status", "--json")
    version = _parse_accepted_version(status_result[1])
    command_results = await asyncio.gather(
        local_cluster.run_command(
            "apply", "manifest.toml", "--base", str(version)
        ),
        local_cluster.run_command(
            "apply", "manifest.toml", "--base", str(version)
        ),
    )
    exit_statuses = [exit_status for exit_status, _ in command_results]
    expected = {status.ExitStatus.SUCCESS, status.ExitStatus.CONFLICT}
    if set(exit_statuses) != expected:
        raise RuntimeError(
            f"expected one success and one conflict: {command_results}"
        )
    await harness.record_accepted_config()


def _parse_accepted_version(json_text: str) -> int:
    return json.loads(json_text)["accepted_version"]


async def turn_cold(harness, rng) -> None:
    """Makes a target cold without notifying its gate."""
    local_cluster = harness.cluster
    names = tuple(s.name for s in local_cluster.spec.services)
    name = _pick_target(harness, rng, names)
    address = local_cluster.target_address(name)
    await local_cluster.put(address, "/-/control", {"cold": True})
    await asyncio.sleep(SETTLE_SECONDS)


async def restart_target(harness, rng) -> None:
    """Restarts a target so quickly that no probe detects the restart."""
    names = tuple(s.name for s in harness.cluster.spec.services)
    name = _pick_target(harness, rng, names)
    harness.kill(f"target:{name}")
    harness.cluster.start_target(name)
    await asyncio.sleep(SETTLE_SECONDS)


async def cross_answers(harness, rng) -> None:
    """Makes a target return answers that name another call."""
    local_cluster = harness.cluster
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    address = local_cluster.target_address(name)
    await local_cluster.put(address, "/-/control", {"cross_answers": True})
    await asyncio.sleep(SETTLE_SECONDS)
    await local_cluster.put(address, "/-/control", {})


async def slow_target(harness, rng) -> None:
    """Slows a target so that it answers after the deadline of the call."""
    local_cluster = harness.cluster
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    address = local_cluster.target_address(name)
    await local_cluster.put(address, "/-/control", {"slow_factor": 1000.0})
    await asyncio.sleep(2 * SETTLE_SECONDS)
    await local_cluster.put(address, "/-/control", {})


async def drain_zone(harness, rng) -> None:
    """Drains an availability zone and restores it."""
    zone = rng.choice(harness.cluster.spec.zones)
    await harness.run_operator_command("zone", "drain", zone)
    await asyncio.sleep(DRAIN_SECONDS)
    await harness.run_operator_command("zone", "restore", zone)


async def drain_target(harness, rng) -> None:
    """Drains a target that owns keys and restores it."""
    name = _pick_target(harness, rng, _keyed_service_names(harness))
    await harness.run_operator_command("target", "drain", name)
    await asyncio.sleep(DRAIN_SECONDS)
    await harness.run_operator_command("target", "restore", name)


async def drain_targets_in_turn(harness, rng) -> None:
    """Drains and restores each target of the keyed services in turn."""
    names = [
        name
        for name, _, _, service in harness.cluster.targets()
        if service.keyed
    ]
    rng.shuffle(names)
    for name in names:
        await harness.run_operator_command("target", "drain", name)
        await asyncio.sleep(DRAIN_TURN_SECONDS)
        await harness.run_operator_command("target", "restore", name)
        await asyncio.sleep(DRAIN_TURN_SECONDS)


async def restart_gate_gracefully(harness, rng) -> None:
    """Sends SIGTERM to a gate, waits for its exit and starts it again."""
    vm = _pick_vm(harness, rng)
    await harness.terminate(f"gate:{vm}")
    harness.cluster.start_role("gate", vm)
    await asyncio.sleep(SETTLE_SECONDS)


async def restart_entry_gracefully(harness, rng) -> None:
    """Sends SIGTERM to an entry behind a load balancer and starts it again.

    The load balancer checks the entry's health and stops sending calls to it
    while the entry still accepts them.
    """
    vm = _pick_vm(harness, rng)
    address = harness.cluster.entry_address(vm)
    termination = asyncio.create_task(harness.terminate(f"entry:{vm}"))
    await harness.remove_from_balancer(address)
    await termination
    harness.cluster.start_role("entry", vm)
    await harness.add_to_balancer(address)
    await asyncio.sleep(SETTLE_SECONDS)


async def lag_vm_list(harness, rng) -> None:
    """Kills and restarts a VM while the VM list lags behind.

    The list still contains the VM after its loss, and does not yet contain it
    when its processes run again.
    """
    local_cluster = harness.cluster
    vm = _pick_vm(harness, rng)
    all_rows = _vm_rows(local_cluster, local_cluster.vms)
    harness.kill_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    remaining_rows = _vm_rows(
        local_cluster, [v for v in local_cluster.vms if v != vm]
    )
    await local_cluster.put(
        local_cluster.store_address, "/vms", {"vms": remaining_rows}
    )
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    local_cluster.start_vm(vm)
    await asyncio.sleep(LONGER_THAN_LEASE_SECONDS)
    await local_cluster.put(
        local_cluster.store_address, "/vms", {"vms": all_rows}
    )


def _vm_rows(local_cluster: cluster.Cluster, vms: list[str]) -> list[dict]:
    return [
        {"vm": vm, "ip": local_cluster.vm_ip(vm), "state": "live"} for vm in vms
    ]


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
"""Faults by name, without store_down_long, which only scripts.prove runs."""
