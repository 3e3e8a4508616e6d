"""Tests the admission queue against a list as the reference model."""

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
        self.model: list[queue.QueueEntry] = []

    @stateful.rule(
        urgency=strategies.integers(0, 2),
        member=strategies.sampled_from("abc"),
        weight=strategies.sampled_from([1.0, 2.0]),
    )
    def push(self, urgency, member, weight):
        entry = queue.QueueEntry(object(), urgency, member, weight, 0.0)
        is_full = len(self.model) >= CAPACITY
        refused = self.queue.push(entry)
        assert (refused is not None) == is_full
        self.model.append(entry)
        if refused is not None:
            lowest_urgency = max(other.urgency for other in self.model)
            assert refused.urgency == lowest_urgency
            self.model.remove(refused)

    @stateful.rule()
    def pop(self):
        entry = self.queue.pop()
        if entry is None:
            assert not self.model
            return
        assert entry.urgency == min(other.urgency for other in self.model)
        same_member = [
            other
            for other in self.model
            if (other.urgency, other.member) == (entry.urgency, entry.member)
        ]
        assert same_member[0] is entry
        self.model.remove(entry)

    @stateful.precondition(lambda self: self.model)
    @stateful.rule(index=strategies.integers(0, CAPACITY - 1))
    def remove(self, index):
        entry = self.model.pop(index % len(self.model))
        self.queue.remove(entry)

    @stateful.invariant()
    def sizes_agree(self):
        assert len(self.queue) == len(self.model)
        for urgency in range(3):
            ahead = sum(entry.urgency <= urgency for entry in self.model)
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
def test_members_get_equal_shares_of_weight(weights, shares):
    admission_queue = queue.AdmissionQueue(1000)
    for member, weight in weights.items():
        for _ in range(200):
            admission_queue.push(queue.QueueEntry(None, 1, member, weight, 0.0))
    served = dict.fromkeys(weights, 0.0)
    for _ in range(150):
        entry = admission_queue.pop()
        served[entry.member] += entry.weight
    total = sum(served.values())
    for member, share in shares.items():
        assert served[member] / total == pytest.approx(share, abs=0.05)


def test_full_queue_refuses_the_member_with_the_longest_backlog():
    admission_queue = queue.AdmissionQueue(4)
    for _ in range(4):
        admission_queue.push(queue.QueueEntry(None, 1, "greedy", 1.0, 0.0))
    entry = queue.QueueEntry(None, 1, "modest", 1.0, 0.0)
    assert admission_queue.push(entry).member == "greedy"
    greedy = queue.QueueEntry(None, 1, "greedy", 1.0, 0.0)
    assert admission_queue.push(greedy) is greedy


def test_members_share_fairly_under_overload():
    """Refused calls must not reduce a member's share.

    Jain's fairness index of the served calls must be at least 0.98.
    """
    admission_queue = queue.AdmissionQueue(50)
    served = dict.fromkeys("abc", 0)
    arrivals = "abbcccc"
    for step in range(4000):
        for offset in range(2):
            member = arrivals[(2 * step + offset) % len(arrivals)]
            admission_queue.push(queue.QueueEntry(None, 1, member, 1.0, 0.0))
        if step % 2:
            served[admission_queue.pop().member] += 1
    counts = list(served.values())
    square_sum = sum(count * count for count in counts)
    assert sum(counts) ** 2 / (len(counts) * square_sum) >= 0.98
