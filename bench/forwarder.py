"""Baseline: an aiohttp server that forwards each call with an aiohttp client.

python -m bench.forwarder LISTEN TARGET
"""

import asyncio
import sys

import aiohttp
from aiohttp import web

from jujubeyard.manifest import address as addresses


async def serve(listen: str, target: str) -> None:
    """Serves for ever."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def forward(req: web.BaseRequest) -> web.Response:
            body = await req.read()
            async with session.request(
                req.method, f"http://{target}{req.path}", data=body
            ) as resp:
                return web.Response(status=resp.status, body=await resp.read())

        runner = web.ServerRunner(web.Server(forward, access_log=None))
        await runner.setup()
        host, port = addresses.split(listen)
        await web.TCPSite(runner, host, port, backlog=1024).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2]))
