"""Typed messages between the system's processes.

On the wire a message is an array: its number, then its fields in order. Times
are milliseconds unless a name says otherwise. A holder is "vm/incarnation" of
a gate, a witness is "vm/incarnation" of a controller.
"""

import dataclasses
import functools
import operator


@dataclasses.dataclass(slots=True)
class Hello:
    """The first message on a link, in both directions."""

    cluster: str
    role: str
    vm: str
    incarnation: str
    nonce: str
    mac: bytes


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """A controller's heartbeat to the other controllers.

    Attributes:
        witness: The controller's incarnation.
        address: Where it listens for links.
        zone: Its availability zone.
        config_version: The configuration that it has installed.
        plan_version: The plan that it has installed.
        store_ok: Whether it reaches the store.
        interval: Seconds until its next heartbeat to the same peer.
    """

    witness: str
    address: str
    zone: str
    config_version: int
    plan_version: int
    store_ok: bool
    interval: float


@dataclasses.dataclass(slots=True)
class Renew:
    """A gate's heartbeat and request for a promise.

    Attributes:
        number: Numbers the request; the promise repeats it.
        holder: The gate's incarnation.
        address: Where the gate listens for links.
        zone: The gate's availability zone.
        plan_version: The plan that the gate has installed.
        config_version: The configuration that the gate has installed.
        settled_version: All that plans up to this version give to the gate
            has been acquired.
        leaving: Whether the gate is shutting down.
        lost: Names of held targets that don't answer.
        loads: Weighted calls per second of each shard that had any, as
            [service, shard, load].
    """

    renewal_id: int
    holder: str
    address: str
    zone: str
    plan_version: int
    config_version: int
    settled_version: int
    leaving: bool
    lost: list
    loads: list


@dataclasses.dataclass(slots=True)
class Promise:
    """A controller's answer to Renew.

    Attributes:
        number: The number of the Renew.
        witness: The controller's incarnation.
        granted: Whether the witness will wait for the lease to lapse before
            it lets another gate take over.
        plan_version: The newest plan that the controller knows.
        config_version: The newest configuration that the controller knows.
    """

    renewal_id: int
    witness: str
    granted: bool
    plan_version: int
    config_version: int


@dataclasses.dataclass(slots=True)
class Lapse:
    """Asks a witness to promise nothing more to a holder.

    Attributes:
        query: Numbers the request.
        holder: The gate that is taken over.
        below_version: The witness refuses renewals under older plans.
    """

    query: int
    holder: str
    below_version: int


@dataclasses.dataclass(slots=True)
class LapseReply:
    """A witness's answer to Lapse.

    Attributes:
        query: The number of the Lapse.
        witness: The controller's incarnation.
        remaining: Milliseconds until the last promise lapses.
        started_ago: Milliseconds since the controller started.
    """

    query: int
    witness: str
    remaining: float
    uptime: float


@dataclasses.dataclass(slots=True)
class ReleaseTarget:
    """Asks the previous gate of a target to let it go."""

    query: int
    target: str
    below_version: int


@dataclasses.dataclass(slots=True)
class ReleaseTargetReply:
    """Answers ReleaseTarget.

    Attributes:
        query: The number of the request.
        released: Whether no call of the gate runs at the target any more.
        ids: Request ids that the gate remembers for the target's shards, as
            [service, shard, request id].
        horizons: Times before which the gate knows no ids, as [service,
            shard, seconds since the epoch].
        busy: Milliseconds until calls whose end the gate doesn't know have
            certainly ended.
        limit: Calls that the target was found to bear; 0 if not known.
        incarnation: The target's incarnation that was found to bear them.
    """

    query: int
    released: bool
    ids: list
    horizons: list
    busy: float
    limit: int
    incarnation: str


@dataclasses.dataclass(slots=True)
class ReleaseShards:
    """Asks the gate of a shard's previous owner to let shards go."""

    query: int
    service: str
    target: str
    shards: list
    below_version: int


@dataclasses.dataclass(slots=True)
class ReleaseShardsReply:
    """Answers ReleaseShards.

    Attributes:
        query: The number of the request.
        released: The shards that the previous owner has let go.
        ids: See ReleaseTargetReply.
        horizons: See ReleaseTargetReply.
    """

    query: int
    released: list
    ids: list
    horizons: list


@dataclasses.dataclass(slots=True)
class Subscribe:
    """Asks a controller to push plans and configurations.

    Attributes:
        plan_version: The newest plan that the sender has.
        config_version: The newest configuration that the sender has.
    """

    plan_version: int
    config_version: int


@dataclasses.dataclass(slots=True)
class Members:
    """The controllers that are alive.

    Attributes:
        controllers: Rows of [name, zone, address].
    """

    controllers: list


@dataclasses.dataclass(slots=True)
class PlanPush:
    """A whole plan."""

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class ConfigPush:
    """A whole configuration."""

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Call:
    """One call, from an entry to a gate.

    Attributes:
        query: Numbers the call on its link.
        service: Name of the service.
        kind: Name of the kind.
        shard: Shard of the key or of the request id; -1 where any target of
            the gate will do.
        key: The key, or an empty string.
        member: Who is billed.
        request_id: The caller's request id, or an empty string.
        budget: Milliseconds left until the deadline.
        plan_version: The plan that the entry routed by.
        method: HTTP method.
        path: HTTP path and query towards the target.
        content_type: Content type of the body.
        body: The body.
    """

    query: int
    service: str
    kind: str
    shard: int
    key: str
    member: str
    request_id: str
    budget: float
    plan_version: int
    method: str
    path: str
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True)
class CallReply:
    """The outcome of one call.

    Attributes:
        query: The number of the Call.
        code: A codes.ResultCode.
        status: HTTP status of the target, or 0.
        content_type: Content type of the body.
        body: The body.
        target: The target that was asked, or an empty string.
        plan_version: The plan that the gate has installed.
        queued: Calls that wait at the gate for the service.
    """

    query: int
    code: int
    status: int
    content_type: str
    body: bytes
    target: str
    plan_version: int
    queued: int


@dataclasses.dataclass(slots=True)
class CancelCall:
    """Tells a gate that nobody waits for a call any more."""

    query: int


TYPES: tuple[type, ...] = (
    Hello,
    Heartbeat,
    Renew,
    Promise,
    Lapse,
    LapseReply,
    ReleaseTarget,
    ReleaseTargetReply,
    ReleaseShards,
    ReleaseShardsReply,
    Subscribe,
    Members,
    PlanPush,
    ConfigPush,
    Call,
    CallReply,
    CancelCall,
)
"""Message types; the position of a type is its number on the wire."""

REPLIES = (LapseReply, ReleaseTargetReply, ReleaseShardsReply, CallReply)
"""Types that answer a request with the same query number."""

Message = functools.reduce(operator.or_, TYPES)
