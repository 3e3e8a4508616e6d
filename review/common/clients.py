"""Stand-in clients."""

import asyncio
import itertools
import random
import time

from platform_standins import documents
from review.common import http1
from review.common import world

_numbers = itertools.count(1)


class Client:
    """A client that sends one request after the other on a connection."""

    def __init__(self, home: world.World, node: world.Node):
        self._world = home
        self._node = node
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._answers = 0
        home.closers.append(self.close)

    async def send(
        self,
        method: str,
        path: str,
        headers=(),
        body: bytes = b"",
        deadline: float = 3.0,
        call_id: str = "",
    ) -> http1.Message | None:
        """Sends a request; returns its answer, or None if there was none."""
        call_id = call_id or f"c{next(_numbers)}"
        sent_at = time.monotonic()
        self._world.record(
            f"{call_id} {method} {path} sent to {self._node.name}"
        )
        try:
            async with asyncio.timeout(deadline):
                answer = await self._exchange(
                    method, path, headers, body, deadline, call_id
                )
        except TimeoutError:
            outcome = "no answer by its deadline"
            answer = None
        except (OSError, asyncio.IncompleteReadError) as exc:
            outcome = f"connection ended: {exc!r}"
            answer = None
            self._record_cut(call_id)
        else:
            outcome = f"answered {answer.status}" if answer else "closed"
            if answer is None:
                self._record_cut(call_id)
            self._answers += 1
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        seconds = time.monotonic() - sent_at
        self._world.record(f"{call_id} {outcome} after {seconds:.3f} s")
        return answer

    def _record_cut(self, call_id: str) -> None:
        """Records a request without an answer on a kept connection."""
        if self._answers:
            self._world.cut_calls.append(call_id)

    async def _exchange(self, method, path, headers, body, deadline, call_id):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._node.ip, self._node.port
            )
        lines = [
            ("Host", documents.HOST),
            ("Jujubeyard-Request-Id", call_id),
            ("Jujubeyard-Deadline-Ms", str(int(deadline * 1000))),
            *headers,
        ]
        if body:
            lines.append(("Content-Length", str(len(body))))
        head = http1.make_head(f"{method} {path} HTTP/1.1", lines)
        self._writer.write(head + body)
        return await http1.read_message(self._reader)

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._answers = 0


async def read_keys(
    home: world.World, rng: random.Random, path: str, pause: float
) -> None:
    """Sends safe requests on random keys until cancelled."""
    while True:
        client = Client(home, rng.choice(home.nodes))
        for _ in range(20):
            await asyncio.sleep(rng.expovariate(1.0 / pause))
            key = ("Jujubeyard-Shard-Key", str(rng.randrange(65536)))
            await client.send("GET", path, [key])
        client.close()
