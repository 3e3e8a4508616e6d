"""Outcomes of requests to targets."""

import aiohttp
import pytest

from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests

OWNER = table.Owner("t1", 1, "127.0.0.1:1")
GRANT = target_requests.GrantRequest(OWNER, 0, 9, 1, 1.0, "", 0.0)
KEY = aiohttp.client_reqrep.ConnectionKey(
    "127.0.0.1", 1, False, True, None, None, None
)


def _make_refused_error():
    return aiohttp.ClientConnectorError(KEY, ConnectionRefusedError())


@pytest.mark.parametrize(
    ("raised", "outcome"),
    [
        (_make_refused_error(), target_requests.Outcome.NOT_SENT),
        (aiohttp.ConnectionTimeoutError(), target_requests.Outcome.NOT_SENT),
        (TimeoutError(), target_requests.Outcome.UNKNOWN),
        (aiohttp.ServerDisconnectedError(), target_requests.Outcome.UNKNOWN),
    ],
)
async def test_outcome_of_failed_request(raised, outcome):
    async def send(session, request, seconds):
        raise raised

    result = await target_requests.send_request(send, None, GRANT, 1.0)
    assert result.outcome is outcome


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, target_requests.Outcome.DONE),
        (409, target_requests.Outcome.FENCED),
        (421, target_requests.Outcome.GONE),
        (500, target_requests.Outcome.UNKNOWN),
    ],
)
async def test_outcome_by_http_status(status, outcome):
    async def send(session, request, seconds):
        return target_requests.Reply(status, "", None)

    result = await target_requests.send_request(send, None, GRANT, 1.0)
    assert result.outcome is outcome
