"""Tests of parsing valid and malformed documents of the platform."""

import json

import pytest

from jujubeyard import errors
from jujubeyard.platform import configurations
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.routing import config
from jujubeyard.store import changes
from jujubeyard.store import interface

LISTING = {
    "address": "10.128.0.9:8080",
    "info": {"service": "desk", "version": "v1", "zone": "z1", "slots": 6},
    "status": {"state": "ready", "seq": 4, "coldLeft": "1500ms"},
    "born": 1776851943024,
}
CONFIGURATION = {
    "version": "r7",
    "baseVersion": "r5",
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout",
            "targetLatency",
            "priority",
            "trafficSplit",
            "maxAttempts",
            "service",
        ],
        "rows": [
            [
                "r1",
                "jepu9.example",
                "/lepu270/",
                "safe",
                "1500ms",
                "500ms",
                2,
                [
                    {"service": "desk", "weight": 90},
                    {"service": "book", "weight": 10},
                ],
                2,
                None,
            ],
        ],
    },
    "services": {
        "columns": [
            "name",
            "healthPath",
            "maxConns",
            "coldStart",
            "coldPerS",
            "sharded",
        ],
        "rows": [
            ["desk", "/health", 130, "3s", 11.0, True],
            ["book", "/health", 130, None, None, None],
        ],
    },
    "limits": {"maxBodyBytes": 67108864},
}
EARLIER_CONFIGURATION = {
    "version": "r7",
    "baseVersion": "r5",
    "resources": [
        {
            "resourceKind": "routes",
            "metadata": {"name": "r1"},
            "spec": {
                "host": "jepu9.example",
                "prefix": "/lepu270/",
                "kind": "safe",
                "timeout": "1500ms",
                "targetLatency": "500ms",
                "priority": 2,
                "trafficSplit": [
                    {"service": "desk", "weight": 90},
                    {"service": "book", "weight": 10},
                ],
                "maxAttempts": 2,
            },
        },
        {
            "resourceKind": "services",
            "metadata": {"name": "desk"},
            "spec": {
                "healthPath": "/health",
                "maxConns": 130,
                "coldStart": "3s",
                "coldPerS": 11.0,
                "sharded": True,
            },
        },
        {
            "resourceKind": "services",
            "metadata": {"name": "book"},
            "spec": {"healthPath": "/health", "maxConns": 130},
        },
        {
            "resourceKind": "limits",
            "metadata": {},
            "spec": {"maxBodyBytes": 67108864},
        },
    ],
}


def _encode_with(path, value, document):
    """Encodes a copy with a field set, or removed if the value is DROP."""
    copy = json.loads(json.dumps(document))
    *parents, last = path
    parent = copy
    for name in parents:
        parent = parent[name]
    if value is DROP:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(copy).encode()


DROP = object()


def test_parses_listing():
    listing = documents.parse_listing(
        "servers/i-1", json.dumps(LISTING).encode()
    )
    assert listing.target_id == "i-1"
    assert listing.cold_seconds == 1.5
    assert listing.born == 1776851943024
    assert listing.seq == 4
    assert not listing.draining


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["address"], "nowhere"),
        (["address"], "host.example:80"),
        (["address"], "10.0.0.1:99999"),
        (["address"], 5),
        (["address"], DROP),
        (["info"], []),
        (["info", "service"], DROP),
        (["info", "service"], ["desk"]),
        (["info", "zone"], 1),
        (["info", "slots"], "6"),
        (["info", "slots"], True),
        (["info", "slots"], 0),
        (["status", "state"], "asleep"),
        (["status", "state"], []),
        (["status", "coldLeft"], 5),
        (["status", "coldLeft"], "soon"),
        (["status"], "ready"),
        (["info", "version"], DROP),
        (["info", "version"], 1),
        (["status", "state"], DROP),
        (["status", "seq"], DROP),
        (["status", "seq"], "4"),
        (["status", "seq"], -1),
        (["status", "coldLeft"], DROP),
        (["born"], DROP),
        (["born"], 0),
        (["born"], "x"),
        (["born"], 1.5),
        (["born"], None),
    ],
)
def test_rejects_malformed_listing(path, value):
    body = _encode_with(path, value, LISTING)
    with pytest.raises(errors.FormatError):
        documents.parse_listing("servers/i-1", body)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2500", 2.5),
        ("0", 0.0),
        ("-1", 0.0),
        ("", 0.0),
        ("soon", 0.0),
        ("inf", 0.0),
        ("nan", 0.0),
    ],
)
def test_parses_how_long_a_target_stays_cold(text, seconds):
    assert documents.parse_cold_seconds(text) == seconds


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null"])
def test_rejects_body_that_is_not_a_json_object(body):
    with pytest.raises(errors.FormatError):
        documents.parse_listing("servers/i-1", body)
    with pytest.raises(errors.FormatError):
        configurations.parse_configuration(body)


@pytest.mark.parametrize("document", [CONFIGURATION, EARLIER_CONFIGURATION])
def test_parses_configuration(document):
    parsed = configurations.parse_configuration(json.dumps(document).encode())
    assert parsed.version == 7
    assert parsed.services["desk"].keyed
    assert not parsed.services["book"].keyed
    (route,) = parsed.routes
    assert [part.weight for part in route.shares] == [90.0, 10.0]
    assert (route.timeout, route.objective) == (1.5, 0.5)
    assert route.idempotent
    assert parsed.max_body_bytes == 67108864


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False)],
)
def test_kind_of_a_route_says_whether_its_calls_are_idempotent(
    kind, idempotent
):
    path = ["routes", "rows", 0, 3]
    body = _encode_with(path, kind, CONFIGURATION)
    (route,) = configurations.parse_configuration(body).routes
    assert route.idempotent is idempotent


@pytest.mark.parametrize(
    ("path", "value", "document"),
    [
        (["version"], "7x", CONFIGURATION),
        (["version"], 7, CONFIGURATION),
        (["routes"], DROP, CONFIGURATION),
        (["services"], DROP, CONFIGURATION),
        (["routes", "columns"], DROP, CONFIGURATION),
        (["routes", "columns", 0], 1, CONFIGURATION),
        (["routes", "rows"], {}, CONFIGURATION),
        (["version"], "7x", EARLIER_CONFIGURATION),
        (["version"], 7, EARLIER_CONFIGURATION),
        (["resources"], DROP, EARLIER_CONFIGURATION),
        (["resources"], {}, EARLIER_CONFIGURATION),
    ],
)
def test_rejects_malformed_configuration(path, value, document):
    with pytest.raises(errors.FormatError):
        configurations.parse_configuration(_encode_with(path, value, document))


ROW = ["routes", "rows", 0]
SPLIT = "trafficSplit[0]"
PLACED, NO_HOST, NO_PREFIX, UNPLACED = (
    ("jepu9.example", "/lepu270/"),
    (None, "/lepu270/"),
    ("jepu9.example", None),
    (None, None),
)


@pytest.mark.parametrize(
    ("path", "value", "entry", "field", "placed"),
    [
        (ROW, ["r1"], "#1", "", UNPLACED),
        ([*ROW, 0], None, "#1", "name", PLACED),
        ([*ROW, 1], None, "r1", "host", NO_HOST),
        ([*ROW, 2], "x", "r1", "prefix", NO_PREFIX),
        ([*ROW, 3], "odd", "r1", "kind", PLACED),
        ([*ROW, 3], ["safe"], "r1", "kind", PLACED),
        ([*ROW, 4], None, "r1", "timeout", PLACED),
        ([*ROW, 6], "2", "r1", "priority", PLACED),
        ([*ROW, 7, 0], "desk", "r1", SPLIT, PLACED),
        ([*ROW, 7, 0, "service"], "other", "r1", f"{SPLIT}.service", PLACED),
        ([*ROW, 7, 0, "weight"], -1, "r1", f"{SPLIT}.weight", PLACED),
        ([*ROW, 7], [], "r1", "trafficSplit", PLACED),
        ([*ROW, 7], None, "r1", "service", PLACED),
    ],
)
def test_unreadable_route_leaves_the_other_entries_in_force(
    path, value, entry, field, placed
):
    document = json.loads(json.dumps(CONFIGURATION))
    document["routes"]["rows"].append([*document["routes"]["rows"][0]])
    document["routes"]["rows"][1][:3] = ["r2", "jepu9.example", "/"]
    parsed = configurations.parse_configuration(
        _encode_with(path, value, document)
    )
    assert [route.name for route in parsed.routes] == ["r2"]
    (unreadable,) = parsed.unreadable_routes
    assert (unreadable.host, unreadable.prefix) == placed
    (error,) = parsed.errors
    assert error.kind is config.EntryKind.ROUTE
    assert (error.name, error.field) == (entry, field)
    assert error.expected and error.found
    assert parsed.version == 7
    assert set(parsed.services) == {"desk", "book"}


RESOURCE = ["resources", 0]


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ([*RESOURCE], 5, ("other", "#1", "")),
        ([*RESOURCE, "resourceKind"], "x", ("other", "r1", "resourceKind")),
        ([*RESOURCE, "metadata"], DROP, ("route", "#1", "name")),
        ([*RESOURCE, "spec"], [], ("route", "#1", "")),
        ([*RESOURCE, "spec", "host"], DROP, ("route", "r1", "host")),
        ([*RESOURCE, "spec", "kind"], "odd", ("route", "r1", "kind")),
        ([*RESOURCE, "spec", "prefix"], "x", ("route", "r1", "prefix")),
        (["resources", 3, "spec"], {}, ("limits", "#1", "maxBodyBytes")),
    ],
)
def test_unreadable_resource_is_named(path, value, place):
    body = _encode_with(path, value, EARLIER_CONFIGURATION)
    parsed = configurations.parse_configuration(body)
    (error,) = parsed.errors
    assert (error.kind.value, error.name, error.field) == place
    assert set(parsed.services) == {"desk", "book"}


@pytest.mark.parametrize(
    ("path", "value", "found"),
    [
        (["services", "rows", 0, 0], "other", [("r1", f"{SPLIT}.service")]),
        (
            ["services", "rows", 0, 2],
            "130",
            [("desk", "maxConns"), ("r1", f"{SPLIT}.service")],
        ),
        (
            ["services", "rows", 0, 5],
            "yes",
            [("desk", "sharded"), ("r1", f"{SPLIT}.service")],
        ),
        (ROW + [4], 1.5, [("r1", "timeout")]),
        (["limits"], DROP, [("#1", "maxBodyBytes")]),
        (["limits"], [], [("#1", "")]),
        (["limits", "maxBodyBytes"], "x", [("#1", "maxBodyBytes")]),
    ],
)
def test_all_errors_are_found(path, value, found):
    parsed = configurations.parse_configuration(
        _encode_with(path, value, CONFIGURATION)
    )
    assert [(error.name, error.field) for error in parsed.errors] == found


def test_the_last_service_of_a_name_is_in_force_and_named_as_an_error():
    document = json.loads(json.dumps(CONFIGURATION))
    rows = document["services"]["rows"]
    rows.append([rows[0][0], *rows[1][1:]])
    body = json.dumps(document).encode()
    parsed = configurations.parse_configuration(body)
    (error,) = parsed.errors
    assert (error.kind, error.field) == (config.EntryKind.SERVICE, "name")
    assert error.found == repr("desk")
    assert set(parsed.services) == {"desk", "book"}
    assert len(parsed.routes) == 1


def test_unreadable_limits_limit_no_body():
    body = _encode_with(["limits", "maxBodyBytes"], "x", CONFIGURATION)
    parsed = configurations.parse_configuration(body)
    assert parsed.max_body_bytes == configurations.UNLIMITED_BYTES
    assert len(parsed.routes) == 1


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,0,8", (3, 0, 8, 1.0)),
        ("3,2,8,250", (3, 2, 8, 2.5)),
        ("3,2", None),
        ("a,b,c", None),
        ("", None),
    ],
)
def test_parses_load_header(text, expected):
    report = documents.parse_load_report(text)
    if report is None:
        assert expected is None
        return
    fields = (report.running, report.waiting, report.slots, report.slowness)
    assert fields == expected


@pytest.mark.parametrize(
    ("key", "value", "kind"),
    [
        ("servers/i-1", json.dumps(LISTING).encode(), changes.TargetListed),
        ("servers/i-1", None, changes.TargetRemoved),
        ("op/evacuate/z1", b"{}", changes.ZoneChanged),
        ("op/evacuate/z1", None, changes.ZoneChanged),
        (
            "op/config",
            json.dumps(CONFIGURATION).encode(),
            changes.ConfigurationChanged,
        ),
        ("op/config", None, changes.UnknownItem),
        ("jujubeyard/leader", b"x", changes.RouterItemChanged),
        ("somebody/else", b"x", changes.UnknownItem),
    ],
)
def test_decodes_item(key, value, kind):
    change = decoder.decode_item(interface.Item(key, value, 5, 5))
    assert isinstance(change, kind)
