"""Parses and formats durations such as "1500ms"."""

from jujubeyard import errors

MILLISECONDS_PER_SECOND = 1000.0

_UNIT_SECONDS = (("ms", 1.0 / MILLISECONDS_PER_SECOND), ("s", 1.0))


def parse_seconds(text: object) -> float:
    """Parses a duration such as "1500ms" or "2.5s".

    Args:
        text: The duration; anything but a string is malformed.

    Returns:
        The duration in seconds.

    Raises:
        errors.FormatError: The duration is malformed, negative or not finite.
    """
    if isinstance(text, str):
        for unit, seconds in _UNIT_SECONDS:
            if text.endswith(unit):
                return _parse_number(text.removesuffix(unit), text) * seconds
    raise errors.FormatError(f"{text!r} is not a duration such as 1500ms or 2s")


def format_seconds(seconds: float) -> str:
    """Formats a duration in whole milliseconds, rounded down."""
    return f"{int(seconds * MILLISECONDS_PER_SECOND)}ms"


def _parse_number(digits: str, text: str) -> float:
    try:
        number = float(digits)
    except ValueError as exc:
        raise errors.FormatError(f"{text!r} is not a duration") from exc
    if not 0.0 <= number < float("inf"):
        raise errors.FormatError(f"duration {text!r} is out of range")
    return number
