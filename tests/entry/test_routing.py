"""Tests of the selection of a gate for a call."""

import random

import pytest

from jujubeyard.entry import routing
from jujubeyard.plan import planner
from jujubeyard.plan import tables
from tests.utils import builders

ZONES = ("a", "b", "c")
CASES = {
    "nothing drained": ((), (), {"vm0", "vm1", "vm2"}),
    "zone drained": (("b",), (), {"vm0", "vm2"}),
    "target drained": ((), ("desk-2",), {"vm0", "vm1"}),
    "all zones drained": (ZONES, (), set()),
}


@pytest.mark.parametrize(
    ("zones", "targets", "expected"), CASES.values(), ids=CASES
)
def test_pooled_calls_avoid_gates_of_drained_targets(zones, targets, expected):
    manifest = builders.make_manifest(targets=3, keyed=False)
    gates = [builders.make_gate(f"vm{n}", z) for n, z in enumerate(ZONES)]
    initial_config = builders.make_config(manifest)
    plan = planner.make_plan(
        tables.Plan(), builders.make_cluster_state(initial_config, gates)
    )
    config = builders.make_config(manifest, 2, zones, targets)
    rng = random.Random(5)
    routes = [
        routing.find_route(
            plan, config.services["desk"], config.targets, -1, {}, rng
        )
        for _ in range(50)
    ]
    vms = {gate.address: gate.holder[:3] for gate in gates}
    chosen = {vms[route.address] for route in routes if route is not None}
    assert chosen == expected
