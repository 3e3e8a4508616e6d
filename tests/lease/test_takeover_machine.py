"""Tests that a takeover doesn't complete while the old holder may send.

The state machine has witnesses, one holder and one successor on a simulated
clock. Replies may be late or lost, witnesses may restart, and the witness set
may change.
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
vm_indexes = strategies.integers(0, len(VMS) - 1)
vm_index_sets = strategies.sets(vm_indexes, min_size=1)


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
        self.renewal_id = 0
        self.holder_set = 0
        self.late: list[tuple[int, str]] = []
        self.was_stopped = False

    def _members(self, vms):
        return [
            tables.WitnessRow(name_of(vm, self.incarnations[vm]), "a", "")
            for vm in vms
        ]

    @stateful.rule(seconds=strategies.floats(0.01, 0.6))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(asked=vm_index_sets, lost=vm_index_sets, late=vm_index_sets)
    def renew(self, asked, lost, late):
        self.renewal_id += 1
        self.lease.record_renewal(self.renewal_id, self.now)
        for index in asked:
            vm = VMS[index]
            granted = self.witnesses[vm].promise(HOLDER, OLD_VERSION, self.now)
            name = name_of(vm, self.incarnations[vm])
            if not granted or index in lost:
                continue
            if index in late:
                self.late.append((self.renewal_id, name))
            else:
                self.lease.record_promise(self.renewal_id, name)

    @stateful.rule()
    def deliver_late(self):
        for renewal_id, name in self.late:
            self.lease.record_promise(renewal_id, name)
        self.late.clear()

    @stateful.rule(index=vm_indexes)
    def restart_witness(self, index):
        vm = VMS[index]
        self.incarnations[vm] += 1
        self.witnesses[vm] = witness.Witness(self.now)

    @stateful.precondition(lambda self: len(self.plan.witness_sets) == 1)
    @stateful.rule()
    def change_witnesses(self):
        new_set = tables.WitnessSet(OLD_VERSION, self._members(VMS[2:]))
        self.plan.witness_sets.append(new_set)

    @stateful.precondition(lambda self: len(self.plan.witness_sets) == 2)
    @stateful.rule()
    def update_holder_witnesses(self):
        self.lease.use_witnesses(self.plan.witness_sets[-1])

    @stateful.rule(asked=vm_index_sets)
    def ask_witnesses(self, asked):
        for index in asked:
            vm = VMS[index]
            remaining = self.witnesses[vm].stop_renewals(
                HOLDER, NEW_VERSION, self.now
            )
            uptime = self.witnesses[vm].uptime(self.now)
            name = name_of(vm, self.incarnations[vm])
            self.attempt.record_answer(name, remaining, uptime, self.now)

    @stateful.invariant()
    def lease_is_invalid_once_takeover_completes(self):
        stopped = self.attempt.is_holder_stopped(self.plan, self.now)
        self.was_stopped = self.was_stopped or stopped
        if self.was_stopped:
            assert not self.lease.is_valid(self.now)


TestTakeover = TakeoverMachine.TestCase
TestTakeover.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)


def test_takeover_completes_once_promises_expire():
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


def test_holder_on_a_removed_vm_is_stopped():
    plan = tables.Plan(version=NEW_VERSION, gone=["vm9"])
    plan.witness_sets = [
        tables.WitnessSet(1, [tables.WitnessRow("vm1/1", "a", "")])
    ]
    assert takeover.Takeover(HOLDER, NEW_VERSION).is_holder_stopped(plan, 0.0)
