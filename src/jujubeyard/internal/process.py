"""Runs a program that serves: settings, signals, exit status."""

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

GARBAGE_THRESHOLD = 20_000
"""Objects created before a collection; calls leave few cycles behind."""

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
    """Runs a program that serves until SIGTERM or SIGINT.

    Args:
        program: Name of the program.
        model: Model of its settings.
        main: Serves until the event that it is given is set.
        args: Arguments without the program's name.
        env: Streams and places.
    """
    env = env or context.Environment()

    def serve(settings_file: str, check: bool = False) -> status.ExitStatus:
        """Serves until SIGTERM.

        Args:
            settings_file: Path of the TOML settings file.
            check: Only check the settings, then exit.
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
    gc.set_threshold(GARBAGE_THRESHOLD)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(cfg, env, stop)
