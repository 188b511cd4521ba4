"""Program entry point: runs the command line and maps errors to exit codes."""

import sys

from burdockhitch.command import app
from burdockhitch.exits import run_program


def main(argv: list[str] | None = None) -> int:
    """Run the command line.

    Args:
        argv: Arguments without the program name; None means ``sys.argv[1:]``.

    Returns:
        The exit code.
    """
    return run_program(lambda: app(args=argv, prog_name="burdockhitch"))


def run() -> None:
    """Run the command line and exit the process with its exit code."""
    sys.exit(main())


if __name__ == "__main__":
    run()
