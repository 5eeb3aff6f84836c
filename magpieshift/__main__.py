"""``python -m magpieshift``: without arguments runs one edge router configured by the environment, with
arguments the command-line interface."""

import sys

from magpieshift.early_signals import handle_early_signals, is_serving_command


def main() -> int:
    """Run the program; returns its exit code.

    Signal handlers are installed before the slow imports that each command needs.
    """
    words = sys.argv[1:]
    if is_serving_command(words):
        handle_early_signals()
    if words:
        from magpieshift.cli.main import run

        return run(words)
    from magpieshift.app import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
