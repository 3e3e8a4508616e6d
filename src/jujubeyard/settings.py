"""Settings of the programs: models and a reader of TOML files."""

import pathlib
import tomllib
import typing

import pydantic

from jujubeyard import errors
from jujubeyard.manifest import loader
from jujubeyard.manifest import models

MIN_SECRET_CHARACTERS = 16
MAX_BODY_BYTES = 4 * 1024 * 1024


class ProcessSettings(models.StrictModel):
    """Settings that entries, gates and controllers share.

    Attributes:
        cluster: Name of the cluster.
        vm: Name of the VM that the process runs on.
        zone: Availability zone of the VM.
        secret: Shared secret with which processes of the cluster authenticate
            each other on links.
        admin: "IP:PORT" on which to serve metrics, status and events.
        events_file: File in which events are recorded for tests; empty to
            record none.
        allow_faults: Whether tests may drop link messages through the admin
            server.
    """

    cluster: models.Name
    vm: models.Name
    zone: models.Name
    secret: str = pydantic.Field(min_length=MIN_SECRET_CHARACTERS)
    admin: models.Address
    events_file: str = ""
    allow_faults: bool = False


class EntrySettings(ProcessSettings):
    """Settings of an entry.

    Attributes:
        listen: "IP:PORT" on which to accept calls.
        controllers: Controllers to contact first, at least the one on this
            VM.
        max_body_bytes: Maximum size of the body of a call.
    """

    listen: models.Address
    controllers: list[models.Address] = pydantic.Field(min_length=1)
    max_body_bytes: int = pydantic.Field(1024 * 1024, ge=1, le=MAX_BODY_BYTES)


class GateSettings(ProcessSettings):
    """Settings of a gate.

    Attributes:
        listen: "IP:PORT" on which to accept links.
        controllers: Controllers to contact first, at least the one on this
            VM.
        shutdown_seconds: Maximum time that a gate waits, after SIGTERM, until
            other gates have taken over its targets.
    """

    listen: models.Address
    controllers: list[models.Address] = pydantic.Field(min_length=1)
    shutdown_seconds: float = pydantic.Field(30.0, ge=0, le=3600, strict=False)


class ControllerSettings(ProcessSettings):
    """Settings of a controller.

    Attributes:
        listen: "IP:PORT" on which to accept links.
        store: "IP:PORT" of the platform's store.
        vm_list: "IP:PORT" of the platform's VM list.
        peers: Controllers to contact before the VM list is available.
    """

    listen: models.Address
    store: models.Address
    vm_list: models.Address
    peers: list[models.Address] = []


class OperatorSettings(models.StrictModel):
    """Settings of the command line for operators.

    Attributes:
        cluster: Name of the cluster.
        store: "IP:PORT" of the platform's store.
        processes: Admin addresses of the processes from which to fetch status
            and events.
    """

    cluster: models.Name
    store: models.Address
    processes: list[models.Address] = []


Settings = typing.TypeVar("Settings", bound=models.StrictModel)


def read_settings(path: pathlib.Path, model: type[Settings]) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: Path of the TOML file.
        model: Settings model of the program.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The file is missing or malformed, or a value is
            out of range.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as exc:
        raise errors.SettingsError(
            loader.format_validation_error(exc, str(path))
        ) from exc
