"""Revisions of the store, in one order over all of its eras.

A revision, and likewise the ID of a lease, is an integer that holds the era in
which the store named it and the store's own number. Those of a later era are
greater. In era 0, of a store that doesn't tell its era, it is the number alone.
"""

_ERA_FACTOR = 1 << 64
"""Greater than all numbers of a store."""

MAX_ERA = (1 << 31) - 1
MAX_REVISION = (MAX_ERA + 1) * _ERA_FACTOR - 1


def pack(era: int, number: int) -> int:
    """Returns the revision with a number of the store in an era."""
    return era * _ERA_FACTOR + number


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision // _ERA_FACTOR


def number_of(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision % _ERA_FACTOR


def describe(revision: int) -> int | str:
    """Returns a revision for the log: its number, after its era if known."""
    era, number = divmod(revision, _ERA_FACTOR)
    return f"{era}:{number}" if era else number
