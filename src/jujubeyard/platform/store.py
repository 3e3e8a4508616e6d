"""Client of the platform's key-value store over HTTP."""

import asyncio
import base64
import collections.abc
import dataclasses
import functools
import json
import re
import time
import typing

import aiohttp
import result

from jujubeyard import bodies
from jujubeyard import durations
from jujubeyard import errors
from jujubeyard import fields
from jujubeyard.platform import documents
from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions

T = typing.TypeVar("T")
HTTP_OK = 200
ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile("[0-9]{1,9}")
FIRST_ERA = 1
"""Era of an answer with the number 0: that of the product is unknown."""

ANSWER_SILENCE_SECONDS = 1.0
"""Longest pause within an answer. Its whole transfer may take longer, as that
of a large configuration does on a slow link."""

MAX_ANSWER_SECONDS = 10.0
"""Longest transfer of an answer."""

MAX_ANSWER_BYTES = 4 * bodies.MIB
"""Largest size of an answer. A page of items has about one MiB."""

MAX_WATCH_BYTES = bodies.MIB
"""Largest size of the answer to a watch."""

MAX_READ_BYTES = 32 * bodies.MIB
"""Largest size of all pages of a read."""

MAX_PAGES = 100
"""Largest number of pages that a read of all items may have."""

FAILURE_KINDS = {
    404: interface.FailureKind.NO_LEASE,
    410: interface.FailureKind.COMPACTED,
    412: interface.FailureKind.CONFLICT,
    429: interface.FailureKind.NOT_APPLIED,
    503: interface.FailureKind.NOT_APPLIED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The answer to a call.

    Attributes:
        document: Its body.
        era: Era of the store that it names; `eras.UNKNOWN_ERA` without one.
    """

    document: dict
    era: int


class PlatformStore:
    """Implements the store interface with the platform's HTTP protocol.

    It translates revisions and leases, which are those of `revisions`, to the
    store's own numbers.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        call_seconds: float,
        read_seconds: float,
        era_tracker: eras.EraTracker | None = None,
    ):
        """Initializes the client.

        Args:
            address: Address of the store as "IP:PORT".
            session: HTTP session for all calls.
            call_seconds: Time until the answer to a call begins to arrive.
            read_seconds: That time for reads of all items, and for watches
                once their duration is over.
            era_tracker: Is told the era that each answer names; None to ignore
                it.
        """
        self._era_tracker = era_tracker
        self._base = f"http://{address}"
        self._session = session
        self._call_seconds = call_seconds
        self._read_seconds = read_seconds

    async def read_all(
        self, prefix: str, transfer: interface.Transfer | None = None
    ) -> result.Result[interface.ItemBatch, interface.Failure]:
        """Returns all items whose keys start with a prefix.

        Items are read in pages. The revision of the batch is that of the first
        page, so that a watch from it also returns changes made between pages.
        """
        items, after, revision = [], "", 0
        transfer = transfer or interface.Transfer()
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self._call(
                "GET",
                "/kv-range",
                query=query,
                timeout=self._read_seconds,
                transfer=transfer,
                max_bytes=min(
                    MAX_ANSWER_BYTES, MAX_READ_BYTES - transfer.received_bytes
                ),
            )
            if page.is_err():
                return page
            decoded = _decode(_decode_page, page.ok_value)
            if decoded.is_err():
                return decoded
            page_items, page_revision, has_more = decoded.ok_value
            revision = revision or page_revision
            if revisions.era_of(page_revision) != revisions.era_of(revision):
                return _make_failure(
                    interface.FailureKind.UNKNOWN, "pages of two eras"
                )
            items += page_items
            if not has_more or not page_items:
                return result.Ok(interface.ItemBatch(tuple(items), revision))
            after = items[-1].key
        return _make_failure(
            interface.FailureKind.TOO_LARGE, f"more than {MAX_PAGES} pages"
        )

    async def read(
        self, key: str
    ) -> result.Result[interface.Item | None, interface.Failure]:
        """Returns an item, or None if it does not exist."""
        outcome = await self._call("GET", "/kv-key", query={"key": key})
        if outcome.is_ok():
            return _decode(_decode_item, outcome.ok_value)
        # A missing key has the same status, 404, as an unknown lease.
        if outcome.err_value.kind is interface.FailureKind.NO_LEASE:
            return result.Ok(None)
        return outcome

    async def watch(
        self,
        prefix: str,
        after: int,
        seconds: float,
        transfer: interface.Transfer | None = None,
    ) -> result.Result[interface.ItemBatch, interface.Failure]:
        """Waits for changes after a revision and returns them."""
        wait_ms = int(seconds * durations.MILLISECONDS_PER_SECOND)
        query = {
            "prefix": prefix,
            "after": str(revisions.number_of(after)),
            "waitMs": str(wait_ms),
        }
        timeout = seconds + self._read_seconds
        outcome = await self._call(
            "GET",
            "/kv-watch",
            query=query,
            timeout=timeout,
            transfer=transfer,
            max_bytes=MAX_WATCH_BYTES,
        )
        return outcome.and_then(functools.partial(_decode, _decode_events))

    async def write(
        self,
        conditions: collections.abc.Sequence[interface.Condition],
        puts: collections.abc.Sequence[interface.Put],
    ) -> result.Result[int, interface.Failure]:
        """Writes all values atomically if all conditions hold."""
        document = {
            "expected": [
                {
                    "key": condition.key,
                    "revision": revisions.number_of(condition.revision),
                }
                for condition in conditions
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": revisions.number_of(put.lease),
                }
                for put in puts
            ],
            "deletes": [],
        }
        outcome = await self._call("POST", "/kv-txn", document)
        return outcome.and_then(
            functools.partial(_decode, _decode_number("revision"))
        )

    async def open_lease(
        self, seconds: float
    ) -> result.Result[int, interface.Failure]:
        """Creates a lease and returns its ID."""
        document = {"ttl_time": durations.format_seconds(seconds)}
        outcome = await self._call("POST", "/kv-lease", document)
        return outcome.and_then(
            functools.partial(_decode, _decode_number("lease"))
        )

    async def renew_lease(
        self, lease: int
    ) -> result.Result[None, interface.Failure]:
        """Renews a lease for another time to live."""
        outcome = await self._call(
            "POST", f"/kv-keep/{revisions.number_of(lease)}"
        )
        return outcome.map(lambda _: None)

    async def end_lease(
        self, lease: int
    ) -> result.Result[None, interface.Failure]:
        """Revokes a lease and removes the items attached to it."""
        path = f"/kv-lease-end/{revisions.number_of(lease)}"
        outcome = await self._call("DELETE", path)
        return outcome.map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        document: dict | None = None,
        query: dict | None = None,
        timeout: float | None = None,
        transfer: interface.Transfer | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> result.Result[_Answer, interface.Failure]:
        timeout = timeout or self._call_seconds
        client_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=min(timeout, self._read_seconds)
        )
        body = None if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with (
                asyncio.timeout(timeout) as limit,
                self._session.request(
                    method,
                    self._base + path,
                    params=query,
                    data=body,
                    headers=headers,
                    timeout=client_timeout,
                ) as resp,
            ):
                era = self._observe_era(resp)
                reply = await _read_body(
                    resp, limit, transfer or interface.Transfer(), max_bytes
                )
        except bodies.BodyTooLargeError as exc:
            return _make_failure(interface.FailureKind.TOO_LARGE, str(exc))
        except aiohttp.ClientConnectorError as exc:
            return _make_failure(interface.FailureKind.NOT_APPLIED, repr(exc))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return _make_failure(interface.FailureKind.UNKNOWN, repr(exc))
        if self._is_outdated(era):
            return _make_failure(
                interface.FailureKind.UNKNOWN, "answer of an earlier era"
            )
        if resp.status != HTTP_OK:
            kind = FAILURE_KINDS.get(resp.status, interface.FailureKind.UNKNOWN)
            return _make_failure(kind, f"HTTP {resp.status}")
        try:
            document = documents.parse_json_object(reply) if reply else {}
            return result.Ok(_Answer(document, era))
        except errors.FormatError as exc:
            return _make_failure(interface.FailureKind.UNKNOWN, exc.message)

    def _observe_era(self, resp: aiohttp.ClientResponse) -> int:
        """Passes on the era of the store that an answer names, and returns it.

        An answer without one is taken for one of the current era.
        """
        if self._era_tracker is None:
            return eras.UNKNOWN_ERA
        number = resp.headers.get(ERA_HEADER, "")
        if not ERA_PATTERN.fullmatch(number):
            return self._era_tracker.current
        era = int(number) + FIRST_ERA
        if era > revisions.MAX_ERA:
            return self._era_tracker.current
        self._era_tracker.observe(era)
        return era

    def _is_outdated(self, era: int) -> bool:
        """Returns whether an era has ended."""
        return self._era_tracker is not None and era < self._era_tracker.current


async def _read_body(
    resp: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
    transfer: interface.Transfer,
    max_bytes: int,
) -> bytes:
    """Returns the body of an answer, and records its progress.

    Args:
        resp: The answer.
        limit: Time limit of the call; it is extended while bytes arrive.
        transfer: Is updated with each received part.
        max_bytes: Largest size of the body.

    Raises:
        bodies.BodyTooLargeError: The body is too large.
        TimeoutError: The store paused for too long.
    """
    now = asyncio.get_running_loop().time
    latest_end = limit.when() + MAX_ANSWER_SECONDS
    body = bytearray()
    _check_size(resp, resp.content_length or 0, max_bytes)
    async for chunk in resp.content.iter_any():
        body += chunk
        _check_size(resp, len(body), max_bytes)
        transfer.record_chunk(len(chunk), time.monotonic())
        limit.reschedule(min(now() + ANSWER_SILENCE_SECONDS, latest_end))
    return bytes(body)


def _check_size(
    resp: aiohttp.ClientResponse, size: int, max_bytes: int
) -> None:
    if size > max_bytes:
        resp.close()
        raise bodies.BodyTooLargeError(f"answer of over {max_bytes} bytes")


def _make_failure(kind: interface.FailureKind, detail: str) -> result.Err:
    return result.Err(interface.Failure(kind, detail))


def _decode(
    decode_document: collections.abc.Callable[[dict, int], T], answer: _Answer
) -> result.Result[T, interface.Failure]:
    """Decodes a reply; one that is malformed says nothing about the call."""
    try:
        with fields.reject_malformed("reply of the store"):
            return result.Ok(decode_document(answer.document, answer.era))
    except errors.FormatError as exc:
        return _make_failure(interface.FailureKind.UNKNOWN, exc.message)


def _decode_page(
    document: dict, era: int
) -> tuple[list[interface.Item], int, bool]:
    """Returns the items of a page, its revision and whether more follow."""
    items = [_decode_item(entry, era) for entry in document["items"]]
    revision = _decode_revision(document["storeRevision"], era)
    return items, revision, bool(document["hasMore"])


def _decode_events(document: dict, era: int) -> interface.ItemBatch:
    items = tuple(_decode_item(entry, era) for entry in document["events"])
    return interface.ItemBatch(
        items, _decode_revision(document["storeRevision"], era)
    )


def _decode_number(
    name: str,
) -> collections.abc.Callable[[dict, int], int]:
    """Returns a decoder of the revision or lease in a field of a reply."""
    return lambda document, era: _decode_revision(document[name], era)


def _decode_revision(number: object, era: int) -> int:
    """Returns the revision or lease with a number of the store."""
    return revisions.pack(era, fields.check_integer(number))


def _decode_item(entry: dict, era: int) -> interface.Item:
    value = None
    if not entry.get("removed"):
        value = base64.b64decode(entry["value"], validate=True)
    return interface.Item(
        fields.check_name(entry["key"]),
        value,
        _decode_revision(entry["revision"], era),
        _decode_revision(entry["createdAt"], era)
        if "createdAt" in entry
        else 0,
    )
