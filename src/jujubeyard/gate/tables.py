"""Rows of a gate's tables: calls, targets, shards and queues."""

import asyncio
import dataclasses

from jujubeyard.admission import queue
from jujubeyard.admission import ramp
from jujubeyard.gate import lifecycle
from jujubeyard.gate import upstream
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.manifest import tables as config_tables


@dataclasses.dataclass(slots=True, eq=False)
class CallRow:
    """One call that the gate has accepted.

    Attributes:
        call: The call message.
        entry_link: Link to the entry that sent the call.
        service: Service of the call.
        kind: Kind of the call.
        deadline: Deadline on the boot-time clock of this process.
        received_at: Time of receipt on the same clock.
        epoch: Epoch of the shard when the call was sent; 0 until then.
        target: Name of the target that the call was sent to last.
        queue_entry: Entry of the call in a queue, or None if it is not queued.
        queue_name: Name of the queue that the call was last added to.
        attempts: Tasks that send the call, by target name; two while the call
            is hedged.
        outcome: Future of the reply, on which duplicates of a call that is
            not idempotent wait; None if duplicates are not detected.
        answered: Whether the reply has been sent.
        may_have_run: Whether an attempt of unknown outcome has failed.
    """

    call: messages.Call
    entry_link: link.Link
    service: config_tables.ServiceRow
    kind: config_tables.KindRow
    deadline: float
    received_at: float
    epoch: int = 0
    target: str = ""
    queue_entry: queue.QueueEntry | None = None
    queue_name: str = ""
    attempts: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    outcome: asyncio.Future | None = None
    answered: bool = False
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class AbandonedCall:
    """A call that may still run at a target but whose reply is not awaited.

    Attributes:
        shard: Shard of the call.
        ends_by: Time by which the call has certainly ended at the target.
    """

    shard: int
    ends_by: float


@dataclasses.dataclass(slots=True)
class GrantState:
    """Grants sent to a target that checks grants.

    Attributes:
        acked: Epochs by shard in the latest acknowledged grant.
        running: Shards that have no grant any more but calls still running at
            the target.
        expire_at: Time, by shard, at which every grant ever sent for the
            shard has certainly expired.
    """

    acked: dict[int, int] = dataclasses.field(default_factory=dict)
    running: frozenset[int] = frozenset()
    expire_at: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedTarget:
    """State of a released target that is passed to its next holder.

    Attributes:
        busy_until: Time by which calls of unknown outcome have certainly ended.
        limit: Limit on calls in flight when the target was released.
        incarnation: Incarnation of the target that the limit applies to.
    """

    busy_until: float
    limit: int
    incarnation: str


@dataclasses.dataclass(eq=False)
class TargetRow:
    """A target that the gate holds, acquires or releases.

    Attributes:
        name: Name of the target, unique across all services.
        service: Service of the target.
        drained_since: Time since which the target is drained, or None.
        version: Version of the plan that assigned the target to this gate;
            sent to the target as the epoch of its holder.
        previous: Former holders that may not have released the target yet.
        upstream: HTTP client of the target.
        ramp: Limit on calls in flight.
        lifecycle: State of the target at this gate.
        in_flight: Calls sent to the target and not finished.
        abandoned: Calls that may still run at the target but whose replies
            are not awaited.
        busy_until: Time by which calls of former holders have certainly ended.
        grants: Grants sent to the target, if it checks grants.
        last_response_at: Time of the latest response.
        refused_connections: Connections refused since the latest response.
        failed_probes: Probes that failed since the latest response.
        last_probe_at: Time at which the latest probe was started.
        acquire_task: Task that acquires the target from former holders.
        probe_task: Task that probes the target.
        probe_now: Whether to probe the target at the next tick.
        inherited_limit: Limit on calls in flight reported by the former
            holder, or 0 if it is unknown.
        inherited_incarnation: Incarnation of the target that the inherited
            limit applies to.
    """

    name: str
    service: config_tables.ServiceRow
    drained_since: float | None
    version: int
    previous: list[str]
    upstream: upstream.Upstream
    ramp: ramp.ConcurrencyRamp
    lifecycle: lifecycle.TargetLifecycle
    in_flight: set[CallRow] = dataclasses.field(default_factory=set)
    abandoned: list[AbandonedCall] = dataclasses.field(default_factory=list)
    busy_until: float = 0.0
    grants: GrantState = dataclasses.field(default_factory=GrantState)
    last_response_at: float = 0.0
    refused_connections: int = 0
    failed_probes: int = 0
    last_probe_at: float = 0.0
    acquire_task: asyncio.Task | None = None
    probe_task: asyncio.Task | None = None
    probe_now: bool = True
    inherited_limit: int = 0
    inherited_incarnation: str = ""

    def used_slots(self, now: float) -> int:
        """Returns the highest number of calls that may run at the target."""
        self.abandoned = [call for call in self.abandoned if call.ends_by > now]
        return len(self.in_flight) + len(self.abandoned)

    def has_room(self, now: float) -> bool:
        """Returns whether one more call may be sent to the target."""
        return (
            self.lifecycle.is_held() and self.used_slots(now) < self.ramp.limit
        )

    def is_stable(self) -> bool:
        """Returns whether the target is held, responds and needs no probe."""
        responds = self.lifecycle.is_held() and not self.failed_probes
        return responds and not self.probe_now

    def latest_possible_end(self, now: float) -> float:
        """Returns when all calls of unknown outcome have certainly ended."""
        self.used_slots(now)
        ends = [call.ends_by for call in self.abandoned]
        return max(
            [now, self.busy_until, *self.grants.expire_at.values(), *ends]
        )


@dataclasses.dataclass(slots=True)
class ShardRow:
    """A shard whose owner the gate holds or acquires.

    Attributes:
        service: Name of the service.
        shard: Number of the shard.
        target: Name of the target that owns the shard.
        version: Epoch of the shard's grant.
        previous: Former owners that may not have released the shard yet.
        is_active: Whether calls of the shard may be sent.
        parked: Calls that wait until the shard is active.
    """

    service: str
    shard: int
    target: str
    version: int
    previous: list[str]
    is_active: bool = False
    parked: list[CallRow] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class QueueRow:
    """A queue of calls and the targets that they are sent to.

    Each target of a keyed service has its own queue. The targets of a pooled
    service that one gate holds share a queue.

    Attributes:
        name: Name of the target (keyed service) or of the service (pooled).
        waiting: The queued calls.
        targets: Names of the targets that serve the queue.
    """

    name: str
    waiting: queue.AdmissionQueue
    targets: list[str] = dataclasses.field(default_factory=list)
