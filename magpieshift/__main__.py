"""``python -m magpieshift``: bare, one edge router told by its environment; with words, the command line."""

import sys


def main() -> int:
    """The program; its exit code. The command line's libraries are imported only where it is asked for."""
    if len(sys.argv) > 1:
        from magpieshift.cli.main import run

        return run(sys.argv[1:])
    from magpieshift.app import main as bare

    return bare()


if __name__ == "__main__":
    sys.exit(main())
