"""Runs the stand-in store in the test's own process."""

import contextlib

import aiohttp

from jujubeyard.standins import store
from tests.utils import processes


@contextlib.asynccontextmanager
async def serving_store():
    """Yields the address of a running stand-in store."""
    address = processes.make_address()
    cfg = store.StoreSettings(listen=address)
    async with processes.serving(store.serve, cfg):
        async with aiohttp.ClientSession() as session:
            await _wait_up(session, address)
        yield address


async def _wait_up(session, address: str) -> None:
    for _ in range(200):
        try:
            async with session.get(f"http://{address}/calls"):
                return
        except aiohttp.ClientError:
            continue


async def set_faults(address: str, **faults) -> None:
    """Switches faults of the store on, and all others off."""
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"http://{address}/faults", json=faults) as resp,
    ):
        resp.raise_for_status()
