"""The platform's documents, well and badly formed."""

import json

import pytest

from jujubeyard import errors
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.store import changes as meanings
from jujubeyard.store import interface

ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {"service": "desk", "version": "v1", "zone": "z1", "slots": 6},
    "status": {"state": "ready", "seq": 4, "coldLeft": "1500ms"},
    "born": 1776851943024,
}
CONFIGURATION = {
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


def _with(path, value, document):
    """Returns a copy with a field set, or removed if the value is DROP."""
    copy = json.loads(json.dumps(document))
    *parents, last = path
    inner = copy
    for name in parents:
        inner = inner[name]
    if value is DROP:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(copy).encode()


DROP = object()


def test_an_entry_is_read():
    listing = documents.parse_listing("servers/i-1", json.dumps(ENTRY).encode())
    assert listing.target_id == "i-1"
    assert listing.cold_seconds == 1.5
    assert listing.born == 1776851943024
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
        (["born"], "x"),
        (["born"], 1.5),
        (["born"], None),
    ],
)
def test_malformed_entries_name_no_target(path, value):
    body = _with(path, value, ENTRY)
    with pytest.raises(errors.FormatError):
        documents.parse_listing("servers/i-1", body)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null"])
def test_bytes_that_cannot_be_read(body):
    with pytest.raises(errors.FormatError):
        documents.parse_listing("servers/i-1", body)
    with pytest.raises(errors.FormatError):
        documents.parse_configuration(body)


def test_a_configuration_is_read():
    found = documents.parse_configuration(json.dumps(CONFIGURATION).encode())
    assert found.version == 7
    assert found.services["desk"].keyed
    assert not found.services["book"].keyed
    (route,) = found.routes
    assert [part.weight for part in route.parts] == [90.0, 10.0]
    assert (route.timeout, route.objective) == (1.5, 0.5)
    assert route.idempotent


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["version"], "7x"),
        (["version"], 7),
        (["resources"], DROP),
        (["resources", 0, "spec", "host"], DROP),
        (["resources", 0, "spec", "kind"], "odd"),
        (["resources", 0, "spec", "timeout"], DROP),
        (["resources", 0, "spec", "prefix"], "x"),
        (["resources", 0, "spec", "trafficSplit", 0, "service"], "other"),
    ],
)
def test_malformed_configurations_are_refused(path, value):
    with pytest.raises(errors.FormatError):
        documents.parse_configuration(_with(path, value, CONFIGURATION))


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
def test_load_headers(text, expected):
    found = documents.parse_load_report(text)
    if found is None:
        assert expected is None
        return
    seen = (found.running, found.waiting, found.slots, found.slowness)
    assert seen == expected


@pytest.mark.parametrize(
    ("key", "value", "kind"),
    [
        ("servers/i-1", json.dumps(ENTRY).encode(), meanings.TargetListed),
        ("servers/i-1", None, meanings.TargetRemoved),
        ("op/evacuate/z1", b"{}", meanings.ZoneChanged),
        ("op/evacuate/z1", None, meanings.ZoneChanged),
        (
            "op/config",
            json.dumps(CONFIGURATION).encode(),
            meanings.ConfigurationChanged,
        ),
        ("op/config", None, meanings.UnknownItem),
        ("jujubeyard/leader", b"x", meanings.RouterItemChanged),
        ("somebody/else", b"x", meanings.UnknownItem),
    ],
)
def test_meanings_of_items(key, value, kind):
    found = decoder.decode_item(interface.Item(key, value, 5, 5))
    assert isinstance(found, kind)
