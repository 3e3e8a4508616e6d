"""Tests of documents and datagrams that no regular writer produces."""

import base64
import json
import time

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard import errors
from jujubeyard.node import cluster_view
from jujubeyard.node import datagrams
from jujubeyard.ownership import demand
from jujubeyard.ownership import table
from jujubeyard.platform import configurations
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.platform import store
from jujubeyard.store import interface
from jujubeyard.targets import loads
from tests.platform import test_documents
from tests.utils import fakes

NESTED = b"[" * 200_000
HUGE_INTEGER = b'{"a":' + b"9" * 5000 + b"}"
SEEDED = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
ODD_VALUES = [
    None,
    True,
    -1,
    0,
    0.5,
    10**400,
    2**63,
    1e308,
    float("inf"),
    float("nan"),
    "",
    "\ud800",
    "x" * 1_000_000,
    "9" * 5000,
    "1e999s",
    "-1s",
    "nans",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\uff18\uff10",
    "10.0.0.1:8_0",
    "10.0.0.1:-80",
    [],
    {},
    [[[]]],
]
LISTING_PATHS = [
    ("address",),
    ("info",),
    ("info", "service"),
    ("info", "version"),
    ("info", "zone"),
    ("info", "slots"),
    ("status",),
    ("status", "state"),
    ("status", "seq"),
    ("status", "coldLeft"),
    ("born",),
]
VALID_ODD_FIELDS = {
    ("info", "service"),
    ("info", "version"),
    ("info", "zone"),
    ("status", "seq"),
}
ODD_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=9)
    | strategies.sampled_from(ODD_VALUES[5:15]),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=8,
)


def _replace(document, path, value):
    copy = json.loads(json.dumps(document))
    parent = copy
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return json.dumps(copy).encode()


@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        b'{"info":' + NESTED,
        b'{"a":' * 100_000,
        HUGE_INTEGER,
        b"\xff\xfe{}",
        b'{"a":"' + b"x" * 1_000_000,
        b'{"born":NaN}',
    ],
    ids=["array", "field", "objects", "integer", "bytes", "cut", "constant"],
)
@pytest.mark.parametrize(
    "parse",
    [
        documents.parse_json_object,
        configurations.parse_configuration,
        lambda body: documents.parse_listing("servers/i-1", body),
    ],
    ids=["object", "configuration", "listing"],
)
def test_odd_document_is_rejected_with_a_short_message(parse, body):
    with pytest.raises(errors.FormatError) as raised:
        parse(body)
    assert len(raised.value.message) < 500


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: repr(v)[:20])
@pytest.mark.parametrize("path", LISTING_PATHS, ids=".".join)
def test_listing_with_an_odd_field_names_no_target(path, value):
    body = _replace(test_documents.LISTING, path, value)
    try:
        documents.parse_listing("servers/i-1", body)
    except errors.FormatError as exc:
        assert len(exc.message) < 500
        return
    assert path in VALID_ODD_FIELDS


def _drop(path):
    copy = json.loads(json.dumps(test_documents.LISTING))
    parent = copy
    for name in path[:-1]:
        parent = parent[name]
    del parent[path[-1]]
    return json.dumps(copy).encode()


def _make_view(log):
    return cluster_view.ClusterView(
        decoder.PREFIXES,
        decoder.decode_item,
        decoder.change_for_malformed_item,
        log,
    )


@pytest.mark.parametrize("path", LISTING_PATHS, ids=".".join)
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_odd_listing_does_not_take_back_that_a_target_drains(path, is_snapshot):
    """review/9: an entry without `born` made nodes forget a draining target."""
    view = _make_view(fakes.RecordingJournal())
    draining = _replace(test_documents.LISTING, ("status", "state"), "draining")
    since = None
    for body in (draining, _drop(path), draining):
        items = [interface.Item("servers/i-1", body, 1, 1)]
        if is_snapshot:
            view.apply_snapshot("servers/", items, 0.0)
        else:
            view.apply_changes(items, 0.0)
        target = view.registry.targets["i-1"]
        since = since or target.draining_since
        assert target.draining_since == since
        assert not view.registry.is_available(target, time.monotonic())


def test_odd_listing_does_not_hide_the_other_listings():
    log = fakes.RecordingJournal()
    view = _make_view(log)
    sound = json.dumps(test_documents.LISTING).encode()
    items = [
        interface.Item("servers/odd-1", NESTED, 1, 1),
        interface.Item("servers/i-1", sound, 2, 2),
        interface.Item("servers/odd-2", HUGE_INTEGER, 3, 3),
        interface.Item("servers/i-2", sound, 4, 4),
    ]
    view.apply_snapshot("servers/", items, 0.0)
    view.apply_changes(items, 0.0)
    assert set(view.registry.targets) == {"i-1", "i-2"}
    assert log.count("malformed store item ignored") == 4


@SEEDED
@hypothesis.given(ODD_JSON, strategies.sampled_from(LISTING_PATHS))
def test_fuzzed_listing_is_parsed_or_rejected(value, path):
    body = _replace(test_documents.LISTING, path, value)
    try:
        documents.parse_listing("servers/i-1", body)
    except errors.FormatError:
        return


@SEEDED
@hypothesis.given(
    ODD_JSON,
    strategies.sampled_from(
        [
            ("version",),
            ("routes",),
            ("routes", "rows"),
            ("services", "columns"),
            ("limits",),
            *(("routes", "rows", 0, column) for column in range(10)),
            *(("services", "rows", 0, column) for column in range(6)),
        ]
    ),
)
def test_fuzzed_configuration_is_parsed_or_rejected(value, path):
    body = _replace(test_documents.CONFIGURATION, path, value)
    try:
        parsed = configurations.parse_configuration(body)
    except errors.FormatError:
        return
    for error in parsed.errors:
        assert len(f"{error}") < 600
    names = {error.name for error in parsed.errors}
    for route in parsed.unreadable_routes:
        assert route.name in names
    for route in parsed.routes:
        assert all(part.service in parsed.services for part in route.shares)


@pytest.mark.parametrize(
    "text",
    [
        "inf,0,8",
        "nan,0,8",
        "3,0,8,inf",
        "3,0,8,-5",
        "1e9,0,8",
        "-1,0,8",
        "9" * 5000 + ",0,8",
        "3,0," + "9" * 30,
        "\uff13,0,8",
    ],
    ids=lambda text: text[:10],
)
def test_odd_load_header_is_ignored(text):
    assert documents.parse_load_report(text) is None


@SEEDED
@hypothesis.given(strategies.text(alphabet="0123456789.,-+einfa ", max_size=30))
def test_fuzzed_load_header_gives_usable_numbers(text):
    report = documents.parse_load_report(text)
    if report is not None:
        load = loads.TargetLoad()
        load.observe_report(report, 1.0)
        assert 0.0 <= load.expected_seconds(report.slots, 1.0) < 1e12


REPORT = demand.Report("desk", {1: 2}, {"t1": (2, 0.5)})
OWNER = table.Owner("t1", 1, "10.0.0.1:80")
UPDATE = table.Update("desk", 1, 2, (table.Shard(0, 9, OWNER, 5, ""),))
LOADS = datagrams.TargetLoads(
    (loads.AgedReport("t1", loads.LoadReport(1, 2, 3, 1.0), 0.25),)
)
BEACON = datagrams.Beacon({"desk": 4}, {"op/": 5})


@pytest.mark.parametrize("message", [REPORT, UPDATE, LOADS, BEACON])
def test_datagram_decodes_to_the_same_message(message):
    assert datagrams.decode(datagrams.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x81" * 60_000,
        b"\xa1\x00" * 30_000,
        cbor2.dumps([["report"], 1]),
        cbor2.dumps([{}, 1]),
        cbor2.dumps(["report", "desk", {1024: 1}, {}]),
        cbor2.dumps(["report", "desk", {1: 1}, {"t": (1, float("nan"))}]),
        cbor2.dumps(["report", "desk", {1: 10**400}, {}]),
        cbor2.dumps(["beacon", {"desk": -1}, {}]),
        cbor2.dumps(["beacon", {"desk": 2**70}, {}]),
        cbor2.dumps(["loads", [["t", 1, 1, 0, 100, 1]]]),
        cbor2.dumps(["loads", [["t", 1, 1, 1, float("inf"), 1]]]),
        cbor2.dumps(["update", "desk", 1, 2, 1, [], [[0, 9, -1, 1]]]),
        cbor2.dumps(
            ["update", "desk", 1, 2, 1, [["t", 1, "a"]], [[9, 0, 0, 1]]]
        ),
    ],
)
def test_odd_datagram_is_rejected(data):
    with pytest.raises(errors.FormatError) as raised:
        datagrams.decode(data)
    assert len(raised.value.message) < 500


@SEEDED
@hypothesis.given(strategies.binary(max_size=200))
def test_fuzzed_datagram_is_decoded_or_rejected(data):
    try:
        datagrams.decode(data)
    except errors.FormatError:
        return


@SEEDED
@hypothesis.given(
    strategies.sampled_from(["report", "update", "beacon", "loads"]),
    strategies.lists(ODD_JSON, max_size=6),
)
def test_fuzzed_datagram_fields_are_decoded_or_rejected(kind, values):
    try:
        data = cbor2.dumps([kind, *values])
    except (ValueError, OverflowError, UnicodeEncodeError):
        return
    try:
        datagrams.decode(data)
    except errors.FormatError:
        return


@SEEDED
@hypothesis.given(strategies.binary(max_size=200))
def test_fuzzed_shard_table_is_decoded_or_rejected(body):
    try:
        table.decode("desk", body, 1)
    except errors.FormatError:
        return


@pytest.mark.parametrize(
    "page",
    [
        {},
        {"items": 1, "storeRevision": 1, "hasMore": False},
        {"items": [{}], "storeRevision": 1, "hasMore": False},
        {"items": [], "storeRevision": "x", "hasMore": False},
        {
            "items": [{"key": "a", "value": "%", "revision": 1}],
            "storeRevision": 1,
            "hasMore": False,
        },
        {
            "items": [
                {
                    "key": "a",
                    "value": base64.b64encode(b"1").decode(),
                    "revision": 2**70,
                }
            ],
            "storeRevision": 1,
            "hasMore": False,
        },
    ],
)
def test_odd_reply_of_the_store_is_a_failure(page):
    outcome = store._decode(store._decode_page, page)
    assert outcome.err_value.kind is interface.FailureKind.UNKNOWN
