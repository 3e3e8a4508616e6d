"""The soak's checks, on records that a test makes up."""

import pytest

from platform_standins import target
from soak import checks
from soak import record

NODE = "node-0"


class Seen:
    """Builds a record, with times from its start."""

    def __init__(self):
        self.record = record.Record(0.0)
        self.record.zones = {"t1": "a", "t2": "b"}

    def call(self, call_id, at=10.0, idempotent=False, status=200, cut=False):
        self.record.sendings[call_id] = record.Sending(
            call_id, NODE, "r", "pool", idempotent, at, at + 0.1, status, cut
        )
        return self

    def run(self, call_id, name="t1", at=10.05, ran=True, cold=False):
        self.record.arrivals.append(
            target.Arrival(call_id, name, "pool", at, cold, ran)
        )
        return self

    def span(self, scope, start, end, planned=False):
        self.record.spans.append(
            record.Span("x", scope, start, end, is_planned=planned)
        )
        return self

    def drain(self, name, start):
        self.record.drains.append(record.Leaving(name, start))
        return self

    def evacuate(self, zone, start, end):
        self.record.evacuations.append(record.Leaving(zone, start, end))
        return self

    def version(self, number, at):
        self.record.versions[number] = at
        return self

    def probe(self, number, at, knows, life=1):
        self.record.probes.append(record.Probe(NODE, life, number, at, knows))
        return self


def _many(count, idempotent, runs, gap=0.0):
    seen = Seen()
    for number in range(count):
        at = 10.0 + gap * number
        seen.call(f"c{number}", at, idempotent)
        for turn in range(runs):
            seen.run(f"c{number}", f"t{turn + 1}", at)
    return seen


def _cold(count, gap):
    seen = Seen()
    for number in range(count):
        at = 10.0 + gap * number
        seen.call(f"c{number}", at).run(f"c{number}", at=at, cold=True)
    return seen


CASES = [
    ("nothing", Seen(), None),
    ("ran once", Seen().call("c1").run("c1"), None),
    ("twice", Seen().call("c1").run("c1").run("c1", "t2"), "TWICE"),
    ("idempotent twice", _many(1, True, 2), None),
    ("refused, not run", Seen().call("c1", status=503).run("c1", ran=0), None),
    ("refused and run", Seen().call("c1", status=429).run("c1"), "REFUSED"),
    ("failed and run", Seen().call("c1", status=502).run("c1"), None),
    (
        "cut by a stop",
        Seen().call("c1", cut=True).run("c1").span(NODE, 9, 11, True),
        "LOST",
    ),
    (
        "cut by a stop, not passed on",
        Seen().call("c1", cut=True).span(NODE, 9, 11, True),
        None,
    ),
    (
        "cut by a stop beside a crash",
        Seen()
        .call("c1", cut=True)
        .run("c1")
        .span(NODE, 9, 11, True)
        .span("t1", 8, 10),
        None,
    ),
    ("in time", Seen().call("c1").run("c1").drain("t1", 8.5), None),
    ("after a drain", Seen().call("c1").run("c1").drain("t1", 7), "DRAIN"),
    (
        "after a drain, out of touch",
        Seen().call("c1").run("c1").drain("t1", 7).span(NODE, 1, 5),
        None,
    ),
    (
        "after a drain, store away long ago",
        Seen().call("c1").run("c1").drain("t1", 7).span("*", 1, 2),
        "DRAIN",
    ),
    (
        "evacuated",
        Seen().call("c1").run("c1").evacuate("a", 4, 20),
        "EVACUATION",
    ),
    ("other zone", Seen().call("c1").run("c1").evacuate("b", 4, 20), None),
    ("taken back", Seen().call("c1").run("c1").evacuate("a", 4, 9), None),
    ("a cold target, paced", _cold(30, 0.1), None),
    ("a cold target, swamped", _cold(30, 0.05), "COLD"),
    ("again within the budget", _many(200, True, 1, 0.01), None),
    ("again beyond the budget", _many(200, True, 2, 0.01), "BUDGET"),
    (
        "known in time",
        Seen().version(7, 10).probe(7, 11.9, False).probe(7, 12.2, True),
        None,
    ),
    (
        "known late",
        Seen().version(7, 10).probe(7, 12.2, False),
        "CONFIGURATION",
    ),
    (
        "known late, out of touch",
        Seen().version(7, 10).probe(7, 12.2, False).span(NODE, 8, 9),
        None,
    ),
    (
        "dropped since",
        Seen()
        .version(7, 10)
        .version(8, 11)
        .version(12, 12)
        .probe(7, 12.2, False),
        None,
    ),
    (
        "one later version keeps the route",
        Seen().version(7, 10).version(12, 12).probe(7, 12.2, False),
        "CONFIGURATION",
    ),
    (
        "forgotten",
        Seen().version(7, 10).probe(7, 11, True).probe(7, 11.5, False),
        "CONFIGURATION",
    ),
    (
        "forgotten by another life",
        Seen().version(7, 10).probe(7, 11, True).probe(7, 11.5, False, life=2),
        None,
    ),
]


@pytest.mark.parametrize(
    ("seen", "rule"), [row[1:] for row in CASES], ids=[row[0] for row in CASES]
)
def test_checks(seen, rule):
    found = checks.check_all(seen.record)
    assert {finding.rule.name for finding in found} == ({rule} - {None})
