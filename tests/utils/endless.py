"""Bytes that peers in trouble send without end, and the memory they cost."""

import contextlib
import gc
import tracemalloc

import pytest

from jujubeyard import bodies
from jujubeyard.node import core

MAX_MEMORY_BYTES = 32 * bodies.MIB
"""Memory that a node may use for control at the size to design for."""

BLOCK = b"x" * 65536
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = [
    pytest.param(HEAD + b"\r\n", BLOCK, id="body without length"),
    pytest.param(
        HEAD + b"Content-Length: 99999999999\r\n\r\n", BLOCK, id="body"
    ),
    pytest.param(HEAD + CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", id="chunks"),
    pytest.param(HEAD, b"X-More: y\r\n" * 6000, id="headers"),
    pytest.param(HEAD + b"X-Long: ", BLOCK, id="header value"),
    pytest.param(HEAD, BLOCK, id="header name"),
    pytest.param(b"HTTP/1.1 200 ", BLOCK, id="reason"),
    pytest.param(b"", BLOCK, id="no HTTP"),
    pytest.param(b"", b"HTTP/1.1 100 Go\r\n\r\n" * 3000, id="interim answers"),
    pytest.param(b"", b"\r\n" * 32768, id="empty lines"),
    pytest.param(HEAD + CHUNKED, b"0" * 65536, id="chunk size"),
    pytest.param(HEAD + CHUNKED + b"5;a=", BLOCK, id="chunk extension"),
    pytest.param(HEAD + CHUNKED + b"0\r\n", b"A: b\r\n" * 9999, id="trailer"),
    pytest.param(b"", ANSWER * 1500, id="copies of the answer"),
]
"""What an answer begins with, and what follows without end."""

REQUEST = b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
POST = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
REQUESTS = [
    pytest.param(b"GET /", BLOCK, id="request line"),
    pytest.param(REQUEST, b"X-More: y\r\n" * 6000, id="headers"),
    pytest.param(REQUEST + b"X-Long: ", BLOCK, id="header value"),
    pytest.param(REQUEST, BLOCK, id="header name"),
    pytest.param(b"", BLOCK, id="no HTTP"),
    pytest.param(b"", b"\r\n" * 32768, id="empty lines"),
    pytest.param(
        POST + b"Content-Length: 99999999999\r\n\r\n", BLOCK, id="body"
    ),
    pytest.param(POST + CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", id="chunks"),
    pytest.param(POST + CHUNKED, b"0" * 65536, id="chunk size"),
    pytest.param(POST + CHUNKED + b"5;a=", BLOCK, id="chunk extension"),
    pytest.param(POST + CHUNKED + b"0\r\n", b"A: b\r\n" * 9999, id="trailer"),
    pytest.param(b"", (REQUEST + b"\r\n") * 1000, id="copies of the request"),
]
"""What a request begins with, and what follows without end."""


@contextlib.contextmanager
def assert_memory_is_bounded(body_bytes=0):
    """Asserts that the block uses little memory, with a node's collector.

    Args:
        body_bytes: What bodies of calls may take beside.
    """
    thresholds = gc.get_threshold()
    gc.collect()
    gc.set_threshold(core.GC_THRESHOLD)
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.set_threshold(*thresholds)
    assert peak_bytes < MAX_MEMORY_BYTES + body_bytes
