"""Small fakes at the router's interfaces."""

import asyncio
import collections.abc

import result

from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import interface


class Notes:
    """Keeps decisions."""

    def __init__(self):
        self.events: list[tuple[str, dict]] = []

    def log_event(self, event: str, **fields) -> None:
        self.events.append((event, fields))

    log_call = log_event

    def count(self, event: str) -> int:
        return sum(1 for name, _ in self.events if name == event)


class Store:
    """A store in memory with compare-and-swap, leases and watches.

    Attributes:
        lose: Number of writes to come that are done and not answered.
        is_down: Whether calls fail with nothing done.
        calls: Names of the calls made.
    """

    def __init__(self):
        self.items: dict[str, interface.Item] = {}
        self.leases: dict[int, set[str]] = {}
        self.revision = 1
        self.lose = 0
        self.is_down = False
        self.calls: list[str] = []
        self._log: list[interface.Item] = []

    async def read_all(self, prefix: str):
        found = tuple(
            item for key, item in self.items.items() if key.startswith(prefix)
        )
        return self._answer(
            "read_all", interface.ItemBatch(found, self.revision)
        )

    async def read(self, key: str):
        return self._answer("read", self.items.get(key))

    async def watch(self, prefix: str, after: int, seconds: float):
        await asyncio.sleep(0)
        newer = tuple(
            item
            for item in self._log
            if item.revision > after and item.key.startswith(prefix)
        )
        return self._answer("watch", interface.ItemBatch(newer, self.revision))

    async def write(
        self,
        conditions: collections.abc.Sequence[interface.Condition],
        puts: collections.abc.Sequence[interface.Put],
    ):
        if self.is_down:
            return self._answer("write", None)
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
        if self.lose:
            self.lose -= 1
            return _fail(interface.FailureKind.UNKNOWN)
        return self._answer("write", self.revision)

    async def open_lease(self, seconds: float):
        lease = len(self.leases) + 1
        self.leases[lease] = set()
        return self._answer("open_lease", lease)

    async def renew_lease(self, lease: int):
        if not self.is_down and lease not in self.leases:
            return _fail(interface.FailureKind.NO_LEASE)
        return self._answer("renew_lease", None)

    async def end_lease(self, lease: int):
        self.expire(lease)
        return self._answer("end_lease", None)

    def expire(self, lease: int) -> None:
        for key in self.leases.pop(lease, set()):
            if key in self.items:
                self.revision += 1
                del self.items[key]
                gone = interface.Item(key, None, self.revision, 0)
                self._log.append(gone)

    def _put(self, put: interface.Put) -> None:
        known = self.items.get(put.key)
        created = known.created_revision if known else self.revision
        item = interface.Item(put.key, put.value, self.revision, created)
        self.items[put.key] = item
        self._log.append(item)
        if put.lease:
            self.leases[put.lease].add(put.key)

    def _answer(self, call: str, value):
        self.calls.append(call)
        if self.is_down:
            return _fail(interface.FailureKind.NOT_APPLIED)
        return result.Ok(value)


def _fail(kind: interface.FailureKind):
    return result.Err(interface.Failure(kind, "fake"))


class Target:
    """Holds keys under fences, as the platform's targets do.

    Attributes:
        is_silent: Whether orders get no answer and are not applied.
        loses_answers: Whether orders are applied and not answered.
    """

    def __init__(self, owner: table.Owner):
        self.owner = owner
        self.is_silent = False
        self.loses_answers = False
        self.seen_fence: dict[int, int] = {}
        self.held: dict[int, float] = {}
        self.fences_taken: list[int] = []

    def holds(self, key: int, now: float) -> bool:
        return self.held.get(key, 0.0) > now

    def grant(
        self, grant: target_requests.GrantRequest, now: float
    ) -> target_requests.Reply:
        if self.seen_fence.get(grant.first, 0) > grant.fence:
            return target_requests.Reply(409, "", None)
        self.seen_fence[grant.first] = grant.fence
        self.held[grant.first] = now + grant.hold_seconds
        self.fences_taken.append(grant.fence)
        return target_requests.Reply(200, "", None)

    def release(
        self, release: target_requests.ReleaseRequest
    ) -> target_requests.Reply:
        fence = max(self.seen_fence.get(release.first, 0), release.fence)
        self.seen_fence[release.first] = fence
        self.held.pop(release.first, None)
        return target_requests.Reply(200, "h", None)


class Speech:
    """Delivers orders to fake targets."""

    def __init__(self, read_clock: collections.abc.Callable[[], float]):
        self._now = read_clock
        self.targets: dict[str, Target] = {}

    def add(self, name: str, born: int = 1) -> Target:
        target = Target(table.Owner(name, born, f"{name}:1"))
        self.targets[name] = target
        return target

    async def grant(
        self, _, order: target_requests.GrantRequest, seconds: float
    ):
        target = self._reach(order)
        reply = target.grant(order, self._now())
        return self._reply(target, reply)

    async def release(
        self, _, order: target_requests.ReleaseRequest, seconds: float
    ):
        target = self._reach(order)
        return self._reply(target, target.release(order))

    async def probe(self, _, service: str, owner: table.Owner):
        if self.targets[owner.target_id].is_silent:
            return target_requests.Outcome.UNKNOWN
        return target_requests.Outcome.DONE

    def _reach(self, order) -> Target:
        target = self.targets[order.target.target_id]
        if target.is_silent:
            raise TimeoutError
        return target

    def _reply(
        self, target: Target, reply: target_requests.Reply
    ) -> target_requests.Reply:
        if target.loses_answers:
            raise TimeoutError
        return reply


class Surroundings:
    """Names the candidates that a test wants."""

    def __init__(self):
        self.open: list[table.Owner] = []
        self.ended: set[table.Owner] = set()

    def candidates(self, service: str) -> list[planner.Candidate]:
        return [planner.Candidate(owner, 1.0) for owner in self.open]

    def joined_at(self, service: str) -> float:
        return float("-inf")

    def is_replaced(self, owner: table.Owner) -> bool:
        return owner in self.ended

    def bucket_calls(self, service: str) -> list[float]:
        return [0.0] * 1024

    def shard_rates(self, found: table.ShardTable) -> list[float]:
        return [1.0] * len(found.shards)

    def observe_reply(self, owner, reply) -> None:
        pass

    def may_balance(self, service: str) -> bool:
        return False
