"""Starts and stops a cluster of processes on loopback."""

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
STOP_SECONDS = 10.0
LOG_CHARACTERS = 500
"""How much of the log of an ended process is shown."""

SHOWN = (
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
"""Parts of a process's status that are shown when a wait fails."""


class Cluster:
    """The processes of a cluster, by name such as "gate:vm-1"."""

    def __init__(self, spec: specs.ClusterSpec, directory: pathlib.Path):
        self.spec = spec
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        self.vms = [f"vm-{number}" for number in range(spec.vms)]
        octets = (os.getpid() + time.time_ns()) & 0xFFFF
        self._prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self._restarts = 0
        directory.mkdir(parents=True, exist_ok=True)
        (directory / "events").mkdir(exist_ok=True)
        fleet_files.FleetFiles(self).write_all()

    # Addresses.

    def vm_ip(self, vm: str) -> str:
        """Returns a VM's IP number."""
        return (
            f"{self._prefix}.{addresses.FIRST_VM + int(vm.partition('-')[2])}"
        )

    def zone_of(self, vm: str) -> str:
        """Returns a VM's availability zone."""
        zones = self.spec.zones
        return zones[int(vm.partition("-")[2]) % len(zones)]

    def entry_address(self, vm: str) -> str:
        """Returns where a VM's entry listens for callers."""
        return f"{self.vm_ip(vm)}:{addresses.ENTRY_PORT}"

    def admin_address(self, role: str, vm: str) -> str:
        """Returns a process's admin address."""
        return f"{self.vm_ip(vm)}:{addresses.ADMIN_PORTS[role]}"

    @property
    def store_address(self) -> str:
        """The stand-in store's address."""
        return f"{self._prefix}.1:{addresses.STORE_PORT}"

    def targets(self) -> list[tuple[str, str, str, specs.ServiceSpec]]:
        """Returns name, zone, address and service of each target."""
        rows = []
        for service in self.spec.services:
            for number in range(service.targets):
                zone = self.spec.zones[number % len(self.spec.zones)]
                ip = f"{self._prefix}.{addresses.FIRST_TARGET + len(rows)}"
                name = f"{service.name}-{number}"
                rows.append(
                    (name, zone, f"{ip}:{addresses.TARGET_PORT}", service)
                )
        return rows

    def target_address(self, name: str) -> str:
        """Returns a target's address."""
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
        """Starts the three processes of a VM."""
        for role in ("controller", "gate", "entry"):
            self.start_role(role, vm)

    def start_role(self, role: str, vm: str) -> None:
        """Starts one process of a VM."""
        self.start_process(f"{role}:{vm}", f"jujubeyard.{role}")

    def start_target(self, name: str) -> None:
        """Starts a stand-in target."""
        self.start_process(f"target:{name}", "jujubeyard.standins.target")

    def start_process(self, name: str, module: str) -> None:
        """Starts a process with the settings file of its name."""
        settings = self.directory / f"{name.replace(':', '_')}.toml"
        log = (self.directory / f"{settings.stem}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, "--settings-file", str(settings)],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def kill_vm(self, vm: str) -> None:
        """Kills the three processes of a VM at once."""
        names = [f"{role}:{vm}" for role in addresses.ADMIN_PORTS]
        processes = [
            self.processes.pop(n) for n in names if n in self.processes
        ]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    def terminate(self, name: str) -> int:
        """Sends SIGTERM and returns the exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=60)

    def stop(self) -> None:
        """Ends all processes that this object started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=STOP_SECONDS)
        self.processes.clear()

    def __enter__(self) -> "Cluster":
        self.start()
        return self

    def __exit__(self, *_) -> None:
        self.stop()

    # Operating.

    def run_command(self, *args: str) -> tuple[status.ExitStatus, str]:
        """Runs the operators' command line and returns what it printed."""
        stdout = io.StringIO()
        stderr = io.StringIO()
        env = context.Environment(stdout, stderr, self.directory)
        outcome = core.main(list(args), env)
        return outcome, stdout.getvalue() + stderr.getvalue()

    async def command(self, *args: str) -> tuple[status.ExitStatus, str]:
        """Runs the operators' command line beside the event loop."""
        return await asyncio.to_thread(self.run_command, *args)

    async def put(self, address: str, path: str, document: dict) -> None:
        """Sends a JSON document to a stand-in or an admin port."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{address}{path}", json=document) as resp,
        ):
            resp.raise_for_status()

    async def get(self, address: str, path: str) -> dict | None:
        """Reads a JSON document; None if there is no answer."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{address}{path}") as resp,
            ):
                return await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def get_status_code(self, address: str) -> int:
        """Returns the HTTP status of an entry's health; 0 if silent."""
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
        """Returns a process's status; None if there is no answer."""
        return await self.get(self.admin_address(role, vm), "/status")

    async def wait_until(self, condition, seconds: float, what: str) -> None:
        """Waits until a coroutine function returns something true.

        Raises:
            TimeoutError: It did not in time.
        """
        give_up_at = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > give_up_at:
                seen = "\n".join(await self.describe())
                raise TimeoutError(f"not in {seconds} s: {what}\n{seen}")
            await asyncio.sleep(POLL_SECONDS)

    async def describe(self) -> list[str]:
        """Returns a line on each process: its end, or what it reports."""
        lines = []
        for name, process in sorted(self.processes.items()):
            role, _, vm = name.partition(":")
            if process.poll() is not None:
                log = self._last_log(name)
                line = f"ended with {process.returncode}: {log}"
            elif role in addresses.ADMIN_PORTS:
                line = _shorten(await self.status(role, vm))
            else:
                line = "runs"
            lines.append(f"{name}: {line}")
        return lines

    def _last_log(self, name: str) -> str:
        path = self.directory / f"{name.replace(':', '_')}.log"
        return path.read_text(encoding="utf-8").strip()[-LOG_CHARACTERS:]

    async def wait_up(self, seconds: float = 30.0) -> None:
        """Waits until all processes answer and the store is reachable."""

        async def is_up() -> bool:
            for name in list(self.processes):
                role, _, vm = name.partition(":")
                if role in addresses.ADMIN_PORTS and not await self.status(
                    role, vm
                ):
                    return False
            return await self.get(self.store_address, "/calls") is not None

        await self.wait_until(is_up, seconds, "all processes are up")

    async def wait_settled(
        self, seconds: float = 30.0, vms: list[str] | None = None
    ) -> None:
        """Waits until a plan is in force and nothing is moving."""
        vms = self.vms if vms is None else vms

        async def is_settled() -> bool:
            return await self._is_settled(vms)

        await self.wait_until(is_settled, seconds, "the plan is settled")

    async def _is_settled(self, vms: list[str]) -> bool:
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

    async def wait_warm(self, seconds: float) -> None:
        """Waits until gates find all targets warm, but not for longer."""
        give_up_at = time.monotonic() + seconds
        while time.monotonic() < give_up_at and not await self._is_warm():
            await asyncio.sleep(POLL_SECONDS)

    async def _is_warm(self) -> bool:
        limits: dict[str, int] = {}
        for vm in self.vms:
            gate = await self.status("gate", vm)
            for name, row in (gate or {"targets": {}})["targets"].items():
                limits[name] = row["limit"]
        return all(
            limits.get(name, 0) >= service.slots
            for name, _, _, service in self.targets()
        )

    async def bring_up(self) -> None:
        """Waits for the processes, applies the manifest, waits again."""
        await self.wait_up()
        outcome, text = await self.command("apply", "manifest.toml")
        if outcome is not status.ExitStatus.SUCCESS:
            raise RuntimeError(text)
        await self.wait_settled()

    def event_files(self) -> list[pathlib.Path]:
        """Returns the recorded histories of all processes."""
        return sorted((self.directory / "events").glob("*.jsonl"))


def _shorten(found: dict | None) -> str:
    if found is None:
        return "no answer"
    return str({key: found[key] for key in SHOWN if key in found})
