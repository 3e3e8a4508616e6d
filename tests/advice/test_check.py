"""Tests of the check of a configuration, also through the command line."""

import asyncio
import copy
import io
import json
import pathlib
import random
import re

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard import context
from jujubeyard import errors
from jujubeyard import status
from jujubeyard.advice import check
from jujubeyard.advice import findings
from jujubeyard.advice import limits
from jujubeyard.cli import core
from jujubeyard.platform import configurations
from jujubeyard.routing import match
from platform_standins import store
from tests.platform import test_documents
from tests.platform import test_odd_documents

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| (5\d+) \| `(\w+)` \| (\w+) \| ([^|]*) \| [^|]+ \|$")
Code = findings.FindingCode
DEPLOYMENT = limits.Deployment(0.03, 12, {"desk": 3, "book": 2})
COLUMNS = test_documents.CONFIGURATION["routes"]["columns"]
OTHER = {"name": "r2", "prefix": "/other/"}


def _document(route=(), other=None, desk=(), version="r7"):
    """Returns a sound configuration with some fields of entries replaced."""
    document = copy.deepcopy(test_documents.CONFIGURATION)
    document["version"] = version
    rows = document["routes"]["rows"]
    if other is not None:
        rows.append(list(rows[0]))
        _replace(rows[1], COLUMNS, other)
    _replace(rows[0], COLUMNS, dict(route))
    services = document["services"]
    _replace(services["rows"][0], services["columns"], dict(desk))
    return document


def _replace(row, columns, values):
    for name, value in values.items():
        row[columns.index(name)] = value


def _parse(document):
    return configurations.parse_configuration(json.dumps(document).encode())


def _codes(document, in_force=None, deployment=DEPLOYMENT):
    before = _parse(in_force) if in_force else None
    found = check.check_configuration(_parse(document), before, deployment)
    return [(finding.code, finding.name, finding.field) for finding in found]


def _split(*weights):
    services = ("desk", "book")
    return [
        {"service": name, "weight": weight}
        for name, weight in zip(services, weights, strict=False)
    ]


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (_document(), []),
        (_document(other=OTHER), []),
        (
            _document({"kind": "odd", "host": None}),
            [
                (Code.UNREADABLE_ENTRY, "r1", "host"),
                (Code.UNREADABLE_ENTRY, "r1", "kind"),
                (Code.UNUSED_SERVICE, "desk", ""),
                (Code.UNUSED_SERVICE, "book", ""),
            ],
        ),
        (
            _document(other={"name": "r2", "host": "JEPU9.example"}),
            [(Code.SAME_PREFIX, "r1", "prefix")],
        ),
        (
            _document(other={"prefix": "/other/"}),
            [(Code.SAME_NAME, "r1", "name")],
        ),
        (
            _document({"host": "a.example:80"}),
            [(Code.HOST_NEVER_MATCHES, "r1", "host")],
        ),
        (
            _document({"prefix": "/a?b/"}),
            [(Code.PREFIX_NEVER_MATCHES, "r1", "prefix")],
        ),
        (
            _document({"trafficSplit": _split(1, 0)}),
            [(Code.ZERO_WEIGHT, "r1", "share 2")],
        ),
        (
            _document({"trafficSplit": _split(1)}),
            [(Code.UNUSED_SERVICE, "book", "")],
        ),
        (
            _document({"targetLatency": "2s"}),
            [(Code.OBJECTIVE_ABOVE_TIMEOUT, "r1", "objective")],
        ),
        (
            _document({"timeout": "20ms", "targetLatency": "10ms"}),
            [(Code.NO_TIME_FOR_CALL, "r1", "timeout")],
        ),
        (
            _document({"timeout": "50ms", "targetLatency": "10ms"}),
            [(Code.NO_TIME_FOR_RETRY, "r1", "timeout")],
        ),
        (
            _document(desk={"coldPerS": 0}),
            [(Code.ZERO_COLD_RATE, "desk", "cold rate")],
        ),
        (
            _document(desk={"maxConns": 11}),
            [(Code.CONNECTIONS_BELOW_NODES, "desk", "connections")],
        ),
        (
            _document({"maxAttempts": 3}),
            [(Code.ATTEMPTS_ABOVE_TARGETS, "r1", "attempts")],
        ),
    ],
)
def test_findings_on_one_configuration(document, expected):
    assert _codes(document) == expected


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (_document(version="r8"), []),
        (_document(), [(Code.VERSION_NOT_NEWER, "", "version")]),
        (
            _document({"prefix": "/new/"}, version="r8"),
            [
                (Code.CALLS_LOSE_ROUTE, "r1", "prefix"),
                (Code.CHANGED, "r1", "prefix"),
            ],
        ),
        (
            _document({"prefix": "/"}, version="r8"),
            [(Code.CHANGED, "r1", "prefix")],
        ),
        (_document(other=OTHER, version="r8"), [(Code.ADDED, "r2", "")]),
        (
            _document({"name": "r3"}, version="r8"),
            [(Code.REMOVED, "r1", ""), (Code.ADDED, "r3", "")],
        ),
        (
            _document({"kind": "upload"}, version="r8"),
            [(Code.IDEMPOTENCE_CHANGED, "r1", "idempotent")],
        ),
        (
            _document({"timeout": "2s"}, desk={"sharded": False}, version="r8"),
            [(Code.CHANGED, "desk", "keyed"), (Code.CHANGED, "r1", "timeout")],
        ),
    ],
)
def test_findings_on_what_differs_from_the_version_in_force(document, expected):
    assert _codes(document, _document()) == expected


def test_change_is_shown_with_old_and_new_value():
    found = check.check_configuration(
        _parse(_document({"timeout": "2s"}, version="r8")),
        _parse(_document()),
        DEPLOYMENT,
    )
    assert found[0].detail.startswith("1.5 -> 2.0: ")


def test_docs_page_matches_the_codes():
    assert set(findings.CODE_INFO) == set(Code)
    documented = [
        row.groups()
        for row in map(ROW.match, PAGE.read_text().splitlines())
        if row
    ]
    assert documented == [
        (str(int(code)), code.name.lower(), info.severity.value, info.summary)
        for code, info in findings.CODE_INFO.items()
    ]


SOUND_FIELDS = strategies.sampled_from(
    [
        ("name", "x"),
        ("host", "b.example"),
        ("prefix", "/"),
        ("kind", "upload"),
        ("timeout", "3s"),
        ("targetLatency", "1500ms"),
        ("priority", 0),
        ("trafficSplit", _split(1, 2)),
        ("maxAttempts", 1),
    ]
)
FIELDS = SOUND_FIELDS | strategies.tuples(
    strategies.sampled_from(COLUMNS),
    strategies.sampled_from(
        ["/a/", "/", "a", "safe", "upload", "odd", "2s", "10ms", "desk", 0, 2]
        + [None, _split(1, 2), _split(1, 0), []]
    )
    | test_odd_documents.ODD_JSON,
)


@test_odd_documents.SEEDED
@hypothesis.given(
    strategies.lists(FIELDS, max_size=3), strategies.lists(FIELDS, max_size=2)
)
def test_what_is_clean_is_taken_whole_by_a_node(changes, other):
    document = _document(dict(changes), {**OTHER, **dict(other)})
    try:
        configuration = _parse(document)
    except errors.FormatError:
        return
    found = check.check_configuration(configuration, None, DEPLOYMENT)
    if any(one.severity is not findings.Severity.NOTE for one in found):
        return
    assert not configuration.errors
    assert not configuration.unreadable_routes
    assert len(configuration.routes) == 2
    table = match.RouteTable(configuration)
    for route in configuration.routes:
        assert table.find(route.host, f"{route.prefix}x") is route
        assert all(
            share.service in configuration.services for share in route.shares
        )


def _run(directory, *args):
    env = context.Environment(io.StringIO(), io.StringIO(), directory)
    exit_status = core.main(["check", *args], env)
    return exit_status, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.mark.parametrize(
    ("text", "options", "exit_status", "shown"),
    [
        (json.dumps(_document()), [], "SUCCESS", "0 errors, 0 warnings"),
        (
            json.dumps(_document({"kind": "odd"})),
            [],
            "BAD_CONFIGURATION",
            "error 501 unreadable_entry: route r1, kind: expected one of safe",
        ),
        (
            json.dumps(_document(desk={"coldPerS": 0})),
            [],
            "WARNINGS",
            "warning 523 zero_cold_rate: service desk, cold rate",
        ),
        (
            json.dumps(_document()),
            ["--nodes", "500"],
            "WARNINGS",
            "warning 524 connections_below_nodes: service desk",
        ),
        (
            json.dumps(_document()),
            ["--targets", "{desk:1,book:9}"],
            "WARNINGS",
            "warning 525 attempts_above_targets: route r1",
        ),
        (
            json.dumps(_document({"timeout": "2s"}, version="r8")),
            ["--in-force", "old.json"],
            "SUCCESS",
            "note 532 changed: route r1, timeout: 1.5 -> 2.0",
        ),
        ("{", [], "BAD_CONFIGURATION", "error 500 unreadable_document"),
    ],
)
def test_command_shows_findings(tmp_path, text, options, exit_status, shown):
    (tmp_path / "old.json").write_text(json.dumps(_document()))
    (tmp_path / "new.json").write_text(text)
    result, stdout, _ = _run(tmp_path, "new.json", *options)
    assert result is status.ExitStatus[exit_status]
    assert shown in stdout
    result, stdout, _ = _run(tmp_path, "new.json", *options, "--json")
    assert result is status.ExitStatus[exit_status]
    codes = [str(finding["code"]) for finding in json.loads(stdout)]
    assert all(code in shown for code in codes[:1])


@pytest.mark.parametrize(
    ("options", "exit_status"),
    [
        (["--in-force", "none.json"], "NOT_FOUND"),
        (["--in-force", "bad.json"], "ERROR"),
        (["--store", "127.0.0.1:1"], "STORE_UNAVAILABLE"),
    ],
)
def test_what_is_in_force_has_to_be_readable(tmp_path, options, exit_status):
    (tmp_path / "bad.json").write_text("{}")
    (tmp_path / "new.json").write_text(json.dumps(_document()))
    result, _, stderr = _run(tmp_path, "new.json", *options)
    assert result is status.ExitStatus[exit_status]
    assert len(stderr.splitlines()) == 1


async def test_store_tells_what_is_in_force(tmp_path):
    platform = store.Store(random.Random(1))
    platform.put("op/config", json.dumps(_document()).encode())
    platform.put("jujubeyard/fleet/nodes/n1", b"{}")
    platform.put("servers/t1", json.dumps(test_documents.LISTING).encode())
    document = _document({"timeout": "2s"}, version="r8")
    (tmp_path / "new.json").write_text(json.dumps(document))
    async with test_utils.TestServer(platform.make_app("n1")) as server:
        address = f"127.0.0.1:{server.port}"
        result, stdout, _ = await asyncio.to_thread(
            _run, tmp_path, "new.json", "--store", address
        )
    assert result is status.ExitStatus.WARNINGS
    assert "2 attempts, 1 targets of 'desk'" in stdout
    assert "1.5 -> 2.0" in stdout


def test_help_explains_the_command(tmp_path):
    _, stdout, _ = _run(tmp_path, "--help")
    for word in ("exit status", "--in_force", "--store", "--json", "manifest"):
        assert word in stdout
