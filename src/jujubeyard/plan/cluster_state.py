"""The state of the cluster that a controller plans from."""

import dataclasses

from jujubeyard.manifest import tables as config_tables

LOAD_REPORT_SECONDS = 1.0
"""Interval at which gates report the loads of their shards."""

LOAD_WEIGHT = 0.3
"""Weight of the latest interval in a reported load, which is an exponential
moving average."""

LOAD_AVERAGING_SECONDS = LOAD_REPORT_SECONDS * (2.0 - LOAD_WEIGHT) / LOAD_WEIGHT
"""Length of a simple moving average with the same variance as a reported
load."""


@dataclasses.dataclass(slots=True)
class GateView:
    """A live gate, as described by its latest lease renewal.

    Attributes:
        holder: The gate's incarnation.
        zone: Its availability zone.
        address: Address of its link server.
        plan_version: Version of its installed plan.
        settled_version: The gate has acquired all targets and shards that
            plans up to this version assign to it.
        leaving: Whether it is shutting down.
        lost: Targets held by the gate that don't respond.
    """

    holder: str
    zone: str
    address: str
    plan_version: int
    settled_version: int
    leaving: bool
    lost: frozenset[str]


@dataclasses.dataclass(slots=True)
class ControllerView:
    """A live controller.

    Attributes:
        name: The controller's incarnation, "vm/incarnation".
        zone: Its availability zone.
        address: Address of its link server.
    """

    name: str
    zone: str
    address: str


@dataclasses.dataclass(slots=True)
class ClusterState:
    """The planner's input besides the previous plan.

    Attributes:
        config: The configuration in force.
        gates: Live gates, by holder.
        controllers: Live controllers, by name.
        gone: VMs that the platform no longer lists.
        loads: Weighted calls per second, by service and shard.
        may_rebalance: Whether the plan may move shards or targets just to
            balance the load.
    """

    config: config_tables.Config
    gates: dict[str, GateView]
    controllers: dict[str, ControllerView]
    gone: frozenset[str] = frozenset()
    loads: dict[str, dict[int, float]] = dataclasses.field(default_factory=dict)
    may_rebalance: bool = False
