"""Program entry point: runs the command line and maps errors to exit codes."""

import sys

from burdockhitch.command import EXIT_FAILED, EXIT_OK, app, exit_code_for
from burdockhitch.errors import BurdockhitchError


def main(argv: list[str] | None = None) -> int:
    """Run the command line.

    Args:
        argv: Arguments without the program name; None means ``sys.argv[1:]``.

    Returns:
        The exit code.
    """
    try:
        app(args=argv, prog_name="burdockhitch")
    except BurdockhitchError as error:
        sys.stderr.write(f"{error}\n")
        return exit_code_for(error)
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAILED
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else EXIT_FAILED
    return EXIT_OK


def run() -> None:
    """Run the command line and exit the process with its exit code."""
    sys.exit(main())


if __name__ == "__main__":
    run()
