"""How the command line ends: what went wrong in one line on standard error, and an exit code.

0: done. 1: it failed or was turned down, or a comparison found differences. 2: the call, or a file that it
names, cannot be used.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable

import click

from magpieshift.config import ConfigError

PROGRAM = "magpieshift"
DONE = 0
FAILED = 1
UNUSABLE = 2
INTERRUPTED = 130
# errors of optional parts, which are known only where their libraries are there
OPTIONAL = (
    ("magpieshift.control.errors", "UnusableDocumentError"),
    ("magpieshift.control.errors", "VersionStoreError"),
    ("magpieshift.capture.segments", "CaptureError"),
    ("magpieshift.capture.policy", "PolicyError"),
)


def unusable() -> tuple[type[Exception], ...]:
    """The errors whose text says in one line what cannot be used."""
    found: list[type[Exception]] = [ConfigError]
    for module, name in OPTIONAL:
        try:
            found.append(getattr(importlib.import_module(module), name))
        except ImportError:
            continue
    return tuple(found)


def line_of(err: click.UsageError) -> str:
    """The command, the parameter where it is one, and what is wrong."""
    place = err.ctx.command_path if err.ctx is not None else PROGRAM
    what = err.format_message()
    if isinstance(err, click.BadParameter) and not isinstance(err, click.MissingParameter) and err.param:
        name = err.param.opts[0] if isinstance(err.param, click.Option) else err.param.human_readable_name
        what = f"{name}: {err.message}"
    return " ".join(f"{place}: {what}".split())


def guarded(command: Callable[[], object]) -> int:
    """Run a command; its exit code, after one line for what the caller can mend."""
    try:
        command()
    except click.UsageError as err:
        print(line_of(err), file=sys.stderr)
        return UNUSABLE
    except unusable() as err:
        print(f"{PROGRAM}: {err}", file=sys.stderr)
        return UNUSABLE
    except click.ClickException as err:
        err.show()
        return FAILED
    except click.exceptions.Exit as err:
        return err.exit_code
    except click.Abort:
        return INTERRUPTED
    except SystemExit as err:
        return int(err.code or DONE)
    return DONE
