"""Applies configurations; an older version never replaces a newer one."""

from collections.abc import Iterable

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.accounts.keys import apply_accounts, log_shared_keys
from burdockhitch.systems.direct.evidence.priors import update_priors
from burdockhitch.systems.direct.registry_changes import record_changes, record_gaps
from burdockhitch.tables.prefix_routes import PrefixRouteRow
from burdockhitch.tables.registry_views import (
    ConfigurationDocument,
    RegistryGap,
    RegistryPart,
    RegistryViewRow,
)
from burdockhitch.world import World, log_event, post_event

# Beginnings of the subjects by which changes of the configuration are recorded: a
# route may have the name of an account.
ROUTE_SUBJECT = "route "
ACCOUNT_SUBJECT = "account "


def registry_view(world: World, part: RegistryPart) -> RegistryViewRow:
    """Return this VM's view of a part of the registry, or an empty one."""
    return world.registry_views.get(part) or RegistryViewRow(part)


def record_version(world: World, part: RegistryPart, version: int) -> None:
    """Record the version that this VM holds of a registry part, if it is newer."""
    view = registry_view(world, part)
    if version > view.version:
        world.registry_views.put(view._replace(version=version))


def select_subjects(subjects: Iterable[str], beginning: str) -> tuple[str, ...]:
    """Return the names of the routes, or of the accounts, among changed subjects."""
    return tuple(
        subject.removeprefix(beginning)
        for subject in subjects
        if subject.startswith(beginning)
    )


def merge_routes(
    held: ConfigurationDocument,
    document: ConfigurationDocument,
    removed_route_ids: tuple[str, ...],
) -> ConfigurationDocument:
    """Return a configuration that has only changed routes, with all its routes."""
    routes = {route.route_id: route for route in held.routes}
    for route_id in removed_route_ids:
        routes.pop(route_id, None)
    routes.update((route.route_id, route) for route in document.routes)
    return document._replace(routes=tuple(routes.values()))


def merge_accounts(
    held: ConfigurationDocument,
    document: ConfigurationDocument,
    removed_accounts: tuple[str, ...],
) -> ConfigurationDocument:
    """Return a configuration that has only changed accounts, with all its accounts."""
    if not document.accounts and not removed_accounts:
        return document._replace(accounts=held.accounts)
    accounts = {row.account: row for row in held.accounts}
    for account in removed_accounts:
        accounts.pop(account, None)
    accounts.update((row.account, row) for row in document.accounts)
    return document._replace(accounts=tuple(accounts.values()))


def _compare_routes(
    held: Iterable[PrefixRouteRow], routes: Iterable[PrefixRouteRow]
) -> tuple[str, ...]:
    """Return which routes were added, changed or removed."""
    different = set(held).symmetric_difference(routes)
    return tuple(sorted({route.route_id for route in different}))


def apply_configuration(
    world: World,
    document: ConfigurationDocument,
    source: str,
    now: Instant,
    changed: tuple[str, ...] | None = None,
    gaps: tuple[RegistryGap, ...] = (),
) -> bool:
    """Apply a configuration if it is newer than the one in force.

    Args:
        world: Tables of this VM.
        document: Configuration with all its routes and accounts.
        source: Where it was read, for the log.
        now: Time of the tick.
        changed: Subjects of all routes and accounts that changed or were removed since
            the version in force, or since an older one; None if that is not known.
        gaps: Gaps of the source after the version in force, if ``changed`` is known.

    Returns:
        Whether it was applied.
    """
    held_version = registry_view(world, RegistryPart.CONFIGURATION).version
    if document.version <= held_version:
        return False
    part = RegistryPart.CONFIGURATION
    route_ids = _compare_routes(world.prefix_routes, document.routes)
    changed_accounts = None
    if changed is not None:
        route_ids = select_subjects(changed, ROUTE_SUBJECT)
        changed_accounts = select_subjects(changed, ACCOUNT_SUBJECT)
    world.configurations.clear()
    world.configurations.insert(document)
    world.prefix_routes.clear()
    for route in document.routes:
        world.prefix_routes.put(route)
    accounts = apply_accounts(world, document, changed_accounts)
    update_priors(world)
    record_version(world, part, document.version)
    if not held_version:
        view = registry_view(world, part)
        world.registry_views.put(view._replace(first_applied_at_s=now.monotonic_s))
    subjects = [ROUTE_SUBJECT + route_id for route_id in route_ids]
    subjects += [ACCOUNT_SUBJECT + account for account in accounts]
    record_changes(world, part, held_version, subjects)
    if changed is None:
        gaps = (RegistryGap(held_version, document.version),)
    record_gaps(world, part, gaps)
    log_event(
        world,
        "INFO",
        "configuration_applied",
        version=document.version,
        previous=held_version,
        n_routes=len(document.routes),
        n_accounts=len(document.accounts),
        source=source,
    )
    log_shared_keys(world, document.version)
    post_event(world, events.ConfigurationApplied(document.version))
    return True
