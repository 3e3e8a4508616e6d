"""Loads of targets that nodes tell one another."""

import pytest

from jujubeyard.node import datagrams
from jujubeyard.node import load_exchange
from jujubeyard.targets import loads
from jujubeyard.targets import registry


def _report(waiting):
    return loads.LoadReport(6, waiting, 6, 1.0)


def _registry(*names):
    known = registry.Registry()
    for name in names:
        listing = registry.Listing(
            name, "pool", f"{name}:1", "z1", 6, False, 0.0, 1
        )
        known.put(listing, 0.0)
    return known


def _tell(source, leads, now):
    found = list(load_exchange.LoadExchange(source).collect(leads, now))
    return [datagrams.decode(datagrams.encode(message)) for message in found]


def test_another_node_s_sighting_counts_by_its_age():
    source, sink = _registry("t1"), _registry("t1")
    source.targets["t1"].load.observe_report(_report(9), 100.0)
    (message,) = _tell(source, False, 100.3)
    load_exchange.LoadExchange(sink).take(message, 50.0)
    load = sink.targets["t1"].load
    assert load.report == _report(9)
    assert load.reported_at == pytest.approx(49.7)
    assert load.estimate_calls(49.7) == pytest.approx(14.0)


@pytest.mark.parametrize(
    ("own_at", "told_at", "waiting"), [(99.0, 99.5, 9), (99.5, 99.0, 2)]
)
def test_the_newest_report_counts(own_at, told_at, waiting):
    load = loads.TargetLoad()
    load.observe_report(_report(2), own_at)
    load.apply_report(_report(9), told_at)
    assert load.report == _report(waiting)


@pytest.mark.parametrize(("leads", "told"), [(False, 0), (True, 1)])
def test_only_the_leader_passes_on_what_others_saw(leads, told):
    known = _registry("t1")
    known.targets["t1"].load.apply_report(_report(9), 100.0)
    assert len(_tell(known, leads, 100.1)) == told


def test_what_was_told_is_not_told_again():
    known = _registry("t1")
    known.targets["t1"].load.observe_report(_report(9), 100.0)
    seen = load_exchange.LoadExchange(known)
    assert len(list(seen.collect(False, 100.1))) == 1
    assert not list(seen.collect(False, 100.5))


def test_old_reports_are_not_told():
    known = _registry("t1")
    known.targets["t1"].load.observe_report(_report(9), 100.0)
    now = 100.1 + load_exchange.OLDEST_SECONDS
    assert not _tell(known, True, now)


def test_many_sightings_fit_into_datagrams():
    names = [f"i-{number:010x}" for number in range(140)]
    known = _registry(*names)
    for name in names:
        known.targets[name].load.observe_report(_report(99), 100.0)
    messages = list(load_exchange.LoadExchange(known).collect(True, 100.1))
    sizes = [len(datagrams.encode(message)) for message in messages]
    assert max(sizes) <= datagrams.MAX_BYTES
    assert sum(len(message.rows) for message in messages) == 140
