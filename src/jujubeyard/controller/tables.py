"""State that a controller receives, with the times of receipt."""

import dataclasses

from jujubeyard.link import messages
from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables as plan_tables

PEER_TIMEOUT_HEARTBEATS = 3.0
"""Missed heartbeats after which a controller counts as lost."""

REACHABLE_TIMEOUT_SECONDS = 0.5
"""Time without a heartbeat after which a controller is unreachable. Shorter
than the other timeouts, so that a partitioned controller loses its quorum
before gates count as lost."""

GATE_TIMEOUT_SECONDS = 0.9
"""Time without a renewal after which a gate counts as lost."""

VM_GONE_SECONDS = 5.0
"""How long a VM must be absent from the VM list before it counts as gone."""


@dataclasses.dataclass(slots=True)
class PeerRow:
    """Latest heartbeat of another controller.

    Attributes:
        heartbeat: The heartbeat.
        received_at: When it was received.
    """

    heartbeat: messages.Heartbeat
    received_at: float


@dataclasses.dataclass(slots=True)
class GateRow:
    """Latest renewal of a gate.

    Attributes:
        renew: The renewal.
        received_at: When it was received.
        loads: Latest shard loads; not every renewal has them.
    """

    renew: messages.Renew
    received_at: float
    loads: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class VmRow:
    """A VM that the platform lists or has listed.

    Attributes:
        vm: Name of the VM.
        address: IP address of the VM.
        unlisted_since: When the list first lacked the VM; None if listed.
    """

    vm: str
    address: str
    unlisted_since: float | None = None


@dataclasses.dataclass(slots=True)
class Tables:
    """All state that a controller has received.

    Attributes:
        peers: Other controllers, by name.
        gates: Gates, by holder.
        vms: VMs, by name.
    """

    peers: dict[str, PeerRow] = dataclasses.field(default_factory=dict)
    gates: dict[str, GateRow] = dataclasses.field(default_factory=dict)
    vms: dict[str, VmRow] = dataclasses.field(default_factory=dict)

    def live_peers(self, now: float) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of the other live controllers."""
        return [
            row.heartbeat
            for row in self.peers.values()
            if now - row.received_at
            < PEER_TIMEOUT_HEARTBEATS * row.heartbeat.interval
        ]

    def reachable_vms(self, now: float) -> frozenset[str]:
        """Returns the VMs whose controllers sent a recent heartbeat."""
        return frozenset(
            plan_tables.vm_of(name)
            for name, row in self.peers.items()
            if now - row.received_at < REACHABLE_TIMEOUT_SECONDS
        )

    def listed_vms(self) -> frozenset[str]:
        """Returns the VMs that the platform lists."""
        return frozenset(
            row.vm for row in self.vms.values() if row.unlisted_since is None
        )

    def live_gates(self, now: float) -> dict[str, cluster_state.GateView]:
        """Returns views of the live gates, by holder."""
        return {
            holder: _make_gate_view(row.renew)
            for holder, row in self.gates.items()
            if now - row.received_at < GATE_TIMEOUT_SECONDS
        }

    def gone_vms(self, now: float) -> frozenset[str]:
        """Returns the VMs that the platform no longer lists."""
        return frozenset(
            row.vm
            for row in self.vms.values()
            if row.unlisted_since is not None
            and now - row.unlisted_since >= VM_GONE_SECONDS
        )

    def shard_loads(self, now: float) -> dict[str, dict[int, float]]:
        """Returns weighted calls per second, by service and shard."""
        loads: dict[str, dict[int, float]] = {}
        for row in self.gates.values():
            if now - row.received_at >= GATE_TIMEOUT_SECONDS:
                continue
            for service, shard, load in row.loads:
                by_shard = loads.setdefault(service, {})
                by_shard[shard] = by_shard.get(shard, 0.0) + load
        return loads

    def purge(self, now: float, seconds: float) -> None:
        """Drops rows of peers and gates that have sent nothing for a time."""
        for table in (self.peers, self.gates):
            for name in list(table):
                if now - table[name].received_at > seconds:
                    del table[name]

    def update_vms(self, listed: dict[str, str], now: float) -> None:
        """Updates the VMs from the platform's VM list.

        Args:
            listed: IP addresses by VM name.
            now: The current time.
        """
        for vm, address in listed.items():
            self.vms[vm] = VmRow(vm, address)
        for row in self.vms.values():
            if row.vm not in listed and row.unlisted_since is None:
                row.unlisted_since = now


def _make_gate_view(renew: messages.Renew) -> cluster_state.GateView:
    return cluster_state.GateView(
        renew.holder,
        renew.zone,
        renew.address,
        renew.plan_version,
        renew.settled_version,
        renew.leaving,
        frozenset(renew.lost),
    )
