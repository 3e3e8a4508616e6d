"""Tests the planner, also against a simple model of its rules."""

import collections
import math
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from jujubeyard.plan import cluster_state
from jujubeyard.plan import codec
from jujubeyard.plan import planner
from jujubeyard.plan import tables
from tests.utils import builders

ZONES = ("a", "b", "c")


def settle(gates):
    """Returns copies of gates that have settled all plans."""
    return [
        builders.make_gate(
            g.holder.partition("/")[0], g.zone, 10**6, lost=g.lost
        )
        for g in gates
    ]


def first_plan(config, gates, **fields):
    cluster = builders.make_cluster_state(config, gates, **fields)
    return planner.make_plan(tables.Plan(), cluster)


GATES = [builders.make_gate(f"vm{n}", ZONES[n % 3]) for n in range(4)]


def test_first_plan_assigns_all_targets_and_shards():
    config = builders.make_config(builders.make_manifest())
    plan = first_plan(config, GATES)
    assert set(plan.holdings) == set(config.targets)
    assert set(plan.shards["desk"].owners) == set(config.targets)
    assert plan.witness_sets[0].majority == 2


def test_unchanged_cluster_state_makes_no_plan():
    config = builders.make_config(builders.make_manifest())
    plan = first_plan(config, GATES)
    cluster = builders.make_cluster_state(
        config, settle(GATES), may_rebalance=True
    )
    assert planner.make_plan(plan, cluster) is None


TARGET_LOSSES = {
    "target lost": {"lost": "desk-0"},
    "target drained": {"drained_targets": ("desk-0",)},
    "zone drained": {"drained_zones": ("a",)},
}


@pytest.mark.parametrize("name", TARGET_LOSSES)
def test_loss_of_a_target_moves_only_its_shards(name):
    loss = dict(TARGET_LOSSES[name])
    manifest = builders.make_manifest(shards=60)
    config = builders.make_config(manifest)
    plan = first_plan(config, GATES)
    lost = loss.pop("lost", None)
    config_after = builders.make_config(manifest, 2, **loss)
    gates = settle(GATES)
    if lost:
        holder = plan.holdings[lost].gate
        gates = [
            builders.make_gate(
                g.holder.partition("/")[0],
                g.zone,
                10**6,
                lost=frozenset({lost} if g.holder == holder else ()),
            )
            for g in gates
        ]
    moved = planner.make_plan(
        plan, builders.make_cluster_state(config_after, gates)
    )
    unusable = {t.name for t in config_after.targets.values() if t.drained} | {
        lost
    }
    before = plan.shards["desk"].owners
    owners = moved.shards["desk"].owners
    for shard, owner in enumerate(before):
        if owner in unusable:
            assert owners[shard] not in unusable
            assert moved.shards["desk"].previous[shard] == [owner]
        else:
            assert owners[shard] == owner
    counts = collections.Counter(owners)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_undrained_target_gets_at_most_its_fair_share():
    manifest = builders.make_manifest(shards=60)
    drained = builders.make_config(manifest, 1, drained_targets=("desk-0",))
    plan = first_plan(drained, GATES)
    config = builders.make_config(manifest, 2)
    for _ in range(40):
        cluster = builders.make_cluster_state(
            config, settle(GATES), may_rebalance=True
        )
        next_plan = planner.make_plan(plan, cluster)
        if next_plan is None:
            break
        plan = next_plan
    assert next_plan is None
    counts = collections.Counter(plan.shards["desk"].owners)
    assert 5 <= counts["desk-0"] <= 10


def test_targets_of_a_lost_gate_are_reassigned():
    config = builders.make_config(builders.make_manifest())
    plan = first_plan(config, GATES)
    lost_gate = GATES[0].holder
    cluster = builders.make_cluster_state(config, settle(GATES[1:]))
    moved = planner.make_plan(plan, cluster)
    for target, holding in plan.holdings.items():
        if holding.gate == lost_gate:
            assert moved.holdings[target].gate != lost_gate
            assert moved.holdings[target].previous == [lost_gate]
            assert moved.holdings[target].version == moved.version
        else:
            assert moved.holdings[target] == holding
    assert lost_gate in moved.gates


def test_plan_encoding_round_trip():
    config = builders.make_config(builders.make_manifest())
    plan = first_plan(config, GATES)
    plan.shards["desk"].previous[3] = ["desk-1"]
    assert codec.decode_plan(codec.encode_plan(plan)) == plan


def test_skewed_load_is_balanced_within_15_percent():
    manifest = builders.make_manifest(targets=10, shards=200)
    config = builders.make_config(manifest)
    plan = first_plan(config, GATES)
    loads = {shard: 1000.0 / (shard + 1) for shard in range(200)}
    loads[0] = 400.0
    for _ in range(100):
        cluster = builders.make_cluster_state(
            config, settle(GATES), loads={"desk": loads}, may_rebalance=True
        )
        next_plan = planner.make_plan(plan, cluster)
        if next_plan is None:
            break
        plan = next_plan
    sums = collections.Counter()
    for shard, owner in enumerate(plan.shards["desk"].owners):
        sums[owner] += loads[shard]
    mean = sum(sums.values()) / 10
    assert max(sums.values()) <= 1.15 * mean


def rebalance(plan, config, loads):
    """Returns the rebalanced plan and the number of shards moved."""
    cluster = builders.make_cluster_state(
        config, settle(GATES), loads={"desk": loads}, may_rebalance=True
    )
    next_plan = planner.make_plan(plan, cluster) or plan
    owners = zip(
        plan.shards["desk"].owners, next_plan.shards["desk"].owners, strict=True
    )
    return next_plan, sum(old != new for old, new in owners)


@pytest.mark.parametrize("rate", [5, 50, 500])
def test_random_load_variation_moves_no_shard(rate):
    manifest = builders.make_manifest(targets=4, shards=16)
    config = builders.make_config(manifest)
    plan = first_plan(config, GATES)
    rng = random.Random(rate)
    span = cluster_state.LOAD_AVERAGING_SECONDS
    moved = 0
    for _ in range(50):
        counts = [
            max(0.0, rng.gauss(rate * span, math.sqrt(rate * span)))
            for _ in range(16)
        ]
        loads = {shard: count / span for shard, count in enumerate(counts)}
        plan, count = rebalance(plan, config, loads)
        moved += count
    assert moved == 0


def test_lasting_load_difference_is_balanced():
    manifest = builders.make_manifest(targets=4, shards=16)
    config = builders.make_config(manifest)
    plan = first_plan(config, GATES)
    first = plan.shards["desk"].owners[0]
    loads = {
        shard: 100.0 if owner == first else 50.0
        for shard, owner in enumerate(plan.shards["desk"].owners)
    }
    _, moved = rebalance(plan, config, loads)
    assert moved > 0


class PlannerMachine(stateful.RuleBasedStateMachine):
    """Checks the plans after random losses, drains and settlements.

    Former owners and holders have to stay listed until the new one settles.
    """

    @stateful.initialize()
    def start(self):
        self.manifest = builders.make_manifest(targets=5, shards=12)
        self.alive = {f"vm{n}" for n in range(4)}
        self.lost: set[str] = set()
        self.drained: set[str] = set()
        self.settled: dict[str, int] = dict.fromkeys(self.alive, 0)
        self.plan = tables.Plan()
        self.ever: dict[int, list[str]] = {n: [] for n in range(12)}

    def _make_cluster_state(self):
        config = builders.make_config(
            self.manifest, 1, drained_targets=tuple(self.drained)
        )
        gates = [
            builders.make_gate(
                vm,
                ZONES[int(vm[2:]) % 3],
                self.plan.version,
                settled_version=self.settled[vm],
                lost=frozenset(self.lost),
            )
            for vm in sorted(self.alive)
        ]
        return builders.make_cluster_state(config, gates, may_rebalance=True)

    @stateful.rule()
    def plan_once(self):
        before = self.plan
        next_plan = planner.make_plan(before, self._make_cluster_state())
        if next_plan is None:
            return
        assert next_plan.version == before.version + 1
        self._check_step(before, next_plan)
        self.plan = next_plan

    def _check_step(self, before, next_plan):
        table = next_plan.shards["desk"]
        old = before.shards.get("desk")
        for shard, owner in enumerate(table.owners):
            former = old.owners[shard] if old else ""
            pending = set(old.previous.get(shard, ())) if old else set()
            if former and former != owner:
                assert table.versions[shard] == next_plan.version
                assert former in table.previous[shard]
            kept = set(table.previous.get(shard, ()))
            if pending - kept:
                holding = next_plan.holdings[former]
                settled = self.settled[holding.gate.partition("/")[0]]
                assert settled >= old.versions[shard]
        for target, holding in next_plan.holdings.items():
            old_holding = before.holdings.get(target)
            if old_holding and old_holding.gate != holding.gate:
                assert old_holding.gate in holding.previous
                assert holding.version == next_plan.version

    @stateful.rule(vm=strategies.sampled_from(["vm0", "vm1", "vm2", "vm3"]))
    def settle_gate(self, vm):
        self.settled[vm] = self.plan.version

    @stateful.rule(vm=strategies.sampled_from(["vm0", "vm1", "vm2"]))
    def toggle_gate(self, vm):
        self.alive ^= {vm}
        self.settled[vm] = 0

    @stateful.rule(number=strategies.integers(0, 4))
    def toggle_lost(self, number):
        self.lost ^= {f"desk-{number}"}

    @stateful.rule(number=strategies.integers(0, 3))
    def toggle_drained(self, number):
        self.drained ^= {f"desk-{number}"}

    @stateful.invariant()
    def everything_has_one_owner(self):
        if self.plan.version == 0:
            return
        owners = self.plan.shards["desk"].owners
        assert all(owner in self.plan.holdings for owner in owners)
        for holding in self.plan.holdings.values():
            assert holding.gate in self.plan.gates
            for former in holding.previous:
                assert former in self.plan.gates


TestPlannerMachine = PlannerMachine.TestCase
TestPlannerMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
