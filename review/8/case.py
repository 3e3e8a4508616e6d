"""An upstream crashes and starts again under its ID."""

import asyncio
import contextlib
import pathlib
import random

from review.shared2 import clients
from review.shared2 import keyed
from review.shared2 import upstreams
from review.shared2 import world

SITE = "ledgerhevea-gw"
SERVICE = "panel-ledger"
UPSTREAMS = 8
NODES = 2
CRASHES = 10
SETTLE_SECONDS = 7.0
DOWN_SECONDS = (0.2, 1.0)
"""Shortest and longest time for which a crashed upstream is down."""

CALM_SECONDS = 3.5
REQUEST_PAUSE_SECONDS = 0.02
WORK_SECONDS = 0.03
DEADLINE_MS = 2500


async def _work(_: upstreams.Request) -> upstreams.Reply:
    await asyncio.sleep(WORK_SECONDS)
    return upstreams.Reply(body=b"yield")


async def _send_requests(
    deployment: world.World, nodes: list[world.Node]
) -> None:
    """Sends requests with keys until cancelled."""
    rng = random.Random(2)
    connections = [clients.Client(node) for node in nodes]
    for number in range(1_000_000):
        client = connections[number % len(nodes)]
        key = rng.randrange(keyed.KEY_COUNT)
        data = clients.format_request(
            "/yield/1",
            f"q{number}",
            DEADLINE_MS,
            headers=[("Jujubeyard-Shard-Key", str(key))],
        )
        with contextlib.suppress(OSError, TimeoutError):
            if not client.is_open:
                await client.connect()
            await client.send(data)
            answer = await client.receive(DEADLINE_MS / 1000)
            deployment.record.line(
                f"client: q{number} key {key} status {answer.status}"
            )
            if not answer.is_complete:
                client.close()
        await asyncio.sleep(REQUEST_PAUSE_SECONDS)


async def _restart(
    deployment: world.World,
    crashed: keyed.KeyedUpstream,
    make,
    rng: random.Random,
) -> keyed.KeyedUpstream:
    """Crashes an upstream, and returns its next life.

    The next life writes its entry at some time in its first heartbeat.
    """
    deployment.record.line(f"upstream: {crashed.life_name} crashes")
    crashed.kill()
    await asyncio.sleep(rng.uniform(*DOWN_SECONDS))
    life = make()
    life.is_listed = False
    await life.start()
    deployment.record.line(f"upstream: {life.life_name} has started")
    await asyncio.sleep(rng.uniform(0.0, world.HEARTBEAT_SECONDS))
    life.is_listed = True
    life.write_entry()
    deployment.record.line(f"upstream: {life.life_name} has its entry")
    return life


async def play(deployment: world.World, has_trouble: bool) -> bool:
    """Returns whether each key was taken with a higher fence than before."""
    judge = keyed.Judge(deployment.record)

    def make(number: int) -> keyed.KeyedUpstream:
        return keyed.KeyedUpstream(deployment, number, SERVICE, _work, judge)

    await deployment.start(
        [world.Service(SERVICE, sharded=True)],
        [world.Route("yield", SERVICE)],
    )
    lives = [make(number) for number in range(UPSTREAMS)]
    every_life = list(lives)
    for life in lives:
        await life.start()
    nodes = [deployment.add_node(number) for number in range(NODES)]
    for node in nodes:
        deployment.run_node(node)
    for node in nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(SETTLE_SECONDS)
    requests = asyncio.create_task(_send_requests(deployment, nodes))
    rng = random.Random(3)
    for turn in range(CRASHES):
        number = turn % UPSTREAMS
        if has_trouble:
            lives[number] = await _restart(
                deployment,
                lives[number],
                lambda number=number: make(number),
                rng,
            )
            every_life.append(lives[number])
        await asyncio.sleep(CALM_SECONDS)
    requests.cancel()
    stale_runs = sum(len(life.stale_runs) for life in every_life)
    deployment.record.line(
        f"{len(judge.findings)} grants taken with a fence of an earlier life, "
        f"{stale_runs} requests begun under them"
    )
    return not judge.findings


if __name__ == "__main__":
    record_path = pathlib.Path(__file__).with_name("record.txt")
    raise SystemExit(world.run(record_path, play, SITE))
