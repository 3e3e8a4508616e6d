"""Validated settings of the programs, read from TOML files."""

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
    """Settings that all processes of the system have.

    Attributes:
        cluster: Name of the cluster.
        vm: Name of the VM.
        zone: Availability zone of the VM.
        secret: Shared by all processes; proves that a peer belongs here.
        admin: "IP:PORT" of metrics, status and events.
        events_file: Where events are recorded for tests; none if empty.
        allow_faults: Whether the admin port may cut links, for tests.
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
        listen: "IP:PORT" for callers.
        controllers: Controllers to ask first, the one on this VM at least.
        max_body_bytes: Largest body of a call.
    """

    listen: models.Address
    controllers: list[models.Address] = pydantic.Field(min_length=1)
    max_body_bytes: int = pydantic.Field(1024 * 1024, ge=1, le=MAX_BODY_BYTES)


class GateSettings(ProcessSettings):
    """Settings of a gate.

    Attributes:
        listen: "IP:PORT" for links.
        controllers: Controllers to ask first, the one on this VM at least.
        shutdown_seconds: How long a gate waits at most, after SIGTERM, for
            others to take its targets over.
    """

    listen: models.Address
    controllers: list[models.Address] = pydantic.Field(min_length=1)
    shutdown_seconds: float = pydantic.Field(30.0, ge=0, le=3600, strict=False)


class ControllerSettings(ProcessSettings):
    """Settings of a controller.

    Attributes:
        listen: "IP:PORT" for links.
        store: "IP:PORT" of the platform's store.
        vm_list: "IP:PORT" of the platform's VM list.
        peers: Controllers to ask before the VM list has answered.
    """

    listen: models.Address
    store: models.Address
    vm_list: models.Address
    peers: list[models.Address] = []


class OperatorSettings(models.StrictModel):
    """Settings of the operators' command line.

    Attributes:
        cluster: Name of the cluster.
        store: "IP:PORT" of the platform's store.
        processes: Admin addresses of the processes to ask for status and
            events.
    """

    cluster: models.Name
    store: models.Address
    processes: list[models.Address] = []


Settings = typing.TypeVar("Settings", bound=models.StrictModel)


def read_settings(path: pathlib.Path, model: type[Settings]) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: A TOML file.
        model: The program's settings model.

    Raises:
        errors.SettingsError: The file is missing, malformed or out of range.
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
