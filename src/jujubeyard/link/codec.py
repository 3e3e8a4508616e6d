"""Encodes and decodes link frames.

A frame is a CBOR array of the protocol version, the sender's hybrid clock
reading and an array of messages. All messages that a process sends to a peer
in one iteration of its event loop share a frame.
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
FRAME_FIELD_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Schema:
    type_id: int
    get_values: operator.attrgetter
    field_types: tuple


def _make_schema(type_id: int, message_type: type) -> _Schema:
    fields = dataclasses.fields(message_type)
    names = [field.name for field in fields]
    getter = operator.attrgetter(*names)
    if len(names) == 1:
        getter = _make_single_getter(names[0])
    field_types = tuple(
        (int, float) if field.type is float else (field.type,)
        for field in fields
    )
    return _Schema(type_id, getter, field_types)


def _make_single_getter(name: str):
    getter = operator.attrgetter(name)
    return lambda message: (getter(message),)


_SCHEMAS = {
    message_type: _make_schema(type_id, message_type)
    for type_id, message_type in enumerate(messages.TYPES)
}


def encode_frame(batch: list, clock_reading: int) -> bytes:
    """Encodes messages as one frame.

    Args:
        batch: Messages in the order of sending.
        clock_reading: The sender's hybrid clock reading, in microseconds.

    Raises:
        errors.LinkError: The frame is larger than MAX_FRAME_BYTES.
    """
    encoded_messages = []
    for message in batch:
        schema = _SCHEMAS[type(message)]
        encoded_messages.append((schema.type_id, *schema.get_values(message)))
    frame = cbor2.dumps((PROTOCOL_VERSION, clock_reading, encoded_messages))
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.LinkError(
            codes.ResultCode.LINK_FRAME_TOO_LARGE,
            f"frame of {len(frame)} bytes exceeds the limit of"
            f" {MAX_FRAME_BYTES} bytes",
        )
    return frame


def decode_frame(frame: bytes) -> tuple[int, list]:
    """Decodes one frame.

    Returns:
        The sender's clock reading and the messages.

    Raises:
        errors.LinkError: The frame is malformed or too large, or has an
            unsupported protocol version.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.LinkError(
            codes.ResultCode.LINK_FRAME_TOO_LARGE,
            "frame exceeds the size limit",
        )
    try:
        decoded = cbor2.loads(frame)
    except Exception as exc:
        raise _make_frame_error("frame is not valid CBOR") from exc
    if not isinstance(decoded, list) or not decoded:
        raise _make_frame_error("frame is not a non-empty array")
    if decoded[0] != PROTOCOL_VERSION:
        raise errors.LinkError(
            codes.ResultCode.LINK_BAD_VERSION,
            f"unsupported protocol version: {decoded[0]!r}",
        )
    if len(decoded) != FRAME_FIELD_COUNT:
        raise _make_frame_error("frame has the wrong number of fields")
    _, reading, encoded_messages = decoded
    if not isinstance(reading, int) or not isinstance(encoded_messages, list):
        raise _make_frame_error(
            "frame's clock reading or message list has the wrong type"
        )
    if len(encoded_messages) > MAX_MESSAGES_PER_FRAME:
        raise _make_frame_error("frame has too many messages")
    return reading, [_decode_message(encoded) for encoded in encoded_messages]


def _decode_message(encoded) -> messages.Message:
    if not isinstance(encoded, list) or not encoded:
        raise _make_frame_error("message is not a non-empty array")
    type_id = encoded[0]
    if type(type_id) is not int or not 0 <= type_id < len(messages.TYPES):
        raise _make_frame_error(f"unknown message type: {type_id!r}")
    message_type = messages.TYPES[type_id]
    field_types = _SCHEMAS[message_type].field_types
    values = encoded[1:]
    if len(values) != len(field_types):
        raise _make_frame_error(
            f"{message_type.__name__} message has the wrong number of fields"
        )
    for value, accepted in zip(values, field_types, strict=True):
        if type(value) not in accepted:
            raise _make_frame_error(
                f"{message_type.__name__} message has a field of the wrong type"
            )
    return message_type(*values)


def _make_frame_error(reason: str) -> errors.LinkError:
    return errors.LinkError(codes.ResultCode.LINK_BAD_FRAME, reason)
