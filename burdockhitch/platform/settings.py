"""Settings of a process on the platform.

The platform fills in ``deploy/node.ini``, which is the product's own format. It
can't say there at which port a seed takes messages.
"""

from pathlib import Path

from burdockhitch.settings import Settings, read_settings


def _message_address(seed: str, own_message_address: str) -> str:
    """Return where a seed takes messages: its ports are those of this VM."""
    port = own_message_address.rpartition(":")[2]
    return f"{seed.rpartition(':')[0]}:{port}"


def place_seeds(settings: Settings) -> Settings:
    """Return settings whose seeds are addresses for messages."""
    own = settings.vm.message_address
    seeds = tuple(_message_address(seed, own) for seed in settings.membership.seeds)
    return settings._replace(membership=settings.membership._replace(seeds=seeds))


def read_platform_settings(path: Path) -> Settings:
    """Read and check the settings that the platform filled in.

    Raises:
        SettingsError: If the file can't be read or anything in it is unusable.
    """
    return place_seeds(read_settings(path))
