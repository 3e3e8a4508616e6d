"""Reads the fields of a configuration's entries, and gathers what is wrong."""

import collections.abc
import dataclasses

from jujubeyard import errors
from jujubeyard import fields
from jujubeyard.routing import config

MAX_FOUND_LENGTH = 60
MISSING = "nothing"
FIELDS_EXPECTED = "fields with their names"

_REQUIRED = object()


@dataclasses.dataclass(frozen=True, slots=True)
class FieldType:
    """What values a field may have.

    Attributes:
        parse: Returns the value for a stored one; raises an error if it is
            malformed.
        expected: What a stored value should be, for people.
    """

    parse: collections.abc.Callable[[object], object]
    expected: str


class EntryReader:
    """Reads one entry; it goes on after errors, so that all are found.

    Attributes:
        label: Name of the entry, or its position if the name can't be read.
        errors: Why the entry can't be read; empty if it can.
    """

    def __init__(self, kind: config.EntryKind, position: int, entry: object):
        """Initializes a reader.

        Args:
            kind: What the entry describes.
            position: Position among the entries of the kind, from 1.
            entry: Its fields by their names; anything else is an error.
        """
        self._kind = kind
        self._path = ""
        self._fields: dict | None = None
        self.label = f"#{position}"
        self.errors: list[config.EntryError] = []
        if isinstance(entry, dict):
            self._fields = entry
            self.label = _read_label(entry, self.label)
        else:
            self.add_error("", FIELDS_EXPECTED, entry)

    def read_part(self, path: str, part: object) -> "EntryReader":
        """Returns a reader of fields inside a field, with the same errors.

        Args:
            path: Path of the field.
            part: The fields inside it; anything else is an error.
        """
        reader = EntryReader(self._kind, 0, {})
        reader.label = self.label
        reader.errors = self.errors
        reader._path = f"{path}."
        reader._fields = part if isinstance(part, dict) else None
        if reader._fields is None:
            self.add_error(path, FIELDS_EXPECTED, part)
        return reader

    def has(self, field: str) -> bool:
        """Returns whether a field has a value."""
        return self._fields is not None and self._fields.get(field) is not None

    def read(
        self, field: str, field_type: FieldType, default: object = _REQUIRED
    ):
        """Returns the value of a field; None if it can't be read.

        Args:
            field: Name of the field.
            field_type: What values it may have.
            default: Value of a missing field; without it the field is
                required.
        """
        if self._fields is None:
            return None
        stored = self._fields.get(field)
        if stored is None and default is not _REQUIRED:
            return default
        try:
            return field_type.parse(stored)
        except (errors.FormatError, *fields.MALFORMED):
            self.add_error(field, field_type.expected, stored)
            return None

    def add_error(self, field: str, expected: str, found: object) -> None:
        """Adds an error of a field.

        Args:
            field: Name of the field; empty for the entry as a whole.
            expected: What it should be.
            found: The stored value.
        """
        self.errors.append(
            config.EntryError(
                self._kind,
                self.label,
                f"{self._path}{field}",
                expected,
                _shorten(found),
            )
        )


def _read_label(entry: dict, position: str) -> str:
    try:
        return fields.check_name(entry.get("name"))
    except fields.MALFORMED:
        return position


def _shorten(found: object) -> str:
    """Returns a short text for a stored value of any size."""
    if found is None:
        return MISSING
    if isinstance(found, str):
        return repr(found[:MAX_FOUND_LENGTH])
    if isinstance(found, int | float):
        return repr(found)[:MAX_FOUND_LENGTH]
    return f"a {type(found).__name__}"
