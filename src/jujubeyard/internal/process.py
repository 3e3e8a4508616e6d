"""Runs a long-lived program: settings, signals and exit status."""

import asyncio
import collections.abc
import gc
import pathlib
import signal
import sys

from jujubeyard import context
from jujubeyard import settings
from jujubeyard import status
from jujubeyard.internal import command

GC_THRESHOLD_OBJECTS = 20_000
"""Net new objects that trigger a garbage collection.

Collections can be rare, since a call leaves few reference cycles.
"""

Main = collections.abc.Callable[
    [object, context.Environment, asyncio.Event],
    collections.abc.Coroutine[None, None, None],
]


def run_daemon(
    program: str,
    model: type[settings.Settings],
    main: Main,
    args: list[str] | None = None,
    env: context.Environment | None = None,
) -> status.ExitStatus:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        program: Name of the program.
        model: Model of the program's settings.
        main: Coroutine function that serves until its stop event is set.
        args: Command-line arguments, without the program's name; those of
            the process by default.
        env: Output streams and base directory for relative paths.

    Returns:
        The exit status of the program.
    """
    env = env or context.Environment()

    def serve(settings_file: str, check: bool = False) -> status.ExitStatus:
        """Serves until SIGTERM or SIGINT.

        Args:
            settings_file: Path of the TOML settings file.
            check: Check the settings and exit.
        """
        path = env.config_dir / pathlib.Path(str(settings_file))
        cfg = settings.read_settings(path, model)
        if not check:
            asyncio.run(_run_until_signal(main, cfg, env))
        return status.ExitStatus.SUCCESS

    args = sys.argv[1:] if args is None else args
    return command.run_command(program, serve, args, env)


async def _run_until_signal(main: Main, cfg, env) -> None:
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await main(cfg, env, stop)
