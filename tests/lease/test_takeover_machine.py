"""A takeover never ends while the former holder may still send.

A model of witnesses, one holder and one successor, on a virtual clock. Replies
may be late or lost, witnesses may restart, and the witness set may change.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from jujubeyard.lease import holder
from jujubeyard.lease import takeover
from jujubeyard.lease import timing
from jujubeyard.lease import witness
from jujubeyard.plan import tables

HOLDER = "vm9/0000000000000001"
OLD_VERSION = 3
NEW_VERSION = 5
VMS = [f"vm{number}" for number in range(7)]
pick = strategies.integers(0, len(VMS) - 1)
subsets = strategies.sets(pick, min_size=1)


def name_of(vm: str, incarnation: int) -> str:
    return f"{vm}/{incarnation:016d}"


class TakeoverMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize()
    def start(self):
        self.now = 100.0
        self.incarnations = dict.fromkeys(VMS, 1)
        self.witnesses = {vm: witness.Witness(0.0) for vm in VMS}
        first = tables.WitnessSet(1, self._members(VMS[:5]))
        self.plan = tables.Plan(version=NEW_VERSION, witness_sets=[first])
        self.lease = holder.Lease()
        self.lease.use_witnesses(first)
        self.attempt = takeover.Takeover(HOLDER, NEW_VERSION)
        self.number = 0
        self.holder_set = 0
        self.late: list[tuple[int, str]] = []
        self.was_over = False

    def _members(self, vms):
        return [
            tables.WitnessRow(name_of(vm, self.incarnations[vm]), "a", "")
            for vm in vms
        ]

    @stateful.rule(seconds=strategies.floats(0.01, 0.6))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(asked=subsets, lost=subsets, late=subsets)
    def renew(self, asked, lost, late):
        self.number += 1
        self.lease.record_renewal(self.number, self.now)
        for index in asked:
            vm = VMS[index]
            promised = self.witnesses[vm].promise(HOLDER, OLD_VERSION, self.now)
            name = name_of(vm, self.incarnations[vm])
            if not promised or index in lost:
                continue
            if index in late:
                self.late.append((self.number, name))
            else:
                self.lease.record_promise(self.number, name)

    @stateful.rule()
    def deliver_late(self):
        for number, name in self.late:
            self.lease.record_promise(number, name)
        self.late.clear()

    @stateful.rule(index=pick)
    def restart_witness(self, index):
        vm = VMS[index]
        self.incarnations[vm] += 1
        self.witnesses[vm] = witness.Witness(self.now)

    @stateful.precondition(lambda self: len(self.plan.witness_sets) == 1)
    @stateful.rule()
    def change_witnesses(self):
        fresh = tables.WitnessSet(OLD_VERSION, self._members(VMS[2:]))
        self.plan.witness_sets.append(fresh)

    @stateful.precondition(lambda self: len(self.plan.witness_sets) == 2)
    @stateful.rule()
    def holder_learns_witnesses(self):
        self.lease.use_witnesses(self.plan.witness_sets[-1])

    @stateful.rule(asked=subsets)
    def ask_witnesses(self, asked):
        for index in asked:
            vm = VMS[index]
            remaining = self.witnesses[vm].stop_renewals(
                HOLDER, NEW_VERSION, self.now
            )
            age = self.witnesses[vm].uptime(self.now)
            name = name_of(vm, self.incarnations[vm])
            self.attempt.record_answer(name, remaining, age, self.now)

    @stateful.invariant()
    def never_both(self):
        over = self.attempt.is_holder_stopped(self.plan, self.now)
        self.was_over = self.was_over or over
        if self.was_over:
            assert not self.lease.is_valid(self.now)


TestTakeover = TakeoverMachine.TestCase
TestTakeover.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)


def test_takeover_ends_once_promises_lapse():
    members = [tables.WitnessRow(name_of(vm, 1), "a", "") for vm in VMS[:5]]
    plan = tables.Plan(
        version=NEW_VERSION, witness_sets=[tables.WitnessSet(1, members)]
    )
    attempt = takeover.Takeover(HOLDER, NEW_VERSION)
    for member in members[:3]:
        attempt.record_answer(
            member.name, timing.WITNESS_PROMISE_SECONDS, 60.0, 10.0
        )
    assert not attempt.is_holder_stopped(plan, 10.0)
    assert attempt.is_holder_stopped(
        plan, 10.0 + timing.WITNESS_PROMISE_SECONDS
    )


def test_takeover_needs_a_majority():
    members = [tables.WitnessRow(name_of(vm, 1), "a", "") for vm in VMS[:5]]
    plan = tables.Plan(
        version=NEW_VERSION, witness_sets=[tables.WitnessSet(1, members)]
    )
    attempt = takeover.Takeover(HOLDER, NEW_VERSION)
    for member in members[:2]:
        attempt.record_answer(member.name, 0.0, 60.0, 10.0)
    assert not attempt.is_holder_stopped(plan, 1000.0)


def test_holder_on_a_listed_vm_that_is_gone_is_over():
    plan = tables.Plan(version=NEW_VERSION, gone=["vm9"])
    plan.witness_sets = [
        tables.WitnessSet(1, [tables.WitnessRow("vm1/1", "a", "")])
    ]
    assert takeover.Takeover(HOLDER, NEW_VERSION).is_holder_stopped(plan, 0.0)
