"""Random plays: nodes, targets and a store that goes back against ownership."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

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
        self.heal()
        self.world.run(RECOVERY_SECONDS)
        self.has_no_violation()
        assert not self.world.unheld_keys()

    def heal(self):
        for node in self.world.nodes.values():
            node.link.resume()
        for name, target in list(self.world.targets.items()):
            target.loses_replies = False
            self.world.listed[name] = target.owner
            if target.is_unresponsive:
                self.world.start_target(name)

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

    @stateful.rule(
        name=TARGET,
        moving=strategies.sampled_from([0.3, 0.8]),
        back=strategies.sampled_from([0.4, 1.2]),
        away=strategies.sampled_from([0.05, 1.2]),
        keeps_leases=strategies.booleans(),
        then=SHORT,
    )
    def lose_moves(self, name, moving, back, away, keeps_leases, then):
        """Loses the moves of a target's keys, which it gives up or not."""
        self.world.unlist_target(name)
        self.world.run(moving)
        self.world.drill(moving + back, away, keeps_leases)
        self.world.run(then)

    @stateful.rule(then=SHORT)
    def heal_all(self, then):
        self.heal()
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


@pytest.fixture
def world():
    created = era_world.World(NODES, TARGETS)
    yield created
    created.close()


def _leader_lives(world):
    world.unlist_target("a")
    world.run(MOVE_SECONDS)


def _leader_restarts(world):
    world.unlist_target("a")
    world.run(MOVE_SECONDS)
    world.restart_node(world.find_leader())


def _leader_freezes(world):
    """It resumes in the next era, with its orders of before."""
    world.unlist_target("a")
    world.run(MOVE_SECONDS)
    world.nodes[world.find_leader()].link.freeze()


def _another_leads(world):
    """The one before resumes first in the next era, and knows nothing of it."""
    world.nodes[world.find_leader()].link.freeze()
    world.run(3.0)
    world.unlist_target("a")
    world.run(MOVE_SECONDS)
    world.nodes[world.find_leader()].link.freeze()


def _owner_is_silent(world):
    """It has long grants, and no node remembers that it got keys."""
    world.unlist_target("a")
    world.run(MOVE_SECONDS)
    world.store.is_down = True
    world.run(MOVE_SECONDS)
    world.targets["b"].is_unresponsive = True
    for name in NODES:
        world.restart_node(name)


def _terms_change(world):
    for _ in range(2):
        world.restart_node(world.find_leader())
        world.run(2.5)
    world.unlist_target("a")
    world.run(MOVE_SECONDS)


MOVE_SECONDS = 0.8


@pytest.mark.parametrize("keeps_leases", [False, True])
@pytest.mark.parametrize("away", [0.05, 2.0])
@pytest.mark.parametrize("back", [MOVE_SECONDS + 0.4, 8.0])
@pytest.mark.parametrize(
    "move",
    [
        _leader_lives,
        _leader_restarts,
        _leader_freezes,
        _another_leads,
        _owner_is_silent,
        _terms_change,
    ],
)
def test_lost_moves_make_no_second_holder(
    world, move, back, away, keeps_leases
):
    """Targets hold keys that the copy gives to others, or again move then."""
    world.run(12.0)
    move(world)
    world.drill(back, away, keeps_leases)
    world.run(0.05)
    for node in world.frozen_nodes():
        node.link.resume()
        world.run(0.5)
    world.run(1.0)
    world.unlist_target("b")
    world.listed["a"] = world.targets["a"].owner
    world.run(20.0)
    assert not world.violations
    assert not world.unheld_keys()
