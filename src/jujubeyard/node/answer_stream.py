"""Reads bodies of answers within the memory for all peers."""

import aiohttp

from jujubeyard import bodies
from jujubeyard import memory


async def read_whole(
    content: aiohttp.StreamReader, max_bytes: int, budget: memory.MemoryBudget
) -> bytes:
    """Returns the body of an answer.

    A connection whose body isn't read to its end must be closed.

    Args:
        content: The content of the answer.
        max_bytes: Largest size of the body.
        budget: Memory for all bodies.

    Raises:
        bodies.BodyTooLargeError: The body is too large.
        bodies.BuffersFullError: The body was given up for want of memory.
        aiohttp.ClientError: The body is incomplete.
    """
    body = bytearray()
    with budget.hold() as holding:
        async for chunk in content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                raise bodies.BodyTooLargeError(
                    f"body of over {max_bytes} bytes"
                )
            await holding.grow(len(chunk))
    return bytes(body)
