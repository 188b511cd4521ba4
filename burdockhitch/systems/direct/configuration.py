"""Applies configurations; an older version never replaces a newer one."""

from burdockhitch.clock import Instant
from burdockhitch.tables.registry_views import (
    ConfigurationDocument,
    Subject,
    ViewRow,
)
from burdockhitch.world import World, log_event


def view_of(world: World, subject: Subject) -> ViewRow:
    """Return this VM's view of a part of the registry, or an empty one."""
    return world.registry_views.get(subject) or ViewRow(subject)


def raise_version(world: World, subject: Subject, version: int) -> None:
    """Record the version that this VM holds of a registry part, if it is newer."""
    view = view_of(world, subject)
    if version > view.version:
        world.registry_views.put(view._replace(version=version))


def adopt_configuration(
    world: World, document: ConfigurationDocument, source: str, now: Instant
) -> bool:
    """Apply a configuration if it is newer than the one in force.

    Returns:
        Whether it was applied.
    """
    held_version = view_of(world, Subject.CONFIGURATION).version
    if document.version <= held_version:
        return False
    world.configurations.clear()
    world.configurations.insert(document)
    world.prefix_routes.clear()
    for route in document.routes:
        world.prefix_routes.put(route)
    raise_version(world, Subject.CONFIGURATION, document.version)
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
