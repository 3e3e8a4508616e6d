"""Random plays: nodes, targets and a store that goes back against ownership."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.utils import era_world

NODES = ("n1", "n2", "n3")
TARGETS = ("a", "b", "c")
START_SECONDS = 3.0
RECOVERY_SECONDS = 40.0

SHORT = strategies.sampled_from([0.02, 0.1, 0.3, 0.8, 1.6, 3.0])
NODE = strategies.sampled_from(("leader", *NODES))
TARGET = strategies.sampled_from((*TARGETS, "d"))


class EraMachine(stateful.RuleBasedStateMachine):
    """Plays what may befall nodes, targets and the store."""

    def __init__(self):
        super().__init__()
        self.world = era_world.World(NODES, TARGETS)
        self.world.run(START_SECONDS)

    def teardown(self):
        try:
            self.recover()
        finally:
            self.world.close()

    def recover(self):
        if self.world.violations:
            return
        for node in self.world.nodes.values():
            node.link.resume()
        for name, target in list(self.world.targets.items()):
            target.loses_replies = False
            self.world.listed[name] = target.owner
            if target.is_unresponsive:
                self.world.start_target(name)
        self.world.run(RECOVERY_SECONDS)
        self.has_no_violation()
        assert not self.world.unheld_keys()

    def _node(self, name):
        if name == "leader":
            name = self.world.find_leader()
        return self.world.nodes[name]

    @stateful.rule(
        back=strategies.sampled_from([0.0, 0.2, 0.6, 1.5, 3.0, 8.0]),
        away=strategies.sampled_from([0.0, 0.05, 0.3, 1.2, 3.0]),
        keeps_leases=strategies.booleans(),
        then=SHORT,
    )
    def drill(self, back, away, keeps_leases, then):
        self.world.drill(back, away, keeps_leases)
        self.world.run(then)

    @stateful.rule(name=NODE, then=SHORT)
    def freeze_node(self, name, then):
        self._node(name).link.freeze()
        self.world.run(then)

    @stateful.rule(then=SHORT)
    def resume_nodes(self, then):
        for node in self.world.nodes.values():
            node.link.resume()
        self.world.run(then)

    @stateful.rule(name=NODE, then=SHORT)
    def restart_node(self, name, then):
        self.world.restart_node(self._node(name).name)
        self.world.run(then)

    @stateful.rule(name=TARGET, then=SHORT)
    def start_target(self, name, then):
        self.world.start_target(name)
        self.world.run(then)

    @stateful.rule(name=TARGET, is_unlisted=strategies.booleans(), then=SHORT)
    def crash_target(self, name, is_unlisted, then):
        if name in self.world.targets:
            self.world.crash_target(name)
            if is_unlisted:
                self.world.unlist_target(name)
        self.world.run(then)

    @stateful.rule(
        name=TARGET,
        is_silent=strategies.booleans(),
        loses_replies=strategies.booleans(),
        is_listed=strategies.booleans(),
        then=SHORT,
    )
    def change_target(self, name, is_silent, loses_replies, is_listed, then):
        target = self.world.targets.get(name)
        if target is not None:
            target.is_unresponsive = is_silent
            target.loses_replies = loses_replies
            self.world.unlist_target(name)
            if is_listed:
                self.world.listed[name] = target.owner
        self.world.run(then)

    @stateful.rule()
    def lose_write(self):
        self.world.store.writes_to_lose = 1

    @stateful.rule(seconds=strategies.sampled_from([1.0, 4.0, 12.0]))
    def pass_time(self, seconds):
        self.world.run(seconds)

    @stateful.invariant()
    def has_no_violation(self):
        assert not self.world.violations


TestEraMachine = EraMachine.TestCase
TestEraMachine.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
