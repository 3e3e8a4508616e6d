"""State shared by the modules of a gate."""

import collections.abc
import dataclasses

from jujubeyard import bodies
from jujubeyard import settings
from jujubeyard.admission import budget
from jujubeyard.admission import dedupe
from jujubeyard.gate import metrics
from jujubeyard.gate import tables
from jujubeyard.gate import upstream
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.lease import holder
from jujubeyard.link import pool
from jujubeyard.plan import follower

HEDGE_RATIO = 0.05
"""Hedges allowed per call that may be hedged."""

HEDGE_BURST = 5.0
"""Maximum number of unused hedges that accumulate."""

ShardKey = tuple[str, int]


@dataclasses.dataclass(eq=False)
class GateState:
    """Tables and shared components of one gate.

    Attributes:
        cfg: Settings of the gate.
        runtime: Identity, event timeline and logger of the process.
        metrics: Metrics of the gate.
        follower: The installed plan and configuration.
        gate_links: Links to other gates.
        tasks: Background tasks.
        lease: The lease that allows the gate to send calls.
        ids: Remembered request IDs of calls that are not idempotent.
        hedge_budget: Limits how many calls are hedged.
        answer_reader: Reads the answers of all targets.
        targets: Targets by name.
        shards: Shards by service and shard number.
        queues: Queues by name of the target (keyed service) or of the service
            (pooled service).
        calls: Calls not answered yet, by id() of the entry's link and query
            ID.
        shard_requests: Requests for shards that are under way, as service,
            former owner and epoch.
        released_targets: State of released targets for their next holders, by
            name.
        call_weights: Weight of the calls since the last load report, by
            service and shard.
        call_rates: Moving average of the weighted calls per second, by
            service and shard.
        has_inactive_shards: Whether some shard may not be active yet.
        has_parked_calls: Whether some call may be parked.
        leaving: Whether the gate is shutting down.
        rejects_calls: Whether new calls are refused.
        renew_now: Whether to renew the lease at the next tick.
        wake: Starts the next tick at once if the gate is idle.
    """

    cfg: settings.GateSettings
    runtime: process_runtime.ProcessRuntime
    metrics: metrics.GateMetrics
    follower: follower.Follower
    gate_links: pool.LinkPool
    tasks: ticker.BackgroundTasks
    lease: holder.Lease = dataclasses.field(default_factory=holder.Lease)
    ids: dedupe.DedupeTable = dataclasses.field(
        default_factory=dedupe.DedupeTable
    )
    hedge_budget: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(HEDGE_RATIO, HEDGE_BURST)
    )
    answer_reader: bodies.BodyReader = dataclasses.field(
        default_factory=lambda: bodies.BodyReader(
            upstream.MAX_ANSWER_BYTES, upstream.MAX_BUFFERED_BYTES
        )
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
    shard_requests: set[tuple[str, str, int]] = dataclasses.field(
        default_factory=set
    )
    released_targets: dict[str, tables.ReleasedTarget] = dataclasses.field(
        default_factory=dict
    )
    call_weights: dict[ShardKey, float] = dataclasses.field(
        default_factory=dict
    )
    call_rates: dict[ShardKey, float] = dataclasses.field(default_factory=dict)
    has_inactive_shards: bool = True
    has_parked_calls: bool = False
    leaving: bool = False
    rejects_calls: bool = False
    renew_now: bool = True
    wake: collections.abc.Callable[[], None] = lambda: None

    @property
    def holder(self) -> str:
        """The incarnation of the gate, by which plans and leases name it."""
        return self.runtime.identity.name

    def find_queue(self, row: tables.TargetRow) -> tables.QueueRow | None:
        """Returns the queue from which a target gets its calls, or None."""
        name = row.name if row.service.keyed else row.service.name
        return self.queues.get(name)
