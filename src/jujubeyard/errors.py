"""Typed errors that reach a program's user."""

from jujubeyard import codes
from jujubeyard import status


class JujubeyardError(Exception):
    """An error with a message for the user.

    Attributes:
        message: What is wrong, in a few words.
        hint: What the user can do about it, or an empty string.
        exit_status: The exit status of a program that ends with it.
    """

    exit_status = status.ExitStatus.ERROR

    def __init__(self, message: str, hint: str = ""):
        super().__init__(message)
        self.message = message
        self.hint = hint


class SettingsError(JujubeyardError):
    """A settings file is missing, malformed or out of range."""

    exit_status = status.ExitStatus.BAD_SETTINGS


class ManifestError(JujubeyardError):
    """A manifest is malformed or contradicts itself."""

    exit_status = status.ExitStatus.BAD_MANIFEST


class ConflictError(JujubeyardError):
    """Another operator changed the configuration first."""

    exit_status = status.ExitStatus.CONFLICT


class StoreError(JujubeyardError):
    """The platform's store did not answer, or refused."""

    exit_status = status.ExitStatus.STORE_UNAVAILABLE


class NotFoundError(JujubeyardError):
    """The named thing doesn't exist."""

    exit_status = status.ExitStatus.NOT_FOUND


class LinkError(JujubeyardError):
    """A link between two processes was closed for a reason.

    Attributes:
        code: The numbered reason.
    """

    def __init__(self, code: codes.ResultCode, message: str):
        super().__init__(message)
        self.code = code


class FormatError(JujubeyardError):
    """A document from outside is malformed."""
