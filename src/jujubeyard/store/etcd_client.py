"""Client of an etcd store: reads, compare-and-swap and watches.

Uses the JSON form of the etcd v3 API over HTTP (range, txn, watch).
"""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import random

import aiohttp
import result

from jujubeyard import bodies
from jujubeyard import errors

CALL_TIMEOUT_SECONDS = 1.0
MIN_WATCH_RETRY_SECONDS = 0.3
MAX_WATCH_RETRY_SECONDS = 2.4
WATCH_READ_TIMEOUT_SECONDS = 5.0
MAX_VALUE_BYTES = 1_000_000
MAX_ANSWER_BYTES = 4 * bodies.MIB


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A stored value.

    Attributes:
        body: Stored bytes.
        revision: Store revision of the value's latest change.
    """

    body: bytes
    revision: int


class EtcdClient:
    """Reads, writes and watches single keys of an etcd store.

    Attributes:
        calls: Number of calls by operation.
        healthy: Whether the latest call succeeded.
    """

    def __init__(self, address: str, timeout: float = CALL_TIMEOUT_SECONDS):
        self.calls = {"range": 0, "txn": 0, "watch": 0}
        self.healthy = False
        self._base = f"http://{address}/v3"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None
        self._reader = bodies.BodyReader(MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)

    async def read(
        self, key: str
    ) -> result.Result[Value | None, errors.StoreError]:
        """Reads a value.

        Returns:
            Ok with the value, Ok(None) if the key does not exist, or Err.
        """
        reply = await self._post("kv/range", {"key": _encode(key)}, "range")
        return reply.map(_first_value)

    async def compare_and_swap(
        self, key: str, expected_revision: int, body: bytes
    ) -> result.Result[int, errors.StoreError]:
        """Writes a value if the key still has the expected revision.

        Args:
            key: Key to write.
            expected_revision: Revision that the value must have; 0 if the key
                must not exist.
            body: New value.

        Returns:
            Ok with the value's new revision, or Ok(0) if the revision did not
            match. Err if the value is too large, or if the store refused the
            call or did not reply; without a reply the write may have been
            applied nevertheless.
        """
        if len(body) > MAX_VALUE_BYTES:
            return result.Err(
                errors.StoreError(f"value of {len(body)} bytes is too large")
            )
        request = {
            "compare": [
                {
                    "key": _encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [
                {
                    "request_put": {
                        "key": _encode(key),
                        "value": base64.b64encode(body).decode(),
                    }
                }
            ],
        }
        reply = await self._post("kv/txn", request, "txn")
        return reply.map(_swap_revision)

    async def watch(self, key: str) -> collections.abc.AsyncIterator[Value]:
        """Yields the value of a key and each new value, without end.

        After an interruption the value is read again, so that the newest
        value is never missed. The delay between attempts grows exponentially
        while the store is down.
        """
        delay = MIN_WATCH_RETRY_SECONDS
        while True:
            revision = 0
            current = await self.read(key)
            if current.is_ok() and current.ok_value is not None:
                revision = current.ok_value.revision
                yield current.ok_value
            if current.is_ok():
                delay = MIN_WATCH_RETRY_SECONDS
                async for value in self._watch_once(key, revision + 1):
                    yield value
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(2 * delay, MAX_WATCH_RETRY_SECONDS)

    async def close(self) -> None:
        """Closes the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def _watch_once(self, key: str, start_revision: int):
        request = {
            "create_request": {
                "key": _encode(key),
                "start_revision": str(start_revision),
            }
        }
        self.calls["watch"] += 1
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CALL_TIMEOUT_SECONDS,
            sock_read=WATCH_READ_TIMEOUT_SECONDS,
        )
        try:
            async with self._get_session().post(
                f"{self._base}/watch", json=request, timeout=timeout
            ) as resp:
                async for line in resp.content:
                    for event in json.loads(line)["result"].get("events", []):
                        yield _make_value(event["kv"])
        except aiohttp.SocketTimeoutError:
            return
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            self.healthy = False

    async def _post(self, path: str, body: dict, operation: str):
        self.calls[operation] += 1
        try:
            async with self._get_session().post(
                f"{self._base}/{path}", json=body, timeout=self._timeout
            ) as resp:
                if resp.status != 200:
                    raise aiohttp.ClientError(f"HTTP {resp.status}")
                reply = json.loads(await self._reader.read(resp.content))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            self.healthy = False
            reason = str(exc) or type(exc).__name__
            return result.Err(
                errors.StoreError(
                    f"the store did not answer: {reason}",
                    "check the address of the store and that it is running",
                )
            )
        self.healthy = True
        return result.Ok(reply)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _first_value(reply: dict) -> Value | None:
    kvs = reply.get("kvs", [])
    return _make_value(kvs[0]) if kvs else None


def _swap_revision(reply: dict) -> int:
    if not reply.get("succeeded", False):
        return 0
    return int(reply["header"]["revision"])


def _make_value(kv: dict) -> Value:
    return Value(base64.b64decode(kv["value"]), int(kv["mod_revision"]))
