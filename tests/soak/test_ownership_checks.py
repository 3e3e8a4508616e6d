"""Tests of the checks of owners, on constructed records."""

import pytest

from platform_standins import records
from soak import observations
from soak import ownership_checks

PASSAGES = {
    "held and used keys": "used",
    "held keys for": "shared",
    "but": "fence",
    "was still at work": "work",
}
"""What a finding says, and for which passage of the rule."""


class Scenario:
    """Builds records; times are seconds from the start of the soak.

    "t1.2" names the second life of t1.
    """

    def __init__(self):
        self.observed = observations.Observations(0.0)
        self.observed.node_names = {"node-0", "node-1"}
        self.events = {}
        self.ends = {}
        self._run_count = 0

    def _add(self, life, event):
        self.events.setdefault(life, []).append(event)
        return self

    def grant(self, life, fence, at, until, first=0, last=0):
        event = records.Granted(at, first, last, fence, until)
        return self._add(life, event)

    def release(self, life, fence, at):
        return self._add(life, records.Released(at, 0, 0, fence))

    def call(self, life, at, end=None, bucket=0, ran=True):
        self._run_count += 1
        call_id = f"c{self._run_count}"
        name = life.partition(".")[0]
        self._add(
            life,
            records.Arrival(call_id, name, "desk", at, False, ran, bucket),
        )
        if end is not None:
            self._add(life, records.Ended(end, call_id))
        return self

    def end(self, life, at):
        self.ends[life] = at
        return self

    def disrupt(self, kind, scope, end):
        self.observed.disruptions.append(
            observations.Disruption(kind, scope, 1.0, end)
        )
        return self

    def check(self):
        lives = [
            ownership_checks.Life(
                life.partition(".")[0],
                life,
                self.ends.get(life, 100.0),
                sorted(events, key=lambda event: event.at),
            )
            for life, events in self.events.items()
        ]
        ownership_checks.OwnershipCheck(lives, self.observed).run()
        return self.observed.findings


def _used(until=12.4, other="t2"):
    """Two holders that share a key for less than half a second, and use it."""
    return (
        Scenario()
        .grant("t1", 5, 10, until)
        .grant(other, 6, 12, 17)
        .call("t1", 12.1, 12.15)
        .call(other, 12.2, 12.25)
    )


def _many_keys(first, last, bucket, other_bucket):
    """Two holders of a few keys, one of buckets 0 to 3."""
    return (
        Scenario()
        .grant("t1", 5, 10, 12.4, 0, 3)
        .grant("t2", 6, 12, 17, first, last)
        .call("t1", 12.1, 12.15, bucket)
        .call("t2", 12.2, 12.25, other_bucket)
    )


def _used_after_renewal():
    """The hold of t1 ends before t2 takes the key, but for a renewal."""
    return (
        Scenario()
        .grant("t1", 5, 10, 12)
        .grant("t1", 5, 11.9, 12.5)
        .grant("t2", 6, 12.3, 17)
        .call("t1", 12.35, 12.36)
        .call("t2", 12.4, 12.41)
    )


def _fence(fence, other="t2"):
    """A holder with fence 6, then another one."""
    return Scenario().grant("t1", 6, 10, 11).grant(other, fence, 12, 13)


def _shared(until=12.6):
    """Two holders that share a key, which neither uses."""
    return Scenario().grant("t1", 5, 10, until).grant("t2", 6, 12, 17)


def _shared_after_renewal():
    """The hold of t1 ends before t2 takes the key, but for a renewal."""
    return (
        Scenario()
        .grant("t1", 5, 10, 12)
        .grant("t1", 5, 11.9, 15)
        .grant("t2", 6, 12.3, 17)
    )


def _work(end=13.0, until=15.0, other="t2"):
    """t1 gives up a key on which it is at work, and another one takes it."""
    return (
        Scenario()
        .grant("t1", 5, 10, until)
        .call("t1", 11, end)
        .release("t1", 6, 11.5)
        .grant(other, 6, 12, 17)
    )


def _work_after_renewal():
    """The hold of t1 runs out before t2 takes the key, but for a renewal."""
    return (
        Scenario()
        .grant("t1", 5, 10, 11.95)
        .call("t1", 11, 13)
        .grant("t1", 5, 11.5, 15)
        .release("t1", 6, 11.6)
        .grant("t2", 6, 12, 17)
    )


CASES = [
    (
        "one holder with renewals",
        Scenario()
        .grant("t1", 5, 10, 15)
        .grant("t1", 5, 12, 17)
        .call("t1", 11, 13),
        "",
    ),
    # Two hold the same keys, and both begin calls.
    ("both use a key", _used(), "used"),
    ("both use several keys", _many_keys(0, 3, 0, 3), "used"),
    ("both use keys that aren't shared", _many_keys(3, 5, 0, 5), ""),
    ("one uses a key that isn't shared", _many_keys(3, 5, 0, 3), ""),
    (
        "only one uses it",
        _shared(12.4).call("t2", 12.2, 12.25),
        "",
    ),
    (
        "the other call didn't run",
        _shared(12.4).call("t2", 12.2).call("t1", 12.1, ran=False),
        "",
    ),
    (
        "one used it before",
        _shared(12.4).call("t2", 12.2).call("t1", 11.8, 11.9),
        "",
    ),
    (
        "one uses it when its hold has expired",
        _shared(12.4).call("t1", 12.45, 12.5).call("t2", 12.3, 12.4),
        "",
    ),
    ("the first hold expires before", _used(until=12), ""),
    (
        "the first holder releases before",
        _used(until=15).release("t1", 6, 11.9),
        "",
    ),
    (
        "a release under its own fence ends no hold",
        _used(until=15).release("t1", 5, 11.9),
        "shared used",
    ),
    (
        "the first holder releases later",
        _used(until=15).release("t1", 6, 12.3),
        "used",
    ),
    (
        "the first process ends before",
        _shared(15).end("t1", 11.9).call("t2", 12.2),
        "",
    ),
    ("the first process ends later", _used(until=15).end("t1", 12.3), "used"),
    ("next life of the same target", _used(other="t1.2"), "used"),
    (
        "a hold that ended and began again",
        _used(until=11.5).grant("t1", 7, 12.05, 12.4),
        "used",
    ),
    # Grants that don't count for that.
    ("sender frozen", _used().disrupt("freeze", "node-1", 11.72), ""),
    (
        "sender frozen earlier",
        _used().disrupt("freeze", "node-1", 11.68),
        "used",
    ),
    ("sender cut off", _used().disrupt("cut", "node-0", 11.72), ""),
    ("sender cut off earlier", _used().disrupt("cut", "node-0", 11.68), "used"),
    ("link cut", _used().disrupt("cut", "t2", 11.72), ""),
    ("link cut earlier", _used().disrupt("cut", "t2", 11.68), "used"),
    ("link of another target cut", _used().disrupt("cut", "t3", 11.72), "used"),
    ("link still cut", _used().disrupt("cut", "t2", 12.3), "used"),
    ("sender still frozen", _used().disrupt("freeze", "node-1", 12.3), "used"),
    ("sender killed", _used().disrupt("kill", "node-1", 11.72), "used"),
    ("store outage", _used().disrupt("store outage", "*", 11.8), "used"),
    ("holder frozen", _used().disrupt("freeze", "t2", 11.72), "used"),
    (
        "renewal by a frozen sender",
        _used_after_renewal().disrupt("freeze", "node-0", 11.72),
        "",
    ),
    (
        "renewal by a sender frozen earlier",
        _used_after_renewal().disrupt("freeze", "node-0", 11.5),
        "used",
    ),
    (
        "renewal taken by a frozen holder",
        _used_after_renewal().disrupt("freeze", "t1", 11.72),
        "used",
    ),
    (
        "prompt renewal of a grant by a frozen sender",
        _used(until=12.2)
        .grant("t1", 5, 11, 12.4)
        .disrupt("freeze", "node-0", 9.9),
        "used",
    ),
    # Fences.
    ("higher fence", _fence(7), ""),
    ("equal fence", _fence(6), "fence"),
    ("lower fence", _fence(5), "fence"),
    ("equal fence of the next life", _fence(6, "t1.2"), "fence"),
    ("lower fence after the end", _fence(5).end("t1", 10.5), "fence"),
    (
        "lower fence on other keys",
        Scenario().grant("t1", 6, 10, 11, 0, 3).grant("t2", 5, 12, 13, 4, 5),
        "",
    ),
    (
        "lower fence on one of the keys",
        Scenario().grant("t1", 6, 10, 11, 0, 3).grant("t2", 5, 12, 13, 3, 5),
        "fence",
    ),
    (
        "renewal under a fence that is no longer the highest",
        _fence(7).grant("t1", 6, 14, 15),
        "fence",
    ),
    ("fence, sender frozen", _fence(5).disrupt("freeze", "node-0", 11.72), ""),
    (
        "fence, sender frozen earlier",
        _fence(5).disrupt("freeze", "node-0", 11.68),
        "fence",
    ),
    ("fence, link cut", _fence(5).disrupt("cut", "t2", 11.72), ""),
    (
        "fence, link cut earlier",
        _fence(5).disrupt("cut", "t2", 11.68),
        "fence",
    ),
    (
        "fence, first holder's link cut",
        _fence(5).disrupt("cut", "t1", 11.72),
        "fence",
    ),
    ("fence, holder frozen", _fence(5).disrupt("freeze", "t2", 11.72), "fence"),
    # Two hold the same keys for over half a second.
    ("shared for 0.6 s", _shared(12.6), "shared"),
    ("shared for 0.4 s", _shared(12.4), ""),
    ("shared until a release", _shared(15).release("t1", 6, 12.6), "shared"),
    ("shared until an early release", _shared(15).release("t1", 6, 12.4), ""),
    ("shared until an end", _shared(15).end("t1", 12.6), "shared"),
    ("shared until an early end", _shared(15).end("t1", 12.4), ""),
    (
        "shared with the next life",
        Scenario().grant("t1", 5, 10, 15).grant("t1.2", 6, 12, 17),
        "shared",
    ),
    (
        "shared through a renewal",
        _shared(12.4).grant("t1", 5, 11, 12.6),
        "shared",
    ),
    (
        "shared but for a shorter renewal",
        _shared(15).grant("t1", 5, 11, 12.4),
        "",
    ),
    (
        "shared twice for 0.4 s",
        _shared(12.4)
        .release("t2", 7, 12.9)
        .grant("t1", 8, 13, 18)
        .grant("t2", 9, 17.6, 20),
        "",
    ),
    ("shared, sender frozen", _shared().disrupt("freeze", "node-0", 11.72), ""),
    (
        "shared, sender frozen earlier",
        _shared().disrupt("freeze", "node-0", 11.68),
        "shared",
    ),
    ("shared, link cut", _shared().disrupt("cut", "t2", 11.72), ""),
    (
        "shared, link cut earlier",
        _shared().disrupt("cut", "t2", 11.68),
        "shared",
    ),
    ("shared, holder frozen", _shared().disrupt("freeze", "t2", 11.72), ""),
    (
        "shared, holder frozen earlier",
        _shared().disrupt("freeze", "t2", 11.68),
        "shared",
    ),
    (
        "shared, first holder frozen",
        _shared().disrupt("freeze", "t1", 11.72),
        "shared",
    ),
    ("shared by a renewal", _shared_after_renewal(), "shared"),
    (
        "shared by a renewal taken late",
        _shared_after_renewal().disrupt("freeze", "t1", 11.72),
        "",
    ),
    (
        "shared by a renewal taken in time",
        _shared_after_renewal().disrupt("freeze", "t1", 11.5),
        "shared",
    ),
    (
        "shared but for a shorter renewal taken late",
        _shared(15).grant("t1", 5, 11, 12.4).disrupt("freeze", "t1", 10.9),
        "",
    ),
    (
        "shared by a prompt renewal of a grant taken late",
        _shared(12.2).grant("t1", 5, 11, 12.6).disrupt("freeze", "t1", 9.9),
        "shared",
    ),
    # A key is given away on which another one is at work.
    ("at work", _work(), "work"),
    ("work ended", _work(end=11.9), ""),
    ("hold ran out", _work(until=11.9), ""),
    ("process ended", _work().end("t1", 11.9), ""),
    ("at work until the process ends", _work(end=None).end("t1", 12.5), "work"),
    ("at work, next life", _work(other="t1.2"), "work"),
    (
        "work that began later",
        Scenario()
        .grant("t1", 5, 10, 12.3)
        .grant("t2", 6, 12, 17)
        .call("t1", 12.1, 14),
        "",
    ),
    (
        "at work on another key",
        Scenario()
        .grant("t1", 5, 10, 15, 1, 1)
        .call("t1", 11, 13, bucket=1)
        .grant("t2", 6, 12, 17),
        "",
    ),
    ("at work, sender frozen", _work().disrupt("freeze", "node-0", 11.72), ""),
    (
        "at work, sender frozen earlier",
        _work().disrupt("freeze", "node-0", 11.68),
        "work",
    ),
    ("at work, link cut", _work().disrupt("cut", "t2", 11.72), ""),
    ("at work, link cut earlier", _work().disrupt("cut", "t2", 11.68), "work"),
    ("at work, taker frozen", _work().disrupt("freeze", "t2", 11.72), ""),
    (
        "at work, taker frozen earlier",
        _work().disrupt("freeze", "t2", 11.68),
        "work",
    ),
    (
        "at work under a grant taken late after a release",
        Scenario()
        .grant("t1", 5, 10, 15)
        .release("t1", 6, 10.5)
        .grant("t1", 7, 11, 15)
        .call("t1", 11.5, 13)
        .release("t1", 8, 11.8)
        .grant("t2", 9, 12, 17)
        .disrupt("freeze", "t1", 10.9),
        "",
    ),
    ("at work under a renewal", _work_after_renewal(), "work"),
    (
        "at work under a renewal taken late",
        _work_after_renewal().disrupt("freeze", "t1", 11.3),
        "",
    ),
    (
        "at work under a renewal taken in time",
        _work_after_renewal().disrupt("freeze", "t1", 11.1),
        "work",
    ),
]


def _name_passage(finding):
    return next(
        name for text, name in PASSAGES.items() if text in finding.detail
    )


@pytest.mark.parametrize(
    ("scenario", "passages"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_check_finds_broken_passage(scenario, passages):
    findings = scenario.check()
    found = {_name_passage(finding) for finding in findings}
    assert found == set(passages.split())
    rules = {finding.rule for finding in findings}
    assert rules <= {observations.Rule.OWNER}


def test_finding_names_holders_fences_time_and_keys():
    scenario = (
        Scenario()
        .grant("t1", 5, 10, 15, 0, 9)
        .grant("t2", 6, 12, 17, 4, 7)
        .call("t1", 13, 13.1, 5)
        .call("t2", 13, 13.1, 7)
    )
    assert [str(finding) for finding in scenario.check()] == [
        "OWNER at 12.00 s: t1 under 5 and t2 under 6 held keys for "
        "3.00 s: buckets 4 to 7",
        "OWNER at 12.00 s: t1 under 5 and t2 under 6 held and used keys "
        "for 3.000 s: buckets 4 to 7",
    ]
