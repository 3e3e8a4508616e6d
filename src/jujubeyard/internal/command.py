"""Runs a command line: arguments, errors, exit status."""

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
