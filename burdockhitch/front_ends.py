"""Front ends: protocols with callers, backend servers and the platform.

Each front end imports its modules only when it is selected, because imports cost
memory and startup time.
"""

from collections.abc import Callable
from pathlib import Path

from burdockhitch.registry import Registry

FrontEnd = Callable[[Path], None]
front_ends: Registry[FrontEnd] = Registry("front end")
DEFAULT_FRONT_END = "native"
# Environment variable with the path of the settings file.
SETTINGS_FILE_VARIABLE = "BURDOCKHITCH_NODE_FILE"


@front_ends("native")
def run_native(path: Path) -> None:
    """Run the daemon with this project's own protocols.

    Args:
        path: INI file with the settings.
    """
    from burdockhitch.adapters.daemon import run_daemon
    from burdockhitch.settings import read_settings

    run_daemon(read_settings(path))


@front_ends("platform")
def run_on_platform(path: Path) -> None:
    """Run the daemon with the protocols of the users' platform.

    Args:
        path: INI file that the platform generated for this VM.
    """
    from burdockhitch.platform.daemon import run_platform_daemon

    run_platform_daemon(path)
