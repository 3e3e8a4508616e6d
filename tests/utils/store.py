"""Runs the stand-in store inside the test process."""

import contextlib

import aiohttp

from jujubeyard.standins import store
from tests.utils import processes


@contextlib.asynccontextmanager
async def serving_store():
    """Runs a stand-in store while the block runs and yields its address."""
    address = processes.make_address()
    cfg = store.StoreSettings(listen=address)
    async with processes.serving(store.serve, cfg):
        async with aiohttp.ClientSession() as session:
            await _wait_until_ready(session, address)
        yield address


async def _wait_until_ready(session, address: str) -> None:
    for _ in range(200):
        try:
            async with session.get(f"http://{address}/calls"):
                return
        except aiohttp.ClientError:
            continue


async def set_faults(address: str, **faults) -> None:
    """Sets the given faults of the store and clears all others."""
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"http://{address}/faults", json=faults) as resp,
    ):
        resp.raise_for_status()
