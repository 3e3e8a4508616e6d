"""Checks of the fields of documents and datagrams that come from outside."""

import collections.abc
import contextlib
import math

from jujubeyard import errors

MAX_INTEGER = 2**63 - 1
MAX_NAME_LENGTH = 256
MAX_DETAIL_LENGTH = 200

MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors that a malformed document can cause while it is decoded."""


@contextlib.contextmanager
def reject_malformed(subject: str) -> collections.abc.Iterator[None]:
    """Turns the errors of decoding a document into a `FormatError`.

    Args:
        subject: What is decoded, for the message.

    Raises:
        errors.FormatError: The document is malformed.
    """
    try:
        yield
    except errors.FormatError as exc:
        raise errors.FormatError(f"{subject}: {exc.message}") from exc
    except MALFORMED as exc:
        detail = f"{type(exc).__name__}: {exc}"[:MAX_DETAIL_LENGTH]
        raise errors.FormatError(f"{subject}: {detail}") from exc


def check_integer(
    value: object, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Returns a value that must be an integer within bounds.

    Args:
        value: The value.
        minimum: Smallest accepted value.
        maximum: Largest accepted value.

    Raises:
        TypeError: The value isn't an integer.
        ValueError: The value is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, not a {type(value).__name__}")
    if not minimum <= value <= maximum:
        raise ValueError("integer is out of range")
    return value


def check_number(value: object, maximum: float = float(MAX_INTEGER)) -> float:
    """Returns a value that must be a number from 0 to a maximum.

    Args:
        value: The value.
        maximum: Largest accepted value.

    Raises:
        TypeError: The value isn't a number.
        ValueError: The value is out of range or not finite.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, not a {type(value).__name__}")
    if not 0 <= value <= maximum:
        raise ValueError("number is out of range")
    return float(value)


def check_name(value: object) -> str:
    """Returns a value that must be a name, which can be sent on.

    Raises:
        TypeError: The value isn't a string.
        ValueError: The value is empty, too long or not valid Unicode.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected a name, not a {type(value).__name__}")
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"name has {len(value)} characters")
    value.encode()
    return value


def check_text(value: object) -> str:
    """Returns a value that must be a string, which may be empty or long.

    Raises:
        TypeError: The value isn't a string.
        ValueError: The value is not valid Unicode.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not a {type(value).__name__}")
    value.encode()
    return value


def parse_decimal(text: str, maximum: int) -> int:
    """Returns the number that a string of ASCII digits stands for.

    Args:
        text: The digits.
        maximum: Largest accepted number.

    Raises:
        ValueError: The text has other characters, or the number is too large.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError("expected decimal digits")
    return check_integer(int(text), maximum=maximum)


def parse_finite(text: str) -> float:
    """Returns the finite number that a string stands for.

    Raises:
        ValueError: The text is not a number, or the number is not finite.
    """
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("number is not finite")
    return number
