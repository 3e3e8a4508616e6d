"""Grant and release requests to targets, and their outcomes."""

import collections.abc
import dataclasses
import enum

import aiohttp

from jujubeyard.ownership import table
from jujubeyard.targets import loads
from jujubeyard.targets import notices

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Grants keys to a target for a limited time, or renews the grant.

    Attributes:
        target: The target incarnation that gets the keys.
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the grant.
        hold_seconds: Length of the grant, counted from its arrival.
        handover: State that the previous owner returned on release; may be
            empty.
        send_by: Boot time after which it must not be sent any more.
    """

    target: table.Owner
    first: int
    last: int
    fence: int
    hold_seconds: float
    handover: str
    send_by: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Asks a target to give up keys.

    Attributes:
        target: The target incarnation that holds the keys.
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the release. It takes keys back if it is higher
            than that of their grant.
    """

    target: table.Owner
    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A target's reply to a grant or release request.

    Attributes:
        status: HTTP status code.
        handover: State for the next owner of released keys; may be empty.
        report: The target's load; None if the reply doesn't contain it.
        notice: What the target announces about itself.
        cold_seconds: How long the target stays cold; 0.0 if it doesn't say so.
    """

    status: int
    handover: str
    report: loads.LoadReport | None
    notice: notices.Notice = notices.NO_NOTICE
    cold_seconds: float = 0.0


class Outcome(enum.Enum):
    """Outcome of a request to a target."""

    DONE = "done"
    """The target has carried out the request."""

    FENCED = "fenced"
    """The target has received a higher fence for the keys."""

    GONE = "gone"
    """Another process replied at the target's address."""

    UNKNOWN = "unknown"
    """No usable reply; the request may still take effect."""

    NOT_SENT = "not sent"
    """No connection was made; the request has no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a request to a target.

    Attributes:
        outcome: The outcome.
        reply: The target's reply; None if there was none.
        detail: HTTP status or error, for the log.
    """

    outcome: Outcome
    reply: Reply | None = None
    detail: str = ""


Sender = collections.abc.Callable[
    [aiohttp.ClientSession, GrantRequest | ReleaseRequest, float],
    collections.abc.Coroutine[None, None, Reply],
]


async def send_request(
    send: Sender,
    session: aiohttp.ClientSession,
    request: GrantRequest | ReleaseRequest,
    seconds: float,
) -> Result:
    """Sends a request and returns its result.

    A refused connection doesn't prove that the target has ended: a network
    partition may cause it as well.

    Args:
        send: Sends the request in the targets' protocol.
        session: HTTP session for the request.
        request: The request.
        seconds: Timeout.
    """
    try:
        reply = await send(session, request, seconds)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        return Result(Outcome.NOT_SENT, detail=repr(exc))
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        return Result(Outcome.UNKNOWN, detail=repr(exc))
    return Result(_classify_status(reply.status), reply, f"HTTP {reply.status}")


def _classify_status(status: int) -> Outcome:
    if status == HTTP_OK:
        return Outcome.DONE
    if status == HTTP_CONFLICT:
        return Outcome.FENCED
    if status == HTTP_MISDIRECTED:
        return Outcome.GONE
    return Outcome.UNKNOWN
