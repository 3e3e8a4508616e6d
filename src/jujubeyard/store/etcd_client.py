"""Client of the platform's store: compare-and-swap, reads and watches.

Speaks the JSON form of the etcd v3 API over HTTP (range, txn, watch).
"""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import random

import aiohttp
import result

from jujubeyard import errors

CALL_SECONDS = 1.0
WATCH_RETRY_SECONDS = 0.3
MAX_WATCH_RETRY_SECONDS = 2.4
WATCH_SILENCE_SECONDS = 5.0
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A stored value.

    Attributes:
        body: The bytes.
        revision: The revision of the value's latest change.
    """

    body: bytes
    revision: int


class EtcdClient:
    """Talks to the store.

    Attributes:
        calls: Number of calls made, by operation.
        healthy: Whether the latest call was answered.
    """

    def __init__(self, address: str, timeout: float = CALL_SECONDS):
        self.calls = {"range": 0, "txn": 0, "watch": 0}
        self.healthy = False
        self._base = f"http://{address}/v3"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None

    async def read(
        self, key: str
    ) -> result.Result[Value | None, errors.StoreError]:
        """Reads a value.

        Returns:
            Ok with the value, Ok(None) if there is none, or Err.
        """
        answer = await self._post("kv/range", {"key": _encode(key)}, "range")
        return answer.map(_first_value)

    async def compare_and_swap(
        self, key: str, expected_revision: int, body: bytes
    ) -> result.Result[int, errors.StoreError]:
        """Replaces a value if it is unchanged.

        Args:
            key: The key.
            expected_revision: Revision that the value must have; 0 if it must
                not exist.
            body: The new value.

        Returns:
            Ok with the value's new revision, or with 0 if it had changed.
            Err if the store refused or did not answer; the write may have
            taken effect all the same.
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
        answer = await self._post("kv/txn", request, "txn")
        return answer.map(_swapped_revision)

    async def watch(self, key: str) -> collections.abc.AsyncIterator[Value]:
        """Yields each new value of a key, for ever, across outages.

        The value is read again after each interruption, so that no newest
        value is missed. Pauses between attempts grow while the store is down.
        """
        pause = WATCH_RETRY_SECONDS
        while True:
            seen = 0
            current = await self.read(key)
            if current.is_ok() and current.ok_value is not None:
                seen = current.ok_value.revision
                yield current.ok_value
            if current.is_ok():
                pause = WATCH_RETRY_SECONDS
                async for value in self._watch_once(key, seen + 1):
                    yield value
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_WATCH_RETRY_SECONDS)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _watch_once(self, key: str, revision: int):
        request = {
            "create_request": {
                "key": _encode(key),
                "start_revision": str(revision),
            }
        }
        self.calls["watch"] += 1
        patient = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CALL_SECONDS,
            sock_read=WATCH_SILENCE_SECONDS,
        )
        try:
            async with self._http().post(
                f"{self._base}/watch", json=request, timeout=patient
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
            async with self._http().post(
                f"{self._base}/{path}", json=body, timeout=self._timeout
            ) as resp:
                if resp.status != 200:
                    raise aiohttp.ClientError(f"HTTP {resp.status}")
                reply = await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            self.healthy = False
            reason = str(exc) or type(exc).__name__
            return result.Err(
                errors.StoreError(
                    f"the store did not answer: {reason}",
                    "is the store up and its address right?",
                )
            )
        self.healthy = True
        return result.Ok(reply)

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _first_value(reply: dict) -> Value | None:
    kvs = reply.get("kvs", [])
    return _make_value(kvs[0]) if kvs else None


def _swapped_revision(reply: dict) -> int:
    if not reply.get("succeeded", False):
        return 0
    return int(reply["header"]["revision"])


def _make_value(kv: dict) -> Value:
    return Value(base64.b64decode(kv["value"]), int(kv["mod_revision"]))
