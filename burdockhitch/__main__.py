"""Entry point of the program."""

import sys

import typer
from click.exceptions import ClickException

from burdockhitch.command import app, exit_code_of
from burdockhitch.errors import BurdockhitchError

EXIT_INTERRUPTED = 130


def main(argv: list[str] | None = None) -> int:
    """Run the command line.

    Args:
        argv: Arguments without the program's name; those of the process if None.

    Returns:
        The exit code.
    """
    try:
        result = app(args=argv, standalone_mode=False, prog_name="burdockhitch")
    except BurdockhitchError as error:
        sys.stderr.write(f"{error}\n")
        return exit_code_of(error)
    except ClickException as error:
        error.show()
        return error.exit_code
    except typer.Abort:
        return EXIT_INTERRUPTED
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        return 1
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
