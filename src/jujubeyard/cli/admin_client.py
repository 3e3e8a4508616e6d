"""HTTP client for the admin servers of processes."""

import asyncio

import aiohttp

REQUEST_TIMEOUT_SECONDS = 2.0


async def fetch_all(addresses: list[str], path: str) -> dict[str, object]:
    """Fetches a JSON document from all processes at once.

    Args:
        addresses: Admin addresses.
        path: Path and query.

    Returns:
        Documents by address; None if a process did not respond with JSON.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        documents = await asyncio.gather(
            *(_fetch(session, address, path) for address in addresses)
        )
    return dict(zip(addresses, documents, strict=True))


async def _fetch(session: aiohttp.ClientSession, address: str, path: str):
    try:
        async with session.get(f"http://{address}{path}") as resp:
            return await resp.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
