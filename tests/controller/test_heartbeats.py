"""Tests which controllers are sent a heartbeat in each round."""

import dataclasses

import pytest

from jujubeyard.controller import heartbeats
from jujubeyard.controller import ranks
from jujubeyard.link import messages


@dataclasses.dataclass
class FakeLink:
    peer_name: str
    sent: list = dataclasses.field(default_factory=list)

    def send(self, heartbeat: messages.Heartbeat) -> None:
        self.sent.append(heartbeat.interval)


def make_heartbeat(number: int, store_ok: bool = True) -> messages.Heartbeat:
    return messages.Heartbeat(
        f"vm-{number}/1", "", "a", 0, 0, store_ok, heartbeats.HEARTBEAT_SECONDS
    )


FREQUENT_INTERVAL = heartbeats.HEARTBEAT_SECONDS
INFREQUENT_INTERVAL = (
    heartbeats.HEARTBEAT_SECONDS * heartbeats.INFREQUENT_ROUNDS
)


@pytest.mark.parametrize(
    ("own", "expected"),
    [
        (0, {name: [FREQUENT_INTERVAL] * 8 for name in range(8)}),
        (
            6,
            {n: [FREQUENT_INTERVAL] * 8 for n in range(ranks.WATCHER_COUNT)}
            | {
                n: [INFREQUENT_INTERVAL] * 2
                for n in range(ranks.WATCHER_COUNT, 8)
            },
        ),
    ],
    ids=["first", "other"],
)
def test_heartbeats_between_non_watchers_are_infrequent(own, expected):
    live_heartbeats = [make_heartbeat(n) for n in range(8) if n != own]
    links = [FakeLink(heartbeat.witness) for heartbeat in live_heartbeats]
    sender = heartbeats.HeartbeatSender()
    for number in range(8):
        assert sender.is_due(number)
        sender.send(make_heartbeat(own), live_heartbeats, links)
    sent_by_peer = {peer.peer_name: peer.sent for peer in links}
    del expected[own]
    assert sent_by_peer == {f"vm-{n}/1": sent for n, sent in expected.items()}


def test_peer_is_sent_its_longer_interval_at_once():
    others = [make_heartbeat(n) for n in range(1, 6)]
    links = [FakeLink(others[-1].witness)]
    sender = heartbeats.HeartbeatSender()
    sender.is_due(0.0)
    sender.send(make_heartbeat(0), others, links)
    sender.is_due(1.0)
    sender.send(make_heartbeat(0, store_ok=False), others, links)
    assert links[0].sent == [FREQUENT_INTERVAL, INFREQUENT_INTERVAL]
