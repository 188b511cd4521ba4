"""Applies configurations; an older version never replaces a newer one."""

from burdockhitch.clock import Instant
from burdockhitch.tables.registry_views import (
    ConfigurationDocument,
    RegistryPart,
    RegistryViewRow,
)
from burdockhitch.world import World, log_event


def registry_view(world: World, part: RegistryPart) -> RegistryViewRow:
    """Return this VM's view of a part of the registry, or an empty one."""
    return world.registry_views.get(part) or RegistryViewRow(part)


def record_version(world: World, part: RegistryPart, version: int) -> None:
    """Record the version that this VM holds of a registry part, if it is newer."""
    view = registry_view(world, part)
    if version > view.version:
        world.registry_views.put(view._replace(version=version))


def apply_configuration(
    world: World, document: ConfigurationDocument, source: str, now: Instant
) -> bool:
    """Apply a configuration if it is newer than the one in force.

    Returns:
        Whether it was applied.
    """
    held_version = registry_view(world, RegistryPart.CONFIGURATION).version
    if document.version <= held_version:
        return False
    world.configurations.clear()
    world.configurations.insert(document)
    world.prefix_routes.clear()
    for route in document.routes:
        world.prefix_routes.put(route)
    record_version(world, RegistryPart.CONFIGURATION, document.version)
    log_event(
        world,
        "INFO",
        "configuration_applied",
        version=document.version,
        previous=held_version,
        n_routes=len(document.routes),
        source=source,
    )
    return True
