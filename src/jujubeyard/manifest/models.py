"""Pydantic models that validate the manifest and the settings files."""

import re
import typing

import pydantic

from jujubeyard.manifest import address as addresses

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
MAX_SHARDS = 65_536
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 65_536
MAX_DEADLINE_MS = 600_000
MAX_URGENCY = 9
MAX_WEIGHT = 1_000_000.0
LOCATOR_PATTERN = re.compile(r"^(header|query):[A-Za-z0-9_-]+$|^path:[0-9]+$")

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class StrictModel(pydantic.BaseModel):
    """A model that rejects unknown keys and does not convert types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


def _check_locator(value: str) -> str:
    if not LOCATOR_PATTERN.match(value):
        raise ValueError('must be "header:NAME", "query:NAME" or "path:INDEX"')
    return value


Locator = typing.Annotated[str, pydantic.AfterValidator(_check_locator)]


def _check_address(value: str) -> str:
    try:
        addresses.split(value)
    except ValueError as exc:
        raise ValueError(f'must be "IP:PORT": {exc}') from exc
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


class RequestLocators(StrictModel):
    """Where the router finds the fields of a request.

    A path index counts the path segments after the service's name from 0.

    Attributes:
        key: Location of the key.
        member: Location of the member that the call is billed to.
        kind: Location of the kind of call.
        request_id: Location of the request id.
    """

    key: Locator = "header:X-Key"
    member: Locator = "header:X-Member"
    kind: Locator = "header:X-Kind"
    request_id: Locator = "header:X-Request-Id"


class Kind(StrictModel):
    """One kind of call.

    Attributes:
        name: Name of the kind.
        idempotent: Whether a call may safely run more than once.
        urgency: Urgency of the calls; 0 is the most urgent.
        weight: Cost of a call in billing and fair sharing.
        deadline_ms: Default deadline, in milliseconds after the call arrives.
    """

    name: Name
    idempotent: bool = False
    urgency: int = pydantic.Field(5, ge=0, le=MAX_URGENCY)
    weight: float = pydantic.Field(1.0, gt=0, le=MAX_WEIGHT, strict=False)
    deadline_ms: int = pydantic.Field(2_000, ge=1, le=MAX_DEADLINE_MS)


class Target(StrictModel):
    """One target of a service.

    Attributes:
        name: Name of the target, unique across all services.
        zone: Availability zone of the target.
        address: Address of the target, "IP:PORT".
    """

    name: Name
    zone: Name
    address: Address


class Service(StrictModel):
    """One service.

    Attributes:
        name: Name of the service, the first path segment of its calls.
        keyed: Whether each key is owned by one target.
        shards: Number of shards of the service's keys or request ids.
        slots: Maximum number of concurrent calls at a target.
        cold_slots: Maximum number of concurrent calls at a cold target.
        warm_calls: Calls that a cold target must answer before its limit can
            rise.
        connections: Maximum number of connections to a target.
        checks_grants: Whether the targets refuse calls without a grant.
        request_ids: Form of the request ids of non-repeatable kinds; after
            the loss of a gate, duplicates are recognized only if the ids are
            UUIDs of version 7.
        queue: Maximum number of calls in one queue.
        hedge: Whether slow idempotent calls of a service without keys are
            also sent to a second target.
        find: Where the router finds the fields of a request.
        kinds: The kinds of call.
        targets: The targets of the service.
    """

    name: Name
    keyed: bool = False
    shards: int = pydantic.Field(256, ge=1, le=MAX_SHARDS)
    slots: int = pydantic.Field(6, ge=1, le=MAX_SLOTS)
    cold_slots: int = pydantic.Field(1, ge=1, le=MAX_SLOTS)
    warm_calls: int = pydantic.Field(20, ge=0, le=1_000_000)
    connections: int = pydantic.Field(100, ge=1, le=MAX_CONNECTIONS)
    checks_grants: bool = False
    request_ids: typing.Literal["uuid7", "opaque"] = "uuid7"
    queue: int = pydantic.Field(200, ge=1, le=100_000)
    hedge: bool = True
    find: RequestLocators = RequestLocators()
    kinds: list[Kind] = pydantic.Field(alias="kind", min_length=1)
    targets: list[Target] = pydantic.Field(alias="target", min_length=1)

    @pydantic.model_validator(mode="after")
    def _validate_service(self):
        _check_unique("kind", [kind.name for kind in self.kinds])
        if self.cold_slots > self.slots:
            raise ValueError("cold_slots must be at most slots")
        if self.connections < self.slots:
            raise ValueError("connections must be at least slots")
        if self.keyed and self.shards < len(self.targets):
            raise ValueError("shards must be at least the number of targets")
        return self


class Manifest(StrictModel):
    """The configuration that operators declare.

    Attributes:
        cluster: Name of the cluster.
        zones: Names of the availability zones.
        services: The services.
    """

    cluster: Name
    zones: list[Name] = pydantic.Field(min_length=1)
    services: list[Service] = pydantic.Field(alias="service", min_length=1)

    @pydantic.model_validator(mode="after")
    def _validate_manifest(self):
        _check_unique("zone", self.zones)
        _check_unique("service", [service.name for service in self.services])
        targets = [
            target for service in self.services for target in service.targets
        ]
        _check_unique("target", [target.name for target in targets])
        _check_unique("address", [target.address for target in targets])
        for target in targets:
            if target.zone not in self.zones:
                raise ValueError(
                    f"target {target.name!r} is in the unknown zone "
                    f"{target.zone!r}"
                )
        return self


def _check_unique(label: str, names: list[str]) -> None:
    unique_names = set()
    for name in names:
        if name in unique_names:
            raise ValueError(f"{label} {name!r} stands twice")
        unique_names.add(name)
