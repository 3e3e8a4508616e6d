"""Starts and stops a cluster of processes on loopback."""

import asyncio
import dataclasses
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

STORE_PORT = 7001
GATE_PORT = 7002
CONTROLLER_PORT = 7003
ADMIN_PORTS = {"entry": 7011, "gate": 7012, "controller": 7013}
ENTRY_PORT = 8080
TARGET_PORT = 9000
FIRST_VM = 10
FIRST_TARGET = 100
SECRET = "development-secret-only"
POLL_SECONDS = 0.05
STOP_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """One kind of call; see manifest.models.Kind."""

    name: str
    idempotent: bool = False
    urgency: int = 5
    weight: float = 1.0
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """One service and its stand-in targets.

    Attributes:
        name: Name of the service.
        kinds: Its kinds.
        targets: Number of targets, spread over the zones.
        keyed: Whether keys have owners.
        shards: Number of shards.
        slots: Calls that a target runs at once.
        cold_slots: The same while it is cold.
        warm_calls: Calls that warm a target up.
        work_ms: Median time of a call.
        checks_grants: Whether targets check grants.
        queue: Calls that may wait for a target.
        connections: Connections that a target takes.
        hedge: Whether slow idempotent calls go to a second target.
    """

    name: str
    kinds: tuple[KindSpec, ...]
    targets: int
    keyed: bool = False
    shards: int = 64
    slots: int = 6
    cold_slots: int = 1
    warm_calls: int = 10
    work_ms: float = 5.0
    checks_grants: bool = False
    queue: int = 200
    connections: int = 130
    hedge: bool = True


@dataclasses.dataclass(frozen=True)
class ClusterSpec:
    """A cluster.

    Attributes:
        name: Name of the cluster.
        zones: Its availability zones.
        vms: Number of VMs, spread over the zones.
        services: Its services.
        seed: Seeds the stand-ins.
        record: Whether processes record their events.
    """

    name: str
    zones: tuple[str, ...]
    vms: int
    services: tuple[ServiceSpec, ...]
    seed: int = 1
    record: bool = True


class Cluster:
    """The processes of a cluster, by name such as "gate:vm-1"."""

    def __init__(self, spec: ClusterSpec, directory: pathlib.Path):
        self.spec = spec
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        self.vms = [f"vm-{number}" for number in range(spec.vms)]
        octets = (os.getpid() + time.time_ns()) & 0xFFFF
        self._prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self._restarts = 0
        directory.mkdir(parents=True, exist_ok=True)
        (directory / "events").mkdir(exist_ok=True)
        self._write_files()

    # Addresses.

    def vm_ip(self, vm: str) -> str:
        """Returns a VM's IP number."""
        return f"{self._prefix}.{FIRST_VM + int(vm.partition('-')[2])}"

    def zone_of(self, vm: str) -> str:
        """Returns a VM's availability zone."""
        zones = self.spec.zones
        return zones[int(vm.partition("-")[2]) % len(zones)]

    def entry_address(self, vm: str) -> str:
        """Returns where a VM's entry listens for callers."""
        return f"{self.vm_ip(vm)}:{ENTRY_PORT}"

    def admin_address(self, role: str, vm: str) -> str:
        """Returns a process's admin address."""
        return f"{self.vm_ip(vm)}:{ADMIN_PORTS[role]}"

    @property
    def store_address(self) -> str:
        """The stand-in store's address."""
        return f"{self._prefix}.1:{STORE_PORT}"

    def targets(self) -> list[tuple[str, str, str, ServiceSpec]]:
        """Returns name, zone, address and service of each target."""
        rows = []
        for service in self.spec.services:
            for number in range(service.targets):
                zone = self.spec.zones[number % len(self.spec.zones)]
                ip = f"{self._prefix}.{FIRST_TARGET + len(rows)}"
                name = f"{service.name}-{number}"
                rows.append((name, zone, f"{ip}:{TARGET_PORT}", service))
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
        names = [f"{role}:{vm}" for role in ADMIN_PORTS]
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
                raise TimeoutError(f"not in {seconds} s: {what}")
            await asyncio.sleep(POLL_SECONDS)

    async def wait_up(self, seconds: float = 30.0) -> None:
        """Waits until all processes answer and the store is reachable."""

        async def is_up() -> bool:
            for name in list(self.processes):
                role, _, vm = name.partition(":")
                if role in ADMIN_PORTS and not await self.status(role, vm):
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

    # Files.

    def _write_files(self) -> None:
        self._write("manifest", self.manifest_text())
        vms = ", ".join(
            f'{{vm = "{vm}", ip = "{self.vm_ip(vm)}", state = "live"}}'
            for vm in self.vms
        )
        self._write(
            "store", f'listen = "{self.store_address}"\nvms = [{vms}]\n'
        )
        for vm in self.vms:
            for role in ADMIN_PORTS:
                self._write(f"{role}_{vm}", self._role_settings(role, vm))
        for name, _, address, service in self.targets():
            text = self._target_settings(name, address, service)
            self._write(f"target_{name}", text)
        processes = ", ".join(
            f'"{self.admin_address(role, vm)}"'
            for vm in self.vms
            for role in ADMIN_PORTS
        )
        self._write(
            "jujubeyard",
            f'cluster = "{self.spec.name}"\nstore = "{self.store_address}"\n'
            f"processes = [{processes}]\n",
        )

    def _write(self, stem: str, text: str) -> None:
        (self.directory / f"{stem}.toml").write_text(text, encoding="utf-8")

    def _events_line(self, stem: str) -> str:
        if not self.spec.record:
            return ""
        path = self.directory / "events" / f"{stem}.jsonl"
        return f'events_file = "{path}"\n'

    def _role_settings(self, role: str, vm: str) -> str:
        ports = {
            "entry": ENTRY_PORT,
            "gate": GATE_PORT,
            "controller": CONTROLLER_PORT,
        }
        ip = self.vm_ip(vm)
        text = (
            f'cluster = "{self.spec.name}"\nvm = "{vm}"\n'
            f'zone = "{self.zone_of(vm)}"\nsecret = "{SECRET}"\n'
            f'admin = "{self.admin_address(role, vm)}"\n'
            f'listen = "{ip}:{ports[role]}"\nallow_faults = true\n'
        )
        text += self._events_line(f"{role}_{vm}")
        if role == "controller":
            return text + (
                f'store = "{self.store_address}"\n'
                f'vm_list = "{self.store_address}"\n'
            )
        return text + f'controllers = ["{ip}:{CONTROLLER_PORT}"]\n'

    def _target_settings(self, name, address, service: ServiceSpec) -> str:
        return (
            f'name = "{name}"\nlisten = "{address}"\n'
            f"slots = {service.slots}\ncold_slots = {service.cold_slots}\n"
            f"work_ms = {float(service.work_ms)}\n"
            f"warm_calls = {service.warm_calls}\n"
            f"checks_grants = {str(service.checks_grants).lower()}\n"
            f"seed = {self.spec.seed}\n" + self._events_line(f"target_{name}")
        )

    def manifest_text(self) -> str:
        """Returns the manifest."""
        zones = ", ".join(f'"{zone}"' for zone in self.spec.zones)
        lines = [f'cluster = "{self.spec.name}"', f"zones = [{zones}]"]
        targets = self.targets()
        for service in self.spec.services:
            lines += _service_lines(service)
            for name, zone, address, owner in targets:
                if owner is service:
                    lines += [
                        "[[service.target]]",
                        f'name = "{name}"',
                        f'zone = "{zone}"',
                        f'address = "{address}"',
                    ]
        return "\n".join(lines) + "\n"


def _service_lines(service: ServiceSpec) -> list[str]:
    lines = [
        "[[service]]",
        f'name = "{service.name}"',
        f"keyed = {str(service.keyed).lower()}",
        f"shards = {service.shards}",
        f"slots = {service.slots}",
        f"cold_slots = {service.cold_slots}",
        f"warm_calls = {service.warm_calls}",
        f"connections = {service.connections}",
        f"checks_grants = {str(service.checks_grants).lower()}",
        f"hedge = {str(service.hedge).lower()}",
        f"queue = {service.queue}",
    ]
    for kind in service.kinds:
        lines += [
            "[[service.kind]]",
            f'name = "{kind.name}"',
            f"idempotent = {str(kind.idempotent).lower()}",
            f"urgency = {kind.urgency}",
            f"weight = {float(kind.weight)}",
            f"deadline_ms = {kind.deadline_ms}",
        ]
    return lines
