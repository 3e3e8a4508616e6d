"""HTTP client for the grant, release and health requests to targets."""

import collections.abc
import json

import aiohttp

from jujubeyard import bodies
from jujubeyard import durations
from jujubeyard import timely_body
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.platform import documents
from jujubeyard.platform import headers
from jujubeyard.targets import notices

PROBE_TIMEOUT_SECONDS = 0.4
MAX_BODY_BYTES = 64 * 1024


async def send_grant(
    session: aiohttp.ClientSession,
    grant: target_requests.GrantRequest,
    seconds: float,
) -> target_requests.Reply:
    """Sends a grant request, which grants keys or renews their grant.

    Args:
        session: HTTP session for the request.
        grant: The keys, their owner and their fence.
        seconds: Timeout of the request.

    Returns:
        The target's reply.

    Raises:
        aiohttp.ClientError: The request failed.
        TimeoutError: The target did not reply in time.
    """
    document = {
        "from": grant.first,
        "target": grant.last,
        "fence": grant.fence,
        "hold_time": durations.format_seconds(grant.hold_seconds),
    }
    if grant.handover:
        document["handover"] = grant.handover
    body = timely_body.TimelyBody(_encode(document), grant.send_by)
    return await _send(session, "/grant", grant.target, body, seconds)


async def send_release(
    session: aiohttp.ClientSession,
    release: target_requests.ReleaseRequest,
    seconds: float,
) -> target_requests.Reply:
    """Sends a release request, which takes keys back from their owner.

    Args:
        session: HTTP session for the request.
        release: The keys and the fence.
        seconds: Timeout of the request.

    Returns:
        The target's reply.

    Raises:
        aiohttp.ClientError: The request failed.
        TimeoutError: The target did not reply in time.
    """
    document = {
        "from": release.first,
        "target": release.last,
        "fence": release.fence,
    }
    body = _encode(document)
    return await _send(session, "/release", release.target, body, seconds)


class TargetClient:
    """Sends grant and release requests and health checks to targets."""

    grant = staticmethod(send_grant)
    release = staticmethod(send_release)

    def __init__(self, find_health_path: collections.abc.Callable[[str], str]):
        """Initializes the client.

        Args:
            find_health_path: Returns the health check path of a service.
        """
        self._find_health_path = find_health_path

    async def probe(
        self, session: aiohttp.ClientSession, service: str, owner: table.Owner
    ) -> target_requests.Result:
        """Checks whether an owner's process still runs, healthy or not.

        Args:
            session: HTTP session for the request.
            service: Service of the target.
            owner: The target to check.

        Returns:
            DONE if there was a reply with any status, GONE if the reply named
            another target, UNKNOWN if there was no reply.
        """
        path = self._find_health_path(service)
        timeout = aiohttp.ClientTimeout(
            total=PROBE_TIMEOUT_SECONDS, sock_connect=PROBE_TIMEOUT_SECONDS
        )
        try:
            async with session.get(
                f"http://{owner.address}{path}", timeout=timeout
            ) as resp:
                await _read_body(resp)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            unknown = target_requests.Outcome.UNKNOWN
            return target_requests.Result(unknown, detail=repr(exc))
        outcome = target_requests.Outcome.DONE
        target_id = resp.headers.get(headers.NAMES.target)
        if target_id is not None and target_id != owner.target_id:
            outcome = target_requests.Outcome.GONE
        return target_requests.Result(outcome, _make_reply(resp, owner))


def _encode(document: dict) -> bytes:
    return json.dumps(document).encode()


async def _send(session, path, target, body, seconds) -> target_requests.Reply:
    async with session.post(
        f"http://{target.address}{path}",
        data=body,
        headers={
            "Content-Type": "application/json",
            headers.NAMES.expected_target: target.target_id,
        },
        timeout=aiohttp.ClientTimeout(total=seconds, sock_connect=seconds),
    ) as resp:
        await _read_body(resp)
        return _make_reply(resp, target)


def _make_reply(
    resp: aiohttp.ClientResponse, target: table.Owner
) -> target_requests.Reply:
    """Returns what the headers of a target's answer say."""
    names = headers.NAMES
    load = resp.headers.get(names.load)
    return target_requests.Reply(
        resp.status,
        resp.headers.get(names.handover, ""),
        documents.parse_load_report(load) if load else None,
        notices.read_notice(resp.status, resp.headers, target.target_id, names),
        documents.parse_cold_seconds(resp.headers.get(names.cold, "")),
    )


async def _read_body(resp: aiohttp.ClientResponse) -> None:
    """Reads the body of a reply, which is not needed, to its end."""
    await bodies.BodyReader(MAX_BODY_BYTES, MAX_BODY_BYTES).read(resp.content)
