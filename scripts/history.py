"""Records what a test or the demo does, and checks the whole history."""

import asyncio
import pathlib
import signal

from jujubeyard.events import checker
from jujubeyard.events import findings
from jujubeyard.events import kinds
from jujubeyard.events import timeline
from jujubeyard.store import client
from jujubeyard.store import config_writer
from scripts import addresses
from scripts import cluster
from scripts import specs

HEALTHY = 200


class Harness:
    """A cluster with recorded faults, operations and callers.

    Attributes:
        cluster: The cluster.
        history: The harness's own events.
        entries: Addresses of the entries that the balancer sends calls to.
    """

    def __init__(self, spec: specs.ClusterSpec, directory: pathlib.Path):
        self.cluster = cluster.Cluster(spec, directory)
        self.entries = [
            self.cluster.entry_address(vm) for vm in self.cluster.vms
        ]
        self.history = timeline.Timeline(
            "harness", directory / "events" / "harness.jsonl"
        )

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.cluster.kill(name)
        self.history.add(kinds.EventKind.PROCESS_KILLED, name=name)

    def kill_vm(self, vm: str) -> None:
        """Kills the processes of a VM."""
        self.cluster.kill_vm(vm)
        for role in addresses.ADMIN_PORTS:
            self.history.add(
                kinds.EventKind.PROCESS_KILLED, name=f"{role}:{vm}"
            )

    async def terminate(self, name: str) -> int:
        """Sends SIGTERM to a process and waits for its end."""
        self.history.add(kinds.EventKind.PROCESS_TERMINATED, name=name)
        return await asyncio.to_thread(self.cluster.terminate, name)

    async def pause(self, name: str, seconds: float) -> None:
        """Stops a process for a time, then lets it go on."""
        self.history.add(kinds.EventKind.PROCESS_PAUSED, name=name)
        self.cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.cluster.signal(name, signal.SIGCONT)

    async def leave_balancer(self, address: str) -> None:
        """Waits until an entry reports bad health, and sends it no calls."""

        async def is_unwell() -> bool:
            return await self.cluster.get_status_code(address) != HEALTHY

        await self.cluster.wait_until(is_unwell, 10.0, "the entry leaves")
        if address in self.entries:
            self.entries.remove(address)

    async def join_balancer(self, address: str) -> None:
        """Waits until an entry reports good health, and sends it calls."""

        async def is_well() -> bool:
            return await self.cluster.get_status_code(address) == HEALTHY

        await self.cluster.wait_until(is_well, 10.0, "the entry joins")
        self.entries.append(address)

    async def run_operator_command(self, *args: str) -> str:
        """Runs an operator's command and records what was accepted.

        Raises:
            RuntimeError: The command failed.
        """
        outcome, text = await self.cluster.command(*args)
        if outcome:
            raise RuntimeError(text)
        await self.record_accepted()
        return text

    async def record_accepted(self) -> None:
        """Records the configuration that is in the store."""
        store = client.StoreClient(self.cluster.store_address)
        writer = config_writer.ConfigWriter(store, self.cluster.spec.name)
        current = await writer.read()
        await store.close()
        record = current.record
        self.history.add(
            kinds.EventKind.CONFIG_ACCEPTED,
            version=record.version,
            drained_zones=record.drained_zones,
            drained_targets=record.drained_targets,
        )

    def read_history(self) -> list[dict]:
        """Returns the merged history of all processes."""
        return timeline.read_files(self.cluster.event_files())

    def rules(self) -> findings.Rules:
        """Returns what the checker has to know."""
        rows = self.cluster.targets()
        return findings.Rules(
            {name: zone for name, zone, _, _ in rows},
            {name: service.slots for name, _, _, service in rows},
        )

    def check(self) -> list[findings.Violation]:
        """Checks the whole history."""
        return checker.check(self.read_history(), self.rules())
