"""Exit statuses that all programs share."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BAD_MANIFEST = 4
    CONFLICT = 5
    STORE_UNAVAILABLE = 6
    NOT_FOUND = 7
    WARNINGS = 8
    BAD_CONFIGURATION = 9
    INTERRUPTED = 130
