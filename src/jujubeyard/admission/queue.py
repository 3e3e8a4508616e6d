"""A queue of calls, ordered by urgency and then fairly among members."""

import collections
import dataclasses
import heapq
import itertools
import typing


@dataclasses.dataclass(slots=True)
class QueueEntry:
    """A queued call.

    Attributes:
        item: The call; the queue does not use it.
        urgency: Urgency of the call; 0 is the most urgent.
        member: The member that the call is billed to.
        weight: Cost of the call in fair sharing.
        deadline: Latest time to start the call; the queue does not use it.
        removed: Whether the entry has left the queue.
    """

    item: typing.Any
    urgency: int
    member: str
    weight: float
    deadline: float
    removed: bool = False


@dataclasses.dataclass(slots=True)
class _Member:
    """The queued calls of one member at one urgency.

    Attributes:
        entries: Entries in the order of arrival, including removed ones that
            have not been cleared yet.
        backlog: Sum of the weights of the entries that are still queued.
        virtual_finish: Virtual time at which the latest served call ends.
    """

    entries: collections.deque[QueueEntry] = dataclasses.field(
        default_factory=collections.deque
    )
    backlog: float = 0.0
    virtual_finish: float = 0.0


class _FairQueue:
    """Entries of one urgency, in start-time fair order among members.

    The virtual time of a member advances when a call is served, not when it
    is queued, so that refused calls do not reduce the member's share.

    Attributes:
        size: Number of queued entries, without removed ones.
    """

    def __init__(self):
        self.size = 0
        self._members: dict[str, _Member] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        member = self._members.setdefault(entry.member, _Member())
        if not member.entries:
            member.virtual_finish = max(
                member.virtual_finish, self._virtual_time
            )
            self._push_member(entry.member, member)
        member.entries.append(entry)
        member.backlog += entry.weight
        self.size += 1

    def pop(self) -> QueueEntry | None:
        """Removes and returns the next entry, or None if there is none."""
        while self._heap:
            start, _, name = heapq.heappop(self._heap)
            member = self._members[name]
            _drop_removed_head(member.entries)
            if not member.entries:
                continue
            entry = member.entries.popleft()
            self._virtual_time = max(self._virtual_time, start)
            member.virtual_finish = start + entry.weight
            if member.entries:
                self._push_member(name, member)
            self.discard(entry)
            return entry
        return None

    def discard(self, entry: QueueEntry) -> None:
        """Marks an entry as removed; it leaves the member's deque later."""
        entry.removed = True
        self.size -= 1
        self._members[entry.member].backlog -= entry.weight
        if self.size == 0:
            self._members.clear()
            self._heap.clear()
            self._virtual_time = 0.0

    def backlogs(self) -> dict[str, float]:
        """Returns the total weight of the queued calls of each member."""
        return {name: member.backlog for name, member in self._members.items()}

    def latest_entry(self, name: str) -> QueueEntry:
        """Returns the latest entry of a member that has queued entries."""
        entries = self._members[name].entries
        while entries[-1].removed:
            entries.pop()
        return entries[-1]

    def entries(self) -> list[QueueEntry]:
        """Returns the queued entries in no particular order."""
        return [
            entry
            for member in self._members.values()
            for entry in member.entries
            if not entry.removed
        ]

    def _push_member(self, name: str, member: _Member) -> None:
        item = (member.virtual_finish, next(self._sequence), name)
        heapq.heappush(self._heap, item)


def _drop_removed_head(entries: collections.deque[QueueEntry]) -> None:
    while entries and entries[0].removed:
        entries.popleft()


class AdmissionQueue:
    """A bounded queue of calls.

    The most urgent entries are served first. Among entries of one urgency,
    each member gets an equal share of the served weight (start-time fair
    queueing). A full queue refuses one of the least urgent calls: the latest
    one of the member whose backlog has the most weight.

    Attributes:
        capacity: Maximum number of entries.
    """

    def __init__(self, capacity: int):
        """Creates an empty queue.

        Args:
            capacity: Maximum number of entries.
        """
        self.capacity = capacity
        self._queues: dict[int, _FairQueue] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry.

        Args:
            entry: The entry to add.

        Returns:
            None if there is room, or else the refused entry: the new one or
            one that was queued before.
        """
        refused = None
        if self._size >= self.capacity:
            refused = self._choose_refused(entry)
            if refused is entry:
                return entry
            self.remove(refused)
        fair_queue = self._queues.setdefault(entry.urgency, _FairQueue())
        fair_queue.push(entry)
        self._size += 1
        return refused

    def pop(self) -> QueueEntry | None:
        """Removes and returns the next entry, or None if there is none."""
        for urgency in sorted(self._queues):
            entry = self._queues[urgency].pop()
            if entry is not None:
                self._size -= 1
                return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry; has no effect if it has left the queue."""
        if entry.removed:
            return
        self._queues[entry.urgency].discard(entry)
        self._size -= 1

    def count_ahead(self, urgency: int) -> int:
        """Returns how many entries have this urgency or a more urgent one."""
        return sum(
            fair_queue.size
            for queue_urgency, fair_queue in self._queues.items()
            if queue_urgency <= urgency
        )

    def entries(self) -> list[QueueEntry]:
        """Returns the queued entries in no particular order."""
        return [
            entry
            for fair_queue in self._queues.values()
            for entry in fair_queue.entries()
        ]

    def _choose_refused(self, entry: QueueEntry) -> QueueEntry:
        urgency = max(
            queue_urgency
            for queue_urgency, fair_queue in self._queues.items()
            if fair_queue.size
        )
        if urgency < entry.urgency:
            return entry
        fair_queue = self._queues[urgency]
        backlogs = fair_queue.backlogs()
        if urgency == entry.urgency:
            backlog = backlogs.get(entry.member, 0.0)
            backlogs[entry.member] = backlog + entry.weight
        largest = max(backlogs, key=lambda member: (backlogs[member], member))
        if urgency == entry.urgency and largest == entry.member:
            return entry
        return fair_queue.latest_entry(largest)
