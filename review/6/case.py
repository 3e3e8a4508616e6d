"""A node is stopped in calm, while some clients pipeline their requests."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import time

from review.shared2 import clients
from review.shared2 import links
from review.shared2 import upstreams
from review.shared2 import world

SITE = "kfwc-yard-large"
ONE_WAY_SECONDS = 0.008
"""Way from a node to the clients of kfwc-yard-large."""

BYTES_PER_SECOND = 20e6 / 8
"""20 Mbit/s; links of its machines have 10 to 100 Mbit/s."""

DOWNLOAD_BYTES = 60_000
"""Size of an answer of the route for downloads; their mean is 90,000."""

DOWNLOAD_SECONDS = 0.13
READ_SECONDS = 0.05
CLIENTS = 24
CALM_SECONDS = 5.0
NEW_CONNECTIONS_SECONDS = 2.0
"""How long after SIGTERM clients still come: until the node has missed two of
the questions whether it is ready."""

MAX_GAP_SECONDS = 0.2
"""Longest time from a download to the request that is sent behind it."""

DEADLINE_MS = 6000
OK_STATUS = 200


@dataclasses.dataclass(slots=True)
class Work:
    """What the upstreams run.

    Attributes:
        record: The record of the run.
        answered: IDs of the requests that an upstream has answered whole.
    """

    record: world.Record
    answered: set[str] = dataclasses.field(default_factory=set)

    async def download(self, req: upstreams.Request) -> upstreams.Reply:
        """Runs a download."""
        return await self._run(req, DOWNLOAD_SECONDS, DOWNLOAD_BYTES)

    async def read(self, req: upstreams.Request) -> upstreams.Reply:
        """Runs a small read."""
        return await self._run(req, READ_SECONDS, 400)

    async def _run(self, req, seconds: float, size: int) -> upstreams.Reply:
        await asyncio.sleep(seconds)
        self.answered.add(req.request_id)
        self.record.line(f"upstream: {req.request_id} has run")
        return upstreams.Reply(body=b"x" * size)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The clients.

    Attributes:
        work: What the upstreams run.
        link: Their link to the node.
        ends_at: When the last of them comes, in monotonic seconds.
        lost: IDs of downloads that an upstream has answered, and whose clients
            got no complete answer.
    """

    work: Work
    link: links.Link
    ends_at: float = float("inf")
    lost: list[str] = dataclasses.field(default_factory=list)

    async def play_client(self, number: int) -> None:
        """Sends downloads, some with a further request behind them."""
        rng = random.Random(number)
        turn = 0
        client = clients.Client(self.link)
        while time.monotonic() < self.ends_at:
            turn += 1
            if not client.is_open:
                try:
                    await client.connect()
                except (OSError, TimeoutError):
                    return
            is_kept = await self._play_turn(client, f"c{number}-{turn}", rng)
            if not is_kept:
                client.close()
        client.close()

    async def _play_turn(
        self, client: clients.Client, name: str, rng: random.Random
    ) -> bool:
        """Sends a download, and a read if its answer hasn't begun by then.

        Returns:
            Whether the connection is kept.
        """
        try:
            await client.send(
                clients.format_request("/export/1", f"{name}-a", DEADLINE_MS)
            )
        except OSError:
            return False
        answer_task = asyncio.create_task(client.receive(DEADLINE_MS / 1000))
        await asyncio.sleep(rng.uniform(0.0, MAX_GAP_SECONDS))
        is_followed = not client.has_data
        if is_followed:
            try:
                await client.send(
                    clients.format_request("/read/1", f"{name}-b", DEADLINE_MS)
                )
                self.work.record.line(f"client: {name}-b sent")
            except OSError:
                pass
        answer = await answer_task
        self._observe(f"{name}-a", answer)
        if not _is_kept(answer):
            return False
        if is_followed:
            answer = await client.receive(DEADLINE_MS / 1000)
            self.work.record.line(f"client: {name}-b {_describe(answer)}")
        return _is_kept(answer)

    def _observe(self, request_id: str, answer: clients.Answer) -> None:
        self.work.record.line(f"client: {request_id} {_describe(answer)}")
        if not answer.is_complete and request_id in self.work.answered:
            self.lost.append(request_id)


def _is_kept(answer: clients.Answer) -> bool:
    return answer.is_complete and answer.headers.get("connection") != "close"


def _describe(answer: clients.Answer) -> str:
    return (
        f"status {answer.status}, {len(answer.body)} bytes, "
        f"{'whole' if answer.is_complete else 'not whole'}, "
        f"connection {answer.headers.get('connection', 'kept')}"
    )


async def play(deployment: world.World, has_trouble: bool) -> bool:
    """Returns whether all answers of upstreams came whole."""
    work = Work(deployment.record)
    await deployment.start(
        [world.Service("field-depot"), world.Service("yield-desk")],
        [
            world.Route("export", "field-depot", kind="download"),
            world.Route("read", "yield-desk"),
        ],
    )
    for number in range(16):
        is_depot = number % 2 == 0
        member = upstreams.Upstream(
            deployment,
            number,
            "field-depot" if is_depot else "yield-desk",
            work.download if is_depot else work.read,
        )
        await member.start()
    node = deployment.add_node(0)
    deployment.run_node(node)
    await deployment.wait_until_ready(node)
    await asyncio.sleep(1.0)
    link = links.Link(node, ONE_WAY_SECONDS, BYTES_PER_SECOND)
    await link.start(f"{deployment.prefix}.60")
    fleet = Fleet(work, link)
    tasks = [
        asyncio.create_task(fleet.play_client(number))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        node.send_signal(signal.SIGTERM)
        deployment.record.line("platform: SIGTERM")
    fleet.ends_at = time.monotonic() + NEW_CONNECTIONS_SECONDS
    await asyncio.gather(*tasks)
    deployment.record.line(
        f"{len(fleet.lost)} requests were run and answered by a sound upstream "
        f"and ended without a complete answer: {fleet.lost}"
    )
    return not fleet.lost


if __name__ == "__main__":
    record_path = pathlib.Path(__file__).with_name("record.txt")
    raise SystemExit(world.run(record_path, play, SITE))
