"""Which controllers get a heartbeat in a round."""

import dataclasses

import pytest

from jujubeyard.controller import beats
from jujubeyard.controller import ranks
from jujubeyard.link import messages


@dataclasses.dataclass
class FakeLink:
    peer_name: str
    sent: list = dataclasses.field(default_factory=list)

    def send(self, beat: messages.Heartbeat) -> None:
        self.sent.append(beat.interval)


def make_beat(number: int, store_ok: bool = True) -> messages.Heartbeat:
    return messages.Heartbeat(
        f"vm-{number}/1", "", "a", 0, 0, store_ok, beats.BEAT_SECONDS
    )


OFTEN = beats.BEAT_SECONDS
RARELY = beats.BEAT_SECONDS * beats.RARE_ROUNDS


@pytest.mark.parametrize(
    ("own", "expected"),
    [
        (0, {name: [OFTEN] * 8 for name in range(8)}),
        (
            6,
            {n: [OFTEN] * 8 for n in range(ranks.WATCHERS)}
            | {n: [RARELY] * 2 for n in range(ranks.WATCHERS, 8)},
        ),
    ],
    ids=["first", "other"],
)
def test_others_hear_each_other_rarely(own, expected):
    live = [make_beat(n) for n in range(8) if n != own]
    links = [FakeLink(beat.witness) for beat in live]
    beater = beats.Beater()
    for number in range(8):
        assert beater.is_due(number)
        beater.send(make_beat(own), live, links)
    found = {peer.peer_name: peer.sent for peer in links}
    del expected[own]
    assert found == {f"vm-{n}/1": sent for n, sent in expected.items()}


def test_peer_is_told_at_once_that_it_will_hear_rarely():
    others = [make_beat(n) for n in range(1, 6)]
    links = [FakeLink(others[-1].witness)]
    beater = beats.Beater()
    beater.is_due(0.0)
    beater.send(make_beat(0), others, links)
    beater.is_due(1.0)
    beater.send(make_beat(0, store_ok=False), others, links)
    assert links[0].sent == [OFTEN, RARELY]
