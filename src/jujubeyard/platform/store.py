"""Client of the platform's store."""

import base64
import collections.abc
import json

import aiohttp
import result

from jujubeyard import durations
from jujubeyard import errors
from jujubeyard.platform import documents
from jujubeyard.store import interface

HTTP_OK = 200
FAILURES = {
    404: interface.FailureKind.NO_LEASE,
    410: interface.FailureKind.COMPACTED,
    412: interface.FailureKind.CONFLICT,
    429: interface.FailureKind.NOT_APPLIED,
    503: interface.FailureKind.NOT_APPLIED,
}


class PlatformStore:
    """Speaks the platform's key-value protocol."""

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        call_seconds: float,
        watch_slack_seconds: float,
    ):
        """Makes a client.

        Args:
            address: "IP:PORT" of the store.
            session: Makes the calls.
            call_seconds: Time limit of a call.
            watch_slack_seconds: Time limit of a watch beyond its wait.
        """
        self._base = f"http://{address}"
        self._session = session
        self._call_seconds = call_seconds
        self._watch_slack_seconds = watch_slack_seconds

    async def read_all(
        self, prefix: str
    ) -> result.Result[interface.ItemBatch, interface.Failure]:
        """Returns all items; the revision is that of the first page."""
        items, after, revision = [], "", 0
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self._call("GET", "/kv-range", query=query)
            if page.is_err():
                return page
            document = page.ok_value
            revision = revision or document["storeRevision"]
            items += [_read_item(entry) for entry in document["items"]]
            if not document["hasMore"] or not document["items"]:
                return result.Ok(interface.ItemBatch(tuple(items), revision))
            after = items[-1].key

    async def read(
        self, key: str
    ) -> result.Result[interface.Item | None, interface.Failure]:
        """Returns an item, or None if there is none."""
        found = await self._call("GET", "/kv-key", query={"key": key})
        if found.is_ok():
            return result.Ok(_read_item(found.ok_value))
        if found.err_value.kind is interface.FailureKind.NO_LEASE:
            return result.Ok(None)
        return found

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> result.Result[interface.ItemBatch, interface.Failure]:
        """Returns what changed after a revision."""
        wait_ms = int(seconds * durations.MILLISECONDS_PER_SECOND)
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(wait_ms),
        }
        limit = seconds + self._watch_slack_seconds
        outcome = await self._call("GET", "/kv-watch", query=query, limit=limit)
        return outcome.map(
            lambda document: interface.ItemBatch(
                tuple(_read_item(entry) for entry in document["events"]),
                document["storeRevision"],
            )
        )

    async def write(
        self,
        conditions: collections.abc.Sequence[interface.Condition],
        puts: collections.abc.Sequence[interface.Put],
    ) -> result.Result[int, interface.Failure]:
        """Writes all values if all conditions hold."""
        document = {
            "expected": [
                {"key": condition.key, "revision": condition.revision}
                for condition in conditions
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "deletes": [],
        }
        outcome = await self._call("POST", "/kv-txn", document)
        return outcome.map(lambda reply: reply["revision"])

    async def open_lease(
        self, seconds: float
    ) -> result.Result[int, interface.Failure]:
        """Returns a new lease."""
        document = {"ttl_time": durations.format_seconds(seconds)}
        outcome = await self._call("POST", "/kv-lease", document)
        return outcome.map(lambda reply: reply["lease"])

    async def renew_lease(
        self, lease: int
    ) -> result.Result[None, interface.Failure]:
        """Renews a lease."""
        outcome = await self._call("POST", f"/kv-keep/{lease}")
        return outcome.map(lambda _: None)

    async def end_lease(
        self, lease: int
    ) -> result.Result[None, interface.Failure]:
        """Ends a lease."""
        outcome = await self._call("DELETE", f"/kv-lease-end/{lease}")
        return outcome.map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        document: dict | None = None,
        query: dict | None = None,
        limit: float | None = None,
    ) -> result.Result[dict, interface.Failure]:
        timeout = aiohttp.ClientTimeout(
            total=limit or self._call_seconds, sock_connect=self._call_seconds
        )
        body = None if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as resp:
                reply = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            return _fail(interface.FailureKind.NOT_APPLIED, repr(exc))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return _fail(interface.FailureKind.UNKNOWN, repr(exc))
        if resp.status != HTTP_OK:
            kind = FAILURES.get(resp.status, interface.FailureKind.UNKNOWN)
            return _fail(kind, f"HTTP {resp.status}")
        try:
            return result.Ok(documents.read_json(reply) if reply else {})
        except errors.FormatError as exc:
            return _fail(interface.FailureKind.UNKNOWN, exc.message)


def _fail(kind: interface.FailureKind, detail: str) -> result.Err:
    return result.Err(interface.Failure(kind, detail))


def _read_item(entry: dict) -> interface.Item:
    value = None
    if not entry.get("removed"):
        value = base64.b64decode(entry["value"])
    return interface.Item(
        entry["key"], value, entry["revision"], entry.get("createdAt", 0)
    )
