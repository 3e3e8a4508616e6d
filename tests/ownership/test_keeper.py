"""Keys have one owner, whatever happens to targets and the store."""

import pytest

from jujubeyard import clock
from jujubeyard.ownership import courier
from jujubeyard.ownership import holds
from jujubeyard.ownership import keeper
from jujubeyard.ownership import leader
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from tests.utils import fakes

SERVICE = "desk"
MAX_HOLD = 10.0
HOLD_SECONDS = holds.RENEW_SECONDS + holds.HOLD_BEYOND_RENEWAL_SECONDS


class Bench:
    """A keeper on fakes, with a clock that the test moves."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "boottime", lambda: self.now)
        monkeypatch.setattr(leader.random, "uniform", lambda a, b: 0.0)
        monkeypatch.setattr(planner, "MIN_SHARDS", 4)
        monkeypatch.setattr(planner, "SHARDS_PER_TARGET", 1)
        self.pauses = []
        monkeypatch.setattr(keeper.asyncio, "sleep", self.sleep)
        self.store = fakes.FakeStore()
        self.notes = fakes.RecordingJournal()
        self.speech = fakes.FakeTargetClient(lambda: self.now)
        self.around = fakes.FakePlacementInputs()
        self.tables = []
        self.made = None
        self.leadership = None

    async def sleep(self, seconds):
        await REAL_SLEEP(0)
        if seconds:
            await self.passing(seconds)

    async def passing(self, seconds):
        """Waits until the test's clock has moved on."""
        until = self.now + seconds
        while self.now < until:
            await REAL_SLEEP(0)

    async def lead(self):
        self.leadership = leader.Leadership(
            self.store, "own/", "n1", self.notes
        )
        assert await self.leadership._stand()
        carrier = courier.Courier(
            self.store,
            None,
            self.speech,
            lambda service: f"own/shards/{service}",
            self.tables.append,
            self.notes,
        )
        if self.made is not None:
            self.made.stop()
        self.made = keeper.Keeper(
            SERVICE, self.leadership, self.around, carrier, MAX_HOLD
        )
        self.made.load(await carrier.read_table(SERVICE))

    async def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.leadership._certain_until = self.now + 1.0
            self.made.tick(self.now)
            for _ in range(8):
                await REAL_SLEEP(0)
            self.check()
            self.now += step

    def check(self):
        """No two targets hold a key at the same time."""
        for first, _ in table.divide_keys(4):
            holders = [
                name
                for name, target in self.speech.targets.items()
                if target.holds(first, self.now)
            ]
            assert len(holders) <= 1, (self.now, first, holders)

    def owners(self):
        return {shard.owner.target_id for shard in self.tables[-1].shards}

    def add(self, *names):
        for name in names:
            self.around.available_owners.append(self.speech.add(name).owner)

    def close(self, name):
        self.around.available_owners = [
            o for o in self.around.available_owners if o.target_id != name
        ]


REAL_SLEEP = keeper.asyncio.sleep


@pytest.fixture
def bench(monkeypatch):
    return Bench(monkeypatch)


async def test_all_keys_are_granted(bench):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    held = [
        first
        for first, _ in table.divide_keys(4)
        for target in bench.speech.targets.values()
        if target.holds(first, bench.now)
    ]
    assert len(held) == 4


async def test_grants_are_renewed(bench):
    bench.add("a")
    await bench.lead()
    await bench.run(3 * HOLD_SECONDS)
    assert bench.speech.targets["a"].holds(0, bench.now)


async def test_leaving_target_hands_over(bench):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    bench.close("a")
    await bench.run(0.5)
    assert bench.owners() == {"b"}
    assert bench.speech.targets["b"].holds(0, bench.now)
    assert {s.handover for s in bench.tables[-1].shards} == {"", "h"}


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_silent_target_is_waited_out(bench, loses_answers):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    silent = bench.speech.targets["a"]
    silent.is_unresponsive = not loses_answers
    silent.loses_replies = loses_answers
    bench.close("a")
    await bench.run(HOLD_SECONDS - holds.RENEW_SECONDS - 0.2)
    assert "a" in bench.owners()
    await bench.run(2 * HOLD_SECONDS)
    assert bench.owners() == {"b"}


async def test_another_life_gets_keys_at_once_under_higher_fences(bench):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    before = bench.speech.targets["a"]
    reborn = fakes.FakeTarget(table.Owner("a", 2, "a:1"))
    bench.speech.targets["a"] = reborn
    bench.around.ended_owners.add(before.owner)
    bench.around.available_owners = [
        reborn.owner,
        bench.speech.targets["b"].owner,
    ]
    await bench.run(0.5)
    owners = {shard.owner for shard in bench.tables[-1].shards}
    assert before.owner not in owners
    taken = bench.speech.targets["b"].granted_fences + reborn.granted_fences
    assert max(taken) > max(before.granted_fences)


async def test_new_leader_waits_for_the_longest_grant(bench):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    bench.store.expire(bench.leadership._lease)
    bench.speech.targets["a"].is_unresponsive = True
    bench.close("a")
    await bench.lead()
    await bench.run(MAX_HOLD - 0.5)
    assert "a" in bench.owners() | {
        shard.owner.target_id for shard in bench.made._table.shards
    }
    await bench.run(3.0)
    assert bench.owners() == {"b"}


async def test_fences_grow_over_leaders(bench):
    bench.add("a")
    await bench.lead()
    await bench.run(0.5)
    first = max(bench.speech.targets["a"].granted_fences)
    bench.store.expire(bench.leadership._lease)
    await bench.lead()
    bench.add("b")
    bench.close("a")
    await bench.run(1.0)
    assert min(bench.speech.targets["b"].granted_fences) > first


async def test_a_higher_fence_seen_by_the_owner_is_topped(bench):
    bench.add("a")
    await bench.lead()
    await bench.run(0.5)
    target = bench.speech.targets["a"]
    target.highest_fences[0] += 1
    target.held_until.pop(0)
    await bench.run(2.0)
    assert target.holds(0, bench.now)


async def test_a_lost_answer_of_the_store_is_read_back(bench):
    bench.add("a", "b")
    await bench.lead()
    bench.store.writes_to_lose = 1
    await bench.run(1.0)
    assert bench.speech.targets["a"].held_until
    assert bench.notes.count("table not written") == 1


async def test_no_order_is_given_without_the_lead(bench):
    bench.add("a")
    await bench.lead()
    await bench.run(0.5)
    taken = len(bench.speech.targets["a"].granted_fences)
    bench.leadership._certain_until = 0.0
    bench.now += 2.0
    bench.made.tick(bench.now)
    await REAL_SLEEP(0)
    assert len(bench.speech.targets["a"].granted_fences) == taken


async def test_holds_are_lengthened_when_the_lead_is_in_doubt(bench):
    bench.add("a")
    await bench.lead()
    await bench.run(0.5)
    bench.leadership.renewal_failed = True
    await bench.run(holds.RENEW_SECONDS + 0.1)
    target = bench.speech.targets["a"]
    assert target.holds(0, bench.now + MAX_HOLD - 2.0)


async def test_writes_of_a_table_never_overlap(bench, monkeypatch):
    bench.add("a", "b", "c")
    await bench.lead()
    await bench.run(3.0)
    running, most = 0, 0
    write = bench.store.write

    async def slow(conditions, puts):
        nonlocal running, most
        running += 1
        most = max(most, running)
        for _ in range(20):
            await REAL_SLEEP(0)
        running -= 1
        return await write(conditions, puts)

    monkeypatch.setattr(bench.store, "write", slow)
    rates = [50.0, 1.0, 1.0, 1.0]
    bench.around.may_balance = lambda service: True
    bench.around.shard_rates = lambda found: (rates * 9)[: len(found.shards)]
    bench.close("a")
    await bench.run(3.0)
    assert most == 1
    assert bench.notes.count("table not written") == 0
    assert bench.notes.count("shards divided") >= 1


async def test_new_owners_hold_their_keys_before_nodes_hear_of_them(bench):
    bench.add("a", "b")
    await bench.lead()
    await bench.run(1.0)
    seen = []

    def publish(written):
        seen.extend(
            bench.speech.targets[shard.owner.target_id].holds(
                shard.first, bench.now
            )
            for shard in written.shards
        )
        bench.tables.append(written)

    bench.made._courier._publish = publish
    bench.close("a")
    await bench.run(0.5)
    assert bench.owners() == {"b"}
    assert seen and all(seen)


@pytest.mark.parametrize("is_writing", [False, True])
async def test_all_holds_are_lengthened_at_once_in_an_outage(bench, is_writing):
    bench.add("a")
    await bench.lead()
    await bench.run(2.0)
    bench.made._writing = is_writing
    bench.leadership.renewal_failed = True
    await bench.run(0.15)
    target = bench.speech.targets["a"]
    for first, _ in table.divide_keys(4):
        assert target.holds(first, bench.now + MAX_HOLD - 1.0)
