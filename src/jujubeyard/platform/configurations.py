"""Parses the operator's configuration.

An entry that can't be read doesn't make the others unreadable: the errors of
all entries are gathered (docs/design/unreadable-entries.md).
"""

import dataclasses

from jujubeyard import durations
from jujubeyard import fields
from jujubeyard.platform import documents
from jujubeyard.platform import entries
from jujubeyard.routing import config

IDEMPOTENT_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}
"""Whether calls of a route are idempotent, by the kind of the route."""

UNLIMITED_BYTES = fields.MAX_INTEGER
"""Limit of a body while the configuration's own can't be read; the node's
remains."""


def _parse_prefix(value: object) -> str:
    prefix = fields.check_text(value)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("prefix must start and end with '/'")
    return prefix


def _check_boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise TypeError("expected true or false")
    return value


def _check_parts(value: object) -> list:
    if not isinstance(value, list) or not value:
        raise TypeError("expected a list of parts")
    return value


NAME = entries.FieldType(
    fields.check_name, f"a name of at most {fields.MAX_NAME_LENGTH} characters"
)
TEXT = entries.FieldType(fields.check_text, "a text")
PREFIX = entries.FieldType(
    _parse_prefix, "a path that starts and ends with '/'"
)
KIND = entries.FieldType(
    IDEMPOTENT_BY_KIND.__getitem__, f"one of {', '.join(IDEMPOTENT_BY_KIND)}"
)
DURATION = entries.FieldType(
    durations.parse_seconds, "a duration such as 1500ms or 2.5s"
)
COUNT = entries.FieldType(fields.check_integer, "a whole number from 0 on")
NUMBER = entries.FieldType(fields.check_number, "a number from 0 on")
BOOLEAN = entries.FieldType(_check_boolean, "true or false")
PARTS = entries.FieldType(_check_parts, "a list of one part or more")

KIND_BY_GROUP = {
    "routes": config.EntryKind.ROUTE,
    "services": config.EntryKind.SERVICE,
    "limits": config.EntryKind.LIMITS,
}


def parse_configuration(body: bytes) -> config.Configuration:
    """Parses the operator's configuration.

    Raises:
        errors.FormatError: The document as a whole is malformed, so that its
            version or its entries aren't known.
    """
    with fields.reject_malformed("configuration"):
        document = documents.parse_json_object(body)
        version = fields.parse_decimal(
            document["version"].removeprefix("r"), fields.MAX_INTEGER
        )
        readers = _Readers.of_document(document)
    services = {}
    for reader in readers.services:
        service = _parse_service(reader)
        if service is not None:
            if service.name in services:
                expected = "a name that no earlier service has"
                reader.add_error("name", expected, service.name)
            services[service.name] = service
    routes, unreadable_routes = [], []
    for reader in readers.routes:
        route = _parse_route(reader, services)
        if isinstance(route, config.Route):
            routes.append(route)
        else:
            unreadable_routes.append(route)
    max_body_bytes = _parse_body_limit(readers.limits)
    return config.Configuration(
        version,
        tuple(routes),
        services,
        max_body_bytes,
        tuple(unreadable_routes),
        readers.gather_errors(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Readers:
    """Readers of all entries of a configuration, by what they describe."""

    services: list[entries.EntryReader]
    routes: list[entries.EntryReader]
    limits: entries.EntryReader
    others: list[entries.EntryReader]

    @classmethod
    def of_document(cls, document: dict) -> "_Readers":
        """Returns the readers for the entries of a document.

        They are in tables whose columns are named once, as deploy/wire.toml
        asks for; a configuration of many routes is less than half as large
        then. One that was stored before is a list of resources with a kind
        each.
        """
        others = []
        if "resources" in document:
            groups, others = _group_resources(document["resources"])
        else:
            groups = {
                "services": _expand_table(document["services"]),
                "routes": _expand_table(document["routes"]),
                "limits": [document.get("limits", {})],
            }
        limits = groups["limits"][-1] if groups["limits"] else {}
        return cls(
            _make_readers(config.EntryKind.SERVICE, groups["services"]),
            _make_readers(config.EntryKind.ROUTE, groups["routes"]),
            entries.EntryReader(config.EntryKind.LIMITS, 1, limits),
            others,
        )

    def gather_errors(self) -> tuple[config.EntryError, ...]:
        """Returns the errors that were found in all entries."""
        readers = [*self.services, *self.routes, self.limits, *self.others]
        return tuple(error for reader in readers for error in reader.errors)


def _make_readers(kind: config.EntryKind, group: list):
    return [
        entries.EntryReader(kind, position, entry)
        for position, entry in enumerate(group, 1)
    ]


def _expand_table(table: dict) -> list:
    """Returns the rows of a table as fields by their names.

    A row that doesn't fit the columns is returned as it is.
    """
    names, rows = table["columns"], table["rows"]
    if not isinstance(rows, list) or not isinstance(names, list):
        raise TypeError("a table needs a list of columns and one of rows")
    for name in names:
        fields.check_name(name)
    return [_expand_row(names, row) for row in rows]


def _expand_row(names: list[str], row: object) -> object:
    if not isinstance(row, list) or len(row) != len(names):
        return row
    return dict(zip(names, row, strict=True))


def _group_resources(
    resources: list,
) -> tuple[dict[str, list], list[entries.EntryReader]]:
    """Returns the resources by their kind, and readers with errors of others.

    Raises:
        TypeError: The resources are no list.
    """
    if not isinstance(resources, list):
        raise TypeError("resources are not a list")
    groups = {name: [] for name in KIND_BY_GROUP}
    others = []
    for position, resource in enumerate(resources, 1):
        kind = resource.get("resourceKind") if _is_object(resource) else None
        if isinstance(kind, str) and kind in groups:
            groups[kind].append(_join_fields(resource))
        else:
            others.append(_reject_resource(position, resource))
    return groups, others


def _is_object(value: object) -> bool:
    return isinstance(value, dict)


def _reject_resource(position: int, resource: object) -> entries.EntryReader:
    """Returns a reader with the error of a resource of an unknown kind."""
    if not _is_object(resource):
        return entries.EntryReader(config.EntryKind.OTHER, position, resource)
    metadata = resource.get("metadata")
    reader = entries.EntryReader(
        config.EntryKind.OTHER,
        position,
        metadata if _is_object(metadata) else {},
    )
    expected = f"one of {', '.join(KIND_BY_GROUP)}"
    reader.add_error("resourceKind", expected, resource.get("resourceKind"))
    return reader


def _join_fields(resource: dict) -> object:
    """Returns the fields of a resource together with its name."""
    metadata, spec = resource.get("metadata"), resource.get("spec")
    if not _is_object(spec):
        return spec
    return (metadata if _is_object(metadata) else {}) | spec


def _parse_service(reader: entries.EntryReader) -> config.Service | None:
    """Returns a service; None if it can't be read."""
    service = config.Service(
        name=reader.read("name", NAME),
        keyed=reader.read("sharded", BOOLEAN, False),
        max_connections=reader.read("maxConns", COUNT),
        cold_seconds=reader.read("coldStart", DURATION, 0.0),
        cold_rate=reader.read("coldPerS", NUMBER, 0.0),
        health_path=reader.read("healthPath", TEXT, "/"),
    )
    return None if reader.errors else service


def _parse_route(
    reader: entries.EntryReader, services: dict[str, config.Service]
) -> config.Route | config.UnreadableRoute:
    """Returns a route, or what is known of it if it can't be read."""
    route = config.Route(
        name=reader.read("name", NAME),
        host=reader.read("host", TEXT),
        prefix=reader.read("prefix", PREFIX),
        shares=_parse_shares(reader, services),
        idempotent=reader.read("kind", KIND),
        timeout=reader.read("timeout", DURATION),
        objective=reader.read("targetLatency", DURATION),
        max_targets=reader.read("maxAttempts", COUNT),
        urgency=reader.read("priority", COUNT),
    )
    if reader.errors:
        return config.UnreadableRoute(reader.label, route.host, route.prefix)
    return route


def _parse_shares(
    reader: entries.EntryReader, services: dict[str, config.Service]
) -> tuple[config.TrafficShare, ...]:
    """Returns the shares of a route; all services in it must be readable."""
    if not reader.has("trafficSplit"):
        service = _read_service_name(reader, services)
        return (config.TrafficShare(service, 1.0),)
    shares = []
    parts = reader.read("trafficSplit", PARTS)
    for number, part in enumerate(parts or ()):
        part_reader = reader.read_part(f"trafficSplit[{number}]", part)
        service = _read_service_name(part_reader, services)
        weight = part_reader.read("weight", NUMBER)
        shares.append(config.TrafficShare(service, weight))
    return tuple(shares)


def _read_service_name(
    reader: entries.EntryReader, services: dict[str, config.Service]
) -> str | None:
    name = reader.read("service", NAME)
    if name is not None and name not in services:
        reader.add_error("service", "the name of a readable service", name)
    return name


def _parse_body_limit(reader: entries.EntryReader) -> int:
    """Returns the largest size of a body, in bytes."""
    max_bytes = reader.read("maxBodyBytes", COUNT)
    return UNLIMITED_BYTES if max_bytes is None else max_bytes
