"""Exceptions that are reported to the user of a program."""

from jujubeyard import codes
from jujubeyard import status


class JujubeyardError(Exception):
    """Base class of errors with a message for the user.

    Attributes:
        message: Short description of the error.
        hint: How the user can correct it; empty if there is no hint.
        exit_status: Exit status of a program that fails with this error.
    """

    exit_status = status.ExitStatus.ERROR

    def __init__(self, message: str, hint: str = ""):
        super().__init__(message)
        self.message = message
        self.hint = hint


class SettingsError(JujubeyardError):
    """A settings file is missing, malformed or has a value out of range."""

    exit_status = status.ExitStatus.BAD_SETTINGS


class ManifestError(JujubeyardError):
    """A manifest is malformed, inconsistent or an invalid change."""

    exit_status = status.ExitStatus.BAD_MANIFEST


class ConflictError(JujubeyardError):
    """The configuration was changed by another operator in the meantime."""

    exit_status = status.ExitStatus.CONFLICT


class StoreError(JujubeyardError):
    """The platform's store did not respond or rejected a request."""

    exit_status = status.ExitStatus.STORE_UNAVAILABLE


class NotFoundError(JujubeyardError):
    """The configuration or a zone or target in it doesn't exist."""

    exit_status = status.ExitStatus.NOT_FOUND


class LinkError(JujubeyardError):
    """A link between two processes failed or was closed.

    Attributes:
        code: Result code that gives the reason.
    """

    def __init__(self, code: codes.ResultCode, message: str):
        super().__init__(message)
        self.code = code


class FormatError(JujubeyardError):
    """A document or value received from outside is malformed."""
