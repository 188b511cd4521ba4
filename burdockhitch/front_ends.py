"""Front ends: how a daemon meets callers, backend servers and the platform.

Each imports its modules only when it is chosen, since what is imported costs
memory and time at the start.
"""

from collections.abc import Callable
from pathlib import Path

from burdockhitch.registry import Registry

FrontEnd = Callable[[Path], None]
front_ends: Registry[FrontEnd] = Registry("front end")
DEFAULT_FRONT_END = "native"


@front_ends("native")
def run_native(path: Path) -> None:
    """Run the product's own interface.

    Args:
        path: INI file with the settings.
    """
    from burdockhitch.adapters.daemon import run_daemon
    from burdockhitch.settings import read_settings

    run_daemon(read_settings(path))


@front_ends("platform")
def run_on_platform(path: Path) -> None:
    """Run on the users' platform.

    Args:
        path: Settings that the platform filled in.
    """
    from burdockhitch.platform.daemon import run_platform_daemon

    run_platform_daemon(path)
