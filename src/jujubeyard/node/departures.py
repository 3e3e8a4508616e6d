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
    while not transport.is_closing():
        if has_left(transport):
            transport.abort()
            return
        await asyncio.sleep(CHECK_SECONDS)


def has_left(transport: asyncio.Transport) -> bool:
    """Returns whether the peer of an open connection has closed or reset it."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
