"""Tables of a controller: what it has heard, and when."""

import dataclasses

from jujubeyard.link import messages
from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables as plan_tables

PEER_LOST_BEATS = 3.0
"""Missing heartbeats after which a controller counts as lost."""

HEARD_SECONDS = 0.5
"""Silence after which a controller is not counted as heard. Shorter than the
others, so that one that is cut off notices before it takes gates for lost."""

GATE_LOST_SECONDS = 0.9
"""Silence after which a gate counts as lost."""

VM_GONE_SECONDS = 5.0
"""How long the VM list must have missed a VM before it counts as gone."""


@dataclasses.dataclass(slots=True)
class PeerRow:
    """Another controller, from its latest heartbeat."""

    beat: messages.Heartbeat
    heard_at: float


@dataclasses.dataclass(slots=True)
class GateRow:
    """A gate, from its latest renewal."""

    renew: messages.Renew
    heard_at: float
    loads: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class VmRow:
    """A VM of the platform's list.

    Attributes:
        vm: Its name.
        address: Its IP number.
        missed_since: Since when the list has missed it, or None.
    """

    vm: str
    address: str
    missed_since: float | None = None


@dataclasses.dataclass(slots=True)
class Tables:
    """All that a controller has heard.

    Attributes:
        peers: Other controllers, by name.
        gates: Gates, by holder.
        vms: VMs, by name.
    """

    peers: dict[str, PeerRow] = dataclasses.field(default_factory=dict)
    gates: dict[str, GateRow] = dataclasses.field(default_factory=dict)
    vms: dict[str, VmRow] = dataclasses.field(default_factory=dict)

    def live_peers(self, now: float) -> list[messages.Heartbeat]:
        """Returns the heartbeats of controllers that are alive."""
        return [
            row.beat
            for row in self.peers.values()
            if now - row.heard_at < PEER_LOST_BEATS * row.beat.interval
        ]

    def heard_vms(self, now: float) -> frozenset[str]:
        """Returns VMs whose controllers have just been heard."""
        return frozenset(
            plan_tables.vm_of(name)
            for name, row in self.peers.items()
            if now - row.heard_at < HEARD_SECONDS
        )

    def listed_vms(self) -> frozenset[str]:
        """Returns VMs that the platform lists."""
        return frozenset(
            row.vm for row in self.vms.values() if row.missed_since is None
        )

    def live_gates(self, now: float) -> dict[str, cluster_state.GateView]:
        """Returns views of the gates that are alive, by holder."""
        return {
            holder: _view(row.renew)
            for holder, row in self.gates.items()
            if now - row.heard_at < GATE_LOST_SECONDS
        }

    def gone_vms(self, now: float) -> frozenset[str]:
        """Returns VMs that the platform has stopped to list."""
        return frozenset(
            row.vm
            for row in self.vms.values()
            if row.missed_since is not None
            and now - row.missed_since >= VM_GONE_SECONDS
        )

    def shard_loads(self, now: float) -> dict[str, dict[int, float]]:
        """Returns weighted calls per second by service and shard."""
        loads: dict[str, dict[int, float]] = {}
        for row in self.gates.values():
            if now - row.heard_at >= GATE_LOST_SECONDS:
                continue
            for service, shard, load in row.loads:
                by_shard = loads.setdefault(service, {})
                by_shard[shard] = by_shard.get(shard, 0.0) + load
        return loads

    def purge(self, now: float, seconds: float) -> None:
        """Drops rows that have been silent for long."""
        for table in (self.peers, self.gates):
            for name in list(table):
                if now - table[name].heard_at > seconds:
                    del table[name]

    def update_vms(self, listed: dict[str, str], now: float) -> None:
        """Takes in an answer of the VM list.

        Args:
            listed: IP numbers by VM.
            now: The time.
        """
        for vm, address in listed.items():
            self.vms[vm] = VmRow(vm, address)
        for row in self.vms.values():
            if row.vm not in listed and row.missed_since is None:
                row.missed_since = now


def _view(renew: messages.Renew) -> cluster_state.GateView:
    return cluster_state.GateView(
        renew.holder,
        renew.zone,
        renew.address,
        renew.plan_version,
        renew.settled_version,
        renew.leaving,
        frozenset(renew.lost),
    )
