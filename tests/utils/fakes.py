"""Small fakes at the router's interfaces."""

import asyncio
import collections.abc

import result

from jujubeyard.ownership import orders
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.store import ports


class RecordingJournal:
    """Keeps decisions."""

    def __init__(self):
        self.events: list[tuple[str, dict]] = []

    def note(self, event: str, **fields) -> None:
        self.events.append((event, fields))

    note_call = note

    def count(self, event: str) -> int:
        return sum(1 for name, _ in self.events if name == event)


class FakeStore:
    """A store in memory with compare-and-swap, leases and watches.

    Attributes:
        lose: Number of writes to come that are done and not answered.
        is_down: Whether calls fail with nothing done.
        calls: Names of the calls made.
    """

    def __init__(self):
        self.items: dict[str, ports.Item] = {}
        self.leases: dict[int, set[str]] = {}
        self.revision = 1
        self.writes_to_lose = 0
        self.is_down = False
        self.calls: list[str] = []
        self._log: list[ports.Item] = []

    async def read_all(self, prefix: str):
        found = tuple(
            item for key, item in self.items.items() if key.startswith(prefix)
        )
        return self._answer("read_all", ports.Changes(found, self.revision))

    async def read(self, key: str):
        return self._answer("read", self.items.get(key))

    async def watch(self, prefix: str, after: int, seconds: float):
        await asyncio.sleep(0)
        newer = tuple(
            item
            for item in self._log
            if item.revision > after and item.key.startswith(prefix)
        )
        return self._answer("watch", ports.Changes(newer, self.revision))

    async def write(
        self,
        conditions: collections.abc.Sequence[ports.Condition],
        puts: collections.abc.Sequence[ports.Put],
    ):
        if self.is_down:
            return self._answer("write", None)
        for condition in conditions:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                self.calls.append("write")
                return _fail(ports.FailureKind.CONFLICT)
        for put in puts:
            if put.lease and put.lease not in self.leases:
                return _fail(ports.FailureKind.NO_LEASE)
        self.revision += 1
        for put in puts:
            self._put(put)
        if self.writes_to_lose:
            self.writes_to_lose -= 1
            return _fail(ports.FailureKind.UNKNOWN)
        return self._answer("write", self.revision)

    async def open_lease(self, seconds: float):
        lease = len(self.leases) + 1
        self.leases[lease] = set()
        return self._answer("open_lease", lease)

    async def renew_lease(self, lease: int):
        if not self.is_down and lease not in self.leases:
            return _fail(ports.FailureKind.NO_LEASE)
        return self._answer("renew_lease", None)

    async def end_lease(self, lease: int):
        self.expire(lease)
        return self._answer("end_lease", None)

    def expire(self, lease: int) -> None:
        for key in self.leases.pop(lease, set()):
            if key in self.items:
                self.revision += 1
                del self.items[key]
                gone = ports.Item(key, None, self.revision, 0)
                self._log.append(gone)

    def _put(self, put: ports.Put) -> None:
        known = self.items.get(put.key)
        created = known.created if known else self.revision
        item = ports.Item(put.key, put.value, self.revision, created)
        self.items[put.key] = item
        self._log.append(item)
        if put.lease:
            self.leases[put.lease].add(put.key)

    def _answer(self, call: str, value):
        self.calls.append(call)
        if self.is_down:
            return _fail(ports.FailureKind.NOT_DONE)
        return result.Ok(value)


def _fail(kind: ports.FailureKind):
    return result.Err(ports.Failure(kind, "fake"))


class FakeTarget:
    """Holds keys under fences, as the platform's targets do.

    Attributes:
        is_silent: Whether orders get no answer and are not applied.
        loses_answers: Whether orders are applied and not answered.
    """

    def __init__(self, owner: table.Owner):
        self.owner = owner
        self.is_unresponsive = False
        self.loses_replies = False
        self.highest_fences: dict[int, int] = {}
        self.held_until: dict[int, float] = {}
        self.granted_fences: list[int] = []

    def holds(self, key: int, now: float) -> bool:
        return self.held_until.get(key, 0.0) > now

    def grant(self, grant: orders.Grant, now: float) -> orders.Reply:
        if self.highest_fences.get(grant.first, 0) > grant.fence:
            return orders.Reply(409, "", None)
        self.highest_fences[grant.first] = grant.fence
        self.held_until[grant.first] = now + grant.hold_seconds
        self.granted_fences.append(grant.fence)
        return orders.Reply(200, "", None)

    def release(self, release: orders.Release) -> orders.Reply:
        fence = max(self.highest_fences.get(release.first, 0), release.fence)
        self.highest_fences[release.first] = fence
        self.held_until.pop(release.first, None)
        return orders.Reply(200, "h", None)


class FakeTargetClient:
    """Delivers orders to fake targets."""

    def __init__(self, read_clock: collections.abc.Callable[[], float]):
        self._now = read_clock
        self.targets: dict[str, FakeTarget] = {}

    def add(self, name: str, born: int = 1) -> FakeTarget:
        target = FakeTarget(table.Owner(name, born, f"{name}:1"))
        self.targets[name] = target
        return target

    async def grant(self, _, order: orders.Grant, seconds: float):
        target = self._reach(order)
        reply = target.grant(order, self._now())
        return self._reply(target, reply)

    async def release(self, _, order: orders.Release, seconds: float):
        target = self._reach(order)
        return self._reply(target, target.release(order))

    async def probe(self, _, service: str, owner: table.Owner):
        if self.targets[owner.target_id].is_unresponsive:
            return orders.Outcome.UNKNOWN
        return orders.Outcome.DONE

    def _reach(self, order) -> FakeTarget:
        target = self.targets[order.target.target_id]
        if target.is_unresponsive:
            raise TimeoutError
        return target

    def _reply(self, target: FakeTarget, reply: orders.Reply) -> orders.Reply:
        if target.loses_replies:
            raise TimeoutError
        return reply


class FakePlacementInputs:
    """Names the candidates that a test wants."""

    def __init__(self):
        self.available_owners: list[table.Owner] = []
        self.ended_owners: set[table.Owner] = set()

    def candidates(self, service: str) -> list[planner.Candidate]:
        return [
            planner.Candidate(owner, 1.0) for owner in self.available_owners
        ]

    def joined_at(self, service: str) -> float:
        return float("-inf")

    def is_ended(self, owner: table.Owner) -> bool:
        return owner in self.ended_owners

    def bucket_calls(self, service: str) -> list[float]:
        return [0.0] * 1024

    def shard_rates(self, found: table.ShardTable) -> list[float]:
        return [1.0] * len(found.shards)

    def observe_reply(self, owner, reply) -> None:
        pass

    def may_balance(self, service: str) -> bool:
        return False
