"""The admission queue against a naive list."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from jujubeyard.admission import queue

CAPACITY = 6


class QueueMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize()
    def start(self):
        self.queue = queue.AdmissionQueue(CAPACITY)
        self.naive: list[queue.QueueEntry] = []

    @stateful.rule(
        urgency=strategies.integers(0, 2),
        member=strategies.sampled_from("abc"),
        weight=strategies.sampled_from([1.0, 2.0]),
    )
    def push(self, urgency, member, weight):
        entry = queue.QueueEntry(object(), urgency, member, weight, 0.0)
        full = len(self.naive) >= CAPACITY
        refused = self.queue.push(entry)
        assert (refused is not None) == full
        self.naive.append(entry)
        if refused is not None:
            least = max(other.urgency for other in self.naive)
            assert refused.urgency == least
            self.naive.remove(refused)

    @stateful.rule()
    def pop(self):
        entry = self.queue.pop()
        if entry is None:
            assert not self.naive
            return
        assert entry.urgency == min(other.urgency for other in self.naive)
        same = [
            other
            for other in self.naive
            if (other.urgency, other.member) == (entry.urgency, entry.member)
        ]
        assert same[0] is entry
        self.naive.remove(entry)

    @stateful.precondition(lambda self: self.naive)
    @stateful.rule(index=strategies.integers(0, CAPACITY - 1))
    def remove(self, index):
        entry = self.naive.pop(index % len(self.naive))
        self.queue.remove(entry)

    @stateful.invariant()
    def sizes_agree(self):
        assert len(self.queue) == len(self.naive)
        for urgency in range(3):
            ahead = sum(e.urgency <= urgency for e in self.naive)
            assert self.queue.count_ahead(urgency) == ahead


TestQueue = QueueMachine.TestCase
TestQueue.settings = hypothesis.settings(max_examples=150)


@pytest.mark.parametrize(
    ("weights", "shares"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 2.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 1.0, "b": 1.0, "c": 4.0}, {"a": 1 / 3, "b": 1 / 3, "c": 1 / 3}),
    ],
)
def test_members_share_by_weight(weights, shares):
    waiting = queue.AdmissionQueue(1000)
    for member, weight in weights.items():
        for _ in range(200):
            waiting.push(queue.QueueEntry(None, 1, member, weight, 0.0))
    served = dict.fromkeys(weights, 0.0)
    for _ in range(150):
        entry = waiting.pop()
        served[entry.member] += entry.weight
    total = sum(served.values())
    for member, share in shares.items():
        assert served[member] / total == pytest.approx(share, abs=0.05)


def test_full_queue_refuses_the_member_with_the_longest_backlog():
    waiting = queue.AdmissionQueue(4)
    for _ in range(4):
        waiting.push(queue.QueueEntry(None, 1, "greedy", 1.0, 0.0))
    entry = queue.QueueEntry(None, 1, "modest", 1.0, 0.0)
    assert waiting.push(entry).member == "greedy"
    greedy = queue.QueueEntry(None, 1, "greedy", 1.0, 0.0)
    assert waiting.push(greedy) is greedy


def test_members_share_fairly_under_overload():
    """Refused calls cost a member nothing: Jain's index at least 0.98."""
    waiting = queue.AdmissionQueue(50)
    served = dict.fromkeys("abc", 0)
    arrivals = "abbcccc"
    for turn in range(4000):
        for number in range(2):
            member = arrivals[(2 * turn + number) % len(arrivals)]
            waiting.push(queue.QueueEntry(None, 1, member, 1.0, 0.0))
        if turn % 2:
            served[waiting.pop().member] += 1
    shares = list(served.values())
    squares = sum(share * share for share in shares)
    assert sum(shares) ** 2 / (len(shares) * squares) >= 0.98
