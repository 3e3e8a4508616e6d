"""Runs a program: arguments, settings, signals, exit status."""

import asyncio
import collections.abc
import contextlib
import gc
import io
import pathlib
import signal
import sys
import traceback

import fire
import fire.core

import jujubeyard
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import settings
from jujubeyard import status

GARBAGE_THRESHOLD = 20_000
"""Objects created before a collection; calls leave few cycles behind."""

Main = collections.abc.Callable[
    [object, context.Environment, asyncio.Event],
    collections.abc.Coroutine[None, None, None],
]


def run_command(
    program: str, component, args: list[str], env: context.Environment
) -> status.ExitStatus:
    """Runs a command line and turns its outcome into an exit status.

    Args:
        program: Name of the program.
        component: A function or object whose parameters are the options.
        args: Arguments without the program's name.
        env: Streams and places.
    """
    debug = "--debug" in args
    args = [arg for arg in args if arg != "--debug"]
    if args == ["--version"]:
        env.stdout.write(f"{program} {jujubeyard.__version__}\n")
        return status.ExitStatus.SUCCESS
    if args in (["--help"], ["-h"]):
        args = ["--", "--help"]
    try:
        return _run_fire(program, component, args, env)
    except errors.JujubeyardError as exc:
        if debug:
            traceback.print_exc(file=env.stderr)
        _write_error(program, exc, env)
        return exc.exit_status
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED


def _run_fire(program, component, args, env) -> status.ExitStatus:
    help_text = io.StringIO()
    try:
        with contextlib.ExitStack() as stack:
            if "--help" in args or "-h" in args:
                stack.enter_context(contextlib.redirect_stdout(help_text))
                stack.enter_context(contextlib.redirect_stderr(help_text))
            outcome = fire.Fire(
                component, command=args, name=program, serialize=_hide
            )
    except fire.core.FireExit as exc:
        env.stdout.write(help_text.getvalue())
        return _status_of_fire(exc.code)
    if isinstance(outcome, status.ExitStatus):
        return outcome
    return status.ExitStatus.SUCCESS


def _hide(outcome: object) -> None:
    """Keeps fire from printing what a command returns."""
    del outcome


def _status_of_fire(code: int) -> status.ExitStatus:
    if code == 0:
        return status.ExitStatus.SUCCESS
    return status.ExitStatus.USAGE


def _write_error(program, exc: errors.JujubeyardError, env) -> None:
    env.stderr.write(f"{program}: error: {exc.message}\n")
    if exc.hint:
        env.stderr.write(f"{program}: hint: {exc.hint}\n")


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
    return run_command(program, serve, args, env)


async def _run_until_signal(main: Main, cfg, env) -> None:
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(cfg, env, stop)
