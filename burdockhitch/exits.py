"""Exit codes of the programs, and the errors that they stand for."""

import sys
from collections.abc import Callable

from burdockhitch.errors import (
    BurdockhitchError,
    LargeDeletionError,
    MergeConflictError,
    MissingSettingsFileError,
    PlatformUnavailableError,
    RulesFileError,
    SettingsError,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

_EXIT_CODE_BY_ERROR: tuple[tuple[type[BurdockhitchError], int], ...] = (
    (RulesFileError, EXIT_INVALID_INPUT),
    (SettingsError, EXIT_INVALID_INPUT),
    (MissingSettingsFileError, EXIT_INVALID_INPUT),
    (MergeConflictError, EXIT_CONFLICT),
    (LargeDeletionError, EXIT_CONFLICT),
    (PlatformUnavailableError, EXIT_UNAVAILABLE),
)


def exit_code_for(error: BurdockhitchError) -> int:
    """Return the exit code for an error; the first matching type decides."""
    for error_type, code in _EXIT_CODE_BY_ERROR:
        if isinstance(error, error_type):
            return code
    return EXIT_FAILED


def run_program(program: Callable[[], None]) -> int:
    """Run a program, write its error to standard error and return its exit code."""
    try:
        program()
    except BurdockhitchError as error:
        sys.stderr.write(f"{error}\n")
        return exit_code_for(error)
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAILED
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else EXIT_FAILED
    return EXIT_OK
