"""Load reports of targets that nodes exchange."""

import cbor2
import pytest

from jujubeyard import errors
from jujubeyard.node import datagrams
from jujubeyard.node import load_exchange
from jujubeyard.targets import loads
from jujubeyard.targets import registry


def _report(waiting):
    return loads.LoadReport(6, waiting, 6, 1.0)


def _make_registry(*names):
    targets = registry.Registry()
    for name in names:
        listing = registry.Listing(
            name, "pool", f"{name}:1", "z1", 6, False, 0.0, 1
        )
        targets.put(listing, 0.0)
    return targets


def _send(source, is_leader, now):
    messages = list(
        load_exchange.LoadExchange(source).make_messages(is_leader, now)
    )
    return [datagrams.decode(datagrams.encode(message)) for message in messages]


def test_a_report_of_another_node_is_applied_with_its_age():
    source, destination = _make_registry("t1"), _make_registry("t1")
    source.targets["t1"].load.observe_report(_report(9), 100.0)
    (message,) = _send(source, False, 100.3)
    load_exchange.LoadExchange(destination).apply(message, 50.0)
    load = destination.targets["t1"].load
    assert load.report == _report(9)
    assert load.reported_at == pytest.approx(49.7)
    assert load.estimate_calls(49.7) == pytest.approx(14.0)


@pytest.mark.parametrize(
    ("own_at", "shared_at", "waiting"), [(99.0, 99.5, 9), (99.5, 99.0, 2)]
)
def test_the_latest_report_is_used(own_at, shared_at, waiting):
    load = loads.TargetLoad()
    load.observe_report(_report(2), own_at)
    load.apply_report(_report(9), shared_at, 100.0)
    assert load.report == _report(waiting)


@pytest.mark.parametrize(("is_leader", "count"), [(False, 0), (True, 1)])
def test_only_the_leader_forwards_reports_of_other_nodes(is_leader, count):
    target_registry = _make_registry("t1")
    target_registry.targets["t1"].load.apply_report(_report(9), 100.0, 100.0)
    assert len(_send(target_registry, is_leader, 100.1)) == count


def test_a_report_is_sent_once():
    target_registry = _make_registry("t1")
    target_registry.targets["t1"].load.observe_report(_report(9), 100.0)
    exchange = load_exchange.LoadExchange(target_registry)
    assert len(list(exchange.make_messages(False, 100.1))) == 1
    assert not list(exchange.make_messages(False, 100.5))


def test_old_reports_are_not_sent():
    target_registry = _make_registry("t1")
    target_registry.targets["t1"].load.observe_report(_report(9), 100.0)
    now = 100.1 + load_exchange.MAX_AGE_SECONDS
    assert not _send(target_registry, True, now)


def test_many_reports_are_divided_into_datagrams():
    names = [f"i-{number:010x}" for number in range(140)]
    target_registry = _make_registry(*names)
    for name in names:
        target_registry.targets[name].load.observe_report(_report(99), 100.0)
    messages = list(
        load_exchange.LoadExchange(target_registry).make_messages(True, 100.1)
    )
    sizes = [len(datagrams.encode(message)) for message in messages]
    assert max(sizes) <= datagrams.MAX_BYTES
    assert sum(len(message.reports) for message in messages) == 140


def _share_pressure(source, destination, is_leader=False, now=100.1):
    exchange = load_exchange.LoadExchange(destination)
    for message in _send(source, is_leader, now):
        if isinstance(message, datagrams.Pressure):
            exchange.apply_pressure(message, now)
    return destination


def test_refusals_and_queue_limits_reach_other_nodes():
    source, leader, other = (_make_registry("t1") for _ in range(3))
    source.targets["t1"].load.room.refusal.observe_refusal(100.0)
    source.queue_limit("pool").observe_full(16, 100.0)
    _share_pressure(source, leader)
    _share_pressure(leader, other, is_leader=True)
    assert other.targets["t1"].load.room.refusal.is_refusing(100.1)
    assert other.queue_limit("pool").current(100.1) == 16.0
    assert not _send(leader, False, 100.1)


@pytest.mark.parametrize(("waiting", "limit"), [(600, 600.0), (601, None)])
def test_a_nonsense_queue_limit_is_ignored(waiting, limit):
    source, other = _make_registry("t1"), _make_registry("t1")
    source.queue_limit("pool").observe_full(waiting, 100.0)
    _share_pressure(source, other)
    assert other.queue_limit("pool").current(100.1) == limit


def test_a_nonsense_report_keeps_calls_away_for_a_moment_only():
    load = _make_registry("t1").targets["t1"].load
    load.observe_report(loads.LoadReport(6, 10**9, 10**9, 1.0), 100.0)
    assert load.estimate_others(100.0) == 600.0
    assert load.estimate_others(104.0) < 1.0


def test_a_node_of_an_earlier_version_still_reads_the_loads():
    source = _make_registry("t1")
    source.targets["t1"].load.observe_report(_report(9), 100.0)
    source.targets["t1"].load.room.refusal.observe_refusal(100.0)
    exchange = load_exchange.LoadExchange(source)
    loads_sent, pressure = exchange.make_messages(False, 100.1)
    kind, rows = cbor2.loads(datagrams.encode(loads_sent))
    assert (kind, len(rows[0])) == ("loads", 6)
    assert cbor2.loads(datagrams.encode(pressure))[0] == "pressure"


@pytest.mark.parametrize(
    "parts",
    [
        [[["t1", 200, 0]], []],
        [[["t1", 50]], []],
        [[], [["pool", -1, 0]]],
        [[], [["pool", "16", 0]]],
        [[]],
    ],
)
def test_malformed_pressure_is_rejected(parts):
    with pytest.raises(errors.FormatError):
        datagrams.decode(cbor2.dumps([datagrams.PRESSURE, *parts]))


def test_many_refusing_targets_are_divided_into_datagrams():
    names = [f"i-{number:010x}" for number in range(100)]
    source = _make_registry(*names)
    for name in names:
        source.targets[name].load.room.refusal.observe_refusal(100.0)
    exchange = load_exchange.LoadExchange(source)
    sizes = [
        len(datagrams.encode(message))
        for message in exchange.make_messages(False, 100.1)
    ]
    assert len(sizes) == 3
    assert max(sizes) <= datagrams.MAX_BYTES


def test_the_leader_forwards_what_was_received_before_its_last_message():
    leader, other = _make_registry("t1"), _make_registry("t1")
    exchange = load_exchange.LoadExchange(leader)
    assert not list(exchange.make_messages(True, 100.0))
    aged = loads.AgedReport("t1", _report(9), 0.3)
    exchange.apply(datagrams.TargetLoads((aged,)), 100.1)
    limit = datagrams.ServiceQueueLimit("pool", 16.0, 0.3)
    refusing = datagrams.RefusingTarget("t1", 0.6, 0.3)
    exchange.apply_pressure(datagrams.Pressure((refusing,), (limit,)), 100.1)
    sent = list(exchange.make_messages(True, 100.4))
    load_exchange.LoadExchange(other).apply(sent[0], 100.4)
    assert other.targets["t1"].load.reported_at == pytest.approx(99.8)
    assert len(sent) == 3


@pytest.mark.parametrize(
    ("waiting", "is_limit_known", "count"),
    [(9, True, 1), (9, False, 0), (2, True, 0)],
)
def test_loads_of_pressed_targets_are_sent_at_once(
    waiting, is_limit_known, count
):
    source = _make_registry("t1")
    source.targets["t1"].load.observe_report(_report(waiting), 100.0)
    if is_limit_known:
        source.queue_limit("pool").merge(12.0, 90.0)
    exchange = load_exchange.LoadExchange(source)
    assert exchange.knows_limits() == is_limit_known
    early = list(exchange.make_messages(False, 100.1, only_pressed=True))
    assert len(early) == count
    assert len(list(exchange.make_messages(False, 100.4))) == 1 - count
