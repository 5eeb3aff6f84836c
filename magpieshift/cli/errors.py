"""Exit codes of the command line, and the reporting of errors that the caller can correct: one line on
standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress
from enum import IntEnum

import click

from magpieshift.config import ConfigError

PROGRAM = "magpieshift"


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    OK = 0
    FAILED = 1
    """The command failed or was rejected, or a comparison or check found differences."""
    UNUSABLE_INPUT = 2
    """The command line is invalid, or a file that it names cannot be used."""
    INTERRUPTED = 130


def unusable_input_errors() -> tuple[type[Exception], ...]:
    """The errors whose one-line message names the unusable input. The errors of optional parts are included
    only if the libraries of these parts are installed."""
    errors: list[type[Exception]] = [ConfigError]
    with suppress(ImportError):
        from magpieshift.control.errors import UnusableDocumentError

        errors.append(UnusableDocumentError)
    with suppress(ImportError):
        from magpieshift.control.errors import VersionStoreError

        errors.append(VersionStoreError)
    with suppress(ImportError):
        from magpieshift.capture.errors import CaptureError

        errors.append(CaptureError)
    return tuple(errors)


def usage_error_line(err: click.UsageError) -> str:
    """A usage error as one line: the command, the parameter if the error is about one, and the message."""
    command = err.ctx.command_path if err.ctx is not None else PROGRAM
    message = err.format_message()
    if isinstance(err, click.BadParameter) and not isinstance(err, click.MissingParameter) and err.param:
        name = err.param.opts[0] if isinstance(err.param, click.Option) else err.param.human_readable_name
        message = f"{name}: {err.message}"
    return " ".join(f"{command}: {message}".split())


def exit_code_of(command: Callable[[], object]) -> int:
    """Run a command and return its exit code; an error that the caller can correct is reported as one line on
    standard error."""
    try:
        command()
    except click.exceptions.Exit as err:
        return err.exit_code
    except SystemExit as err:
        return int(err.code or ExitCode.OK)
    except click.Abort:
        return ExitCode.INTERRUPTED
    except click.UsageError as err:
        print(usage_error_line(err), file=sys.stderr)
    except unusable_input_errors() as err:
        print(f"{PROGRAM}: {err}", file=sys.stderr)
    except click.ClickException as err:
        err.show()
        return ExitCode.FAILED
    else:
        return ExitCode.OK
    return ExitCode.UNUSABLE_INPUT
