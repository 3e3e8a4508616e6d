"""Frames: round trips, and refusal of anything else by number."""

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard import codes
from jujubeyard import errors
from jujubeyard.link import codec
from jujubeyard.link import messages

CALL = messages.Call(
    7, "desk", "read", 3, "k", "m", "r", 20.5, 9, "POST", "/x", "", b"body"
)
EXAMPLES = [
    messages.Hello("c", "gate", "vm-1", "2", "nonce", b"mac"),
    messages.Renew(
        1, "vm/1", "ip", "a", 2, 3, 2, False, ["t"], [["s", 1, 2.0]]
    ),
    messages.Promise(1, "vm/2", True, 3, 4),
    messages.LapseReply(4, "vm/2", 12.5, 100),
    messages.PlanPush(3, b"plan"),
    CALL,
    messages.CancelCall(7),
]


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda m: type(m).__name__)
def test_message_survives_the_link(message):
    frame = codec.encode_frame([message, message], 123)
    assert codec.decode_frame(frame) == (123, [message, message])


def frame_of(*fields) -> bytes:
    return cbor2.dumps(list(fields))


BAD_FRAMES = {
    "empty": (b"", codes.ResultCode.LINK_BAD_FRAME),
    "truncated": (
        codec.encode_frame([CALL], 1)[:-3],
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "no array": (cbor2.dumps("x"), codes.ResultCode.LINK_BAD_FRAME),
    "unknown version": (
        frame_of(99, 1, []),
        codes.ResultCode.LINK_BAD_VERSION,
    ),
    "missing fields": (frame_of(1, 1), codes.ResultCode.LINK_BAD_FRAME),
    "unknown message": (
        frame_of(1, 1, [[250]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "negative message": (
        frame_of(1, 1, [[-1, 7]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "short message": (
        frame_of(1, 1, [[3, 1]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "wrong type": (
        frame_of(1, 1, [[16, "seven"]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "too many messages": (
        frame_of(1, 1, [[16, 7]] * (codec.MAX_MESSAGES_PER_FRAME + 1)),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "too large": (
        b"\0" * (codec.MAX_FRAME_BYTES + 1),
        codes.ResultCode.LINK_FRAME_TOO_LARGE,
    ),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frame_is_refused_by_number(name):
    frame, code = BAD_FRAMES[name]
    with pytest.raises(errors.LinkError) as caught:
        codec.decode_frame(frame)
    assert caught.value.code == code


def test_oversize_message_is_not_sent():
    body = b"x" * codec.MAX_FRAME_BYTES
    with pytest.raises(errors.LinkError) as caught:
        codec.encode_frame([messages.PlanPush(1, body)], 1)
    assert caught.value.code == codes.ResultCode.LINK_FRAME_TOO_LARGE


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_never_crash(frame):
    try:
        codec.decode_frame(frame)
    except errors.LinkError:
        pass


@hypothesis.given(strategies.data())
def test_damaged_frames_never_crash(data):
    frame = bytearray(codec.encode_frame(EXAMPLES, 5))
    index = data.draw(strategies.integers(0, len(frame) - 1))
    frame[index] = data.draw(strategies.integers(0, 255))
    try:
        _, batch = codec.decode_frame(bytes(frame))
    except errors.LinkError:
        return
    assert all(isinstance(message, messages.TYPES) for message in batch)
