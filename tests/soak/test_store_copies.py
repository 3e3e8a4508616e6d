"""The stand-in store, as it comes back from a copy."""

import asyncio
import random

import aiohttp
from aiohttp import test_utils
import pytest

from platform_standins import contents
from platform_standins import store

KEY = "jujubeyard/tables/desk"


@pytest.fixture
def kv_store():
    return store.Store(random.Random(1))


@pytest.fixture
async def client(kv_store):
    server = test_utils.TestServer(kv_store.make_app("node-0"))
    async with test_utils.TestClient(server) as client:
        yield client


async def _write(client, key, value, lease=0, revision=None):
    expected = [] if revision is None else [{"key": key, "revision": revision}]
    put = {"key": key, "value": value, "lease": lease}
    document = {"expected": expected, "puts": [put], "deletes": []}
    resp = await client.post("/kv-txn", json=document)
    return resp.status, await resp.json()


async def _open_lease(client):
    resp = await client.post("/kv-lease", json={"ttl_time": "10s"})
    return (await resp.json())["lease"]


def _take_copy(kv_store):
    """Takes a copy of now, as the newest one."""
    kv_store._copies = contents.Copies()
    kv_store._copies.take(kv_store._contents, 0.0)


async def test_writes_after_the_copy_are_gone_and_revisions_given_again(
    kv_store, client
):
    _, before = await _write(client, KEY, "YQ==")
    _take_copy(kv_store)
    _, lost = await _write(client, KEY, "Yg==")
    kv_store.go_back(0.0, keeps_leases=True)
    item = await (await client.get("/kv-key", params={"key": KEY})).json()
    assert (item["value"], item["revision"]) == ("YQ==", before["revision"])
    _, again = await _write(client, "other", "Yw==")
    assert again["revision"] == lost["revision"]


async def test_watch_from_a_lost_revision_gets_410(kv_store, client):
    _take_copy(kv_store)
    _, lost = await _write(client, KEY, "Yg==")
    query = {"prefix": "", "after": lost["revision"], "waitMs": 2000}
    watch = asyncio.ensure_future(client.get("/kv-watch", params=query))
    await asyncio.sleep(0.05)
    kv_store.go_back(0.0, keeps_leases=True)
    assert (await watch).status == 410


@pytest.mark.parametrize("keeps_leases", [True, False])
async def test_leases_of_the_copy_go_on_or_are_gone(
    kv_store, client, keeps_leases
):
    lease = await _open_lease(client)
    await _write(client, KEY, "YQ==", lease)
    _take_copy(kv_store)
    kv_store.go_back(0.0, keeps_leases)
    renewal = await client.post(f"/kv-keep/{lease}")
    item = await client.get("/kv-key", params={"key": KEY})
    expected = 200 if keeps_leases else 404
    assert (renewal.status, item.status) == (expected, expected)


async def test_lease_after_the_copy_is_gone_and_its_id_given_again(
    kv_store, client
):
    _take_copy(kv_store)
    lost = await _open_lease(client)
    kv_store.go_back(0.0, keeps_leases=True)
    assert (await client.post(f"/kv-keep/{lost}")).status == 404
    assert await _open_lease(client) == lost


async def test_era_is_in_all_answers_and_rises(kv_store, client):
    eras = []
    for mode in (store.Mode.NORMAL, store.Mode.UNAVAILABLE):
        kv_store.faults.mode = mode
        resp = await client.get("/kv-key", params={"key": KEY})
        eras.append(resp.headers["Store-Era"])
        kv_store.go_back(0.0, keeps_leases=True)
    assert eras == ["1", "2"]


async def test_what_was_written_outside_is_written_again(kv_store, client):
    kv_store.put("op/evacuate/a", b"{}")
    _take_copy(kv_store)
    kv_store.remove("op/evacuate/a")
    kv_store.put("op/config", b"new")
    kv_store.put("servers/t1", b"t1")
    kv_store.go_back(0.0, keeps_leases=True)
    assert kv_store.value("op/evacuate/a") == b"{}"
    kv_store.write_again("op/")
    assert kv_store.value("op/evacuate/a") == b""
    assert kv_store.value("op/config") == b"new"
    assert kv_store.value("servers/t1") == b""


async def test_node_attaches_an_item_to_another_lease(kv_store, client):
    first, second = await _open_lease(client), await _open_lease(client)
    await _write(client, KEY, "YQ==", first)
    await _write(client, KEY, "YQ==", second)
    await client.delete(f"/kv-lease-end/{first}")
    assert kv_store.value(KEY) == b"a"


async def test_calls_are_reset_while_it_is_away(kv_store, client):
    kv_store.faults.mode = store.Mode.RESETS
    with pytest.raises(aiohttp.ClientError):
        await client.get("/kv-key", params={"key": KEY})
