"""Settings of a process on the platform.

The platform generates them from the template ``deploy/node.ini``, in this program's
own format. The template can't express the message port of a seed.
"""

from pathlib import Path

from burdockhitch.settings import Settings, read_settings


def _message_address(seed: str, own_message_address: str) -> str:
    """Return a seed's message address; all VMs use the same message port."""
    port = own_message_address.rpartition(":")[2]
    return f"{seed.rpartition(':')[0]}:{port}"


def complete_seed_addresses(settings: Settings) -> Settings:
    """Return the settings with the seeds replaced by their message addresses."""
    own = settings.vm.message_address
    seeds = tuple(_message_address(seed, own) for seed in settings.membership.seeds)
    return settings._replace(membership=settings.membership._replace(seeds=seeds))


def read_platform_settings(path: Path) -> Settings:
    """Read and check the settings that the platform generated.

    Raises:
        SettingsError: If the file can't be read or a setting is invalid.
    """
    return complete_seed_addresses(read_settings(path))
