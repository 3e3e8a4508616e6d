"""Reads and validates manifest files."""

import pathlib
import tomllib

import pydantic

from jujubeyard import errors
from jujubeyard.manifest import models


def read_manifest(path: pathlib.Path) -> dict:
    """Reads and validates a manifest file.

    Args:
        path: A TOML file.

    Returns:
        The manifest as a plain document with all defaults filled in.

    Raises:
        errors.ManifestError: The file can't be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.ManifestError(f"{path}: {exc}") from exc
    return parse_manifest(text, str(path))


def parse_manifest(text: str, source: str) -> dict:
    """Parses and validates the text of a manifest.

    Args:
        text: The manifest in TOML.
        source: Name of the manifest in error messages.

    Returns:
        The manifest as a plain document with all defaults filled in.

    Raises:
        errors.ManifestError: The text is not a valid manifest.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.ManifestError(f"{source}: no TOML: {exc}") from exc
    return validate_document(document, source)


def validate_document(document: dict, source: str) -> dict:
    """Validates a manifest document and fills in defaults.

    Raises:
        errors.ManifestError: The document is not a valid manifest.
    """
    try:
        manifest = models.Manifest.model_validate(document)
    except pydantic.ValidationError as exc:
        raise errors.ManifestError(
            format_validation_error(exc, source)
        ) from exc
    return manifest.model_dump(by_alias=True)


def format_validation_error(exc: pydantic.ValidationError, source: str) -> str:
    """Returns the file, key and reason of the first error as one line."""
    error = exc.errors(include_url=False)[0]
    key = ".".join(str(part) for part in error["loc"]) or "(whole file)"
    return f"{source}: {key}: {error['msg']}"
