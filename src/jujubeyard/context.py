"""Environment of a program: streams, directories and terminal features."""

import dataclasses
import pathlib
import sys
import typing


@dataclasses.dataclass
class Environment:
    """Streams and paths of a program, which tests can replace.

    Attributes:
        stdout: Stream for results.
        stderr: Stream for errors and logs.
        config_dir: Base directory of relative settings and manifest paths.
        colours: Whether output may contain ANSI escape sequences.
    """

    stdout: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stdout
    )
    stderr: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stderr
    )
    config_dir: pathlib.Path = dataclasses.field(default_factory=pathlib.Path)
    colours: bool = False
