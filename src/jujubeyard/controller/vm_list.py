"""Client of the platform's list of live and leaving VMs."""

import aiohttp

LIST_SECONDS = 1.0


class VmListClient:
    """Reads the VM list, which lags behind the truth."""

    def __init__(self, address: str):
        self._url = f"http://{address}/v1/vms"
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> dict[str, str] | None:
        """Returns IP numbers by VM name, or None if there is no answer."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=LIST_SECONDS)
        try:
            async with self._session.get(self._url, timeout=timeout) as resp:
                if resp.status != 200:
                    return None
                document = await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None
        return {row["vm"]: row["ip"] for row in document["vms"]}

    async def close(self) -> None:
        """Closes the connection."""
        if self._session is not None:
            await self._session.close()
