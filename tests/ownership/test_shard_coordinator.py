"""Every key has at most one holder while targets or the store fail."""

import asyncio

import pytest

from jujubeyard import clock
from jujubeyard.node import metrics
from jujubeyard.ownership import holds
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import planner
from jujubeyard.ownership import shard_coordinator
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from tests.utils import era_fakes
from tests.utils import fakes

SERVICE = "desk"
COLD_SECONDS = 3.0
MAX_HOLD_SECONDS = 10.0
HOLD_SECONDS = holds.RENEW_SECONDS + holds.HOLD_BEYOND_RENEWAL_SECONDS
FENCES_UNTIL_RENEWAL = 5
"""How much higher the fence that a shard has seen must be, so that its next
renewal is refused: one more than there are shards."""


class CoordinatorHarness:
    """Runs a coordinator with fakes and a clock that the test controls."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "boottime", lambda: self.now)
        monkeypatch.setattr(leader.random, "uniform", lambda a, b: 0.0)
        monkeypatch.setattr(planner, "MIN_SHARDS", 4)
        monkeypatch.setattr(planner, "SHARDS_PER_TARGET", 1)
        self.pauses = []
        monkeypatch.setattr(asyncio, "sleep", self.sleep)
        self.store = fakes.FakeStore()
        self.log = fakes.RecordingJournal()
        self.metrics = metrics.Metrics()
        self.target_client = fakes.FakeTargetClient(lambda: self.now)
        self.cluster_state = fakes.FakePlacementInputs()
        self.tables = []
        self.client = None
        self.coordinator = None
        self.leadership = None

    async def sleep(self, seconds):
        await REAL_SLEEP(0)
        if seconds:
            await self.wait_for_clock(seconds)

    async def wait_for_clock(self, seconds):
        """Waits until the test's clock has advanced."""
        until = self.now + seconds
        while self.now < until:
            await REAL_SLEEP(0)

    async def lead(self):
        self.leadership = era_fakes.make_leadership(self.store, "n1", self.log)
        assert await self.leadership._campaign()
        self.client = ownership_client.OwnershipClient(
            self.store,
            fakes.FakeSession(),
            fakes.FakeSession(),
            self.target_client,
            lambda service: f"own/shards/{service}",
            self.tables.append,
            self.log,
        )
        if self.coordinator is not None:
            self.coordinator.stop()
        self.coordinator = shard_coordinator.ShardCoordinator(
            SERVICE,
            self.leadership,
            self.cluster_state,
            self.client,
            MAX_HOLD_SECONDS,
            self.metrics,
        )
        self.coordinator.load(await self.client.read_table(SERVICE))

    async def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.leadership._valid_until = self.now + 1.0
            self.coordinator.tick(self.now)
            for _ in range(8):
                await REAL_SLEEP(0)
            self.assert_single_holders()
            self.now += step

    def assert_single_holders(self):
        """Asserts that no two targets hold a key at the same time."""
        for first, _ in table.split_key_space(4):
            holders = [
                name
                for name, target in self.target_client.targets.items()
                if target.holds(first, self.now)
            ]
            assert len(holders) <= 1, (self.now, first, holders)

    def assert_all_keys_held(self):
        for first, _ in table.split_key_space(4):
            assert any(
                target.holds(first, self.now)
                for target in self.target_client.targets.values()
            )

    async def pass_without_leader(self, seconds):
        """Lets time pass while the coordinator does nothing."""
        end = self.now + seconds
        while self.now < end:
            await REAL_SLEEP(0)
            self.assert_single_holders()
            self.now += 0.05

    def owners(self):
        return {shard.owner.target_id for shard in self.tables[-1].shards}

    def add_targets(self, *names):
        for name in names:
            self.cluster_state.available_owners.append(
                self.target_client.add(name).owner
            )

    def restart(self, name, port=1):
        """Starts a target anew; its listing still names the one before."""
        born = self.target_client.targets[name].owner.born + 1
        return self.target_client.add(name, born, port)

    def list_running_targets(self, cold=()):
        self.cluster_state.available_owners = [
            target.owner
            for name, target in self.target_client.targets.items()
            if name not in cold
        ]

    def remove_candidate(self, name):
        self.cluster_state.available_owners = [
            o
            for o in self.cluster_state.available_owners
            if o.target_id != name
        ]


REAL_SLEEP = asyncio.sleep


@pytest.fixture
def harness(monkeypatch):
    return CoordinatorHarness(monkeypatch)


async def test_every_key_is_granted(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    held = [
        first
        for first, _ in table.split_key_space(4)
        for target in harness.target_client.targets.values()
        if target.holds(first, harness.now)
    ]
    assert len(held) == 4


async def test_grants_are_renewed(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(3 * HOLD_SECONDS)
    assert harness.target_client.targets["a"].holds(0, harness.now)


async def test_shards_of_removed_candidate_are_handed_over(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    harness.remove_candidate("a")
    await harness.run(0.5)
    assert harness.owners() == {"b"}
    assert harness.target_client.targets["b"].holds(0, harness.now)
    assert {s.handover for s in harness.tables[-1].shards} == {"", "h"}


async def test_new_target_gets_keys_while_a_lost_one_still_holds_its_own(
    harness,
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    harness.target_client.targets["a"].is_unresponsive = True
    harness.remove_candidate("a")
    await harness.run(0.2)
    harness.add_targets("c")
    await harness.run(1.0)
    assert "a" in harness.owners()
    assert "c" in harness.owners()


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_shards_move_only_after_grants_of_unresponsive_target_expire(
    harness, loses_answers
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    unresponsive = harness.target_client.targets["a"]
    unresponsive.is_unresponsive = not loses_answers
    unresponsive.loses_replies = loses_answers
    harness.remove_candidate("a")
    await harness.run(HOLD_SECONDS - holds.RENEW_SECONDS - 0.2)
    assert "a" in harness.owners()
    await harness.run(2 * HOLD_SECONDS)
    assert harness.owners() == {"b"}


async def test_shards_of_restarted_target_move_at_once_with_higher_fences(
    harness,
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    before = harness.target_client.targets["a"]
    restarted = harness.restart("a")
    harness.list_running_targets()
    await harness.run(0.5)
    owners = {shard.owner for shard in harness.tables[-1].shards}
    assert before.owner not in owners
    accepted = (
        harness.target_client.targets["b"].granted_fences
        + restarted.granted_fences
    )
    assert max(accepted) > max(before.granted_fences)


def _lose_replies(harness):
    """The next grants are taken, and their replies are lost."""
    harness.target_client.targets["a"].loses_replies = True


def _change_leader(harness):
    harness.store.expire(harness.leadership._lease)


@pytest.mark.parametrize("down_seconds", [0.0, 0.05, 0.5, 1.5])
@pytest.mark.parametrize(
    ("before_restart", "changes_leader"),
    [
        pytest.param(lambda harness: None, False, id="calm"),
        pytest.param(_lose_replies, False, id="grants without a reply"),
        pytest.param(_change_leader, True, id="another leader"),
    ],
)
async def test_next_incarnation_takes_only_fences_above_those_before(
    harness, down_seconds, before_restart, changes_leader
):
    """review/8: a renewal reached an incarnation that wasn't listed yet."""
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.5)
    before = harness.target_client.targets["a"]
    before_restart(harness)
    if changes_leader:
        await harness.lead()
    await harness.run(1.0)
    before.is_refusing = True
    before.held_until.clear()
    await harness.run(down_seconds)
    restarted = harness.restart("a")
    await harness.run(3.0)
    harness.list_running_targets()
    await harness.run(2 * HOLD_SECONDS)
    for first, fence in before.highest_fences.items():
        taken = restarted.fences_by_shard.get(first, [])
        assert all(later > fence for later in taken)
    assert restarted.granted_fences
    harness.assert_all_keys_held()


@pytest.mark.parametrize("down_seconds", [0.0, 0.05, 0.5])
async def test_next_incarnation_that_is_cold_takes_no_renewals(
    harness, down_seconds
):
    """Kin of review/8: it served at full rate before it was known as cold."""
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.5)
    target = harness.target_client.targets["a"]
    target.is_refusing = True
    target.held_until.clear()
    harness.client.lost_addresses.add(target.owner.address)
    await harness.run(down_seconds)
    restarted = harness.restart("a")
    restarted.cold_seconds = COLD_SECONDS
    await harness.run(COLD_SECONDS)
    assert not restarted.granted_fences
    assert harness.owners() == {"b"}
    harness.assert_all_keys_held()


async def test_owner_that_closed_its_connections_keeps_its_keys(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.5)
    target = harness.target_client.targets["a"]
    grants = len(target.granted_fences)
    for _ in range(4):
        harness.client.lost_addresses.add(target.owner.address)
        await harness.run(1.5)
        harness.assert_all_keys_held()
    assert harness.owners() == {"a", "b"}
    assert len(target.granted_fences) > grants
    assert not harness.client.lost_addresses


RESTARTS = [
    pytest.param([0.0], 0.05, 1, id="listed at once"),
    pytest.param([0.0], 1.5, 1, id="listed late"),
    pytest.param([0.0], 12.0, 1, id="listed long after"),
    pytest.param([0.5], 0.4, 1, id="down for half a second"),
    pytest.param([6.0], 0.4, 1, id="down for long"),
    pytest.param([0.3, 0.3], 0.4, 1, id="twice in a row"),
    pytest.param([0.3, 0.0, 2.0], 0.0, 1, id="three times in a row"),
    pytest.param([0.3], 0.4, 2, id="at another address"),
    pytest.param([0.3, 0.3], 0.4, 2, id="twice, at another address"),
]
"""Seconds down, until the restart is listed, and the port after it."""


async def _restart_and_list(harness, downtimes, listing_delay, port):
    """Restarts a target, each time after it was down, and lists it."""
    for number, seconds in enumerate(downtimes):
        harness.target_client.targets["a"].is_unresponsive = True
        harness.target_client.targets["a"].held_until.clear()
        await harness.run(seconds)
        harness.restart("a", port if number == len(downtimes) - 1 else 1)
        await harness.run(1.0 if number else 0.5)
    await harness.run(listing_delay)
    harness.list_running_targets(cold="a")
    await harness.run(COLD_SECONDS)
    harness.list_running_targets()


@pytest.mark.parametrize(("downtimes", "listing_delay", "port"), RESTARTS)
async def test_restart_under_the_same_id_never_makes_two_holders(
    harness, downtimes, listing_delay, port
):
    harness.add_targets("a", "b", "c")
    await harness.lead()
    await harness.run(1.0)
    await _restart_and_list(harness, downtimes, listing_delay, port)
    await harness.run(2 * HOLD_SECONDS)
    harness.assert_all_keys_held()


@pytest.mark.parametrize("gap_seconds", [0.0, 0.4, 2.0])
@pytest.mark.parametrize(("downtimes", "listing_delay", "port"), RESTARTS)
async def test_restart_around_a_change_of_the_leader_never_makes_two_holders(
    harness, downtimes, listing_delay, port, gap_seconds
):
    harness.add_targets("a", "b", "c")
    await harness.lead()
    await harness.run(1.0)
    harness.restart("a")
    await harness.run(1.0)
    harness.store.expire(harness.leadership._lease)
    await harness.pass_without_leader(gap_seconds)
    await harness.lead()
    await _restart_and_list(harness, downtimes, listing_delay, port)
    await harness.run(MAX_HOLD_SECONDS + HOLD_SECONDS)
    harness.assert_all_keys_held()


@pytest.mark.parametrize("outage_seconds", [0.5, 5.0])
async def test_restart_while_the_store_is_silent_never_makes_two_holders(
    harness, outage_seconds
):
    harness.add_targets("a", "b", "c")
    await harness.lead()
    await harness.run(1.0)
    harness.store.is_down = True
    harness.leadership.renewal_failed = True
    await harness.run(0.2)
    harness.restart("a")
    await harness.run(outage_seconds)
    harness.list_running_targets(cold="a")
    await harness.run(0.5)
    harness.store.is_down = False
    harness.leadership.renewal_failed = False
    await harness.run(MAX_HOLD_SECONDS + HOLD_SECONDS)
    harness.assert_all_keys_held()


async def test_listing_that_is_behind_the_table_never_makes_two_holders(
    harness,
):
    harness.add_targets("a", "b", "c")
    earlier = harness.target_client.targets["a"].owner
    harness.restart("a")
    harness.list_running_targets()
    await harness.lead()
    await harness.run(1.0)
    harness.store.expire(harness.leadership._lease)
    harness.cluster_state.available_owners[0] = earlier
    await harness.lead()
    await harness.run(1.0)
    harness.list_running_targets(cold="a")
    await harness.run(2 * HOLD_SECONDS)
    harness.assert_all_keys_held()


async def test_release_waits_for_a_grant_that_is_in_progress(
    harness, monkeypatch
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    may_arrive = asyncio.Event()
    grant = harness.target_client.grant

    async def delayed_grant(session, request, seconds):
        if request.target.target_id == "a":
            await may_arrive.wait()
        return await grant(session, request, seconds)

    monkeypatch.setattr(harness.target_client, "grant", delayed_grant)
    await harness.run(holds.RENEW_SECONDS + 0.1)
    harness.remove_candidate("a")
    await harness.run(0.2)
    harness.restart("a")
    may_arrive.set()
    await harness.run(2 * HOLD_SECONDS)
    assert harness.owners() == {"b"}


async def _play_higher_fence(harness, monkeypatch, act):
    """Makes "a" answer 409, and acts before it is granted a higher fence.

    Args:
        harness: The harness, without targets.
        monkeypatch: The fixture.
        act: Is called with the target each time before grants are sent.
    """
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    target = harness.target_client.targets["a"]
    target.highest_fences[min(target.held_until)] += FENCES_UNTIL_RENEWAL
    granter = harness.coordinator._granter
    grant_freed = granter.grant_freed

    async def act_and_grant(freed):
        act(target)
        await grant_freed(freed)

    monkeypatch.setattr(granter, "grant_freed", act_and_grant)
    await harness.run(2 * HOLD_SECONDS)


async def test_higher_fence_for_the_same_owner_does_not_end_its_hold(
    harness, monkeypatch
):
    def lose_candidate(target):
        target.is_unresponsive = True
        harness.remove_candidate("a")
        harness.coordinator.tick(harness.now)

    await _play_higher_fence(harness, monkeypatch, lose_candidate)
    assert harness.owners() == {"b"}


async def test_owner_whose_address_another_target_has_gets_no_grant(
    harness, monkeypatch
):
    restarted = fakes.FakeTarget(table.Owner("a", 2, "a:1"))

    def end_owner(target):
        harness.coordinator._watch.liveness.record_end(target.owner)
        harness.target_client.targets["a"] = restarted

    await _play_higher_fence(harness, monkeypatch, end_owner)
    assert harness.owners() == {"b"}
    assert not restarted.granted_fences


async def test_new_leader_waits_until_longest_grant_expires(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    harness.store.expire(harness.leadership._lease)
    harness.target_client.targets["a"].is_unresponsive = True
    harness.remove_candidate("a")
    await harness.lead()
    await harness.run(MAX_HOLD_SECONDS - 0.5)
    assert "a" in harness.owners() | {
        shard.owner.target_id
        for shard in harness.coordinator.shard_table.shards
    }
    await harness.run(3.0)
    assert harness.owners() == {"b"}


def _waiting_grants(target):
    return [
        request
        for request in target.waiting_requests
        if isinstance(request, target_requests.GrantRequest)
    ]


@pytest.mark.parametrize("others", [("b",), ()], ids=["two owners", "one"])
@pytest.mark.parametrize("steps_until_suspension", range(0, 20, 3))
async def test_no_grant_waits_for_a_suspended_owner(
    harness, steps_until_suspension, others
):
    harness.add_targets("a", *others)
    await harness.lead()
    await harness.run(5.0 + 0.05 * steps_until_suspension)
    suspended = harness.target_client.targets["a"]
    suspended.is_suspended = True
    if not others:
        harness.add_targets("b")
    await harness.run(3 * HOLD_SECONDS)
    assert harness.owners() == {"b"}
    assert _waiting_grants(suspended) == []


async def test_busy_owner_keeps_its_keys_while_they_can_go_to_nobody(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(5.0)

    async def wait_for_room(session, service, owner):
        del session, service, owner
        return target_requests.Result(target_requests.Outcome.UNKNOWN)

    harness.target_client.probe = wait_for_room
    for _ in range(50):
        await harness.run(0.2)
        harness.assert_all_keys_held()


async def test_check_that_fails_oddly_is_not_repeated_at_once(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(5.0)
    checks = []

    async def fail(session, request, seconds):
        del session, seconds
        checks.append(request)
        raise ValueError

    harness.target_client.release = fail
    await harness.run(3.0)
    assert len(checks) <= 2 * 3.0 / holds.RETRY_SECONDS


@pytest.mark.parametrize("age", [0.1, 0.3, 0.6])
async def test_no_grant_follows_a_check_that_was_answered_long_ago(
    harness, age
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(5.0)
    target = harness.target_client.targets["a"]
    send_release = harness.target_client.release

    async def stall(session, request, seconds):
        reply = await send_release(session, request, seconds)
        if request.target.target_id == "a" and not target.is_suspended:
            target.is_suspended = True
            harness.now += age
        return reply

    harness.target_client.release = stall
    await harness.run(3 * HOLD_SECONDS)
    assert _waiting_grants(target) == []


async def test_write_of_an_ended_term_is_refused(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(5.0)
    revision = (await harness.client.read_table(SERVICE)).revision
    harness.remove_candidate("a")
    harness.coordinator._writer.start_write(harness.tables[-1].shards, {})
    harness.store.expire(harness.leadership._lease)
    harness.leadership._end_term("the lease no longer exists")
    for _ in range(8):
        await REAL_SLEEP(0)
    stored = await harness.client.read_table(SERVICE)
    assert stored.revision == revision


@pytest.mark.parametrize("stall_seconds", [0.5, 1.0, 2.0, 5.0])
async def test_grant_that_stalled_is_not_sent_after_its_hold_was_reckoned(
    harness, stall_seconds
):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(5.0)
    stalled = harness.target_client.targets["a"]
    send_grant = harness.target_client.grant

    async def stall_and_grant(session, request, seconds):
        if request.target.target_id != "a":
            return await send_grant(session, request, seconds)
        harness.now += stall_seconds
        try:
            await send_grant(session, request, seconds)
        finally:
            stalled.is_unresponsive = True
        raise TimeoutError

    harness.target_client.grant = stall_and_grant
    await harness.run(3 * HOLD_SECONDS)
    assert harness.owners() == {"b"}


async def test_coordinator_of_an_earlier_term_sends_nothing(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(5.0)
    leadership = harness.leadership
    harness.store.expire(leadership._lease)
    leadership._end_term("the lease no longer exists")
    assert await leadership._campaign()
    targets = harness.target_client.targets.values()
    fences = [list(target.granted_fences) for target in targets]
    await harness.run(2 * HOLD_SECONDS)
    assert [target.granted_fences for target in targets] == fences


async def test_fences_of_new_leader_are_higher(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(0.5)
    first = max(harness.target_client.targets["a"].granted_fences)
    harness.store.expire(harness.leadership._lease)
    await harness.lead()
    harness.add_targets("b")
    harness.remove_candidate("a")
    await harness.run(1.0)
    assert min(harness.target_client.targets["b"].granted_fences) > first


async def test_shard_gets_higher_fence_after_owner_reports_fenced(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(0.5)
    target = harness.target_client.targets["a"]
    assigned = harness.tables[-1].shards[0].fence
    target.highest_fences[0] += FENCES_UNTIL_RENEWAL
    target.held_until.pop(0)
    await harness.run(2.0)
    assert target.holds(0, harness.now)
    assert harness.tables[-1].shards[0].fence > assigned


async def test_table_is_read_back_after_lost_write_response(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    harness.store.writes_to_lose = 1
    await harness.run(1.0)
    assert harness.target_client.targets["a"].held_until
    assert harness.log.count("table not written") == 1


async def test_no_grants_are_sent_after_lease_may_have_expired(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(0.5)
    accepted = len(harness.target_client.targets["a"].granted_fences)
    harness.leadership._valid_until = 0.0
    harness.now += 2.0
    harness.coordinator.tick(harness.now)
    await REAL_SLEEP(0)
    assert len(harness.target_client.targets["a"].granted_fences) == accepted


async def test_grants_have_maximum_length_while_lease_renewal_fails(harness):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(0.5)
    harness.leadership.renewal_failed = True
    await harness.run(holds.RENEW_SECONDS + 0.1)
    target = harness.target_client.targets["a"]
    assert target.holds(0, harness.now + MAX_HOLD_SECONDS - 2.0)


async def test_table_writes_never_overlap(harness, monkeypatch):
    harness.add_targets("a", "b", "c")
    await harness.lead()
    await harness.run(3.0)
    running, max_running = 0, 0
    write = harness.store.write

    async def slow_write(conditions, puts):
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        for _ in range(20):
            await REAL_SLEEP(0)
        running -= 1
        return await write(conditions, puts)

    monkeypatch.setattr(harness.store, "write", slow_write)
    rates = [50.0, 1.0, 1.0, 1.0]
    harness.cluster_state.may_balance = lambda service: True
    harness.cluster_state.shard_rates = lambda shard_table: (rates * 9)[
        : len(shard_table.shards)
    ]
    harness.remove_candidate("a")
    await harness.run(3.0)
    assert max_running == 1
    assert harness.log.count("table not written") == 0
    assert harness.log.count("shards split") >= 1


async def test_new_owners_hold_keys_before_table_is_published(harness):
    harness.add_targets("a", "b")
    await harness.lead()
    await harness.run(1.0)
    owner_holds = []

    def publish(written):
        owner_holds.extend(
            harness.target_client.targets[shard.owner.target_id].holds(
                shard.first, harness.now
            )
            for shard in written.shards
        )
        harness.tables.append(written)

    harness.client._publish = publish
    harness.remove_candidate("a")
    await harness.run(0.5)
    assert harness.owners() == {"b"}
    assert owner_holds and all(owner_holds)


@pytest.mark.parametrize("is_writing", [False, True])
async def test_all_grants_are_extended_at_once_when_lease_renewal_fails(
    harness, is_writing
):
    harness.add_targets("a")
    await harness.lead()
    await harness.run(2.0)
    harness.coordinator._writer._is_writing = is_writing
    harness.leadership.renewal_failed = True
    await harness.run(0.15)
    target = harness.target_client.targets["a"]
    for first, _ in table.split_key_space(4):
        assert target.holds(first, harness.now + MAX_HOLD_SECONDS - 1.0)


async def _lead_paused_target(harness, pause_seconds):
    """Returns a target that holds its keys and asks for a pause."""
    harness.add_targets("t1")
    await harness.lead()
    await harness.run(3.0)
    harness.cluster_state.pauses["t1"] = pause_seconds
    return harness.target_client.targets["t1"]


async def test_renewals_wait_for_a_pause_without_losing_the_grant(harness):
    target = await _lead_paused_target(harness, 1.0)
    grants = len(target.granted_fences)
    await harness.run(1.2)
    assert len(target.granted_fences) == grants
    await harness.run(4.0)
    assert len(target.granted_fences) > grants
    for first, _ in table.split_key_space(4):
        assert target.holds(first, harness.now)


async def test_pause_does_not_delay_longer_grants_in_an_outage(harness):
    target = await _lead_paused_target(harness, 5.0)
    grants = len(target.granted_fences)
    harness.leadership.renewal_failed = True
    await harness.run(0.2)
    assert len(target.granted_fences) >= grants + 4
