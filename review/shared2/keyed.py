"""Stand-in upstreams that hold keys, and a check of who holds them."""

import array
import json
import time

from review.shared2 import upstreams
from review.shared2 import world

KEY_COUNT = 65536
CLOCK_RATE = 0.98
"""Rate of the slowest clock with which an upstream may time a grant."""


class Judge:
    """Records which life of which upstream took which keys.

    Attributes:
        findings: What broke the rule on owners.
    """

    def __init__(self, record: world.Record):
        self.findings: list[str] = []
        self._record = record
        self._highest = array.array("q", bytes(8 * KEY_COUNT))
        self._taker = [""] * KEY_COUNT

    def observe(
        self, life: "KeyedUpstream", first: int, last: int, fence: int
    ) -> bool:
        """Records a grant that was taken, and checks its fence.

        The rule says that it is above all with which others had the keys.

        Args:
            life: The upstream that took it.
            first: First key.
            last: Last key.
            fence: Fence of the grant.

        Returns:
            Whether the fence was high enough.
        """
        is_sound = True
        for key in range(first, last + 1):
            if self._taker[key] == life.life_name:
                self._highest[key] = max(self._highest[key], fence)
                continue
            if self._taker[key] and fence <= self._highest[key]:
                if is_sound:
                    finding = (
                        f"{life.life_name} took keys {first}-{last} with fence "
                        f"{fence}, but {self._taker[key]} had key {key} with "
                        f"{self._highest[key]}"
                    )
                    self.findings.append(finding)
                    self._record.line(f"finding: {finding}")
                is_sound = False
            self._taker[key] = life.life_name
            self._highest[key] = max(self._highest[key], fence)
        return is_sound


class KeyedUpstream(upstreams.Upstream):
    """One life of an upstream that holds keys.

    Attributes:
        life_name: Its ID and the time of its start.
        stale_runs: IDs of the requests that it has begun under a fence that an
            earlier life of it had already.
    """

    def __init__(self, deployment, number, service, work, judge, slots=6):
        super().__init__(deployment, number, service, self._run, slots)
        self.life_name = f"{self.upstream_id}@{self.born}"
        self.stale_runs: list[str] = []
        self._key_work = work
        self._judge = judge
        self._fences = array.array("q", bytes(8 * KEY_COUNT))
        self._until = array.array("d", bytes(8 * KEY_COUNT))
        self._stale_fences: set[int] = set()

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        return self._until[key] > time.monotonic()

    async def _run(self, req: upstreams.Request) -> upstreams.Reply:
        if req.path == "/grant":
            return self._grant(json.loads(req.body))
        if req.path == "/release":
            return self._release(json.loads(req.body))
        key = int(req.headers["jujubeyard-shard-key"])
        if not self.holds(key):
            return upstreams.Reply(status=421)
        if self._fences[key] in self._stale_fences:
            self.stale_runs.append(req.request_id)
        return await self._key_work(req)

    def _grant(self, document: dict) -> upstreams.Reply:
        first, last = document["from"], document["target"]
        fence = document["fence"]
        if max(self._fences[first : last + 1]) > fence:
            return upstreams.Reply(status=409)
        seconds = int(document["hold_time"].removesuffix("ms")) / 1000
        until = time.monotonic() + seconds / CLOCK_RATE
        if not self._judge.observe(self, first, last, fence):
            self._stale_fences.add(fence)
        for key in range(first, last + 1):
            self._fences[key] = fence
            self._until[key] = until
        return upstreams.Reply()

    def _release(self, document: dict) -> upstreams.Reply:
        first, last = document["from"], document["target"]
        for key in range(first, last + 1):
            self._fences[key] = max(self._fences[key], document["fence"])
            self._until[key] = 0.0
        return upstreams.Reply(headers={"Jujubeyard-Handover": "5c0e7a21d94b"})

    def kill(self) -> None:
        """Ends at once: its listener, its connections and its work."""
        self.stop()
        self.abort_connections()
