"""A controller among scripted controllers and gates."""

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
FEED_SECONDS = 0.1
LOSS_SECONDS = 2.0


class Fleet:
    """Controllers and gates of other VMs, which speak over one link.

    Attributes:
        beating: VMs whose controllers send heartbeats.
        renewing: VMs whose gates renew.
        plan_version: The newest plan that the controller told of.
    """

    def __init__(self):
        self.beating = set(VMS)
        self.renewing = set(VMS)
        self.plan_version = 0
        self._numbers = itertools.count(1)

    def receive(self, peer, message) -> None:
        del peer
        if isinstance(message, messages.Promise):
            self.plan_version = message.plan_version

    async def feed(self, peer: link.Link) -> None:
        while True:
            for vm in sorted(self.beating):
                peer.send(messages.Beat(f"{vm}/1", "", "a", 1, 0, False, 0.3))
            for vm in sorted(self.renewing):
                peer.send(self._make_renewal(vm))
            await asyncio.sleep(FEED_SECONDS)

    def _make_renewal(self, vm: str) -> messages.Renew:
        version = self.plan_version
        return messages.Renew(
            next(self._numbers),
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
async def controller_among(fleet: Fleet):
    manifest = builders.make_manifest(targets=4)
    config = records.ConfigRecord(1, manifest, [], [], {}, [])
    async with store.serving_store() as address:
        cfg = settings.ControllerSettings(
            **processes.make_settings(),
            store=address,
            vm_list=address,
        )
        async with processes.serving(core.serve, cfg):
            me = processes.make_identity("controller", "vm-1")
            peer = await processes.connect_when_ready(
                cfg.listen, me, fleet.receive
            )
            peer.send(messages.ConfigPush(1, config.encode()))
            tasks = [
                asyncio.create_task(peer.run()),
                asyncio.create_task(fleet.feed(peer)),
            ]
            yield
            for task in tasks:
                task.cancel()
            peer.close()


async def wait_stable(fleet: Fleet) -> None:
    version = 0
    while version == 0 or version != fleet.plan_version:
        version = fleet.plan_version
        await asyncio.sleep(0.5)


@pytest.mark.parametrize(
    ("beating", "is_replaced"),
    [(VMS, True), (VMS[:1], True), ((), False)],
    ids=["gate lost", "VM lost", "controller cut off"],
)
async def test_silent_gate_is_replaced_by_who_hears_a_majority(
    beating, is_replaced
):
    fleet = Fleet()
    async with controller_among(fleet):
        async with asyncio.timeout(20.0):
            await wait_stable(fleet)
        before = fleet.plan_version
        fleet.beating = set(beating)
        fleet.renewing = {"vm-1"}
        await asyncio.sleep(LOSS_SECONDS)
        assert (fleet.plan_version > before) is is_replaced


async def test_controller_that_hears_again_waits_for_the_gates():
    fleet = Fleet()
    async with controller_among(fleet):
        async with asyncio.timeout(20.0):
            await wait_stable(fleet)
        before = fleet.plan_version
        fleet.beating = set()
        fleet.renewing = set()
        await asyncio.sleep(LOSS_SECONDS)
        fleet.beating = set(VMS)
        fleet.renewing = {"vm-1"}
        await asyncio.sleep(2 * FEED_SECONDS)
        fleet.renewing = set(VMS)
        await asyncio.sleep(LOSS_SECONDS)
        assert fleet.plan_version == before
