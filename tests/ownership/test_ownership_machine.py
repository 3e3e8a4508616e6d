"""Random plays: targets, listings, leaders and the store against ownership."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard.ownership import holds
from jujubeyard.ownership import table
from tests.ownership import test_shard_coordinator
from tests.utils import fakes

NAMES = ("a", "b", "c")
SLOW_CLOCK = 1.02
RECOVERY_SECONDS = 2 * test_shard_coordinator.MAX_HOLD_SECONDS


class Target(fakes.FakeTarget):
    """A target with a slow clock that may take or apply grants late.

    Attributes:
        travel_seconds: How long grants are on their way.
        is_late: Whether grants are applied later and not answered.
        late_grants: Grants to apply, with the times of their arrival.
    """

    def __init__(self, owner):
        super().__init__(owner)
        self.travel_seconds = 0.0
        self.is_late = False
        self.late_grants = []

    def grant(self, grant, now):
        now += self.travel_seconds
        if self.is_late:
            self.late_grants.append((grant, now))
            raise TimeoutError
        reply = super().grant(grant, now)
        if reply.status == 200:
            seconds = SLOW_CLOCK * grant.hold_seconds
            self.held_until[grant.first] = now + seconds
        return reply

    def apply_late_grants(self):
        self.is_late = False
        for grant, arrived_at in self.late_grants:
            self.grant(grant, arrived_at)
        self.late_grants = []


class Play:
    """The actions of a play."""

    def __init__(self, harness):
        self.harness = harness
        self._born = 0

    @property
    def targets(self):
        return self.harness.target_client.targets

    def start(self, name, port=1):
        self._born += 1
        owner = table.Owner(name, self._born, f"{name}:{port}")
        self.targets[name] = Target(owner)

    async def restart(self, name):
        self.start(name)

    async def restart_elsewhere(self, name):
        self.start(name, self._born + 2)

    async def crash(self, name):
        self.targets[name].held_until.clear()
        self.targets[name].is_unresponsive = True

    async def cut_off(self, name):
        self.targets[name].is_unresponsive = True

    async def refuse_connections(self, name):
        """Cuts the link to a target that runs, with refusals."""
        self.targets[name].is_refusing = True

    async def slow_link(self, name):
        self.targets[name].travel_seconds = 0.95 * holds.GRANT_TIMEOUT_SECONDS

    async def lose_replies(self, name):
        self.targets[name].loses_replies = True

    async def apply_grants_late(self, name):
        self.targets[name].is_late = True

    async def heal(self, name):
        target = self.targets[name]
        target.is_unresponsive = target.loses_replies = False
        target.is_refusing = False
        target.travel_seconds = 0.0
        target.apply_late_grants()

    async def unlist(self, name):
        self.harness.remove_candidate(name)

    async def list_one(self, name):
        self.harness.remove_candidate(name)
        owners = self.harness.cluster_state.available_owners
        owners.append(self.targets[name].owner)

    async def list_earlier(self, name):
        """Lists an incarnation before the one that runs."""
        owner = self.targets[name].owner
        self.harness.remove_candidate(name)
        earlier = table.Owner(name, owner.born - 1, owner.address)
        self.harness.cluster_state.available_owners.append(earlier)

    async def change_leader(self, _):
        self.harness.store.is_down = False
        self.harness.store.writes_to_lose = 0
        self.harness.store.expire(self.harness.leadership._lease)
        await self.harness.lead()

    async def stop_store(self, _):
        self.harness.store.is_down = True
        self.harness.leadership.renewal_failed = True

    async def start_store(self, _):
        self.harness.store.is_down = False
        self.harness.leadership.renewal_failed = False

    async def lose_write(self, _):
        self.harness.store.writes_to_lose = 1


ACTIONS = [
    Play.restart,
    Play.restart_elsewhere,
    Play.crash,
    Play.cut_off,
    Play.refuse_connections,
    Play.slow_link,
    Play.lose_replies,
    Play.apply_grants_late,
    Play.heal,
    Play.unlist,
    Play.list_one,
    Play.list_earlier,
    Play.change_leader,
    Play.stop_store,
    Play.start_store,
    Play.lose_write,
]
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS),
        strategies.sampled_from(NAMES),
        strategies.sampled_from([0.05, 0.2, 0.5, 1.0, 2.0, 5.0]),
    ),
    max_size=25,
)


async def _play(monkeypatch, steps):
    harness = test_shard_coordinator.CoordinatorHarness(monkeypatch)
    play = Play(harness)
    for name in NAMES:
        play.start(name)
    harness.list_running_targets()
    await harness.lead()
    await harness.run(1.0)
    for action, name, seconds in steps:
        await action(play, name)
        await harness.run(seconds)
    await play.start_store(None)
    for name in NAMES:
        await play.heal(name)
    harness.list_running_targets()
    await harness.run(RECOVERY_SECONDS)
    harness.assert_all_keys_held()
    harness.coordinator.stop()


LATE_GRANT = [
    (Play.slow_link, "a", 2.0),
    (Play.refuse_connections, "a", 0.05),
    (Play.unlist, "a", 5.0),
]
LONG_GRANT_OF_AN_EARLIER_LEADER = [
    (Play.stop_store, "a", 0.5),
    (Play.refuse_connections, "a", 0.05),
    (Play.unlist, "a", 0.05),
    (Play.change_leader, "a", 5.0),
]


@hypothesis.example(steps=LATE_GRANT)
@hypothesis.example(steps=LONG_GRANT_OF_AN_EARLIER_LEADER)
@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(steps=STEPS)
def test_no_key_has_two_holders_and_every_key_is_held_again(steps):
    with pytest.MonkeyPatch.context() as monkeypatch:
        asyncio.run(_play(monkeypatch, steps))


def test_a_hold_outlasts_every_grant_on_a_slow_clock():
    until = holds.latest_expiry(0.0, 10.0)
    assert until > holds.GRANT_TIMEOUT_SECONDS + SLOW_CLOCK * 10.0
