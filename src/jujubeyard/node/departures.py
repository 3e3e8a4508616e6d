"""Notices callers that leave while nothing is read from their connections.

The event loop doesn't watch a connection whose reading is paused.
"""

import asyncio
import contextlib
import select

CHECK_SECONDS = 0.1


@contextlib.asynccontextmanager
async def watching(transport: asyncio.Transport | None):
    """Closes a connection once its peer has left, while the block runs.

    Args:
        transport: The connection; None if it is closed already.
    """
    if transport is None:
        yield
        return
    watcher = asyncio.get_running_loop().create_task(_watch(transport))
    try:
        yield
    finally:
        watcher.cancel()


async def _watch(transport: asyncio.Transport) -> None:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    while not transport.is_closing():
        if poll.poll(0):
            transport.abort()
            return
        await asyncio.sleep(CHECK_SECONDS)
