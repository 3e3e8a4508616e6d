"""Client of the platform's VM list: live and terminating VMs."""

import json

import aiohttp

from jujubeyard import bodies

REQUEST_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = bodies.MIB


class VmListClient:
    """Reads the VM list, which lags behind the actual state."""

    def __init__(self, address: str):
        self._url = f"http://{address}/v1/vms"
        self._session: aiohttp.ClientSession | None = None
        self._reader = bodies.BodyReader(MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)

    async def read(self) -> dict[str, str] | None:
        """Returns IP addresses by VM name, or None if the request failed."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                self._url, timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                document = json.loads(await self._reader.read(response.content))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None
        return {row["vm"]: row["ip"] for row in document["vms"]}

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()
