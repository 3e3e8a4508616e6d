"""An open-loop load generator that records what callers saw."""

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

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
MILLISECONDS = 1000
MAX_RATE = 20_000.0
MAX_SECONDS = 600.0
CLIENT_GRACE_SECONDS = 2.0
MAX_REPEAT_SECONDS = 1.5
NO_ANSWER = 0
"""Code of a call whose connection broke or timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Calls of one kind at one rate.

    Attributes:
        service: Name of the service.
        kind: Name of the kind.
        idempotent: Whether the kind is idempotent.
        rate: Calls per second.
        keys: Number of keys; 0 for a service without keys.
        skew: Exponent of the Zipf distribution of keys.
        members: Members, chosen at random.
        body_bytes: Size of the body.
        deadline_ms: Deadline stated by the caller, or 0.
        repeats: Share of the calls that the caller sends once more, with the
            same request id, up to MAX_REPEAT_SECONDS later.
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
    """What the callers of one stream saw.

    Attributes:
        codes: Number of calls by result code.
        latency: Microseconds until the answer, of answered calls.
        wrong: Answers that belong to another request.
        by_target: Answered calls by target.
        answered_at: Boot time of each good answer, by key.
    """

    codes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
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
    """Sends calls to entries and records the answers."""

    def __init__(
        self,
        entries: list[str],
        seed: int,
        history: timeline.Timeline | None = None,
    ):
        """Creates a generator.

        Args:
            entries: Addresses of entries; calls go round robin, as through a
                balancer. May be changed while calls are sent.
            seed: Seeds keys, members and times.
            history: Where callers' events are recorded.
        """
        self.reports: dict[tuple[str, str], StreamReport] = {}
        self.entries = entries
        self._rng = random.Random(seed)
        self._history = history
        self._turn = 0
        self._open: set[asyncio.Task] = set()
        self._cumulative: dict[tuple[int, float], list[float]] = {}

    async def run(
        self,
        streams: list[Stream],
        seconds: float,
        stop: asyncio.Event | None = None,
    ) -> None:
        """Sends all streams for a time, then waits for the answers.

        Args:
            streams: What to send.
            seconds: For how long, at most MAX_SECONDS.
            stop: Ends the sending early once it is set.
        """
        stop = stop or asyncio.Event()
        seconds = min(seconds, MAX_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(self._send_stream(session, s, seconds, stop) for s in streams)
            )
            if self._open:
                await asyncio.wait(self._open)

    async def _send_stream(
        self, session, stream: Stream, seconds, stop: asyncio.Event
    ) -> None:
        report = self.reports.setdefault(
            (stream.service, stream.kind), StreamReport()
        )
        rate = min(stream.rate, MAX_RATE)
        started = time.monotonic()
        due = started
        while due < started + seconds and not stop.is_set():
            due += self._rng.expovariate(rate)
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            key = self._choose_key(stream)
            request_id = make_request_id()
            self._spawn(
                self._send_one(session, stream, report, key, request_id)
            )
            if self._rng.random() < stream.duplicate_share:
                self._spawn(self._send_again(session, stream, key, request_id))

    def _spawn(self, call) -> None:
        task = asyncio.create_task(call)
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _send_again(self, session, stream, key, request_id) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_REPEAT_SECONDS))
        await self._send_one(session, stream, StreamReport(), key, request_id)

    async def _send_one(
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
        self._record(kinds.EventKind.CALLER_SENT, stream, key, request_id)
        started = time.monotonic()
        code, answer = await self._post(session, stream, headers, body)
        elapsed = time.monotonic() - started
        report.codes[code] += 1
        not_run = False
        if answer is not None:
            not_run = bool(answer.get("not_run", False))
            report.latency.record_value(int(elapsed * MICROSECONDS))
            self._check_answer(report, code, answer, request_id, key, body)
        self._record(
            kinds.EventKind.CALLER_ANSWERED,
            stream,
            key,
            request_id,
            code=code,
            not_run=not_run,
            own=answer is None or answer.get("echo", body) == body,
        )

    async def _post(self, session, stream: Stream, headers, body: str):
        self._turn += 1
        address = self.entries[self._turn % len(self.entries)]
        timeout = aiohttp.ClientTimeout(
            total=CLIENT_GRACE_SECONDS
            + (stream.deadline_ms or 10_000) / MILLISECONDS
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

    def _check_answer(self, report, code, answer, request_id, key, body):
        if "echo" not in answer:
            return
        own = answer["echo"] == body and answer["request_id"] == request_id
        if not own or answer["key"] != key:
            report.mismatched_answers += 1
        report.answers_by_target[answer["target"]] += 1
        if key:
            times = report.answer_times.setdefault(key, [])
            times.append(clock.boottime())

    def _choose_key(self, stream: Stream) -> str:
        if not stream.keys:
            return ""
        shape = (stream.keys, stream.skew)
        weights = self._cumulative.get(shape)
        if weights is None:
            weights = _cumulative_weights(*shape)
            self._cumulative[shape] = weights
        population = range(stream.keys)
        rank = self._rng.choices(population, cum_weights=weights)[0]
        return f"key-{rank}"

    def _record(self, kind, stream: Stream, key, request_id, **more) -> None:
        if self._history is None:
            return
        self._history.add(
            kind,
            service=stream.service,
            call_kind=stream.kind,
            idempotent=stream.idempotent,
            key=key,
            request_id=request_id,
            **more,
        )


def _cumulative_weights(keys: int, skew: float) -> list[float]:
    weights = []
    total = 0.0
    for rank in range(1, keys + 1):
        total += rank**-skew
        weights.append(total)
    return weights


def make_request_id() -> str:
    """Returns a new UUID of version 7."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))
