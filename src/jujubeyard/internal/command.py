"""Runs a command line and maps its outcome to an exit status."""

import contextlib
import io
import traceback

import fire
import fire.core

import jujubeyard
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import status


def run_command(
    program: str, component, args: list[str], env: context.Environment
) -> status.ExitStatus:
    """Runs a command line.

    A JujubeyardError is reported on stderr; --debug adds its traceback.

    Args:
        program: Name of the program.
        component: The function or object that fire exposes as commands and
            options.
        args: Command-line arguments, without the program's name.
        env: Output streams and base directory for relative paths.

    Returns:
        The exit status of the program.
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
            result = fire.Fire(
                component, command=args, name=program, serialize=_discard_result
            )
    except fire.core.FireExit as exc:
        env.stdout.write(help_text.getvalue())
        return _exit_status_from_fire(exc.code)
    if isinstance(result, status.ExitStatus):
        return result
    return status.ExitStatus.SUCCESS


def _discard_result(result: object) -> None:
    """Serializes a result as nothing, so that fire does not print it."""
    del result


def _exit_status_from_fire(code: int) -> status.ExitStatus:
    if code == 0:
        return status.ExitStatus.SUCCESS
    return status.ExitStatus.USAGE


def _write_error(program, exc: errors.JujubeyardError, env) -> None:
    env.stderr.write(f"{program}: error: {exc.message}\n")
    if exc.hint:
        env.stderr.write(f"{program}: hint: {exc.hint}\n")
