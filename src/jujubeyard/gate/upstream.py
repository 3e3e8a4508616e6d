"""HTTP client of one target."""

import collections.abc
import dataclasses

import aiohttp
import yarl

from jujubeyard.gate import headers
from jujubeyard.link import messages

GRANT_SECONDS = 0.9
"""How long a grant lasts, on the target's clock."""

PROBE_SECONDS = 0.5
CONNECT_SECONDS = 0.3
KEEPALIVE_SECONDS = 15.0


class LeaseLapsedError(Exception):
    """The lease lapsed before the request was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer to a call.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The whole body.
        refused: Why the target refused to run the call, or an empty string.
        incarnation: Which incarnation of the target answered.
        is_own: Whether the answer names the call that it answers.
    """

    status: int
    content_type: str
    body: bytes
    refused: str
    incarnation: str
    is_own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """A target's answer to a grant or a health check.

    Attributes:
        incarnation: Which incarnation of the target answered.
        accepted: Whether the target took the grants; not if it knows a newer
            holder or is another incarnation than the one meant.
        running: Shards without a grant of which calls still run.
    """

    incarnation: str
    accepted: bool
    running: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What a gate adds to a call that it sends to a target.

    Attributes:
        call_id: Names the call on its connection.
        shard: Its shard, or -1.
        epoch: The epoch of the shard's grant.
        holder: The epoch of the gate as the target's holder.
    """

    call_id: str
    shard: int
    epoch: int
    holder: int


class _GuardedConnector(aiohttp.TCPConnector):
    """Checks the lease once more when the connection is ready."""

    def __init__(self, guard: collections.abc.Callable[[], bool], limit: int):
        super().__init__(limit=limit, keepalive_timeout=KEEPALIVE_SECONDS)
        self._guard = guard

    async def connect(self, req, traces, timeout):
        conn = await super().connect(req, traces, timeout)
        if not self._guard():
            conn.release()
            raise LeaseLapsedError
        return conn


class Upstream:
    """Sends calls, grants and health checks to one target.

    Deadlines and grants are stated on the clock of one incarnation of the
    target, which every answer reports, so that a target that was frozen finds
    them passed and one that was restarted refuses them.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        guard: collections.abc.Callable[[], bool],
        read_clock: collections.abc.Callable[[], float],
    ):
        self.address = address
        self._connections = connections
        self._guard = guard
        self._read_clock = read_clock
        self._session: aiohttp.ClientSession | None = None
        self._clock_offset: float | None = None
        self._incarnation = ""

    async def send(
        self, call: messages.Call, order: Order, seconds: float
    ) -> Answer:
        """Sends a call.

        Args:
            call: The call.
            order: Where it belongs.
            seconds: Time left until its deadline.

        Raises:
            LeaseLapsedError: Nothing was sent.
            aiohttp.ClientConnectorError: Nothing was sent.
            aiohttp.ClientError: The call may have run.
            TimeoutError: The call may have run.
        """
        timeout = aiohttp.ClientTimeout(
            total=seconds, sock_connect=CONNECT_SECONDS
        )
        async with self._http().request(
            call.method,
            yarl.URL(f"http://{self.address}{call.path}", encoded=True),
            data=call.body or None,
            headers=self._call_headers(call, order, seconds),
            timeout=timeout,
            allow_redirects=False,
        ) as resp:
            body = await resp.read()
            self._observe(resp)
            return Answer(
                resp.status,
                resp.headers.get("Content-Type", ""),
                body,
                resp.headers.get(headers.REFUSED, ""),
                resp.headers.get(headers.INCARNATION, ""),
                resp.headers.get(headers.CALL, order.call_id) == order.call_id,
            )

    async def grant(self, holder: int, grants: dict[int, int]) -> ProbeAnswer:
        """Renews the grants of a target that checks them.

        Args:
            holder: The epoch of the gate as the target's holder.
            grants: Epochs by shard.

        Raises:
            aiohttp.ClientError: The target did not answer.
            TimeoutError: The target did not answer in time.
        """
        document = {
            "holder": holder,
            "incarnation": self._incarnation,
            "expires": self._target_time(GRANT_SECONDS),
            "grants": {str(shard): e for shard, e in grants.items()},
        }
        return await self._probe("PUT", headers.GRANTS_PATH, document)

    async def check(self) -> ProbeAnswer:
        """Asks whether the target is up.

        Raises:
            aiohttp.ClientError: The target did not answer.
            TimeoutError: The target did not answer in time.
        """
        return await self._probe("GET", headers.HEALTH_PATH, None)

    @property
    def incarnation(self) -> str:
        """The target's incarnation; an empty string if it is not known."""
        return self._incarnation

    def expect(self, incarnation: str) -> None:
        """Means calls for an incarnation that another gate has known."""
        if incarnation and not self._incarnation:
            self._incarnation = incarnation

    @property
    def knows_clock(self) -> bool:
        """Whether the target has reported its clock."""
        return self._clock_offset is not None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _probe(self, method, path, document) -> ProbeAnswer:
        timeout = aiohttp.ClientTimeout(
            total=PROBE_SECONDS, sock_connect=CONNECT_SECONDS
        )
        async with self._http().request(
            method,
            f"http://{self.address}{path}",
            json=document,
            timeout=timeout,
        ) as resp:
            reply = await resp.json() if document is not None else {}
            self._observe(resp)
            return ProbeAnswer(
                resp.headers.get(headers.INCARNATION, ""),
                resp.status == 200,
                frozenset(reply.get("running", ())),
            )

    def _call_headers(self, call, order: Order, seconds: float) -> dict:
        sent = {
            headers.CALL: order.call_id,
            headers.KIND: call.kind,
            headers.MEMBER: call.member,
            headers.HOLDER: str(order.holder),
        }
        if self.knows_clock:
            sent[headers.DEADLINE] = f"{self._target_time(seconds):.6f}"
        if self._incarnation:
            sent[headers.INCARNATION] = self._incarnation
        if call.key:
            sent[headers.KEY] = call.key
        if order.shard >= 0:
            sent[headers.SHARD] = str(order.shard)
            sent[headers.EPOCH] = str(order.epoch)
        if call.request_id:
            sent[headers.REQUEST_ID] = call.request_id
        if call.content_type:
            sent["Content-Type"] = call.content_type
        return sent

    def _target_time(self, seconds: float) -> float:
        """Returns a time on the target's clock, at most `seconds` from now."""
        offset = self._clock_offset or 0.0
        return self._read_clock() + offset + seconds

    def _observe(self, resp: aiohttp.ClientResponse) -> None:
        reading = resp.headers.get(headers.CLOCK)
        if reading is None:
            return
        self._clock_offset = float(reading) - self._read_clock()
        self._incarnation = resp.headers.get(headers.INCARNATION, "")

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = _GuardedConnector(self._guard, self._connections)
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        return self._session
