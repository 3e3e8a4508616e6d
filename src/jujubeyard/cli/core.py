"""Main function of the command line for operators."""

import sys

from jujubeyard import context
from jujubeyard import status
from jujubeyard.cli import commands
from jujubeyard.internal import command

PROGRAM = "jujubeyard"


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs one command.

    Args:
        args: Command-line arguments, without the program's name; those of the
            process by default.
        env: Output streams and base directory for relative paths; those of the
            process by default.

    Returns:
        The exit status of the program.
    """
    args = sys.argv[1:] if args is None else args
    env = env or context.Environment(colours=sys.stdout.isatty())
    return command.run_command(PROGRAM, commands.Commands(env), args, env)
