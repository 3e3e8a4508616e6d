"""Orders calls that wait for a slot: by urgency, then fairly by member."""

import dataclasses
import heapq
import itertools
import typing


@dataclasses.dataclass(slots=True)
class Entry:
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


class _Level:
    """Entries of one urgency, in start-time fair order over members."""

    def __init__(self):
        self._heap: list[tuple[float, int, Entry]] = []
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._numbers = itertools.count()
        self.size = 0

    def push(self, entry: Entry) -> None:
        start = max(self._virtual, self._finish.get(entry.member, 0.0))
        self._finish[entry.member] = start + entry.weight
        heapq.heappush(self._heap, (start, next(self._numbers), entry))
        self.size += 1

    def pop(self) -> Entry | None:
        while self._heap:
            start, _, entry = heapq.heappop(self._heap)
            if entry.removed:
                continue
            self._virtual = max(self._virtual, start)
            self.size -= 1
            self._forget_idle()
            return entry
        return None

    def last(self) -> Entry | None:
        """Returns the entry that is served last."""
        waiting = [row for row in self._heap if not row[2].removed]
        return max(waiting)[2] if waiting else None

    def entries(self) -> list[Entry]:
        return [entry for _, _, entry in self._heap if not entry.removed]

    def _forget_idle(self) -> None:
        if self.size == 0:
            self._heap.clear()
            self._finish.clear()
            self._virtual = 0.0


class AdmissionQueue:
    """A bounded queue of calls.

    Entries leave by urgency. Within one urgency, members share in proportion
    to the weight of their calls (start-time fair queueing). A full queue
    refuses the least urgent call.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._levels: dict[int, _Level] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: Entry) -> Entry | None:
        """Adds an entry.

        Returns:
            The entry that is refused instead: None if there is room, the
            entry itself if all others are at least as urgent, or else the
            entry that would have been served last.
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

    def pop(self) -> Entry | None:
        """Removes and returns the next entry, or None."""
        for urgency in sorted(self._levels):
            entry = self._levels[urgency].pop()
            if entry is not None:
                entry.removed = True
                self._size -= 1
                return entry
        return None

    def remove(self, entry: Entry) -> None:
        """Removes an entry that no longer has to be served."""
        if entry.removed:
            return
        entry.removed = True
        self._levels[entry.urgency].size -= 1
        self._size -= 1

    def ahead_of(self, urgency: int) -> int:
        """Returns how many entries an entry of this urgency waits for."""
        return sum(
            level.size
            for other, level in self._levels.items()
            if other <= urgency
        )

    def entries(self) -> list[Entry]:
        """Returns all entries in no particular order."""
        return [e for level in self._levels.values() for e in level.entries()]

    def _choose_refused(self, entry: Entry) -> Entry:
        urgency = max(u for u, level in self._levels.items() if level.size)
        if urgency < entry.urgency:
            return entry
        if urgency > entry.urgency:
            return self._levels[urgency].last() or entry
        return self._choose_by_member(entry)

    def _choose_by_member(self, entry: Entry) -> Entry:
        peers = self._levels[entry.urgency].entries()
        backlog: dict[str, float] = {entry.member: entry.weight}
        for peer in peers:
            weight = backlog.get(peer.member, 0.0) + peer.weight
            backlog[peer.member] = weight
        heaviest = max(backlog, key=lambda member: (backlog[member], member))
        if heaviest == entry.member:
            return entry
        return [peer for peer in peers if peer.member == heaviest][-1]
