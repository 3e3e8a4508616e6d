"""HTTP client for one target."""

import collections.abc
import dataclasses
import json

import aiohttp
import yarl

from jujubeyard import bodies
from jujubeyard import connections
from jujubeyard.gate import headers
from jujubeyard.link import codec
from jujubeyard.link import messages

GRANT_SECONDS = 0.9
"""How long a grant is valid, on the target's clock."""

PROBE_TIMEOUT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 0.3
KEEPALIVE_SECONDS = 15.0
REPLY_FIELDS_BYTES = 64 * 1024
"""Largest size of what a reply to an entry holds beside the body."""

MAX_ANSWER_BYTES = codec.MAX_FRAME_BYTES - REPLY_FIELDS_BYTES
MAX_BUFFERED_BYTES = 48 * bodies.MIB
"""Largest size of all answers that a gate is reading."""


class LeaseLapsedError(Exception):
    """The gate's lease expired before the request was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResponse:
    """A target's response to a call.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The whole body.
        refusal: Why the target refused to run the call, or an empty string.
        incarnation: Incarnation of the target that responded.
        matches_call: Whether the response is certainly to this call; false if
            it is a refusal that names none.
    """

    status: int
    content_type: str
    body: bytes
    refusal: str
    incarnation: str
    matches_call: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResponse:
    """A target's response to a grant or a health check.

    Attributes:
        incarnation: Incarnation of the target that responded.
        accepted: Whether the target accepted the grants. It rejects those of
            an older holder and those for another incarnation.
        running: Shards that have no grant any more but calls still running.
    """

    incarnation: str
    accepted: bool
    running: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class CallMetadata:
    """Metadata that a gate adds to a call that it sends to a target.

    Attributes:
        call_id: Identifies the call, so that a response to another call on
            the connection is detected.
        shard: Shard of the call, or -1 if the service is not keyed.
        epoch: Epoch of the shard's grant.
        holder: Epoch of the gate as holder of the target.
    """

    call_id: str
    shard: int
    epoch: int
    holder: int


class _LeaseCheckingConnector(connections.Connector):
    """Checks the lease again once a connection is available.

    Connecting may take so long that the lease expires meanwhile.
    """

    def __init__(
        self, may_send: collections.abc.Callable[[], bool], limit: int
    ):
        super().__init__(
            headers.CALL, limit=limit, keepalive_timeout=KEEPALIVE_SECONDS
        )
        self._may_send = may_send

    async def connect(self, req, traces, timeout):
        conn = await super().connect(req, traces, timeout)
        if not self._may_send():
            conn.release()
            raise LeaseLapsedError
        return conn


class Upstream:
    """Sends calls, grants and health checks to one target.

    Deadlines and grant expiries are times on the clock of one incarnation of
    the target, which every response reports. A target that was frozen finds
    them in the past, and one that was restarted refuses them because they
    name another incarnation.

    Attributes:
        address: Address of the target, as host:port.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        may_send: collections.abc.Callable[[], bool],
        read_clock: collections.abc.Callable[[], float],
        reader: bodies.BodyReader,
    ):
        """Initializes the client; it connects when it is used.

        Args:
            address: Address of the target, as host:port.
            max_connections: Largest number of connections.
            may_send: Returns whether the gate still holds the target.
            read_clock: Returns the time on the gate's clock, in seconds.
            reader: Reads the answers, whose sizes it limits; shared by the
                clients of a gate.
        """
        self.address = address
        self._max_connections = max_connections
        self._may_send = may_send
        self._read_clock = read_clock
        self._session: aiohttp.ClientSession | None = None
        self._reader = reader
        self._clock_offset: float | None = None
        self._incarnation = ""

    async def send(
        self,
        call: messages.Call,
        metadata: CallMetadata,
        seconds: float,
        on_send: collections.abc.Callable[[], None] | None = None,
    ) -> TargetResponse:
        """Sends a call and returns the target's response.

        Args:
            call: The call to send.
            metadata: Identity, shard and epochs of the call.
            seconds: Timeout of the request, also sent as its deadline.
            on_send: Called once the lease was checked for the last time, right
                before the call is written.

        Raises:
            LeaseLapsedError: Nothing was sent.
            aiohttp.ClientConnectorError: Nothing was sent.
            aiohttp.ClientError: The call may have run.
            TimeoutError: The call may have run.
        """
        timeout = aiohttp.ClientTimeout(
            total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        async with self._get_session().request(
            call.method,
            yarl.URL(f"http://{self.address}{call.path}", encoded=True),
            data=call.body or None,
            headers=self._call_headers(call, metadata, seconds),
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=on_send,
        ) as response:
            body = await self._reader.read(response.content)
            self._record_clock(response)
            refusal = response.headers.get(headers.REFUSED, "")
            # An answer may lack the call's ID; a refusal may not.
            matches_call = not refusal or headers.CALL in response.headers
            if not matches_call:
                response.forbid_reuse()
            return TargetResponse(
                response.status,
                response.headers.get("Content-Type", ""),
                body,
                refusal,
                response.headers.get(headers.INCARNATION, ""),
                matches_call,
            )

    async def renew_grants(
        self, holder: int, grants: dict[int, int]
    ) -> ProbeResponse:
        """Renews the grants of a target that checks them.

        Args:
            holder: Epoch of the gate as holder of the target.
            grants: Epochs by shard.

        Raises:
            aiohttp.ClientError: The target did not respond.
            TimeoutError: The target did not respond in time.
        """
        document = {
            "holder": holder,
            "incarnation": self._incarnation,
            "expires": self._target_time(GRANT_SECONDS),
            "grants": {str(shard): epoch for shard, epoch in grants.items()},
        }
        return await self._probe("PUT", headers.GRANTS_PATH, document)

    async def check_health(self) -> ProbeResponse:
        """Checks whether the target responds.

        Raises:
            aiohttp.ClientError: The target did not respond.
            TimeoutError: The target did not respond in time.
        """
        return await self._probe("GET", headers.HEALTH_PATH, None)

    @property
    def incarnation(self) -> str:
        """Incarnation of the target, or an empty string if it is not known."""
        return self._incarnation

    def assume_incarnation(self, incarnation: str) -> None:
        """Sets the incarnation that a former holder reported, if none is known.

        Calls and grants name it, so that another incarnation refuses them.
        """
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

    async def _probe(self, method, path, document) -> ProbeResponse:
        timeout = aiohttp.ClientTimeout(
            total=PROBE_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        async with self._get_session().request(
            method,
            f"http://{self.address}{path}",
            json=document,
            timeout=timeout,
        ) as response:
            if headers.CALL in response.headers:
                response.forbid_reuse()
                raise aiohttp.ClientPayloadError("answer to a call")
            body = _parse_probe(
                await self._reader.read(response.content), document is not None
            )
            self._record_clock(response)
            return ProbeResponse(
                response.headers.get(headers.INCARNATION, ""),
                response.status == 200,
                frozenset(body.get("running", ())),
            )

    def _call_headers(
        self, call, metadata: CallMetadata, seconds: float
    ) -> dict:
        fields = {
            headers.CALL: metadata.call_id,
            headers.KIND: call.kind,
            headers.MEMBER: call.member,
            headers.HOLDER: str(metadata.holder),
        }
        if self.knows_clock:
            fields[headers.DEADLINE] = f"{self._target_time(seconds):.6f}"
        if self._incarnation:
            fields[headers.INCARNATION] = self._incarnation
        if call.key:
            fields[headers.KEY] = call.key
        if metadata.shard >= 0:
            fields[headers.SHARD] = str(metadata.shard)
            fields[headers.EPOCH] = str(metadata.epoch)
        if call.request_id:
            fields[headers.REQUEST_ID] = call.request_id
        if call.content_type:
            fields["Content-Type"] = call.content_type
        return fields

    def _target_time(self, seconds: float) -> float:
        """Returns the time `seconds` from now on the target's clock.

        The result is never too late: the offset is too small by the transit
        time of the response that reported the clock.
        """
        offset = self._clock_offset or 0.0
        return self._read_clock() + offset + seconds

    def _record_clock(self, response: aiohttp.ClientResponse) -> None:
        target_clock = response.headers.get(headers.CLOCK)
        if target_clock is None:
            return
        self._clock_offset = float(target_clock) - self._read_clock()
        self._incarnation = response.headers.get(headers.INCARNATION, "")

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = _LeaseCheckingConnector(
                self._may_send, self._max_connections
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                trace_configs=[_trace_sends()],
                response_class=connections.Response,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        return self._session


def _trace_sends() -> aiohttp.TraceConfig:
    """Returns a trace that calls what a request was given as its context."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_report_send)
    return trace


async def _report_send(_session, context, _params) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx()


def _parse_probe(body: bytes, has_document: bool) -> dict:
    """Returns the document in the answer to a grant.

    Raises:
        aiohttp.ClientPayloadError: The body is not a JSON object.
    """
    if not has_document:
        return {}
    try:
        document = json.loads(body)
    except ValueError as exc:
        raise aiohttp.ClientPayloadError("body is not JSON") from exc
    if not isinstance(document, dict):
        raise aiohttp.ClientPayloadError("body is not a JSON object")
    return document
