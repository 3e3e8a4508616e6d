"""A follower installs newer plans and configurations only."""

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
    owner = process_runtime.ProcessRuntime(
        "entry", cfg, processes.make_environment()
    )
    return follower.Follower(owner, [], 1, lambda: None, lambda *_: None)


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
async def test_versions_never_go_back(versions, installed):
    followed = make_follower()
    for version in versions:
        followed._handle(None, push_plan(version))
        followed._handle(None, push_config(version))
    assert followed.plan_version == installed
    assert followed.config_version == installed
    recorded = [
        event["version"]
        for event in followed._runtime.timeline.events_after(0)
        if event["kind"] == "plan-installed"
    ]
    assert recorded == sorted(set(recorded))
