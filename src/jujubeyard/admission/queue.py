"""Orders calls that wait for a slot: by urgency, then fairly by member."""

import collections
import dataclasses
import heapq
import itertools
import typing


@dataclasses.dataclass(slots=True)
class QueueEntry:
    """A call that waits.

    Attributes:
        item: The call.
        urgency: 0 is the most urgent.
        member: Who is billed.
        weight: What the call counts for in sharing.
        deadline: Until when it may wait, on the queue's clock.
        removed: Whether it has left the queue.
    """

    item: typing.Any
    urgency: int
    member: str
    weight: float
    deadline: float
    removed: bool = False


@dataclasses.dataclass(slots=True)
class _Member:
    """The waiting calls of one member at one level.

    Attributes:
        entries: In the order of arrival; some may have been removed.
        weight: Sum of the weights of those that wait.
        finish: Virtual time at which its latest served call ends.
    """

    entries: collections.deque[QueueEntry] = dataclasses.field(
        default_factory=collections.deque
    )
    weight: float = 0.0
    finish: float = 0.0


class _Level:
    """Entries of one urgency, served in start-time fair order over members.

    A member's virtual time advances with what is served, not with what it
    asks for, so that refused calls cost it nothing.
    """

    def __init__(self):
        self.size = 0
        self._members: dict[str, _Member] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._virtual = 0.0
        self._numbers = itertools.count()

    def push(self, entry: QueueEntry) -> None:
        member = self._members.setdefault(entry.member, _Member())
        if not member.entries:
            member.finish = max(member.finish, self._virtual)
            self._push_head(entry.member, member)
        member.entries.append(entry)
        member.weight += entry.weight
        self.size += 1

    def pop(self) -> QueueEntry | None:
        while self._heads:
            start, _, name = heapq.heappop(self._heads)
            member = self._members[name]
            _drop_removed(member.entries)
            if not member.entries:
                continue
            entry = member.entries.popleft()
            self._virtual = max(self._virtual, start)
            member.finish = start + entry.weight
            if member.entries:
                self._push_head(name, member)
            self.discard(entry)
            return entry
        return None

    def discard(self, entry: QueueEntry) -> None:
        """Takes an entry out of the counts; its place is cleared later."""
        entry.removed = True
        self.size -= 1
        self._members[entry.member].weight -= entry.weight
        if self.size == 0:
            self._members.clear()
            self._heads.clear()
            self._virtual = 0.0

    def backlogs(self) -> dict[str, float]:
        """Returns the weight of the waiting calls of each member."""
        return {name: m.weight for name, m in self._members.items()}

    def last_of(self, name: str) -> QueueEntry:
        """Returns the latest waiting entry of a member that has one."""
        entries = self._members[name].entries
        while entries[-1].removed:
            entries.pop()
        return entries[-1]

    def entries(self) -> list[QueueEntry]:
        return [
            entry
            for member in self._members.values()
            for entry in member.entries
            if not entry.removed
        ]

    def _push_head(self, name: str, member: _Member) -> None:
        row = (member.finish, next(self._numbers), name)
        heapq.heappush(self._heads, row)


def _drop_removed(entries: collections.deque[QueueEntry]) -> None:
    while entries and entries[0].removed:
        entries.popleft()


class AdmissionQueue:
    """A bounded queue of calls.

    Entries leave by urgency. Within one urgency, members get equal shares by
    weight (start-time fair queueing). A full queue refuses the least urgent
    call, and of these the latest one of the member with the longest backlog.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._levels: dict[int, _Level] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry.

        Returns:
            The entry that is refused: None if there is room, the entry itself
            or one that waited.
        """
        refused = None
        if self._size >= self.capacity:
            refused = self._choose_refused(entry)
            if refused is entry:
                return entry
            self.remove(refused)
        level = self._levels.setdefault(entry.urgency, _Level())
        level.push(entry)
        self._size += 1
        return refused

    def pop(self) -> QueueEntry | None:
        """Removes and returns the next entry, or None."""
        for urgency in sorted(self._levels):
            entry = self._levels[urgency].pop()
            if entry is not None:
                self._size -= 1
                return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry that no longer has to be served."""
        if entry.removed:
            return
        self._levels[entry.urgency].discard(entry)
        self._size -= 1

    def count_ahead(self, urgency: int) -> int:
        """Returns how many entries an entry of this urgency waits for."""
        return sum(
            level.size
            for other, level in self._levels.items()
            if other <= urgency
        )

    def entries(self) -> list[QueueEntry]:
        """Returns all entries in no particular order."""
        return [e for level in self._levels.values() for e in level.entries()]

    def _choose_refused(self, entry: QueueEntry) -> QueueEntry:
        urgency = max(u for u, level in self._levels.items() if level.size)
        if urgency < entry.urgency:
            return entry
        level = self._levels[urgency]
        backlogs = level.backlogs()
        if urgency == entry.urgency:
            own = backlogs.get(entry.member, 0.0)
            backlogs[entry.member] = own + entry.weight
        heaviest = max(backlogs, key=lambda member: (backlogs[member], member))
        if urgency == entry.urgency and heaviest == entry.member:
            return entry
        return level.last_of(heaviest)
