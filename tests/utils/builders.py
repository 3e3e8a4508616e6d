"""Builders of manifests, configurations and cluster states for tests."""

from jujubeyard.manifest import loader
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import cluster_state
from jujubeyard.store import records


def make_manifest(
    targets: int = 6,
    zones: tuple[str, ...] = ("a", "b", "c"),
    keyed: bool = True,
    shards: int = 32,
    **service,
) -> dict:
    """Returns a validated manifest with one service, "desk".

    Args:
        targets: Number of targets; they take turns in the zones.
        zones: Names of the availability zones.
        keyed: Whether the service routes calls by key.
        shards: Number of shards of the service.
        **service: Further settings of the service, or overrides.
    """
    document = {
        "cluster": "test",
        "zones": list(zones),
        "service": [
            {
                "name": "desk",
                "keyed": keyed,
                "shards": shards,
                "kind": [
                    {"name": "read", "idempotent": True, "urgency": 0},
                    {"name": "write", "urgency": 1, "weight": 2.0},
                ],
                "target": [
                    {
                        "name": f"desk-{n}",
                        "zone": zones[n % len(zones)],
                        "address": f"127.0.0.1:{9000 + n}",
                    }
                    for n in range(targets)
                ],
                **service,
            }
        ],
    }
    return loader.validate_document(document, "test")


def make_config(
    manifest: dict,
    version: int = 1,
    drained_zones: tuple[str, ...] = (),
    drained_targets: tuple[str, ...] = (),
) -> config_tables.Config:
    """Returns the configuration tables of a manifest."""
    record = records.ConfigRecord(
        version, manifest, list(drained_zones), list(drained_targets), {}, []
    )
    return config_tables.build_config(record)


def make_gate(
    vm: str, zone: str = "a", version: int = 0, **fields
) -> cluster_state.GateView:
    """Returns the view of a live gate that has settled a plan version.

    Args:
        vm: VM that the gate runs on; "vm" and a number.
        zone: Availability zone of the gate.
        version: Plan version that the gate has installed and settled.
        **fields: Overrides of the view's fields.
    """
    view = {
        "holder": f"{vm}/1",
        "zone": zone,
        "address": f"127.0.0.1:{7100 + int(vm[2:])}",
        "plan_version": version,
        "settled_version": version,
        "leaving": False,
        "lost": frozenset(),
        **fields,
    }
    return cluster_state.GateView(**view)


def make_controller(vm: str, zone: str = "a") -> cluster_state.ControllerView:
    """Returns the view of a live controller."""
    address = f"127.0.0.1:{7200 + int(vm[2:])}"
    return cluster_state.ControllerView(f"{vm}/1", zone, address)


def make_cluster_state(
    config: config_tables.Config,
    gates: list[cluster_state.GateView],
    controllers: int = 3,
    **fields,
) -> cluster_state.ClusterState:
    """Returns a cluster state with live gates and controllers.

    Args:
        config: Configuration tables of the cluster.
        gates: Views of the live gates.
        controllers: Number of live controllers.
        **fields: Further fields of the state.
    """
    views = [
        make_controller(f"vm{n}", "abc"[n % 3]) for n in range(controllers)
    ]
    return cluster_state.ClusterState(
        config,
        {gate.holder: gate for gate in gates},
        {view.name: view for view in views},
        **fields,
    )
