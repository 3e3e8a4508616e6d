"""Orders to targets on the keys that they own, and how they can end."""

import collections.abc
import dataclasses
import enum

import aiohttp

from jujubeyard.ownership import table
from jujubeyard.targets import loads

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Gives keys to a target for a time, or renews that.

    Attributes:
        target: The target.
        first: First key.
        last: Last key.
        fence: Fence of the grant.
        hold_seconds: How long it lasts, from its arrival.
        handover: What the former owner's release returned; may be empty.
    """

    target: table.Owner
    first: int
    last: int
    fence: int
    hold_seconds: float
    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Takes keys back.

    Attributes:
        target: The target that holds them.
        first: First key.
        last: Last key.
        fence: A fence above that of its grant.
    """

    target: table.Owner
    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A target's reply to an order.

    Attributes:
        status: HTTP status.
        handover: What the next owner needs; may be empty.
        report: Its load, if it says so.
    """

    status: int
    handover: str
    report: loads.LoadReport | None


class Outcome(enum.Enum):
    """What is known of an order once it has ended."""

    DONE = "done"
    FENCED = "fenced"
    """The target has seen a higher fence."""

    GONE = "gone"
    """Another process answers at the target's address."""

    UNKNOWN = "unknown"
    """No answer; the order may take effect later."""

    NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How an order ended.

    Attributes:
        outcome: What is known.
        reply: The target's reply, if there was one.
        detail: What happened, for the log.
    """

    outcome: Outcome
    reply: Reply | None = None
    detail: str = ""


Sender = collections.abc.Callable[
    [aiohttp.ClientSession, GrantRequest | ReleaseRequest, float],
    collections.abc.Coroutine[None, None, Reply],
]


async def carry_out(
    send: Sender,
    session: aiohttp.ClientSession,
    order: GrantRequest | ReleaseRequest,
    seconds: float,
) -> Result:
    """Sends an order and says how it ended.

    A refused connection proves nothing: a cut link may refuse it as well.

    Args:
        send: Speaks the targets' protocol.
        session: Makes the call.
        order: The order.
        seconds: Time limit.
    """
    try:
        reply = await send(session, order, seconds)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        return Result(Outcome.NOT_SENT, detail=repr(exc))
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        return Result(Outcome.UNKNOWN, detail=repr(exc))
    return Result(_judge(reply.status), reply, f"HTTP {reply.status}")


def _judge(status: int) -> Outcome:
    if status == HTTP_OK:
        return Outcome.DONE
    if status == HTTP_CONFLICT:
        return Outcome.FENCED
    if status == HTTP_MISDIRECTED:
        return Outcome.GONE
    return Outcome.UNKNOWN
