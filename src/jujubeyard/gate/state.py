"""The state that a gate's systems share."""

import collections.abc
import dataclasses

from jujubeyard import settings
from jujubeyard.admission import budget
from jujubeyard.admission import dedupe
from jujubeyard.gate import metrics
from jujubeyard.gate import tables
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.lease import holder
from jujubeyard.link import pool
from jujubeyard.plan import follower

HEDGE_RATIO = 0.05
HEDGE_BURST = 5.0

ShardKey = tuple[str, int]


@dataclasses.dataclass(eq=False)
class GateState:
    """Tables and parts of one gate.

    Attributes:
        cfg: Its settings.
        node: Identity, events, logs.
        metrics: Its metrics.
        follower: The installed plan and configuration.
        gates: Links to other gates.
        tasks: Background tasks.
        lease: Its lease.
        ids: Request ids that it remembers.
        hedges: Budget of hedged calls.
        targets: By name.
        shards: By service and shard.
        queues: By name of the target or the pooled service.
        calls: Calls not answered yet, by link and query number.
        asking: Former owners that are being asked for shards.
        left: What is known of targets that the gate has let go.
        counts: Weight of the calls since the last report, by service and
            shard.
        rates: Weighted calls per second by service and shard.
        has_pending: Whether a shard may not be active yet.
        has_parked: Whether a call may be parked.
        leaving: Whether the gate is shutting down.
        refusing: Whether it takes no new calls.
        renew_now: Whether to renew at the next tick.
        wake: Starts the next tick if the gate is idle.
    """

    cfg: settings.GateSettings
    runtime: process_runtime.ProcessRuntime
    metrics: metrics.GateMetrics
    follower: follower.Follower
    gates: pool.LinkPool
    tasks: ticker.BackgroundTasks
    lease: holder.Lease = dataclasses.field(default_factory=holder.Lease)
    ids: dedupe.DedupeTable = dataclasses.field(
        default_factory=dedupe.DedupeTable
    )
    hedges: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(HEDGE_RATIO, HEDGE_BURST)
    )
    targets: dict[str, tables.TargetRow] = dataclasses.field(
        default_factory=dict
    )
    shards: dict[ShardKey, tables.ShardRow] = dataclasses.field(
        default_factory=dict
    )
    queues: dict[str, tables.QueueRow] = dataclasses.field(default_factory=dict)
    calls: dict[tuple[int, int], tables.CallRow] = dataclasses.field(
        default_factory=dict
    )
    asking: set[tuple[str, str, int]] = dataclasses.field(default_factory=set)
    left: dict[str, tables.LeftRow] = dataclasses.field(default_factory=dict)
    counts: dict[ShardKey, float] = dataclasses.field(default_factory=dict)
    rates: dict[ShardKey, float] = dataclasses.field(default_factory=dict)
    has_pending: bool = True
    has_parked: bool = False
    leaving: bool = False
    refusing: bool = False
    renew_now: bool = True
    wake: collections.abc.Callable[[], None] = lambda: None

    @property
    def holder(self) -> str:
        """The gate's incarnation."""
        return self.runtime.identity.name

    def queue_of(self, row: tables.TargetRow) -> tables.QueueRow | None:
        """Returns the queue that a target serves, or None."""
        name = row.name if row.service.keyed else row.service.name
        return self.queues.get(name)
