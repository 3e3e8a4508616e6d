"""Tables of an earlier era, before grants are sent by them."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard import clock
from jujubeyard.node import protocol
from jujubeyard.ownership import adoption
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import interface
from jujubeyard.store import revisions
from tests.utils import era_fakes
from tests.utils import fakes
from tests.utils import virtual_time

SERVICE = "desk"
TABLE_KEY = era_fakes.TABLES_PREFIX + SERVICE
MAX_HOLD_SECONDS = 10.0
NAMES = "abc"


class Harness:
    """A leader that has learned of a new era, and its targets."""

    def __init__(self):
        self.store = era_fakes.DrillStore()
        self.target_client = fakes.FakeTargetClient(clock.boottime)
        self.owners = {
            name: self.target_client.add(name).owner for name in NAMES
        }
        self.node = era_fakes.Node(self.store)
        self.leadership = self.node.leadership
        self.client = ownership_client.OwnershipClient(
            self.node.store,
            fakes.FakeSession(),
            fakes.FakeSession(),
            self.target_client,
            lambda service: era_fakes.TABLES_PREFIX + service,
            lambda written: None,
            self.node.log,
        )

    def table(self, owners, era=1, number=5):
        """Returns a table whose equal shards have these owners."""
        ranges = table.split_key_space(len(owners)) if owners else []
        shards = tuple(
            table.Shard(first, last, self.owners[name], 7, "")
            for (first, last), name in zip(ranges, owners, strict=True)
        )
        revision = revisions.pack(era, number) if owners else 0
        return table.ShardTable(SERVICE, shards, revision, written_era=era)

    async def store_table(self, owners, era=1):
        body = table.encode(self.table(owners).shards, era)
        await self.store.write([], [interface.Put(TABLE_KEY, body)])

    async def lead_after_return(self):
        await self.node.store.read("own/any")
        self.store.go_back(self.store.take_copy())
        await self.node.store.read("own/any")
        await self.lead()

    async def lead(self):
        self.store.items.pop("own/leader", None)
        assert await self.leadership._campaign()
        self.keep_leading()

    def keep_leading(self):
        self.leadership._valid_until = float("inf")

    def start(
        self,
        stored,
        newest=None,
        complete=None,
        listed=None,
        unconfirmed=frozenset(),
        has_read_targets=lambda: True,
    ):
        """Starts to adopt a table.

        Args:
            stored: The stored table.
            newest: The table by which the node sends calls.
            complete: The table of a term that lasted until the return.
            listed: Targets that may hold keys; all if None.
            unconfirmed: Targets that got keys by an unconfirmed write.
            has_read_targets: Returns whether targets were read in the era.
        """
        if listed is None:
            listed = list(self.owners.values())
        known = complete and adoption.CompleteTable(complete, unconfirmed)
        memory = adoption.Memory(
            newest, known, lambda: listed, has_read_targets
        )
        return asyncio.create_task(
            adoption.Adoption(
                SERVICE,
                self.leadership,
                self.node.era_tracker,
                self.client,
                MAX_HOLD_SECONDS,
            ).run(stored, memory)
        )

    async def adopt(self, **known):
        """Returns the adopted table and the seconds that it took."""
        stored = await self.client.read_table(SERVICE)
        started_at = clock.boottime()
        adopted = await self.start(stored, **known)
        return adopted, clock.boottime() - started_at

    def proof(self):
        return next(
            fields["evidence"]
            for name, fields in self.node.log.events
            if name == "table adopted"
        )

    def grant(self, name, key, fence=1, seconds=MAX_HOLD_SECONDS):
        request = target_requests.GrantRequest(
            self.owners[name], key, key, fence, seconds, "", float("inf")
        )
        return self.target_client.targets[name].grant(request, clock.boottime())

    def holders(self, key):
        return {
            name
            for name, target in self.target_client.targets.items()
            if target.holds(key, clock.boottime())
        }


@pytest.fixture
def run(monkeypatch):
    """Runs a test in virtual time."""

    def run_virtual(play, *args):
        loop = virtual_time.VirtualLoop()
        monkeypatch.setattr(clock, "boottime", loop.time)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(play(Harness(), *args))

    return run_virtual


def _owner_names(adopted):
    return "".join(shard.owner.target_id for shard in adopted.shards)


def test_leader_until_the_return_asks_nobody(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        harness.target_client.targets["c"].is_unresponsive = True
        adopted, seconds = await harness.adopt(complete=harness.table("ba"))
        assert harness.proof() == adoption.Proof.CONTINUOUS.value
        assert _owner_names(adopted) == "ba"
        assert seconds < 0.1

    run(play)


def test_owners_of_an_unconfirmed_write_are_asked_by_the_last_leader(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        harness.grant("c", 0)
        suspects = frozenset({harness.owners["c"]})
        await harness.adopt(complete=harness.table("ab"), unconfirmed=suspects)
        assert not harness.holders(0)

    run(play)


def test_targets_are_asked_only_once_their_listings_were_read(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        read_at = clock.boottime() + 6.0
        _, seconds = await harness.adopt(
            has_read_targets=lambda: clock.boottime() > read_at
        )
        assert seconds > 6.0

    run(play)


def test_earlier_incarnation_of_a_target_is_not_waited_for(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        old = harness.owners["a"]
        new = dataclasses.replace(old, born=old.born + 1, address="a2:1")
        harness.target_client.targets["a"].owner = new
        await harness.adopt(listed=[new, harness.owners["b"]])
        assert harness.proof() == adoption.Proof.CONFIRMED.value

    run(play)


@pytest.mark.parametrize(
    ("stored", "newest", "newest_number", "adopted"),
    [
        ("ab", None, 0, "ab"),
        ("ab", "ba", 500, "ba"),
        ("ab", "ba", 1, "ab"),
        ("", "ba", 1, "ba"),
    ],
)
def test_newest_table_is_adopted(run, stored, newest, newest_number, adopted):
    async def play(harness):
        if stored:
            await harness.store_table(stored)
        await harness.lead_after_return()
        known = newest and harness.table(newest, number=newest_number)
        result, _ = await harness.adopt(newest=known)
        assert _owner_names(result) == adopted
        assert harness.proof() == adoption.Proof.CONFIRMED.value
        written = await harness.client.read_table(SERVICE)
        assert written.shards == result.shards
        assert written.written_era == harness.store.era
        assert result.revision == written.revision

    run(play)


@pytest.mark.parametrize("holder", ["b", "c"])
@pytest.mark.parametrize("stored", ["aa", ""])
def test_keys_of_a_lost_move_are_given_up(run, holder, stored):
    """The copy is older than the grant of the target's keys."""

    async def play(harness):
        if stored:
            await harness.store_table(stored)
        await harness.lead_after_return()
        earlier_fence = harness.leadership.allocate_fence() - 1
        for key in fakes.SAMPLE_KEYS:
            assert harness.grant(holder, key).status == 200
        await harness.adopt()
        for key in fakes.SAMPLE_KEYS:
            assert not harness.holders(key)
            assert harness.grant(holder, key, earlier_fence).status == 409

    run(play)


def test_owners_keep_their_own_keys(run):
    async def play(harness):
        await harness.store_table("abab")
        await harness.lead_after_return()
        for key, name in zip(fakes.SAMPLE_KEYS, "abab", strict=True):
            assert harness.grant(name, key).status == 200
        await harness.adopt()
        assert [harness.holders(key) for key in fakes.SAMPLE_KEYS] == [
            {"a"},
            {"b"},
            {"a"},
            {"b"},
        ]

    run(play)


@pytest.mark.parametrize("fault", ["is_unresponsive", "loses_replies"])
@pytest.mark.parametrize("silent", NAMES)
def test_silent_target_delays_until_its_grants_have_run_out(run, fault, silent):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        for key in fakes.SAMPLE_KEYS:
            harness.grant(silent, key)
        setattr(harness.target_client.targets[silent], fault, True)
        bound = adoption.latest_doubt(clock.boottime(), MAX_HOLD_SECONDS)
        adopted, _ = await harness.adopt()
        assert bound <= clock.boottime() < bound + 1.0
        assert harness.proof() == adoption.Proof.EXPIRED.value
        assert _owner_names(adopted) == "ab"
        assert not any(map(harness.holders, fakes.SAMPLE_KEYS))

    run(play)


def test_target_that_answers_again_ends_the_delay(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        target = harness.target_client.targets["c"]
        target.is_unresponsive = True
        asyncio.get_running_loop().call_later(
            4.0, setattr, target, "is_unresponsive", False
        )
        _, seconds = await harness.adopt()
        assert harness.proof() == adoption.Proof.CONFIRMED.value
        assert 3.999 <= seconds < 4.5

    run(play)


def test_target_whose_entry_was_lost_is_asked(run):
    """It got keys in the last instant, and is listed again later."""

    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        harness.grant("c", 0)
        listed = [harness.owners["a"], harness.owners["b"]]
        asyncio.get_running_loop().call_later(
            1.5, listed.append, harness.owners["c"]
        )
        await harness.adopt(listed=listed)
        assert not harness.holders(0)

    run(play)


@pytest.mark.parametrize("is_stored", [False, True])
def test_owner_that_is_not_listed_is_asked(run, is_stored):
    """It may hold keys by the table that isn't adopted."""

    async def play(harness):
        await harness.store_table("ac" if is_stored else "ab")
        await harness.lead_after_return()
        newest = harness.table("ab" if is_stored else "ac", number=500)
        harness.grant("c", 0)
        listed = [harness.owners["a"], harness.owners["b"]]
        await harness.adopt(newest=newest, listed=listed)
        assert not harness.holders(0)

    run(play)


def test_continuous_term_that_has_ended_adopts_nothing(run):
    """Its lease may still be there, so that a write would succeed."""

    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        stored = await harness.client.read_table(SERVICE)
        task = harness.start(stored, complete=harness.table("ba"))
        harness.leadership._end_term("test")
        assert await task is None
        assert harness.node.log.count("table adopted") == 0

    run(play)


@pytest.mark.parametrize("ends_after", [0.5, 2.2, 5.0])
@pytest.mark.parametrize("is_term_replaced", [False, True])
def test_term_that_ends_meanwhile_adopts_nothing(
    run, ends_after, is_term_replaced
):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        harness.target_client.targets["c"].is_unresponsive = True
        before = harness.store.items[TABLE_KEY]
        task = harness.start(await harness.client.read_table(SERVICE))
        await asyncio.sleep(ends_after)
        harness.leadership._end_term("test")
        if is_term_replaced:
            await harness.lead()
        asked = len(harness.node.log.events)
        assert await task is None
        assert harness.store.items[TABLE_KEY] == before
        assert harness.node.log.count("table adopted") == 0
        assert len(harness.node.log.events) <= asked + 1

    run(play)


@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("cause", ["changed", "down", "led by another"])
def test_table_that_could_not_be_written_is_not_used(run, is_complete, cause):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        stored = await harness.client.read_table(SERVICE)
        if cause == "changed":
            await harness.store_table("bb")
        elif cause == "down":
            harness.store.is_down = True
        else:
            put = interface.Put("own/leader", b"n2:7")
            await harness.store.write([], [put])
        complete = harness.table("ba") if is_complete else None
        assert await harness.start(stored, complete=complete) is None

    run(play)


def test_write_without_an_answer_is_read_back(run):
    async def play(harness):
        await harness.store_table("ab")
        await harness.lead_after_return()
        harness.store.writes_to_lose = 1
        adopted, _ = await harness.adopt()
        assert _owner_names(adopted) == "ab"
        assert adopted.written_era == harness.store.era

    run(play)


def test_service_without_a_table_gets_none(run):
    async def play(harness):
        await harness.lead_after_return()
        adopted, _ = await harness.adopt()
        assert not adopted.shards
        assert TABLE_KEY not in harness.store.items

    run(play)


@pytest.mark.parametrize(
    ("eras", "written_era", "has_shards", "seconds", "is_needed"),
    [
        ([0], 0, True, 0.0, False),
        ([0], 0, False, 0.0, False),
        ([4], 4, True, 0.0, False),
        ([4], 3, True, 0.0, True),
        ([4], 3, True, 60.0, True),
        ([4], 5, True, 0.0, True),
        ([4], 0, True, 3.0, True),
        ([4], 0, True, 4.0, False),
        ([4], 0, False, 3.0, True),
        ([4], 0, False, 4.0, False),
        ([3, 4], 0, True, 0.0, True),
        ([3, 4], 0, True, 12.0, True),
        ([3, 4], 0, True, 60.0, False),
        ([3, 4], 0, False, 0.0, True),
        ([3, 4], 0, False, 12.0, True),
        ([3, 4], 0, False, 60.0, False),
    ],
)
def test_tables_without_an_era_are_adopted_while_grants_may_last(
    run, eras, written_era, has_shards, seconds, is_needed
):
    """The version before may have written them, or a first one may be lost."""

    async def play(harness):
        for era in eras:
            harness.node.era_tracker.observe(era)
        stored = harness.table("ab" if has_shards else "", written_era)
        await asyncio.sleep(seconds)
        assert is_needed is adoption.is_needed(
            stored, harness.node.era_tracker, MAX_HOLD_SECONDS
        )

    run(play)


OWNERS = [
    table.Owner("a", 1, "a:1"),
    table.Owner("a", 2, "a:1"),
    table.Owner("a", 3, "a:2"),
    table.Owner("b", 1, "b:1"),
    table.Owner("c", 1, "a:1"),
]


@hypothesis.given(
    indexes=strategies.lists(
        strategies.integers(0, len(OWNERS) - 1), max_size=12
    ),
    target=strategies.sampled_from(OWNERS),
)
def test_foreign_ranges_and_own_shards_cover_the_key_space(indexes, target):
    ranges = table.split_key_space(len(indexes)) if indexes else []
    shards = tuple(
        table.Shard(first, last, OWNERS[index], 1, "")
        for (first, last), index in zip(ranges, indexes, strict=True)
    )
    foreign = adoption.find_foreign_ranges(
        table.ShardTable(SERVICE, shards, 1), target
    )
    name = (target.target_id, target.address)
    own = [
        (shard.first, shard.last)
        for shard in shards
        if (shard.owner.target_id, shard.owner.address) == name
    ]
    next_key = 0
    for first, last in sorted(foreign + own):
        assert first == next_key
        assert last >= first
        next_key = last + 1
    assert next_key == protocol.KEY_COUNT


def test_foreign_ranges_are_as_few_as_can_be():
    owner, other = OWNERS[0], OWNERS[3]
    shards = tuple(
        dataclasses.replace(table.Shard(first, last, other, 1, ""), owner=held)
        for (first, last), held in zip(
            table.split_key_space(4),
            [other, other, owner, other],
            strict=True,
        )
    )
    foreign = adoption.find_foreign_ranges(
        table.ShardTable(SERVICE, shards, 1), owner
    )
    assert foreign == [
        (0, shards[1].last),
        (shards[3].first, protocol.KEY_COUNT - 1),
    ]


def test_leader_that_was_frozen_asks_targets_whose_entry_was_lost(run):
    """Another one led meanwhile, of which it doesn't know."""

    async def play(harness):
        await harness.store_table("ab")
        await harness.node.store.read("own/any")
        await harness.lead()
        harness.leadership.observe(harness.store.items["own/leader"])
        copy = harness.store.take_copy()
        await asyncio.sleep(5.0)
        harness.store.expire(*harness.store.leases)
        other = era_fakes.Node(harness.store, "n2:7")
        await other.store.read("own/any")
        assert await other.leadership._campaign()
        harness.grant("c", 0, other.leadership.allocate_fence())
        harness.store.go_back(copy, keeps_leases=False)
        harness.leadership._valid_until = clock.boottime() - 3.0
        await harness.node.store.read("own/any")
        await harness.lead()
        listed = [harness.owners["a"], harness.owners["b"]]
        asyncio.get_running_loop().call_later(
            0.5, listed.append, harness.owners["c"]
        )
        adopted, _ = await harness.adopt(listed=listed)
        fence = harness.leadership.allocate_fence()
        assert harness.grant("a", 0, fence).status == 200
        assert harness.holders(0) == {"a"}

    run(play)
