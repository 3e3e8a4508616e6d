"""Tests the frame encoding and the error codes of invalid frames."""

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
def test_message_encoding_round_trip(message):
    frame = codec.encode_frame([message, message], 123)
    assert codec.decode_frame(frame) == (123, [message, message])


def make_frame(*fields) -> bytes:
    return cbor2.dumps(list(fields))


BAD_FRAMES = {
    "empty": (b"", codes.ResultCode.LINK_BAD_FRAME),
    "truncated": (
        codec.encode_frame([CALL], 1)[:-3],
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "no array": (cbor2.dumps("x"), codes.ResultCode.LINK_BAD_FRAME),
    "unknown version": (
        make_frame(99, 1, []),
        codes.ResultCode.LINK_BAD_VERSION,
    ),
    "missing fields": (make_frame(1, 1), codes.ResultCode.LINK_BAD_FRAME),
    "unknown message": (
        make_frame(1, 1, [[250]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "negative message": (
        make_frame(1, 1, [[-1, 7]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "short message": (
        make_frame(1, 1, [[3, 1]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "wrong type": (
        make_frame(1, 1, [[16, "seven"]]),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "too many messages": (
        make_frame(1, 1, [[16, 7]] * (codec.MAX_MESSAGES_PER_FRAME + 1)),
        codes.ResultCode.LINK_BAD_FRAME,
    ),
    "too large": (
        b"\0" * (codec.MAX_FRAME_BYTES + 1),
        codes.ResultCode.LINK_FRAME_TOO_LARGE,
    ),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frame_raises_its_error_code(name):
    frame, code = BAD_FRAMES[name]
    with pytest.raises(errors.LinkError) as raised:
        codec.decode_frame(frame)
    assert raised.value.code == code


def test_oversized_frame_is_not_encoded():
    body = b"x" * codec.MAX_FRAME_BYTES
    with pytest.raises(errors.LinkError) as raised:
        codec.encode_frame([messages.PlanPush(1, body)], 1)
    assert raised.value.code == codes.ResultCode.LINK_FRAME_TOO_LARGE


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_link_errors(frame):
    try:
        codec.decode_frame(frame)
    except errors.LinkError:
        pass


@hypothesis.given(strategies.data())
def test_corrupted_frames_raise_only_link_errors(data):
    frame = bytearray(codec.encode_frame(EXAMPLES, 5))
    index = data.draw(strategies.integers(0, len(frame) - 1))
    frame[index] = data.draw(strategies.integers(0, 255))
    try:
        _, batch = codec.decode_frame(bytes(frame))
    except errors.LinkError:
        return
    assert all(isinstance(message, messages.TYPES) for message in batch)
