"""Tests of the soak's checks, on constructed observations."""

import pytest

from platform_standins import records
from soak import checks
from soak import observations

NODE = "node-0"


class Scenario:
    """Builds observations; times are seconds from the start of the soak."""

    def __init__(self):
        self.observed = observations.Observations(0.0)
        self.observed.zones = {"t1": "a", "t2": "b"}

    def call(
        self,
        call_id,
        at=10.0,
        idempotent=False,
        status=200,
        interrupted=False,
        body="answer",
        signed=True,
    ):
        self.observed.calls[call_id] = observations.Call(
            call_id,
            NODE,
            "r",
            "pool",
            idempotent,
            at,
            at + 0.1,
            status,
            interrupted,
            body,
            signed,
        )
        self.respond(call_id)
        return self

    def respond(self, call_id, body="answer"):
        self.observed.add_events([records.Responded(call_id, body)])
        return self

    def run(self, call_id, target_name="t1", at=10.05, ran=True, cold=False):
        self.observed.arrivals.append(
            records.Arrival(call_id, target_name, "pool", at, cold, ran)
        )
        return self

    def disrupt(self, scope, start, end, planned=False):
        self.observed.disruptions.append(
            observations.Disruption("x", scope, start, end, is_planned=planned)
        )
        return self

    def drain(self, name, start):
        self.observed.drains.append(observations.Removal(name, start))
        return self

    def evacuate(self, zone, start, end):
        self.observed.evacuations.append(observations.Removal(zone, start, end))
        return self

    def version(self, number, at):
        self.observed.versions[number] = at
        return self

    def probe(self, number, at, is_in_force, incarnation=1):
        self.observed.probes.append(
            observations.Probe(NODE, incarnation, number, at, is_in_force)
        )
        return self


def _make_calls(count, idempotent, runs, gap=0.0):
    scenario = Scenario()
    for number in range(count):
        at = 10.0 + gap * number
        scenario.call(f"c{number}", at, idempotent)
        for index in range(runs):
            scenario.run(f"c{number}", f"t{index + 1}", at)
    return scenario


def _make_cold_calls(count, gap):
    scenario = Scenario()
    for number in range(count):
        at = 10.0 + gap * number
        scenario.call(f"c{number}", at).run(f"c{number}", at=at, cold=True)
    return scenario


CASES = [
    ("nothing", Scenario(), None),
    ("ran once", Scenario().call("c1").run("c1"), None),
    ("twice", Scenario().call("c1").run("c1").run("c1", "t2"), "TWICE"),
    ("idempotent twice", _make_calls(1, True, 2), None),
    (
        "refused, not run",
        Scenario().call("c1", status=503).run("c1", ran=0),
        None,
    ),
    ("refused and run", Scenario().call("c1", status=429).run("c1"), "REFUSED"),
    ("failed and run", Scenario().call("c1", status=502).run("c1"), None),
    (
        "second of two responses",
        Scenario().call("c1", body="again").run("c1").respond("c1", "again"),
        None,
    ),
    ("other response", Scenario().call("c1", body="x").run("c1"), "MIXED"),
    (
        "response to another call",
        Scenario().call("c1", body="x").run("c1").respond("c2", "x"),
        "MIXED",
    ),
    ("unsigned", Scenario().call("c1", signed=False).run("c1"), "MIXED"),
    (
        "unsigned failure",
        Scenario().call("c1", status=502, body="", signed=False),
        None,
    ),
    (
        "cut by a stop",
        Scenario()
        .call("c1", interrupted=True)
        .run("c1")
        .disrupt(NODE, 9, 11, True),
        "LOST",
    ),
    (
        "cut by a stop, not passed on",
        Scenario().call("c1", interrupted=True).disrupt(NODE, 9, 11, True),
        None,
    ),
    (
        "cut by a stop beside a crash",
        Scenario()
        .call("c1", interrupted=True)
        .run("c1")
        .disrupt(NODE, 9, 11, True)
        .disrupt("t1", 8, 10),
        None,
    ),
    ("in time", Scenario().call("c1").run("c1").drain("t1", 8.5), None),
    ("after a drain", Scenario().call("c1").run("c1").drain("t1", 7), "DRAIN"),
    (
        "after a drain, out of touch",
        Scenario().call("c1").run("c1").drain("t1", 7).disrupt(NODE, 1, 5),
        None,
    ),
    (
        "after a drain, store away long ago",
        Scenario().call("c1").run("c1").drain("t1", 7).disrupt("*", 1, 2),
        "DRAIN",
    ),
    (
        "evacuated",
        Scenario().call("c1").run("c1").evacuate("a", 4, 20),
        "EVACUATION",
    ),
    ("other zone", Scenario().call("c1").run("c1").evacuate("b", 4, 20), None),
    ("taken back", Scenario().call("c1").run("c1").evacuate("a", 4, 9), None),
    ("a cold target, paced", _make_cold_calls(30, 0.1), None),
    ("a cold target, swamped", _make_cold_calls(30, 0.05), "COLD"),
    ("again within the budget", _make_calls(200, True, 1, 0.01), None),
    ("again beyond the budget", _make_calls(200, True, 2, 0.01), "BUDGET"),
    (
        "known in time",
        Scenario().version(7, 10).probe(7, 11.9, False).probe(7, 12.2, True),
        None,
    ),
    (
        "known late",
        Scenario().version(7, 10).probe(7, 12.2, False),
        "CONFIGURATION",
    ),
    (
        "known late, out of touch",
        Scenario().version(7, 10).probe(7, 12.2, False).disrupt(NODE, 8, 9),
        None,
    ),
    (
        "dropped since",
        Scenario()
        .version(7, 10)
        .version(8, 11)
        .version(12, 12)
        .probe(7, 12.2, False),
        None,
    ),
    (
        "one later version keeps the route",
        Scenario().version(7, 10).version(12, 12).probe(7, 12.2, False),
        "CONFIGURATION",
    ),
    (
        "forgotten",
        Scenario().version(7, 10).probe(7, 11, True).probe(7, 11.5, False),
        "CONFIGURATION",
    ),
    (
        "forgotten by another life",
        Scenario()
        .version(7, 10)
        .probe(7, 11, True)
        .probe(7, 11.5, False, incarnation=2),
        None,
    ),
]


@pytest.mark.parametrize(
    ("scenario", "rule"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_check_finds_violation(scenario, rule):
    findings = checks.check_all(scenario.observed)
    assert {finding.rule.name for finding in findings} == ({rule} - {None})
