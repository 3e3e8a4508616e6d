"""Tests which plans and configurations a follower installs."""

import pytest

from jujubeyard import settings
from jujubeyard.internal import process_runtime
from jujubeyard.link import messages
from jujubeyard.plan import codec
from jujubeyard.plan import follower
from jujubeyard.plan import tables
from jujubeyard.store import records
from tests.utils import builders
from tests.utils import processes


def make_follower() -> follower.Follower:
    cfg = settings.ProcessSettings(
        cluster="test",
        vm="vm-0",
        zone="a",
        secret=processes.SECRET,
        admin=processes.make_address(),
    )
    runtime = process_runtime.ProcessRuntime(
        "entry", cfg, processes.make_environment()
    )
    return follower.Follower(runtime, [], 1, lambda: None, lambda *_: None)


def push_plan(version: int) -> messages.PlanPush:
    body = codec.encode_plan(tables.Plan(version=version))
    return messages.PlanPush(version, body)


def push_config(version: int) -> messages.ConfigPush:
    record = records.ConfigRecord(
        version, builders.make_manifest(), [], [], {}, []
    )
    return messages.ConfigPush(version, record.encode())


@pytest.mark.parametrize(
    ("versions", "installed"),
    [([1, 2, 3], 3), ([3, 1, 2], 3), ([2, 2], 2), ([5, 4], 5)],
)
async def test_older_versions_are_not_installed(versions, installed):
    plan_follower = make_follower()
    for version in versions:
        plan_follower._handle(None, push_plan(version))
        plan_follower._handle(None, push_config(version))
    assert plan_follower.plan_version == installed
    assert plan_follower.config_version == installed
    installed_versions = [
        event["version"]
        for event in plan_follower._runtime.timeline.events_after(0)
        if event["kind"] == "plan-installed"
    ]
    assert installed_versions == sorted(set(installed_versions))
