"""Baseline: a minimal HTTP forwarder built on aiohttp.

python -m bench.forwarder LISTEN TARGET [TARGET ...]

Forwards calls to the targets round robin, without limits, probes or retries.
"""

import asyncio
import itertools
import sys

import aiohttp
from aiohttp import web

from jujubeyard import codes
from jujubeyard.manifest import address as addresses

CODE_HEADER = "Jujubeyard-Code"


async def serve(listen: str, targets: list[str]) -> None:
    """Forwards calls until the process is killed.

    Args:
        listen: Address to listen on, as "IP:PORT".
        targets: Addresses of the targets.
    """
    target_cycle = itertools.cycle(targets)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def forward(req: web.BaseRequest) -> web.Response:
            body = await req.read()
            url = f"http://{next(target_cycle)}{req.path}"
            try:
                async with session.request(req.method, url, data=body) as resp:
                    return _make_response(
                        codes.ResultCode.OK, await resp.read(), resp.status
                    )
            except aiohttp.ClientError:
                return _make_response(
                    codes.ResultCode.OUTCOME_UNKNOWN, b"{}", 502
                )

        runner = web.ServerRunner(web.Server(forward, access_log=None))
        await runner.setup()
        host, port = addresses.split(listen)
        await web.TCPSite(runner, host, port, backlog=1024).start()
        await asyncio.Event().wait()


def _make_response(
    code: codes.ResultCode, body: bytes, status: int
) -> web.Response:
    headers = {CODE_HEADER: str(int(code)), "Content-Type": "application/json"}
    return web.Response(status=status, body=body, headers=headers)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2:]))
