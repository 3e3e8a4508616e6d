"""Tests a controller with scripted controllers and gates."""

import asyncio
import contextlib
import itertools

import pytest

from jujubeyard import settings
from jujubeyard.controller import core
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.store import records
from tests.utils import builders
from tests.utils import processes
from tests.utils import store

VMS = ("vm-1", "vm-2")
SEND_INTERVAL_SECONDS = 0.1
LOSS_WAIT_SECONDS = 2.0


class Fleet:
    """Simulates controllers and gates of other VMs over one link.

    Attributes:
        heartbeat_vms: VMs whose controllers send heartbeats.
        renewing_vms: VMs whose gates renew.
        plan_version: Plan version of the controller's latest promise.
    """

    def __init__(self):
        self.heartbeat_vms = set(VMS)
        self.renewing_vms = set(VMS)
        self.plan_version = 0
        self._renewal_ids = itertools.count(1)

    def receive(self, peer, message) -> None:
        del peer
        if isinstance(message, messages.Promise):
            self.plan_version = message.plan_version

    async def send_repeatedly(self, peer: link.Link) -> None:
        while True:
            for vm in sorted(self.heartbeat_vms):
                peer.send(
                    messages.Heartbeat(f"{vm}/1", "", "a", 1, 0, False, 0.3)
                )
            for vm in sorted(self.renewing_vms):
                peer.send(self._make_renewal(vm))
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    def _make_renewal(self, vm: str) -> messages.Renew:
        version = self.plan_version
        return messages.Renew(
            next(self._renewal_ids),
            f"{vm}/1",
            f"127.0.0.1:{7100 + int(vm[-1])}",
            "a",
            version,
            1,
            version,
            False,
            [],
            [],
        )


@contextlib.asynccontextmanager
async def running_controller(fleet: Fleet):
    manifest = builders.make_manifest(targets=4)
    config = records.ConfigRecord(1, manifest, [], [], {}, [])
    async with store.serving_store() as address:
        cfg = settings.ControllerSettings(
            **processes.make_settings(),
            store=address,
            vm_list=address,
        )
        async with processes.serving(core.serve, cfg):
            own_identity = processes.make_identity("controller", "vm-1")
            peer = await processes.connect_when_ready(
                cfg.listen, own_identity, fleet.receive
            )
            peer.send(messages.ConfigPush(1, config.encode()))
            tasks = [
                asyncio.create_task(peer.run()),
                asyncio.create_task(fleet.send_repeatedly(peer)),
            ]
            yield
            for task in tasks:
                task.cancel()
            peer.close()


async def wait_for_stable_plan(fleet: Fleet) -> None:
    version = 0
    while version == 0 or version != fleet.plan_version:
        version = fleet.plan_version
        await asyncio.sleep(0.5)


@pytest.mark.parametrize(
    ("heartbeat_vms", "is_replaced"),
    [(VMS, True), (VMS[:1], True), ((), False)],
    ids=["gate lost", "VM lost", "controller cut off"],
)
async def test_lost_gate_is_replaced_only_with_a_quorum(
    heartbeat_vms, is_replaced
):
    fleet = Fleet()
    async with running_controller(fleet):
        async with asyncio.timeout(20.0):
            await wait_for_stable_plan(fleet)
        version_before = fleet.plan_version
        fleet.heartbeat_vms = set(heartbeat_vms)
        fleet.renewing_vms = {"vm-1"}
        await asyncio.sleep(LOSS_WAIT_SECONDS)
        assert (fleet.plan_version > version_before) is is_replaced


async def test_controller_that_regains_quorum_waits_for_renewals():
    fleet = Fleet()
    async with running_controller(fleet):
        async with asyncio.timeout(20.0):
            await wait_for_stable_plan(fleet)
        version_before = fleet.plan_version
        fleet.heartbeat_vms = set()
        fleet.renewing_vms = set()
        await asyncio.sleep(LOSS_WAIT_SECONDS)
        fleet.heartbeat_vms = set(VMS)
        fleet.renewing_vms = {"vm-1"}
        await asyncio.sleep(2 * SEND_INTERVAL_SECONDS)
        fleet.renewing_vms = set(VMS)
        await asyncio.sleep(LOSS_WAIT_SECONDS)
        assert fleet.plan_version == version_before
