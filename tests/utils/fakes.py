"""Fakes of the router's interfaces to its journal, store and targets."""

import asyncio
import collections.abc

import aiohttp
import result

from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import interface


class RecordingJournal:
    """A journal that keeps its events in memory.

    Attributes:
        events: Names and fields of the logged events, in order.
    """

    def __init__(self):
        self.events: list[tuple[str, dict]] = []

    def log_event(self, event: str, **fields) -> None:
        self.events.append((event, fields))

    log_call = log_event

    def count(self, event: str) -> int:
        return sum(1 for name, _ in self.events if name == event)


class FakeStore:
    """An in-memory store with compare-and-swap, leases and watches.

    Attributes:
        items: Current items by key.
        leases: Keys attached to each open lease, by lease id.
        revision: Revision of the latest change.
        writes_to_lose: Number of upcoming writes that are applied but
            reported as having an unknown outcome.
        is_down: Whether calls fail and report that they were not applied.
        calls: Names of the calls made, in order.
    """

    def __init__(self):
        self.items: dict[str, interface.Item] = {}
        self.leases: dict[int, set[str]] = {}
        self.revision = 1
        self.writes_to_lose = 0
        self.is_down = False
        self.calls: list[str] = []
        self._history: list[interface.Item] = []

    async def read_all(self, prefix: str, transfer=None):
        items = tuple(
            item for key, item in self.items.items() if key.startswith(prefix)
        )
        return self._finish_call(
            "read_all", interface.ItemBatch(items, self.revision)
        )

    async def read(self, key: str):
        return self._finish_call("read", self.items.get(key))

    async def watch(
        self, prefix: str, after: int, seconds: float, transfer=None
    ):
        await asyncio.sleep(0)
        newer = tuple(
            item
            for item in self._history
            if item.revision > after and item.key.startswith(prefix)
        )
        return self._finish_call(
            "watch", interface.ItemBatch(newer, self.revision)
        )

    async def write(
        self,
        conditions: collections.abc.Sequence[interface.Condition],
        puts: collections.abc.Sequence[interface.Put],
    ):
        if self.is_down:
            return self._finish_call("write", None)
        for condition in conditions:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                self.calls.append("write")
                return _fail(interface.FailureKind.CONFLICT)
        for put in puts:
            if put.lease and put.lease not in self.leases:
                return _fail(interface.FailureKind.NO_LEASE)
        self.revision += 1
        for put in puts:
            self._put(put)
        if self.writes_to_lose:
            self.writes_to_lose -= 1
            return _fail(interface.FailureKind.UNKNOWN)
        return self._finish_call("write", self.revision)

    async def open_lease(self, seconds: float):
        lease = len(self.leases) + 1
        self.leases[lease] = set()
        return self._finish_call("open_lease", lease)

    async def renew_lease(self, lease: int):
        if not self.is_down and lease not in self.leases:
            return _fail(interface.FailureKind.NO_LEASE)
        return self._finish_call("renew_lease", None)

    async def end_lease(self, lease: int):
        self.expire(lease)
        return self._finish_call("end_lease", None)

    def expire(self, lease: int) -> None:
        for key in self.leases.pop(lease, set()):
            if key in self.items:
                self.revision += 1
                del self.items[key]
                removal = interface.Item(key, None, self.revision, 0)
                self._history.append(removal)

    def _put(self, put: interface.Put) -> None:
        previous = self.items.get(put.key)
        created = previous.created_revision if previous else self.revision
        item = interface.Item(put.key, put.value, self.revision, created)
        self.items[put.key] = item
        self._history.append(item)
        for keys in self.leases.values():
            keys.discard(put.key)
        if put.lease:
            self.leases[put.lease].add(put.key)

    def _finish_call(self, call: str, value):
        self.calls.append(call)
        if self.is_down:
            return _fail(interface.FailureKind.NOT_APPLIED)
        return result.Ok(value)


def _fail(kind: interface.FailureKind):
    return result.Err(interface.Failure(kind, "fake"))


SAMPLE_KEYS = tuple(first for first, _ in table.split_key_space(4))
"""Keys that tests look at, beside the first ones of shards."""


class FakeTarget:
    """A target that holds keys under fences, as the platform's targets do.

    Shards are identified by their first key; a request for a range covers all
    sample keys in it.

    Attributes:
        owner: Owner record of the target in the router's shard tables.
        is_unresponsive: Whether requests are neither applied nor answered.
        is_refusing: Whether connections are refused.
        is_suspended: Whether requests wait until the process is resumed.
        waiting_requests: The grants and releases that wait, in order.
        loses_replies: Whether requests are applied but not answered.
        highest_fences: Highest fence received, by shard.
        held_until: Time at which the hold ends, by shard.
        granted_fences: Fences of all accepted grants, in order.
        fences_by_shard: The same by shard.
        cold_seconds: How long it stays cold, as its health checks say.
    """

    def __init__(self, owner: table.Owner):
        self.owner = owner
        self.is_unresponsive = False
        self.is_refusing = False
        self.is_suspended = False
        self.waiting_requests: list[
            target_requests.GrantRequest | target_requests.ReleaseRequest
        ] = []
        self.loses_replies = False
        self.highest_fences: dict[int, int] = {}
        self.held_until: dict[int, float] = {}
        self.granted_fences: list[int] = []
        self.fences_by_shard: dict[int, list[int]] = {}
        self.cold_seconds = 0.0

    def holds(self, shard: int, now: float) -> bool:
        return self.held_until.get(shard, 0.0) > now

    def grant(
        self, grant: target_requests.GrantRequest, now: float
    ) -> target_requests.Reply:
        keys = covered_keys(grant)
        if any(self.highest_fences.get(key, 0) > grant.fence for key in keys):
            return target_requests.Reply(409, "", None)
        self.granted_fences.append(grant.fence)
        for key in keys:
            self.highest_fences[key] = grant.fence
            self.held_until[key] = now + grant.hold_seconds
            self.fences_by_shard.setdefault(key, []).append(grant.fence)
        return target_requests.Reply(200, "", None)

    def release(
        self, release: target_requests.ReleaseRequest
    ) -> target_requests.Reply:
        for key in covered_keys(release):
            fence = max(self.highest_fences.get(key, 0), release.fence)
            self.highest_fences[key] = fence
            self.held_until.pop(key, None)
        return target_requests.Reply(200, "h", None)


def covered_keys(
    request: target_requests.GrantRequest | target_requests.ReleaseRequest,
) -> set[int]:
    """Returns the first key of a request and all sample keys in its range."""
    in_range = (k for k in SAMPLE_KEYS if request.first <= k <= request.last)
    return {request.first, *in_range}


class FakeSession:
    """A session whose connections are never made."""

    class Connector:
        def replace_connections(self, address: str) -> None:
            del address

    connector = Connector()


class FakeTargetClient:
    """Sends grant and release requests to fake targets.

    Attributes:
        targets: Targets by name.
    """

    def __init__(self, read_clock: collections.abc.Callable[[], float]):
        self._read_clock = read_clock
        self.targets: dict[str, FakeTarget] = {}

    def add(self, name: str, born: int = 1, port: int = 1) -> FakeTarget:
        target = FakeTarget(table.Owner(name, born, f"{name}:{port}"))
        self.targets[name] = target
        return target

    async def grant(
        self, _, request: target_requests.GrantRequest, seconds: float
    ):
        if self._read_clock() > request.send_by:
            raise TimeoutError
        target = self._find_responsive_target(request)
        reply = target.grant(request, self._read_clock())
        return self._return_reply(target, reply)

    async def release(
        self, _, request: target_requests.ReleaseRequest, seconds: float
    ):
        target = self._find_responsive_target(request)
        return self._return_reply(target, target.release(request))

    async def probe(self, _, service: str, owner: table.Owner):
        target = self.targets[owner.target_id]
        is_elsewhere = target.owner.address != owner.address
        is_silent = target.is_unresponsive or target.is_suspended
        if is_silent or target.is_refusing or is_elsewhere:
            return target_requests.Result(target_requests.Outcome.UNKNOWN)
        reply = target_requests.Reply(
            200, "", None, cold_seconds=target.cold_seconds
        )
        return target_requests.Result(target_requests.Outcome.DONE, reply)

    def _find_responsive_target(self, request) -> FakeTarget:
        target = self.targets[request.target.target_id]
        is_elsewhere = target.owner.address != request.target.address
        if is_elsewhere or target.is_refusing:
            raise aiohttp.ConnectionTimeoutError
        if target.is_suspended:
            target.waiting_requests.append(request)
        if target.is_unresponsive or target.is_suspended:
            raise TimeoutError
        return target

    def _return_reply(
        self, target: FakeTarget, reply: target_requests.Reply
    ) -> target_requests.Reply:
        if target.loses_replies:
            raise TimeoutError
        return reply


class FakePlacementInputs:
    """Placement inputs that a test sets directly.

    Attributes:
        available_owners: Owners offered as candidates.
        removed_owners: Owners listed until a short time ago.
        pauses: Seconds for which targets want no requests, by target.
    """

    def __init__(self):
        self.available_owners: list[table.Owner] = []
        self.removed_owners: list[table.Owner] = []
        self.pauses: dict[str, float] = {}

    def candidates(self, service: str) -> list[planner.Candidate]:
        return [
            planner.Candidate(owner, 1.0) for owner in self.available_owners
        ]

    def possible_holders(
        self, service: str, hold_seconds: float
    ) -> list[table.Owner]:
        return [*self.available_owners, *self.removed_owners]

    def is_replaced(self, service: str, owner: table.Owner) -> bool:
        return any(
            other.address == owner.address and other != owner
            for other in self.available_owners
        )

    def joined_at(self, service: str) -> float:
        return float("-inf")

    def bucket_calls(self, service: str) -> list[float]:
        return [0.0] * 1024

    def shard_rates(self, shard_table: table.ShardTable) -> list[float]:
        return [1.0] * len(shard_table.shards)

    def pause_seconds(self, owner) -> float:
        return self.pauses.get(owner.target_id, 0.0)

    def observe_reply(self, owner, reply) -> None:
        if reply.cold_seconds:
            self.available_owners.remove(owner)

    def may_balance(self, service: str) -> bool:
        return False
