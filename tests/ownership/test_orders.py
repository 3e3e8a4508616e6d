"""What is known of an order once it has ended."""

import aiohttp
import pytest

from jujubeyard.ownership import orders
from jujubeyard.ownership import table

OWNER = table.Owner("t1", 1, "127.0.0.1:1")
GRANT = orders.Grant(OWNER, 0, 9, 1, 1.0, "")
KEY = aiohttp.client_reqrep.ConnectionKey(
    "127.0.0.1", 1, False, True, None, None, None
)


def _refused():
    return aiohttp.ClientConnectorError(KEY, ConnectionRefusedError())


@pytest.mark.parametrize(
    ("raised", "outcome"),
    [
        (_refused(), orders.Outcome.NOT_SENT),
        (aiohttp.ConnectionTimeoutError(), orders.Outcome.NOT_SENT),
        (TimeoutError(), orders.Outcome.UNKNOWN),
        (aiohttp.ServerDisconnectedError(), orders.Outcome.UNKNOWN),
    ],
)
async def test_failures(raised, outcome):
    async def send(session, order, seconds):
        raise raised

    ended = await orders.carry_out(send, None, GRANT, 1.0)
    assert ended.outcome is outcome


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, orders.Outcome.DONE),
        (409, orders.Outcome.FENCED),
        (421, orders.Outcome.GONE),
        (500, orders.Outcome.UNKNOWN),
    ],
)
async def test_statuses(status, outcome):
    async def send(session, order, seconds):
        return orders.Reply(status, "", None)

    ended = await orders.carry_out(send, None, GRANT, 1.0)
    assert ended.outcome is outcome
