"""Entry point of an entry VM on the platform; it takes no arguments.

It runs the same daemon as ``burdockhitch serve --front-end platform``, without loading
the command line, because callers wait for the start when all VMs start at once.
"""

import os
import sys
from pathlib import Path

from burdockhitch.errors import MissingSettingsFileError
from burdockhitch.exits import run_program
from burdockhitch.front_ends import SETTINGS_FILE_VARIABLE, front_ends

FRONT_END = "platform"


def serve() -> None:
    """Run the daemon with the settings file that the environment names.

    Raises:
        MissingSettingsFileError: If the environment names no settings file.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise MissingSettingsFileError(SETTINGS_FILE_VARIABLE)
    front_ends[FRONT_END](Path(path))


if __name__ == "__main__":
    sys.exit(run_program(serve))
