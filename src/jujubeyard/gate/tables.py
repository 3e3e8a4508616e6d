"""Tables of a gate: targets, shards, queues and calls."""

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
    """One call that the gate has taken on.

    Attributes:
        call: The call.
        peer: The entry's link.
        service: Its service.
        kind: Its kind.
        deadline: On this process's boot-time clock.
        received_at: On the same clock.
        epoch: Epoch of the shard when the call was sent; 0 before.
        target: Name of the target that it was sent to.
        entry: Its place in a queue, if it waits in one.
        queue_name: The queue that it waits in.
        attempts: The tasks that run it, by target; two while it is hedged.
        outcome: Resolved with the reply, for duplicates that join.
        answered: Whether the reply has been sent.
        may_have_run: Whether an attempt failed whose outcome is not known.
    """

    call: messages.Call
    peer: link.Link
    service: config_tables.ServiceRow
    kind: config_tables.KindRow
    deadline: float
    received_at: float
    epoch: int = 0
    target: str = ""
    entry: queue.QueueEntry | None = None
    queue_name: str = ""
    attempts: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    outcome: asyncio.Future | None = None
    answered: bool = False
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class Ghost:
    """A call that may still run at a target although nobody waits for it.

    Attributes:
        shard: Its shard.
        until: When its deadline has certainly passed at the target.
    """

    shard: int
    until: float


@dataclasses.dataclass(slots=True)
class GrantState:
    """What a target that checks grants has been told.

    Attributes:
        acked: Epochs by shard in the latest acknowledged grant.
        running: Shards without a grant of which calls still run.
        ends: When every grant of a shard that was ever sent has certainly
            expired, by shard.
    """

    acked: dict[int, int] = dataclasses.field(default_factory=dict)
    running: frozenset[int] = frozenset()
    ends: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LeftRow:
    """A target that the gate has let go.

    Attributes:
        busy_until: When calls of unknown end have certainly ended.
        limit: Calls that it was found to bear.
        incarnation: The target's incarnation.
    """

    busy_until: float
    limit: int
    incarnation: str


@dataclasses.dataclass(eq=False)
class TargetRow:
    """A target that the gate holds, acquires or releases.

    Attributes:
        name: Unique over all services.
        service: Its service.
        drained_at: Since when operators have it drained, or None.
        version: The plan that gave it to the gate; the holder epoch.
        previous: Holders that may not have released it yet.
        upstream: Its HTTP client.
        ramp: Its limit on calls in flight.
        life: Its state.
        in_flight: Calls sent to it.
        ghosts: Calls that may still run there.
        busy_until: When calls of former holders have certainly ended.
        grants: What it has been told, if it checks grants.
        answered_at: When it last answered.
        refused: Connections that it refused since it last answered.
        failed_probes: Probes that failed since it last answered.
        probed_at: When it was last probed.
        acquiring: The task that acquires it.
        probing: The task that probes it.
        probe_now: Whether to probe it at the next tick.
        known_limit: Calls that its former holder found it to bear, or 0.
        known_incarnation: The target's incarnation that bore them.
    """

    name: str
    service: config_tables.ServiceRow
    drained_at: float | None
    version: int
    previous: list[str]
    upstream: upstream.Upstream
    ramp: ramp.ConcurrencyRamp
    life: lifecycle.Life
    in_flight: set[CallRow] = dataclasses.field(default_factory=set)
    ghosts: list[Ghost] = dataclasses.field(default_factory=list)
    busy_until: float = 0.0
    grants: GrantState = dataclasses.field(default_factory=GrantState)
    answered_at: float = 0.0
    refused: int = 0
    failed_probes: int = 0
    probed_at: float = 0.0
    acquiring: asyncio.Task | None = None
    probing: asyncio.Task | None = None
    probe_now: bool = True
    known_limit: int = 0
    known_incarnation: str = ""

    def used_slots(self, now: float) -> int:
        """Returns how many calls run at the target, at the most."""
        self.ghosts = [ghost for ghost in self.ghosts if ghost.until > now]
        return len(self.in_flight) + len(self.ghosts)

    def has_room(self, now: float) -> bool:
        """Returns whether the target takes one more call."""
        return self.life.is_held() and self.used_slots(now) < self.ramp.limit

    def is_quiet(self) -> bool:
        """Returns whether the target is held, answers and needs no probe."""
        answers = self.life.is_held() and not self.failed_probes
        return answers and not self.probe_now

    def end_of_unknown(self, now: float) -> float:
        """Returns when calls of unknown end have certainly ended."""
        self.used_slots(now)
        ends = [ghost.until for ghost in self.ghosts]
        return max([now, self.busy_until, *self.grants.ends.values(), *ends])


@dataclasses.dataclass(slots=True)
class ShardRow:
    """A shard whose owner the gate holds or acquires.

    Attributes:
        service: Name of its service.
        shard: Its number.
        target: Its owner.
        version: The epoch of the grant.
        previous: Earlier owners that may not have released it yet.
        is_active: Whether its calls may be sent.
        parked: Calls that wait for it.
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
    """A queue and the targets that serve it.

    A target of a keyed service has a queue of its own; the targets of a
    pooled service that a gate holds share one.

    Attributes:
        name: The target's or the service's name.
        waiting: The calls.
        targets: Names of the targets.
    """

    name: str
    waiting: queue.AdmissionQueue
    targets: list[str] = dataclasses.field(default_factory=list)
