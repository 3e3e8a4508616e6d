"""Open-loop load generator that records the results of calls."""

import asyncio
import collections
import dataclasses
import random
import time
import uuid

import aiohttp
from hdrh import histogram

from jujubeyard import clock
from jujubeyard.events import kinds
from jujubeyard.events import timeline

MAX_LATENCY_MICROSECONDS = 60_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1000
MAX_CALLS_PER_SECOND = 20_000.0
MAX_RUN_SECONDS = 600.0
CLIENT_TIMEOUT_MARGIN_SECONDS = 2.0
MAX_DUPLICATE_DELAY_SECONDS = 1.5
NO_ANSWER = 0
"""Result code recorded when the connection fails or the call times out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream of calls of one kind, sent at a given mean rate.

    Attributes:
        service: Name of the service.
        kind: Name of the call kind.
        idempotent: Whether the kind is idempotent.
        rate: Mean number of calls per second; arrivals are Poisson.
        keys: Number of distinct keys; 0 for a service without keys.
        skew: Exponent of the Zipf distribution of the keys.
        members: Values of the member header, chosen at random.
        body_bytes: Minimum size of the request body.
        deadline_ms: Deadline sent by the caller; 0 sends none.
        duplicate_share: Share of the calls that are sent a second time with
            the same request id, up to MAX_DUPLICATE_DELAY_SECONDS later.
    """

    service: str
    kind: str
    idempotent: bool
    rate: float
    keys: int = 0
    skew: float = 0.0
    members: tuple[str, ...] = ("member-a", "member-b")
    body_bytes: int = 100
    deadline_ms: int = 0
    duplicate_share: float = 0.0


@dataclasses.dataclass(slots=True)
class StreamReport:
    """Results of the calls of one stream.

    Attributes:
        codes: Number of calls by result code.
        latency: Histogram of the latency of answered calls, in microseconds.
        mismatched_answers: Number of answers that belong to another request.
        answers_by_target: Number of answered calls by target.
        answer_times: Times at which targets' answers arrived, in seconds
            since boot, by key.
    """

    codes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS
        )
    )
    mismatched_answers: int = 0
    answers_by_target: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    answer_times: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )


class LoadGenerator:
    """Sends streams of calls to entries and records the results."""

    def __init__(
        self,
        entries: list[str],
        seed: int,
        history: timeline.Timeline | None = None,
    ):
        """Creates a load generator.

        Args:
            entries: Addresses of the entries. Calls go to them round robin,
                as through a load balancer. The list may be changed while
                calls are being sent.
            seed: Seed for the choice of keys, members and send times.
            history: Timeline that receives the callers' events, if any.
        """
        self.reports: dict[tuple[str, str], StreamReport] = {}
        self.entries = entries
        self._rng = random.Random(seed)
        self._history = history
        self._sent_calls = 0
        self._in_flight: set[asyncio.Task] = set()
        self._key_weights: dict[tuple[int, float], list[float]] = {}

    async def run(
        self,
        streams: list[Stream],
        seconds: float,
        stop: asyncio.Event | None = None,
    ) -> None:
        """Sends all streams, then waits until no call is in flight.

        Args:
            streams: Streams to send concurrently.
            seconds: Duration of sending, capped at MAX_RUN_SECONDS.
            stop: Event that ends the sending early.
        """
        stop = stop or asyncio.Event()
        seconds = min(seconds, MAX_RUN_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(self._send_stream(session, s, seconds, stop) for s in streams)
            )
            if self._in_flight:
                await asyncio.wait(self._in_flight)

    async def _send_stream(
        self, session, stream: Stream, seconds, stop: asyncio.Event
    ) -> None:
        report = self.reports.setdefault(
            (stream.service, stream.kind), StreamReport()
        )
        rate = min(stream.rate, MAX_CALLS_PER_SECOND)
        started = time.monotonic()
        next_send = started
        while next_send < started + seconds and not stop.is_set():
            next_send += self._rng.expovariate(rate)
            delay = next_send - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            key = self._choose_key(stream)
            request_id = make_request_id()
            self._start_task(
                self._send_call(session, stream, report, key, request_id)
            )
            if self._rng.random() < stream.duplicate_share:
                self._start_task(
                    self._send_duplicate(session, stream, key, request_id)
                )

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _send_duplicate(self, session, stream, key, request_id) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DUPLICATE_DELAY_SECONDS))
        await self._send_call(session, stream, StreamReport(), key, request_id)

    async def _send_call(
        self, session, stream: Stream, report, key: str, request_id: str
    ) -> None:
        headers = {
            "X-Kind": stream.kind,
            "X-Member": self._rng.choice(stream.members),
            "X-Request-Id": request_id,
        }
        if key:
            headers["X-Key"] = key
        if stream.deadline_ms:
            headers["X-Deadline-Ms"] = str(stream.deadline_ms)
        body = request_id.ljust(stream.body_bytes, ".")
        self._record_event(kinds.EventKind.CALLER_SENT, stream, key, request_id)
        started = time.monotonic()
        code, answer = await self._post(session, stream, headers, body)
        elapsed = time.monotonic() - started
        report.codes[code] += 1
        not_run = False
        if answer is not None:
            not_run = bool(answer.get("not_run", False))
            report.latency.record_value(int(elapsed * MICROSECONDS_PER_SECOND))
            self._record_answer(report, code, answer, request_id, key, body)
        self._record_event(
            kinds.EventKind.CALLER_ANSWERED,
            stream,
            key,
            request_id,
            code=code,
            not_run=not_run,
            own=answer is None or answer.get("echo", body) == body,
        )

    async def _post(self, session, stream: Stream, headers, body: str):
        self._sent_calls += 1
        address = self.entries[self._sent_calls % len(self.entries)]
        timeout = aiohttp.ClientTimeout(
            total=CLIENT_TIMEOUT_MARGIN_SECONDS
            + (stream.deadline_ms or 10_000) / MILLISECONDS_PER_SECOND
        )
        url = f"http://{address}/{stream.service}/call"
        try:
            async with session.post(
                url, data=body, headers=headers, timeout=timeout
            ) as resp:
                answer = await resp.json()
                return int(resp.headers["Jujubeyard-Code"]), answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return NO_ANSWER, None

    def _record_answer(self, report, code, answer, request_id, key, body):
        if "echo" not in answer:
            return
        matches = answer["echo"] == body and answer["request_id"] == request_id
        if not matches or answer["key"] != key:
            report.mismatched_answers += 1
        report.answers_by_target[answer["target"]] += 1
        if key:
            times = report.answer_times.setdefault(key, [])
            times.append(clock.boottime())

    def _choose_key(self, stream: Stream) -> str:
        if not stream.keys:
            return ""
        distribution = (stream.keys, stream.skew)
        weights = self._key_weights.get(distribution)
        if weights is None:
            weights = _cumulative_weights(*distribution)
            self._key_weights[distribution] = weights
        population = range(stream.keys)
        rank = self._rng.choices(population, cum_weights=weights)[0]
        return f"key-{rank}"

    def _record_event(
        self, kind, stream: Stream, key, request_id, **fields
    ) -> None:
        if self._history is None:
            return
        self._history.add(
            kind,
            service=stream.service,
            call_kind=stream.kind,
            idempotent=stream.idempotent,
            key=key,
            request_id=request_id,
            **fields,
        )


def _cumulative_weights(keys: int, skew: float) -> list[float]:
    weights = []
    total = 0.0
    for rank in range(1, keys + 1):
        total += rank**-skew
        weights.append(total)
    return weights


def make_request_id() -> str:
    """Returns a new version 7 UUID."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))
