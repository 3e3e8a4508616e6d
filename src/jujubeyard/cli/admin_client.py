"""HTTP client for the admin servers of processes."""

import asyncio
import json

import aiohttp

from jujubeyard import bodies

REQUEST_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 8 * bodies.MIB
MAX_BUFFERED_BYTES = 256 * bodies.MIB
"""Largest size of the answers of all processes that are being read."""


async def fetch_all(addresses: list[str], path: str) -> dict[str, object]:
    """Fetches a JSON document from all processes at once.

    Args:
        addresses: Admin addresses.
        path: Path and query.

    Returns:
        Documents by address; None if a process did not respond with JSON.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    reader = bodies.BodyReader(MAX_ANSWER_BYTES, MAX_BUFFERED_BYTES)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        documents = await asyncio.gather(
            *(_fetch(session, reader, address, path) for address in addresses)
        )
    return dict(zip(addresses, documents, strict=True))


async def _fetch(
    session: aiohttp.ClientSession,
    reader: bodies.BodyReader,
    address: str,
    path: str,
):
    try:
        async with session.get(f"http://{address}{path}") as resp:
            return json.loads(await reader.read(resp.content))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
