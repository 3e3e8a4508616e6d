"""Parses and formats durations such as "1500ms"."""

from jujubeyard import errors

MAX_SECONDS = 366 * 24 * 3600.0
MILLISECONDS_PER_SECOND = 1000.0

_UNIT_SECONDS = (("ms", 1.0 / MILLISECONDS_PER_SECOND), ("s", 1.0))


def parse_seconds(text: object) -> float:
    """Parses a duration such as "1500ms" or "2.5s".

    Args:
        text: The duration; anything but a string is malformed.

    Returns:
        The duration in seconds.

    Raises:
        errors.FormatError: The duration is malformed, negative or over a year.
    """
    if isinstance(text, str):
        for unit, seconds in _UNIT_SECONDS:
            if text.endswith(unit):
                number = _parse_number(text.removesuffix(unit)) * seconds
                return _check_range(number)
    raise errors.FormatError("expected a duration such as 1500ms or 2s")


def format_seconds(seconds: float) -> str:
    """Formats a duration in whole milliseconds, rounded down."""
    return f"{int(seconds * MILLISECONDS_PER_SECOND)}ms"


def _parse_number(digits: str) -> float:
    try:
        return float(digits)
    except ValueError as exc:
        raise errors.FormatError(
            f"{digits[:20]!r} is not a number of a duration"
        ) from exc


def _check_range(seconds: float) -> float:
    if not 0.0 <= seconds <= MAX_SECONDS:
        raise errors.FormatError("duration is out of range")
    return seconds
