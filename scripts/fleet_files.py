"""Writes the manifest and the settings files of a cluster."""

from scripts import addresses
from scripts import specs

SECRET = "development-secret-only"


class FleetFiles:
    """The files of one cluster."""

    def __init__(self, fleet):
        """Creates the writer.

        Args:
            fleet: A cluster.Cluster.
        """
        self._fleet = fleet

    def write_all(self) -> None:
        """Writes the manifest and the settings of all processes."""
        self._write("manifest", self._manifest_text())
        vms = ", ".join(
            f'{{vm = "{vm}", ip = "{self._fleet.vm_ip(vm)}", state = "live"}}'
            for vm in self._fleet.vms
        )
        self._write(
            "store", f'listen = "{self._fleet.store_address}"\nvms = [{vms}]\n'
        )
        for vm in self._fleet.vms:
            for role in addresses.ADMIN_PORTS:
                self._write(f"{role}_{vm}", self._role_settings(role, vm))
        for name, _, address, service in self._fleet.targets():
            text = self._target_settings(name, address, service)
            self._write(f"target_{name}", text)
        processes = ", ".join(
            f'"{self._fleet.admin_address(role, vm)}"'
            for vm in self._fleet.vms
            for role in addresses.ADMIN_PORTS
        )
        self._write(
            "jujubeyard",
            f'cluster = "{self._fleet.spec.name}"\n'
            f'store = "{self._fleet.store_address}"\n'
            f"processes = [{processes}]\n",
        )

    def _write(self, stem: str, text: str) -> None:
        (self._fleet.directory / f"{stem}.toml").write_text(
            text, encoding="utf-8"
        )

    def _events_line(self, stem: str) -> str:
        if not self._fleet.spec.record_events:
            return ""
        path = self._fleet.directory / "events" / f"{stem}.jsonl"
        return f'events_file = "{path}"\n'

    def _role_settings(self, role: str, vm: str) -> str:
        ports = {
            "entry": addresses.ENTRY_PORT,
            "gate": addresses.GATE_PORT,
            "controller": addresses.CONTROLLER_PORT,
        }
        ip = self._fleet.vm_ip(vm)
        text = (
            f'cluster = "{self._fleet.spec.name}"\nvm = "{vm}"\n'
            f'zone = "{self._fleet.zone_of(vm)}"\nsecret = "{SECRET}"\n'
            f'admin = "{self._fleet.admin_address(role, vm)}"\n'
            f'listen = "{ip}:{ports[role]}"\nallow_faults = true\n'
        )
        text += self._events_line(f"{role}_{vm}")
        if role == "controller":
            return text + (
                f'store = "{self._fleet.store_address}"\n'
                f'vm_list = "{self._fleet.store_address}"\n'
            )
        return text + f'controllers = ["{ip}:{addresses.CONTROLLER_PORT}"]\n'

    def _target_settings(
        self, name, address, service: specs.ServiceSpec
    ) -> str:
        return (
            f'name = "{name}"\nlisten = "{address}"\n'
            f"slots = {service.slots}\ncold_slots = {service.cold_slots}\n"
            f"work_ms = {float(service.work_ms)}\n"
            f"warm_calls = {service.warm_calls}\n"
            f"checks_grants = {str(service.checks_grants).lower()}\n"
            f"seed = {self._fleet.spec.seed}\n"
            + self._events_line(f"target_{name}")
        )

    def _manifest_text(self) -> str:
        zones = ", ".join(f'"{zone}"' for zone in self._fleet.spec.zones)
        lines = [f'cluster = "{self._fleet.spec.name}"', f"zones = [{zones}]"]
        targets = self._fleet.targets()
        for service in self._fleet.spec.services:
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


def _service_lines(service: specs.ServiceSpec) -> list[str]:
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
