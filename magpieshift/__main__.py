"""``python -m magpieshift``: bare, one edge router told by its environment; with words, the command line."""

import os
import signal
import sys


def main() -> int:
    """The program; its exit code. The command line's libraries are imported only where it is asked for."""
    if len(sys.argv) > 1:
        from magpieshift.cli.main import run

        return run(sys.argv[1:])
    # before the router has its own handlers it has taken nothing and owes nothing; a file that changes now
    # may have been read already
    hangups: list[int] = []
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from magpieshift.app import main as bare

    return bare(hangups=hangups)


if __name__ == "__main__":
    sys.exit(main())
