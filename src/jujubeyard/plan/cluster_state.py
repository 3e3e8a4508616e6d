"""What a controller knows when it plans."""

import dataclasses

from jujubeyard.manifest import tables as config_tables

LOAD_REPORT_SECONDS = 1.0
"""How often gates report loads."""

LOAD_WEIGHT = 0.3
"""Weight of the latest LOAD_REPORT_SECONDS in a reported load, a moving average."""

LOAD_AVERAGING_SECONDS = LOAD_REPORT_SECONDS * (2.0 - LOAD_WEIGHT) / LOAD_WEIGHT
"""Span of a plain average that would vary as much by chance."""


@dataclasses.dataclass(slots=True)
class GateView:
    """A gate that is alive, from its latest renewal.

    Attributes:
        holder: The gate's incarnation.
        zone: Its availability zone.
        address: Where it listens for links.
        plan_version: The plan that it has installed.
        settled_version: All that plans up to this version give to the gate
            has been acquired.
        leaving: Whether it is shutting down.
        lost: Held targets that don't answer.
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
    """A controller that is alive."""

    name: str
    zone: str
    address: str


@dataclasses.dataclass(slots=True)
class ClusterState:
    """Everything that a plan is made from, besides the previous plan.

    Attributes:
        config: The configuration in force.
        gates: Gates that are alive, by holder.
        controllers: Controllers that are alive, by name.
        gone: VMs that the platform no longer lists.
        loads: Weighted calls per second, by service and shard.
        may_level: Whether this plan may move shards or targets only to level
            the load.
    """

    config: config_tables.Config
    gates: dict[str, GateView]
    controllers: dict[str, ControllerView]
    gone: frozenset[str] = frozenset()
    loads: dict[str, dict[int, float]] = dataclasses.field(default_factory=dict)
    may_rebalance: bool = False
