"""Tests of a mirror behind a link whose bandwidth is small."""

import asyncio
import contextlib
import random

from aiohttp import web
import pytest

from jujubeyard import connections
from jujubeyard.node import core
from jujubeyard.node import tasks
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.store import health
from jujubeyard.store import mirror
from platform_standins import store as standin_store
from soak import proxy
from tests.utils import fakes
from tests.utils import processes

CONFIGURATION_BYTES = 250_000
BEACON_SECONDS = 0.4
IN_FORCE_SECONDS = 2.5
SETTLE_SECONDS = 0.3
CHOKED_SECONDS = 2.0


class VersionListener:
    """Keeps the values that a mirror delivers."""

    def __init__(self):
        self.values = []

    def apply_snapshot(self, prefix, items, age_seconds):
        self.values += [item.value[:2] for item in items]

    def apply_changes(self, items, age_seconds):
        self.values += [item.value[:2] for item in items]


@pytest.fixture
async def standin():
    created = standin_store.Store(random.Random(1))
    runner = web.AppRunner(created.make_app("n1"), access_log=None)
    await runner.setup()
    host, port = processes.make_address().split(":")
    await web.TCPSite(runner, host, int(port)).start()
    link = proxy.Proxy((host, int(port)))
    address = processes.make_address()
    host, port = address.split(":")
    await link.start(host, int(port))
    yield created, link, address
    link.close()
    await runner.cleanup()


@contextlib.asynccontextmanager
async def _follow(kv_store, address):
    """Runs a mirror and a registration that shares its health.

    Beacons of another node tell the mirror what the store has.

    Yields:
        What the mirror delivers.
    """
    session = connections.make_session(headers.NAMES.call_id, force_close=False)
    client = store.PlatformStore(
        address,
        session,
        core.STORE_CALL_TIMEOUT_SECONDS,
        core.STORE_READ_TIMEOUT_SECONDS,
    )
    listener = VersionListener()
    store_health = health.Health(lambda _: None, lambda: None)
    log = fakes.RecordingJournal()
    store_mirror = mirror.Mirror(
        client, "op/", listener, store_health, core.OPERATOR_BATCH_SECONDS, log
    )
    registration = tasks.NodeRegistration(
        client, "fleet/nodes/n1", "n1", store_health, log
    )
    running = [
        asyncio.create_task(run)
        for run in (
            store_mirror.run(),
            registration.run(),
            _send_beacons(store_mirror, kv_store),
        )
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    try:
        yield listener
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await session.close()


async def _send_beacons(store_mirror, kv_store) -> None:
    while True:
        await asyncio.sleep(BEACON_SECONDS)
        store_mirror.wake_if_behind(kv_store._revision)


async def _wait_in_force(listener, value: bytes) -> None:
    async with asyncio.timeout(IN_FORCE_SECONDS):
        while listener.values[-1] != value:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ("versions", "bytes_per_second"),
    [(1, 250_000), (2, 600_000), (12, 600_000)],
)
async def test_large_configurations_are_in_force_in_time_on_a_slow_link(
    standin, versions, bytes_per_second
):
    kv_store, link, address = standin
    link.bytes_per_second = bytes_per_second
    kv_store.put("op/config", b"00")
    async with _follow(kv_store, address) as listener:
        for version in range(1, versions + 1):
            await asyncio.sleep(0.08)
            label = f"{version:02}".encode()
            kv_store.put(
                "op/config", label + random.randbytes(CONFIGURATION_BYTES)
            )
        await _wait_in_force(listener, label)


@pytest.mark.parametrize("queue_seconds", [0.2, 0.4, 0.7])
@pytest.mark.parametrize("changes", [1, 3])
async def test_change_is_known_in_time_on_a_link_with_a_long_queue(
    standin, queue_seconds, changes
):
    kv_store, link, address = standin
    kv_store.put("op/config", b"00")
    async with _follow(kv_store, address) as listener:
        link.delay_seconds = queue_seconds
        await asyncio.sleep(CHOKED_SECONDS)
        for change in range(1, changes + 1):
            label = f"{change:02}".encode()
            kv_store.put("op/config", label)
            await _wait_in_force(listener, label)
