"""Encodes and decodes link frames.

A frame is a CBOR array: protocol version, hybrid clock reading, messages. All
messages that a process sends to a peer in one turn of its event loop share a
frame.
"""

import dataclasses
import operator

import cbor2

from jujubeyard import codes
from jujubeyard import errors
from jujubeyard.link import messages

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_MESSAGES_PER_FRAME = 4096
FRAME_FIELDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Schema:
    number: int
    fields: operator.attrgetter
    types: tuple


def _make_schema(number: int, message_type: type) -> _Schema:
    fields = dataclasses.fields(message_type)
    names = [field.name for field in fields]
    getter = operator.attrgetter(*names)
    if len(names) == 1:
        getter = _single(names[0])
    accepted = tuple(
        (int, float) if field.type is float else (field.type,)
        for field in fields
    )
    return _Schema(number, getter, accepted)


def _single(name: str):
    getter = operator.attrgetter(name)
    return lambda message: (getter(message),)


_SCHEMAS = {
    message_type: _make_schema(number, message_type)
    for number, message_type in enumerate(messages.TYPES)
}


def encode_frame(batch: list, clock_reading: int) -> bytes:
    """Encodes messages into one frame.

    Args:
        batch: Messages in the order of sending.
        clock_reading: The sender's hybrid clock, in microseconds.

    Raises:
        errors.LinkError: The frame is over MAX_FRAME_BYTES.
    """
    rows = []
    for message in batch:
        schema = _SCHEMAS[type(message)]
        rows.append((schema.number, *schema.fields(message)))
    frame = cbor2.dumps((PROTOCOL_VERSION, clock_reading, rows))
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.LinkError(
            codes.ResultCode.LINK_FRAME_TOO_LARGE,
            f"frame of {len(frame)} bytes is over {MAX_FRAME_BYTES}",
        )
    return frame


def decode_frame(frame: bytes) -> tuple[int, list]:
    """Decodes one frame.

    Returns:
        The sender's clock reading and the messages.

    Raises:
        errors.LinkError: The frame is malformed, too large or of an unknown
            version.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.LinkError(
            codes.ResultCode.LINK_FRAME_TOO_LARGE, "frame is too large"
        )
    try:
        decoded = cbor2.loads(frame)
    except Exception as exc:
        raise _bad_frame("not CBOR") from exc
    if not isinstance(decoded, list) or not decoded:
        raise _bad_frame("no array")
    if decoded[0] != PROTOCOL_VERSION:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_VERSION,
            f"protocol version {decoded[0]!r} is unknown",
        )
    if len(decoded) != FRAME_FIELDS:
        raise _bad_frame("wrong number of fields")
    _, reading, rows = decoded
    if not isinstance(reading, int) or not isinstance(rows, list):
        raise _bad_frame("wrong types")
    if len(rows) > MAX_MESSAGES_PER_FRAME:
        raise _bad_frame("too many messages")
    return reading, [_decode_message(row) for row in rows]


def _decode_message(row) -> messages.Message:
    if not isinstance(row, list) or not row:
        raise _bad_frame("message is no array")
    number = row[0]
    if type(number) is not int or not 0 <= number < len(messages.TYPES):
        raise _bad_frame(f"unknown message {number!r}")
    message_type = messages.TYPES[number]
    accepted = _SCHEMAS[message_type].types
    values = row[1:]
    if len(values) != len(accepted):
        raise _bad_frame(f"{message_type.__name__} has wrong length")
    for value, types in zip(values, accepted, strict=True):
        if type(value) not in types:
            raise _bad_frame(f"{message_type.__name__} has a wrong type")
    return message_type(*values)


def _bad_frame(reason: str) -> errors.LinkError:
    return errors.LinkError(codes.ResultCode.LINK_BAD_FRAME, reason)
