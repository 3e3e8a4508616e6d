"""Writes the manifest and settings files of a local cluster."""

from scripts import addresses
from scripts import specs

SECRET = "development-secret-only"


class ClusterFiles:
    """Writer of the manifest and settings files of one cluster."""

    def __init__(self, cluster):
        """Creates the writer.

        Args:
            cluster: The cluster.Cluster whose files are written.
        """
        self._cluster = cluster

    def write_all(self) -> None:
        """Writes the manifest and the settings files of all processes."""
        self._write("manifest", self._format_manifest())
        vms = ", ".join(
            f'{{vm = "{vm}", ip = "{self._cluster.vm_ip(vm)}", state = "live"}}'
            for vm in self._cluster.vms
        )
        self._write(
            "store",
            f'listen = "{self._cluster.store_address}"\nvms = [{vms}]\n',
        )
        for vm in self._cluster.vms:
            for role in addresses.ADMIN_PORTS:
                self._write(
                    f"{role}_{vm}", self._format_role_settings(role, vm)
                )
        for name, _, address, service in self._cluster.targets():
            text = self._format_target_settings(name, address, service)
            self._write(f"target_{name}", text)
        processes = ", ".join(
            f'"{self._cluster.admin_address(role, vm)}"'
            for vm in self._cluster.vms
            for role in addresses.ADMIN_PORTS
        )
        self._write(
            "jujubeyard",
            f'cluster = "{self._cluster.spec.name}"\n'
            f'store = "{self._cluster.store_address}"\n'
            f"processes = [{processes}]\n",
        )

    def _write(self, stem: str, text: str) -> None:
        (self._cluster.directory / f"{stem}.toml").write_text(
            text, encoding="utf-8"
        )

    def _format_events_setting(self, stem: str) -> str:
        if not self._cluster.spec.record_events:
            return ""
        path = self._cluster.directory / "events" / f"{stem}.jsonl"
        return f'events_file = "{path}"\n'

    def _format_role_settings(self, role: str, vm: str) -> str:
        ports = {
            "entry": addresses.ENTRY_PORT,
            "gate": addresses.GATE_PORT,
            "controller": addresses.CONTROLLER_PORT,
        }
        ip = self._cluster.vm_ip(vm)
        text = (
            f'cluster = "{self._cluster.spec.name}"\nvm = "{vm}"\n'
            f'zone = "{self._cluster.zone_of(vm)}"\nsecret = "{SECRET}"\n'
            f'admin = "{self._cluster.admin_address(role, vm)}"\n'
            f'listen = "{ip}:{ports[role]}"\nallow_faults = true\n'
        )
        text += self._format_events_setting(f"{role}_{vm}")
        if role == "controller":
            return text + (
                f'store = "{self._cluster.store_address}"\n'
                f'vm_list = "{self._cluster.store_address}"\n'
            )
        return text + f'controllers = ["{ip}:{addresses.CONTROLLER_PORT}"]\n'

    def _format_target_settings(
        self, name, address, service: specs.ServiceSpec
    ) -> str:
        return (
            f'name = "{name}"\nlisten = "{address}"\n'
            f"slots = {service.slots}\ncold_slots = {service.cold_slots}\n"
            f"work_ms = {float(service.work_ms)}\n"
            f"warm_calls = {service.warm_calls}\n"
            f"checks_grants = {str(service.checks_grants).lower()}\n"
            f"seed = {self._cluster.spec.seed}\n"
            + self._format_events_setting(f"target_{name}")
        )

    def _format_manifest(self) -> str:
        zones = ", ".join(f'"{zone}"' for zone in self._cluster.spec.zones)
        lines = [f'cluster = "{self._cluster.spec.name}"', f"zones = [{zones}]"]
        targets = self._cluster.targets()
        for service in self._cluster.spec.services:
            lines += _format_service(service)
            for name, zone, address, target_service in targets:
                if target_service is service:
                    lines += [
                        "[[service.target]]",
                        f'name = "{name}"',
                        f'zone = "{zone}"',
                        f'address = "{address}"',
                    ]
        return "\n".join(lines) + "\n"


def _format_service(service: specs.ServiceSpec) -> list[str]:
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
