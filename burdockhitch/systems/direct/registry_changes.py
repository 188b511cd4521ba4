"""Records which entries of the registry changed, so that copies hold only those.

An entry is recorded with the version that this VM held after the change, which may be
above the version of the change itself. So a copy may hold too many entries, but it
never lacks one: a VM that copies changes holds all of them for each version in between,
unless the source skipped versions, and such gaps come with the copy.
"""

from collections.abc import Iterable

from burdockhitch.tables.registry_views import (
    RegistryChangeRow,
    RegistryGap,
    RegistryGapRow,
    RegistryPart,
)
from burdockhitch.world import World

# Most changes and gaps that are kept for each registry part.
CHANGES_MAX = 1000
GAPS_MAX = 100


def record_changes(
    world: World, part: RegistryPart, previous_version: int, subjects: Iterable[str]
) -> None:
    """Record which entries changed between a version and the one now held.

    Args:
        world: Tables of this VM.
        part: Part of the registry.
        previous_version: Version held before; 0 for none.
        subjects: Changed and removed entries.
    """
    view = world.registry_views.fetch(part)
    if previous_version == 0:
        _forget_before(world, part, view.version)
        return
    for subject in subjects:
        # Inserted again, so that a part's changes are sorted by version.
        world.registry_changes.discard((part, subject))
        world.registry_changes.insert(
            RegistryChangeRow((part, subject), part, view.version)
        )
    changes = world.registry_changes.select("part", part)
    if len(changes) > CHANGES_MAX:
        _forget_before(world, part, changes[-CHANGES_MAX - 1].version)


def record_gaps(world: World, part: RegistryPart, gaps: Iterable[RegistryGap]) -> None:
    """Record gaps after all those recorded before, sorted by version.

    An entry may have changed and changed back between the versions of a gap.
    """
    for after_version, before_version in gaps:
        if after_version > 0 and before_version - after_version > 1:
            gap_id = (part, after_version)
            world.registry_gaps.put(RegistryGapRow(gap_id, part, before_version))
    rows = world.registry_gaps.select("part", part)
    if len(rows) > GAPS_MAX:
        _forget_before(world, part, rows[-GAPS_MAX - 1].before_version)


def find_gaps(
    world: World, part: RegistryPart, version: int
) -> tuple[RegistryGap, ...]:
    """Return the gaps after a version."""
    return tuple(
        RegistryGap(gap.gap_id[1], gap.before_version)
        for gap in world.registry_gaps.select("part", part)
        if gap.before_version > version
    )


def _forget_before(world: World, part: RegistryPart, version: int) -> None:
    """Remove the records that only requesters with an older version need."""
    view = world.registry_views.fetch(part)
    world.registry_views.put(view._replace(changes_from_version=version))
    for change in world.registry_changes.select("part", part):
        if change.version <= version:
            world.registry_changes.remove(change.change_id)
    for gap in world.registry_gaps.select("part", part):
        if gap.before_version <= version:
            world.registry_gaps.remove(gap.gap_id)


def find_changes(world: World, part: RegistryPart, version: int) -> list[str] | None:
    """Return the entries that changed after a version, or None if not all are known."""
    if version < world.registry_views.fetch(part).changes_from_version:
        return None
    for gap in world.registry_gaps.select("part", part):
        if gap.gap_id[1] < version < gap.before_version:
            return None
    return [
        change.change_id[1]
        for change in world.registry_changes.select("part", part)
        if change.version > version
    ]
