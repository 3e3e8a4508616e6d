"""The environment that a program runs in."""

import dataclasses
import pathlib
import sys
import typing


@dataclasses.dataclass
class Environment:
    """Streams and places, passed in so that tests can replace the world.

    Attributes:
        stdout: Where results go.
        stderr: Where errors and logs go.
        config_dir: Where relative settings paths start.
        colours: Whether output may use terminal colours.
    """

    stdout: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stdout
    )
    stderr: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stderr
    )
    config_dir: pathlib.Path = dataclasses.field(default_factory=pathlib.Path)
    colours: bool = False
