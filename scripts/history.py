"""Records the faults and operations of a test run and checks its events."""

import asyncio
import pathlib
import signal

from jujubeyard import clock
from jujubeyard.events import checker
from jujubeyard.events import findings
from jujubeyard.events import kinds
from jujubeyard.events import timeline
from jujubeyard.store import config_writer
from jujubeyard.store import etcd_client
from scripts import addresses
from scripts import cluster
from scripts import specs

HEALTHY_STATUS_CODE = 200
CONFIG_READ_SECONDS = 10.0
"""Longest time for reading a configuration that was accepted."""


class Harness:
    """A cluster whose faults, operations and calls are recorded.

    It also acts as the load balancer in front of the entries.

    Attributes:
        cluster: The cluster under test.
        history: Events that the harness itself records.
        entries: Addresses of the entries that receive calls.
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
        """Kills a process and records it."""
        self.cluster.kill(name)
        self.history.add(kinds.EventKind.PROCESS_KILLED, name=name)

    def kill_vm(self, vm: str) -> None:
        """Kills the processes of a VM and records each."""
        self.cluster.kill_vm(vm)
        for role in addresses.ADMIN_PORTS:
            self.history.add(
                kinds.EventKind.PROCESS_KILLED, name=f"{role}:{vm}"
            )

    async def terminate(self, name: str) -> int:
        """Sends SIGTERM to a process, waits and returns its exit status."""
        self.history.add(kinds.EventKind.PROCESS_TERMINATED, name=name)
        return await asyncio.to_thread(self.cluster.terminate, name)

    async def pause(self, name: str, seconds: float) -> None:
        """Suspends a process with SIGSTOP for some seconds, then resumes it."""
        self.history.add(kinds.EventKind.PROCESS_PAUSED, name=name)
        self.cluster.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.cluster.send_signal(name, signal.SIGCONT)

    async def remove_from_balancer(self, address: str) -> None:
        """Waits until an entry reports unhealthy, then sends it no calls."""

        async def is_unhealthy() -> bool:
            return (
                await self.cluster.get_health_status(address)
                != HEALTHY_STATUS_CODE
            )

        await self.cluster.wait_until(
            is_unhealthy, 10.0, "the entry to report unhealthy"
        )
        if address in self.entries:
            self.entries.remove(address)

    async def add_to_balancer(self, address: str) -> None:
        """Waits until an entry reports healthy, then sends it calls."""

        async def is_healthy() -> bool:
            return (
                await self.cluster.get_health_status(address)
                == HEALTHY_STATUS_CODE
            )

        await self.cluster.wait_until(
            is_healthy, 10.0, "the entry to report healthy"
        )
        self.entries.append(address)

    async def run_operator_command(self, *args: str) -> str:
        """Runs a command line command and records the accepted configuration.

        Args:
            *args: Arguments of the command line.

        Returns:
            Output of the command.

        Raises:
            RuntimeError: The command failed.
        """
        exit_status, output = await self.cluster.run_command(*args)
        if exit_status:
            raise RuntimeError(output)
        await self.record_accepted_config()
        return output

    async def record_accepted_config(self) -> None:
        """Reads the configuration from the store and records its acceptance.

        It counts as accepted from now on, also if the read takes long.
        """
        accepted_at = clock.hybrid_clock.now()
        store = etcd_client.EtcdClient(
            self.cluster.store_address, CONFIG_READ_SECONDS
        )
        writer = config_writer.ConfigWriter(store, self.cluster.spec.name)
        current = await writer.read()
        await store.close()
        record = current.record
        self.history.add(
            kinds.EventKind.CONFIG_ACCEPTED,
            clock=accepted_at,
            version=record.version,
            drained_zones=record.drained_zones,
            drained_targets=record.drained_targets,
        )

    def read_history(self) -> list[dict]:
        """Returns the events of all processes in one list."""
        return timeline.read_histories(self.cluster.list_event_files())

    def cluster_info(self) -> findings.ClusterInfo:
        """Returns the zone and slots of each target, for the checker."""
        rows = self.cluster.targets()
        return findings.ClusterInfo(
            {name: zone for name, zone, _, _ in rows},
            {name: service.slots for name, _, _, service in rows},
        )

    def check_history(self) -> list[findings.Violation]:
        """Returns the violations that the checker finds in all events."""
        return checker.check(self.read_history(), self.cluster_info())
