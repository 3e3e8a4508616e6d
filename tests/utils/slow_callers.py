"""Callers that send a request and don't read its answer."""

import collections.abc
import contextlib
import socket

RECEIVE_BUFFER_BYTES = 4096


@contextlib.contextmanager
def connected(
    address: str, request: bytes, count: int
) -> collections.abc.Iterator[list[socket.socket]]:
    """Keeps callers waiting, each on a connection that it doesn't read.

    Args:
        address: Address of the server, as "IP:PORT".
        request: The request that each caller sends.
        count: Number of callers.
    """
    host, _, port = address.partition(":")
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.connect((host, int(port)))
            sock.sendall(request)
        yield socks


def count_resets(socks: list[socket.socket]) -> int:
    """Returns how many connections the server has reset."""
    errors = [
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for sock in socks
    ]
    return sum(map(bool, errors))
