"""``python -m magpieshift``: one edge router run by its environment, or with arguments the command line."""

import os
import signal
import sys


def main() -> int:
    """Run the program; returns its exit code. The command line's libraries are imported only if used."""
    if len(sys.argv) > 1:
        from magpieshift.cli.main import run

        return run(sys.argv[1:])
    # Signals that come before the router handles them itself: it has taken nothing, so SIGTERM may end it at
    # once; on SIGHUP it reloads later, as the file may have been read already.
    early_reloads: list[int] = []
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    from magpieshift.app import main as run_router

    return run_router(early_reloads=early_reloads)


if __name__ == "__main__":
    sys.exit(main())
