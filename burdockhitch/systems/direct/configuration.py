"""Puts configurations in force, never an older one."""

from burdockhitch.clock import Instant
from burdockhitch.tables.registry_views import (
    ConfigurationDocument,
    Subject,
    ViewRow,
)
from burdockhitch.world import World, log_event


def view_of(world: World, subject: Subject) -> ViewRow:
    """Return how a part of the registry is held here."""
    return world.registry_views.get(subject) or ViewRow(subject)


def raise_version(world: World, subject: Subject, version: int) -> None:
    """Note that a part of the registry is held in a version, if it is newer."""
    view = view_of(world, subject)
    if version > view.version:
        world.registry_views.put(view._replace(version=version))


def adopt_configuration(
    world: World, document: ConfigurationDocument, source: str, now: Instant
) -> bool:
    """Put a configuration in force if it is newer than the one held.

    Returns:
        Whether it came in force.
    """
    version = view_of(world, Subject.CONFIGURATION).version
    if document.version <= version:
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
        previous=version,
        n_routes=len(document.routes),
        source=source,
    )
    return True
