"""Orders to targets on the keys that they own."""

import collections.abc
import json

import aiohttp

from jujubeyard import durations
from jujubeyard.ownership import orders
from jujubeyard.ownership import table
from jujubeyard.platform import documents
from jujubeyard.platform import headers

PROBE_SECONDS = 0.4


async def send_grant(
    session: aiohttp.ClientSession, grant: orders.Grant, seconds: float
) -> orders.Reply:
    """Grants keys to a target, or renews the grant.

    Args:
        session: Makes the call.
        grant: The keys and their fence.
        seconds: Time limit of the call.

    Raises:
        aiohttp.ClientError: The target did not answer.
        TimeoutError: The target did not answer in time.
    """
    document = {
        "from": grant.first,
        "target": grant.last,
        "fence": grant.fence,
        "hold_time": durations.format_seconds(grant.hold_seconds),
    }
    if grant.handover:
        document["handover"] = grant.handover
    return await _send(session, "/grant", grant.target, document, seconds)


async def send_release(
    session: aiohttp.ClientSession, release: orders.Release, seconds: float
) -> orders.Reply:
    """Takes keys back from a target.

    Args:
        session: Makes the call.
        release: The keys and a fence above that of their grant.
        seconds: Time limit of the call.

    Raises:
        aiohttp.ClientError: The target did not answer.
        TimeoutError: The target did not answer in time.
    """
    document = {
        "from": release.first,
        "target": release.last,
        "fence": release.fence,
    }
    return await _send(session, "/release", release.target, document, seconds)


class TargetClient:
    """The targets' protocol for orders and health checks."""

    grant = staticmethod(send_grant)
    release = staticmethod(send_release)

    def __init__(self, find_health_path: collections.abc.Callable[[str], str]):
        """Makes a speech.

        Args:
            find_health_path: Returns the health path of a service.
        """
        self._find_health_path = find_health_path

    async def probe(
        self, session: aiohttp.ClientSession, service: str, owner: table.Owner
    ) -> orders.Outcome:
        """Asks whether a target is up, healthy or not."""
        path = self._find_health_path(service)
        limit = aiohttp.ClientTimeout(
            total=PROBE_SECONDS, sock_connect=PROBE_SECONDS
        )
        try:
            async with session.get(
                f"http://{owner.address}{path}", timeout=limit
            ) as resp:
                await resp.read()
                named = resp.headers.get(headers.NAMES.target)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return orders.Outcome.UNKNOWN
        if named is not None and named != owner.target_id:
            return orders.Outcome.GONE
        return orders.Outcome.DONE


async def _send(session, path, target, document, seconds) -> orders.Reply:
    names = headers.NAMES
    async with session.post(
        f"http://{target.address}{path}",
        data=json.dumps(document).encode(),
        headers={
            "Content-Type": "application/json",
            names.expected_target: target.target_id,
        },
        timeout=aiohttp.ClientTimeout(total=seconds, sock_connect=seconds),
    ) as resp:
        await resp.read()
        report = resp.headers.get(names.load)
        return orders.Reply(
            resp.status,
            resp.headers.get(names.handover, ""),
            documents.parse_load_report(report) if report else None,
        )
