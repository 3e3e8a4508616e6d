"""Runs a cluster of local processes on loopback addresses."""

import asyncio
import io
import os
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp

from jujubeyard import context
from jujubeyard import status
from jujubeyard.cli import core
from scripts import addresses
from scripts import fleet_files
from scripts import specs

POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 10.0
LOG_TAIL_CHARACTERS = 500
"""Length of the log tail that is shown for a process that has exited."""

STATUS_FIELDS_IN_ERRORS = (
    "plan_version",
    "config_version",
    "settled_version",
    "moving",
    "rank",
    "hears_enough",
    "lease_seconds",
    "targets",
    "leaving",
)
"""Fields of a process's status that are shown when a wait times out."""


class Cluster:
    """A cluster of local processes.

    Attributes:
        spec: Description of the cluster.
        directory: Where settings, logs and event files are written.
        processes: Running processes by name, such as "gate:vm-1".
        vms: Names of the VMs.
    """

    def __init__(self, spec: specs.ClusterSpec, directory: pathlib.Path):
        """Writes the manifest and settings files; starts no process.

        Args:
            spec: Description of the cluster.
            directory: Where files are written; created if missing.
        """
        self.spec = spec
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        self.vms = [f"vm-{number}" for number in range(spec.vms)]
        address_bits = (os.getpid() + time.time_ns()) & 0xFFFF
        self._prefix = (
            f"127.{16 + (address_bits >> 8) % 200}.{address_bits & 0xFF}"
        )
        self._restarts = 0
        directory.mkdir(parents=True, exist_ok=True)
        (directory / "events").mkdir(exist_ok=True)
        fleet_files.ClusterFiles(self).write_all()

    # Addresses.

    def vm_ip(self, vm: str) -> str:
        """Returns the IP address of a VM."""
        return (
            f"{self._prefix}."
            f"{addresses.FIRST_VM_OCTET + int(vm.partition('-')[2])}"
        )

    def zone_of(self, vm: str) -> str:
        """Returns the availability zone of a VM."""
        zones = self.spec.zones
        return zones[int(vm.partition("-")[2]) % len(zones)]

    def entry_address(self, vm: str) -> str:
        """Returns the address on which a VM's entry accepts calls."""
        return f"{self.vm_ip(vm)}:{addresses.ENTRY_PORT}"

    def admin_address(self, role: str, vm: str) -> str:
        """Returns the admin address of the process with a role on a VM."""
        return f"{self.vm_ip(vm)}:{addresses.ADMIN_PORTS[role]}"

    @property
    def store_address(self) -> str:
        """The address of the stand-in store."""
        return f"{self._prefix}.1:{addresses.STORE_PORT}"

    def targets(self) -> list[tuple[str, str, str, specs.ServiceSpec]]:
        """Returns the name, zone, address and service of each target."""
        rows = []
        for service in self.spec.services:
            for number in range(service.targets):
                zone = self.spec.zones[number % len(self.spec.zones)]
                ip = (
                    f"{self._prefix}.{addresses.FIRST_TARGET_OCTET + len(rows)}"
                )
                name = f"{service.name}-{number}"
                rows.append(
                    (name, zone, f"{ip}:{addresses.TARGET_PORT}", service)
                )
        return rows

    def target_address(self, name: str) -> str:
        """Returns the address of a target."""
        return next(row[2] for row in self.targets() if row[0] == name)

    # Starting and stopping.

    def start(self) -> None:
        """Starts all processes."""
        self.start_process("store", "jujubeyard.standins.store")
        for name, _, _, _ in self.targets():
            self.start_target(name)
        for vm in self.vms:
            self.start_vm(vm)

    def start_vm(self, vm: str) -> None:
        """Starts the controller, gate and entry of a VM."""
        for role in ("controller", "gate", "entry"):
            self.start_role(role, vm)

    def start_role(self, role: str, vm: str) -> None:
        """Starts the process with a role on a VM."""
        self.start_process(f"{role}:{vm}", f"jujubeyard.{role}")

    def start_target(self, name: str) -> None:
        """Starts a stand-in target."""
        self.start_process(f"target:{name}", "jujubeyard.standins.target")

    def start_process(self, name: str, module: str) -> None:
        """Starts a module as a process.

        The settings file is named after the process, with ":" replaced by "_".
        """
        settings = self.directory / f"{name.replace(':', '_')}.toml"
        log = (self.directory / f"{settings.stem}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, "--settings-file", str(settings)],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Sends SIGKILL to a process and waits until it exits."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def kill_vm(self, vm: str) -> None:
        """Kills all processes of a VM, then waits until they exit."""
        names = [f"{role}:{vm}" for role in addresses.ADMIN_PORTS]
        processes = [
            self.processes.pop(n) for n in names if n in self.processes
        ]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    def terminate(self, name: str) -> int:
        """Sends SIGTERM to a process, waits and returns its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=60)

    def stop(self) -> None:
        """Kills all processes that this object started, also paused ones."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=STOP_TIMEOUT_SECONDS)
        self.processes.clear()

    def __enter__(self) -> "Cluster":
        self.start()
        return self

    def __exit__(self, *_) -> None:
        self.stop()

    # Commands and admin requests.

    def run_command_blocking(self, *args: str) -> tuple[status.ExitStatus, str]:
        """Runs the command line tool.

        Returns:
            The exit status and the output, stderr after stdout.
        """
        stdout = io.StringIO()
        stderr = io.StringIO()
        env = context.Environment(stdout, stderr, self.directory)
        exit_status = core.main(list(args), env)
        return exit_status, stdout.getvalue() + stderr.getvalue()

    async def run_command(self, *args: str) -> tuple[status.ExitStatus, str]:
        """Runs the command line tool in a thread; see run_command_blocking."""
        return await asyncio.to_thread(self.run_command_blocking, *args)

    async def put(self, address: str, path: str, document: dict) -> None:
        """Sends a JSON document to a stand-in or an admin port.

        Raises:
            aiohttp.ClientError: The request failed or was rejected.
        """
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{address}{path}", json=document) as resp,
        ):
            resp.raise_for_status()

    async def get(self, address: str, path: str) -> dict | None:
        """Reads a JSON document; returns None if the request fails."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{address}{path}") as resp,
            ):
                return await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def get_health_status(self, address: str) -> int:
        """Returns the HTTP status of an entry's health check, 0 on failure."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{address}/-/health") as resp,
            ):
                return resp.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def status(self, role: str, vm: str) -> dict | None:
        """Returns the status of a process; None if the request fails."""
        return await self.get(self.admin_address(role, vm), "/status")

    async def wait_until(
        self, condition, seconds: float, description: str
    ) -> None:
        """Polls until a condition holds.

        Args:
            condition: A coroutine function; a true result ends the wait.
            seconds: Time limit.
            description: The condition in words, for the error message.

        Raises:
            TimeoutError: The condition did not hold within the time limit.
        """
        deadline = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > deadline:
                details = "\n".join(await self.describe_processes())
                raise TimeoutError(
                    f"timed out after {seconds} s waiting for {description}\n"
                    f"{details}"
                )
            await asyncio.sleep(POLL_SECONDS)

    async def describe_processes(self) -> list[str]:
        """Returns a line per process: its status, or its exit code and log."""
        lines = []
        for name, process in sorted(self.processes.items()):
            role, _, vm = name.partition(":")
            if process.poll() is not None:
                log = self._last_log(name)
                line = f"exited with {process.returncode}: {log}"
            elif role in addresses.ADMIN_PORTS:
                line = _format_status(await self.status(role, vm))
            else:
                line = "running"
            lines.append(f"{name}: {line}")
        return lines

    def _last_log(self, name: str) -> str:
        path = self.directory / f"{name.replace(':', '_')}.log"
        return path.read_text(encoding="utf-8").strip()[-LOG_TAIL_CHARACTERS:]

    async def wait_for_processes(self, seconds: float = 30.0) -> None:
        """Waits until all processes report a status and the store answers."""

        async def are_processes_up() -> bool:
            for name in list(self.processes):
                role, _, vm = name.partition(":")
                if role in addresses.ADMIN_PORTS and not await self.status(
                    role, vm
                ):
                    return False
            return await self.get(self.store_address, "/calls") is not None

        await self.wait_until(
            are_processes_up, seconds, "all processes to be up"
        )

    async def wait_for_settled_plan(
        self, seconds: float = 30.0, vms: list[str] | None = None
    ) -> None:
        """Waits until the newest plan is in force and no shard is moving.

        Args:
            seconds: Time limit.
            vms: VMs whose processes are checked; all by default.
        """
        vms = self.vms if vms is None else vms

        async def is_plan_settled() -> bool:
            return await self._is_plan_settled(vms)

        await self.wait_until(
            is_plan_settled, seconds, "the plan to be settled"
        )

    async def _is_plan_settled(self, vms: list[str]) -> bool:
        version = 0
        for vm in vms:
            controller = await self.status("controller", vm)
            if not controller or controller["moving"]:
                return False
            version = max(version, controller["plan_version"])
        for vm in vms:
            gate = await self.status("gate", vm)
            if not gate or gate["settled_version"] != version or not version:
                return False
            entry = await self.status("entry", vm)
            if not entry or entry["plan_version"] != version:
                return False
        return True

    async def wait_for_warm_targets(self, seconds: float) -> None:
        """Waits until gates give all targets their full slots.

        Returns without an error when the time limit passes first.
        """
        deadline = time.monotonic() + seconds
        while (
            time.monotonic() < deadline and not await self._are_targets_warm()
        ):
            await asyncio.sleep(POLL_SECONDS)

    async def _are_targets_warm(self) -> bool:
        limits: dict[str, int] = {}
        for vm in self.vms:
            gate = await self.status("gate", vm)
            for name, target in (gate or {"targets": {}})["targets"].items():
                limits[name] = target["limit"]
        return all(
            limits.get(name, 0) >= service.slots
            for name, _, _, service in self.targets()
        )

    async def bring_up(self) -> None:
        """Waits for the processes, applies the manifest, waits for its plan.

        Raises:
            RuntimeError: The manifest was not accepted.
            TimeoutError: The cluster did not come up in time.
        """
        await self.wait_for_processes()
        exit_status, output = await self.run_command("apply", "manifest.toml")
        if exit_status is not status.ExitStatus.SUCCESS:
            raise RuntimeError(output)
        await self.wait_for_settled_plan()

    def list_event_files(self) -> list[pathlib.Path]:
        """Returns the event files of all processes, sorted by path."""
        return sorted((self.directory / "events").glob("*.jsonl"))


def _format_status(process_status: dict | None) -> str:
    if process_status is None:
        return "status request failed"
    return str(
        {
            key: process_status[key]
            for key in STATUS_FIELDS_IN_ERRORS
            if key in process_status
        }
    )
