"""Sends calls through entry, gate and target processes without faults."""

import asyncio

from jujubeyard.load import generator
from scripts import history
from scripts import specs

Kind = specs.KindSpec
Stream = generator.Stream
SPEC = specs.ClusterSpec(
    "path",
    ("a", "b", "c"),
    3,
    (
        specs.ServiceSpec(
            "desk",
            (Kind("read", True, 0), Kind("write", False, 1)),
            4,
            keyed=True,
            checks_grants=True,
        ),
        specs.ServiceSpec(
            "pool", (Kind("order", False, 1), Kind("look", True)), 3
        ),
    ),
)
STREAMS = [
    Stream("desk", "read", True, 60, 40, 1.0),
    Stream("desk", "write", False, 30, 40),
    Stream("pool", "order", False, 30),
    Stream("pool", "look", True, 30),
]


def test_calls_of_each_kind_are_answered(tmp_path):
    harness = history.Harness(SPEC, tmp_path)

    async def run() -> generator.LoadGenerator:
        cluster = harness.cluster
        await cluster.bring_up()
        await harness.record_accepted_config()
        entries = [cluster.entry_address(vm) for vm in cluster.vms]
        load = generator.LoadGenerator(entries, 7, harness.history)
        await load.run(STREAMS, 3.0)
        return load

    with harness.cluster:
        load = asyncio.run(run())
    assert harness.check_history() == []
    for report in load.reports.values():
        assert set(report.codes) == {100}
        assert report.mismatched_answers == 0
    assert len(load.reports) == len(STREAMS)
