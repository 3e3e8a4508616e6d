"""Messages between the processes of a cluster.

On the wire a message is a CBOR array of its type ID and its fields, in order.
Durations are in milliseconds unless stated otherwise. A holder is the
"vm/incarnation" of a gate, a witness is the "vm/incarnation" of a controller.
"""

import dataclasses
import functools
import operator


@dataclasses.dataclass(slots=True)
class Hello:
    """The first message on a link, in both directions.

    Attributes:
        cluster: Name of the sender's cluster.
        role: The sender's role: entry, gate, controller or operator.
        vm: Name of the sender's VM.
        incarnation: Identifies one run of the sender.
        nonce: The challenge that the peer's reply has to sign.
        mac: Signature of the other fields and of the peer's nonce.
    """

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
        address: Address of its link server.
        zone: Its availability zone.
        config_version: Version of its installed configuration.
        plan_version: Version of its installed plan.
        store_ok: Whether it can reach the store.
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
    """A gate's request to renew its lease, which is also its heartbeat.

    Attributes:
        renewal_id: Identifies the renewal; the promise repeats it.
        holder: The gate's incarnation.
        address: Address of the gate's link server.
        zone: The gate's availability zone.
        plan_version: Version of the gate's installed plan.
        config_version: Version of the gate's installed configuration.
        settled_version: The gate has acquired all targets and shards that
            plans up to this version assign to it.
        leaving: Whether the gate is shutting down.
        lost: Names of targets held by the gate that don't respond.
        loads: Weighted calls per second of the shards with load, as [service,
            shard, load].
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
    """A controller's reply to Renew.

    Attributes:
        renewal_id: The ID of the Renew.
        witness: The controller's incarnation.
        granted: Whether the witness promises not to let another gate take
            over before the promise expires.
        plan_version: Version of the controller's installed plan.
        config_version: Version of the controller's installed configuration.
    """

    renewal_id: int
    witness: str
    granted: bool
    plan_version: int
    config_version: int


@dataclasses.dataclass(slots=True)
class Lapse:
    """Asks a witness to refuse further renewals of a holder.

    Attributes:
        query: Identifies the request on its link.
        holder: The gate whose targets are taken over.
        below_version: Renewals under plans below this version are refused.
    """

    query: int
    holder: str
    below_version: int


@dataclasses.dataclass(slots=True)
class LapseReply:
    """A witness's reply to Lapse.

    Attributes:
        query: The ID of the request.
        witness: The controller's incarnation.
        remaining: Milliseconds until the last promise to the holder under
            plans below the requested version expires; 0 if there is none.
        uptime: Milliseconds since the controller started.
    """

    query: int
    witness: str
    remaining: float
    uptime: float


@dataclasses.dataclass(slots=True)
class ReleaseTarget:
    """Asks the former holder of a target to release it.

    Attributes:
        query: Identifies the request on its link.
        target: Name of the target.
        below_version: Version of the plan that assigns the target to the
            sender; the gate has to install it first.
    """

    query: int
    target: str
    below_version: int


@dataclasses.dataclass(slots=True)
class ReleaseTargetReply:
    """The reply to ReleaseTarget.

    Attributes:
        query: The ID of the request.
        released: Whether the gate has released the target. It then has no
            call in flight there.
        ids: Request IDs that the gate remembers for the target's shards, as
            [service, shard, request ID].
        horizons: Times before which the gate remembers no request IDs, as
            [service, shard, Unix time in seconds].
        busy: Milliseconds until calls that may still run at the target have
            certainly ended.
        limit: Limit on calls in flight at the target; 0 if unknown.
        incarnation: The target's incarnation that the limit applies to.
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
    """Asks the gate of the former owner of shards to release them.

    Attributes:
        query: Identifies the request on its link.
        service: Name of the service.
        target: Name of the former owner.
        shards: The shards to release.
        below_version: Version of the plan that assigns the shards to the new
            owner; the gate has to install it first.
    """

    query: int
    service: str
    target: str
    shards: list
    below_version: int


@dataclasses.dataclass(slots=True)
class ReleaseShardsReply:
    """The reply to ReleaseShards.

    Attributes:
        query: The ID of the request.
        released: The shards that the gate has released.
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
        plan_version: Version of the sender's installed plan.
        config_version: Version of the sender's installed configuration.
    """

    plan_version: int
    config_version: int


@dataclasses.dataclass(slots=True)
class Members:
    """The live controllers.

    Attributes:
        controllers: Rows of [name, zone, address].
    """

    controllers: list


@dataclasses.dataclass(slots=True)
class PlanPush:
    """A complete plan.

    Attributes:
        version: Version of the plan.
        body: The encoded plan.
    """

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class ConfigPush:
    """A complete configuration.

    Attributes:
        version: Version of the configuration.
        body: The encoded configuration record.
    """

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Call:
    """One call, from an entry to a gate.

    Attributes:
        query: Identifies the call on its link.
        service: Name of the service.
        kind: Name of the call kind.
        shard: Shard of the key or of the request ID; -1 if any target of the
            gate can handle the call.
        key: The key, or an empty string.
        member: The member that the call is billed to.
        request_id: The caller's request ID, or an empty string.
        budget: Milliseconds left until the deadline.
        plan_version: Version of the plan that the entry routed the call by.
        method: HTTP method.
        path: HTTP path and query string of the request to the target.
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
        query: The ID of the call.
        code: The value of a codes.ResultCode.
        status: HTTP status of the target's response, or 0.
        content_type: Content type of the body.
        body: The body.
        target: The target that the call was sent to, or an empty string.
        plan_version: Version of the gate's installed plan.
        queued: Number of calls for the service that are queued at the gate.
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
    """Notifies a gate that a call's reply is no longer needed.

    Attributes:
        query: The ID of the call.
    """

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
"""Message types; the index of a type is its type ID on the wire."""

REPLIES = (LapseReply, ReleaseTargetReply, ReleaseShardsReply, CallReply)
"""Types of replies, which carry the `query` ID of their request."""

Message = functools.reduce(operator.or_, TYPES)
