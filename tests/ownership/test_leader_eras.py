"""Terms and fences of leaders when the store comes back from older copies."""

import pytest

from jujubeyard import clock
from jujubeyard.node import protocol
from jujubeyard.ownership import fences
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import table
from jujubeyard.store import interface
from jujubeyard.store import revisions
from tests.utils import era_fakes
from tests.utils import fakes

TABLE_KEY = era_fakes.TABLES_PREFIX + "desk"
LOST_WRITES = 50


class FakeClock:
    def __init__(self):
        self.now = 50.0


@pytest.fixture
def fake_clock(monkeypatch):
    fake = FakeClock()
    monkeypatch.setattr(clock, "boottime", lambda: fake.now)
    return fake


class ReturningStore(era_fakes.DrillStore):
    """Goes back to its state at `arm` around one of the calls that follow.

    Attributes:
        calls_left: Number of calls until then.
        is_applied: Whether that call is applied before the store goes back.
    """

    def __init__(self):
        super().__init__()
        self.calls_left = 0
        self.is_applied = False
        self._copy = None

    def arm(self, calls: int, is_applied: bool):
        self.calls_left, self.is_applied = calls, is_applied
        self._copy = self.take_copy()

    async def read_all(self, *args):
        return await self._play(super().read_all(*args))

    async def read(self, *args):
        return await self._play(super().read(*args))

    async def write(self, *args):
        return await self._play(super().write(*args))

    async def open_lease(self, *args):
        return await self._play(super().open_lease(*args))

    async def _play(self, call):
        self.calls_left -= 1
        if self.calls_left:
            return await call
        if not self.is_applied:
            self.go_back(self._copy)
            return await call
        outcome = await call
        self.go_back(self._copy)
        return outcome


async def _elect(node):
    await node.store.read("own/any")
    return await node.leadership._campaign()


async def _write_some(store, count=LOST_WRITES):
    for _ in range(count):
        await store.write([], [interface.Put("own/any", b"")])


async def _write_table(store):
    await store.write([], [interface.Put(TABLE_KEY, b"")])


async def test_term_ends_with_the_first_answer_of_a_new_era(fake_clock):
    store = era_fakes.DrillStore()
    node = era_fakes.Node(store)
    assert await _elect(node)
    node.leadership.observe(store.items["own/leader"])
    store.go_back(store.take_copy())
    assert node.leadership.is_leader()
    await node.store.read("own/any")
    assert not node.leadership.term
    assert not node.leadership.is_leader()
    assert node.leadership.is_last_leader


@pytest.mark.parametrize("is_entry_lost", [False, True])
@pytest.mark.parametrize(
    ("has_tables", "has_earlier_entry", "restarts"),
    [
        (False, False, False),
        (False, False, True),
        (False, True, False),
        (False, True, True),
        (True, False, False),
        (True, True, False),
        (True, True, True),
    ],
)
async def test_terms_and_fences_grow_over_two_returns(
    fake_clock, is_entry_lost, has_tables, has_earlier_entry, restarts
):
    """Targets refuse fences below those that the store has forgotten."""
    store = era_fakes.DrillStore(era=3)
    if has_tables:
        await _write_table(store)
    node, terms, drawn = era_fakes.Node(store), [], []
    if has_earlier_entry:
        await node.store.read("own/any")
        assert (await node.entries.ensure()).is_ok()
        await _write_some(store)
    for _ in range(3):
        copy = store.take_copy()
        await _write_some(store)
        store.leases.clear()
        store.items.pop(node.leadership.key, None)
        assert await _elect(node)
        if not is_entry_lost:
            entry_key = f"{era_fakes.ERAS_PREFIX}{store.era}"
            copy["items"][entry_key] = store.items[entry_key]
        terms.append(node.leadership.term)
        drawn += [node.leadership.allocate_fence() for _ in range(2)]
        store.go_back(copy)
        if restarts:
            node = era_fakes.Node(store)
        else:
            await node.store.read("own/any")
    assert terms == sorted(set(terms))
    assert drawn == sorted(set(drawn))


@pytest.mark.parametrize("era", [1, 7])
async def test_fences_of_an_era_are_those_of_the_version_before(
    fake_clock, era
):
    """Nodes of both versions lead in turn during a roll."""
    store = era_fakes.DrillStore(era)
    await _write_table(store)
    node = era_fakes.Node(store)
    assert await _elect(node)
    number = store.items[node.leadership.key].revision
    for count in (1, 2):
        fence = node.leadership.allocate_fence()
        assert fence == number * fences.FENCES_PER_TERM + count


async def test_first_offset_without_tables_covers_all_eras(fake_clock):
    store = era_fakes.DrillStore(era=7)
    node = era_fakes.Node(store)
    assert await _elect(node)
    stored = store.items[f"{era_fakes.ERAS_PREFIX}7"].value
    assert int(stored) == 7 * fences.MAX_LOST_REVISIONS


@pytest.mark.parametrize(
    ("owner", "candidate", "is_elected"),
    [("n1:7", "n1:7", True), ("n1:7", "n2:7", False), ("n3:7", "n2:7", False)],
)
async def test_only_its_own_leader_takes_a_left_over_item(
    fake_clock, owner, candidate, is_elected
):
    store = era_fakes.DrillStore()
    nodes = {
        name: era_fakes.Node(store, name) for name in ("n1:7", "n2:7", "n3:7")
    }
    assert await _elect(nodes[owner])
    for node in nodes.values():
        await node.store.read("own/any")
    store.go_back(store.take_copy())
    before = store.items["own/leader"]
    assert await _elect(nodes[candidate]) is is_elected
    assert (store.items["own/leader"] == before) is not is_elected
    assert store.items["own/leader"].value == owner.encode()


@pytest.mark.parametrize(
    ("address", "waits"),
    [("n1:7", []), ("n2:7", [leader.SUCCESSION_SECONDS])],
)
async def test_other_nodes_campaign_after_the_last_leader(
    fake_clock, monkeypatch, address, waits
):
    pauses = []

    async def sleep(seconds):
        pauses.append(round(seconds, 3))

    store = era_fakes.DrillStore()
    node = era_fakes.Node(store, address)
    node.leadership.address = "n1:7"
    await node.store.read("own/any")
    store.go_back(store.take_copy())
    await node.store.read("own/any")
    monkeypatch.setattr(leader.asyncio, "sleep", sleep)
    await node.leadership._wait_for_last_leader()
    assert pauses == waits


@pytest.mark.parametrize("is_applied", [False, True])
@pytest.mark.parametrize("calls", range(1, 6))
@pytest.mark.parametrize("is_first", [False, True])
async def test_campaign_over_a_return_does_not_lead(
    fake_clock, calls, is_applied, is_first
):
    """What the campaign has read holds no longer, nor does its lease."""
    store = ReturningStore()
    node = era_fakes.Node(store)
    await node.store.read("own/any")
    if not is_first:
        await node.entries.ensure()
    store.arm(calls, is_applied)
    is_elected = await node.leadership._campaign()
    if store.era == 1:
        assert is_elected
        return
    assert not is_elected
    assert not node.leadership.term
    store.items.pop("own/leader", None)
    assert await node.leadership._campaign()
    assert revisions.era_of(node.leadership.term) == store.era


LATEST_UNMOVED_SECONDS = (
    leader.LEASE_SECONDS - leader.CLOCK_MARGIN_SECONDS + leader.TAKEOVER_SECONDS
)


@pytest.mark.parametrize(
    ("frozen_seconds", "returns", "is_continuous", "has_lasted"),
    [
        (0.0, 1, True, True),
        (leader.LEASE_SECONDS - 0.2, 1, True, True),
        (leader.LEASE_SECONDS - 0.05, 1, True, False),
        (LATEST_UNMOVED_SECONDS - 0.05, 1, True, False),
        (LATEST_UNMOVED_SECONDS + 0.05, 1, False, False),
        (10.0, 1, False, False),
        (0.0, 2, False, False),
    ],
)
async def test_term_is_continuous_only_if_nobody_else_can_have_moved_keys(
    fake_clock, frozen_seconds, returns, is_continuous, has_lasted
):
    store = era_fakes.DrillStore()
    node = era_fakes.Node(store)
    assert await _elect(node)
    term = node.leadership.term
    fake_clock.now += frozen_seconds
    for _ in range(returns):
        store.go_back(store.take_copy())
    await node.leadership._renew()
    assert node.leadership.continuous_term == (term if is_continuous else 0)
    assert node.leadership.has_lasted is has_lasted


async def test_no_term_moves_keys_before_the_leader_before_is_certain(
    fake_clock,
):
    store = era_fakes.DrillStore()
    node = era_fakes.Node(store)
    assert await _elect(node)
    for seconds, may_move in ((0.0, False), (1.9, False), (0.1, True)):
        fake_clock.now += seconds
        assert node.leadership.may_move() is may_move


async def test_leader_is_not_continuous_once_another_one_was_seen(fake_clock):
    store = era_fakes.DrillStore()
    node = era_fakes.Node(store)
    assert await _elect(node)
    store.go_back(store.take_copy())
    await node.store.read("own/any")
    assert node.leadership.is_continuous()
    item = interface.Item("own/leader", b"10.0.0.9:7", 1 << 50, 1 << 50)
    node.leadership.observe(item)
    assert not node.leadership.is_continuous()


async def test_continuous_term_counts_for_one_return(fake_clock):
    store = era_fakes.DrillStore()
    node = era_fakes.Node(store)
    assert await _elect(node)
    for expected in (node.leadership.term, 0):
        store.go_back(store.take_copy())
        await node.store.read("own/any")
        assert node.leadership.continuous_term == expected


def _client(store):
    return ownership_client.OwnershipClient(
        store,
        fakes.FakeSession(),
        fakes.FakeSession(),
        None,
        lambda service: era_fakes.TABLES_PREFIX + service,
        lambda written: None,
        fakes.RecordingJournal(),
    )


@pytest.mark.parametrize("has_entry", [False, True])
async def test_late_table_write_fails_once_the_next_era_has_an_entry(
    fake_clock, has_entry
):
    """The copy has the leader item under the revision that the write names."""
    store = era_fakes.DrillStore()
    first, second = era_fakes.Node(store), era_fakes.Node(store, "n2:7")
    assert await _elect(first)
    conditions = first.leadership.conditions(first.leadership.term)
    store.go_back(store.take_copy())
    if has_entry:
        await second.store.read("own/any")
        assert (await second.entries.ensure()).is_ok()
    late_calls = era_fakes.Adapter(store, second.era_tracker)
    owner = table.Owner("t1", 1, "t1:1")
    shards = (table.Shard(0, protocol.KEY_COUNT - 1, owner, 5, ""),)
    outcome = await _client(late_calls).write_table(
        table.ShardTable("desk", shards, 0), conditions, era=1
    )
    assert outcome.is_written is not has_entry
    assert (TABLE_KEY in store.items) is not has_entry


@pytest.mark.parametrize(
    ("value", "offset"), [(b"5", 5), (b"", 0), (b"many", 0), (b"-1", 0)]
)
async def test_entry_of_the_era_is_taken_as_stored(fake_clock, value, offset):
    store = era_fakes.DrillStore(era=4)
    key = f"{era_fakes.ERAS_PREFIX}4"
    await store.write([], [interface.Put(key, value)])
    node = era_fakes.Node(store)
    await node.store.read("own/any")
    entry = (await node.entries.ensure()).ok_value
    assert (entry.era, entry.offset) == (4, offset)
    assert entry.conditions == (
        interface.Condition(key, revisions.pack(4, store.revision)),
        interface.Condition(f"{era_fakes.ERAS_PREFIX}5", 0),
    )


@pytest.mark.parametrize(
    ("has_led", "stored_offset", "returns", "offset"),
    [
        (True, 10, 1, 11),
        (True, 10, 2, 12),
        (False, 10, 1, 1),
        (False, 10, 2, 2),
    ],
)
async def test_lost_entry_is_made_up_for_by_what_a_node_has_seen(
    fake_clock, has_led, stored_offset, returns, offset
):
    """A copy without any entry has tables of the version before."""
    store = era_fakes.DrillStore()
    await _write_table(store)
    copy = store.take_copy()
    value = str(stored_offset * fences.MAX_LOST_REVISIONS).encode()
    await store.write([], [interface.Put(f"{era_fakes.ERAS_PREFIX}1", value)])
    node = era_fakes.Node(store)
    await node.store.read("own/any")
    if has_led:
        await node.entries.ensure()
    for _ in range(returns):
        store.go_back(copy)
    await node.store.read("own/any")
    entry = (await node.entries.ensure()).ok_value
    assert entry.offset == offset * fences.MAX_LOST_REVISIONS


async def test_two_candidates_draw_from_the_same_entry(fake_clock):
    store = era_fakes.DrillStore()
    entries = []
    for name in ("n1:7", "n2:7"):
        node = era_fakes.Node(store, name)
        await node.store.read("own/any")
        entries.append((await node.entries.ensure()).ok_value)
        await _write_table(store)
    assert entries[0] == entries[1]


@pytest.mark.parametrize("has_table", [False, True])
async def test_no_entry_while_the_store_is_silent(fake_clock, has_table):
    store = era_fakes.DrillStore()
    if has_table:
        await _write_table(store)
    node = era_fakes.Node(store)
    await node.store.read("own/any")
    store.is_down = True
    assert (await node.entries.ensure()).is_err()
    assert not await node.leadership._campaign()


async def test_store_without_eras_gets_no_entry(fake_clock):
    store = fakes.FakeStore()
    leadership = era_fakes.make_leadership(
        store, "n1:7", fakes.RecordingJournal()
    )
    assert await leadership._campaign()
    assert set(store.items) == {"own/leader"}
    assert leadership.conditions(leadership.term) == (
        interface.Condition("own/leader", leadership.term),
    )
