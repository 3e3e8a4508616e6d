"""Times as text: a number and its unit."""

from jujubeyard import errors

MILLISECONDS_PER_SECOND = 1000.0

_UNITS = (("ms", 1.0 / MILLISECONDS_PER_SECOND), ("s", 1.0))


def parse_seconds(text: object) -> float:
    """Returns the seconds that a text such as "1500ms" or "2.5s" states.

    Raises:
        errors.FormatError: The text is no time.
    """
    if isinstance(text, str):
        for unit, seconds in _UNITS:
            if text.endswith(unit):
                return _parse_number(text.removesuffix(unit), text) * seconds
    raise errors.FormatError(f"{text!r} is not a time such as 1500ms or 2s")


def format_seconds(seconds: float) -> str:
    """Returns a time as text, in whole milliseconds."""
    return f"{int(seconds * MILLISECONDS_PER_SECOND)}ms"


def _parse_number(digits: str, text: str) -> float:
    try:
        number = float(digits)
    except ValueError as exc:
        raise errors.FormatError(f"{text!r} is not a time") from exc
    if not 0.0 <= number < float("inf"):
        raise errors.FormatError(f"{text!r} is out of range")
    return number
