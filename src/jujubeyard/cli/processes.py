"""Asks processes for status and events through their admin ports."""

import asyncio

import aiohttp

ASK_SECONDS = 2.0


async def ask_all(addresses: list[str], path: str) -> dict[str, object]:
    """Asks all processes at once.

    Args:
        addresses: Admin addresses.
        path: Path and query.

    Returns:
        Answers by address; None where there was none.
    """
    timeout = aiohttp.ClientTimeout(total=ASK_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(
            *(_ask(session, address, path) for address in addresses)
        )
    return dict(zip(addresses, answers, strict=True))


async def _ask(session: aiohttp.ClientSession, address: str, path: str):
    try:
        async with session.get(f"http://{address}{path}") as resp:
            return await resp.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
