"""This VM's copy of the platform's registry, with direct sending."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.tables.prefix_routes import PrefixRouteRow
from burdockhitch.tables.table import Table

# Versions of one era, i.e. between two restores of the platform's store. A power of
# ten, so that both numbers can be read from a version in a log line.
VERSIONS_PER_ERA = 10**11


def make_version(era: int, number: int) -> int:
    """Return a version that rises although a restored store numbers changes anew.

    Args:
        era: Number that rises with each restore of the store from a copy.
        number: Version of the store, which goes back at a restore.
    """
    return era * VERSIONS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // VERSIONS_PER_ERA


def number_of(version: int) -> int:
    """Return the version within its era, as the store counts it."""
    return version % VERSIONS_PER_ERA


class RegistryPart(StrEnum):
    """Parts of the registry, each with a version of its own."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    VMS = "vms"


class ConfigurationDocument(NamedTuple):
    """A configuration that operators published in the registry.

    Attributes:
        version: Version of the configuration; an older one never replaces it.
        routes: All routes.
        body_max_bytes: Size limit for the body of a request.
        header_max_bytes: Size limit for the header section of a request.
        idle_timeout_s: Time for which a caller's connection may be idle.
        connections_max: Connections that each backend server of a service accepts
            from all VMs together, by service.
        has_accounts: Whether the configuration has client accounts, so that requests
            need a key unless their route is public.
        accounts: All client accounts.
        header_timeout_s: Time within which the head of a request must be complete.
    """

    version: int
    routes: tuple[PrefixRouteRow, ...]
    body_max_bytes: int
    header_max_bytes: int
    idle_timeout_s: float
    connections_max: dict[str, int]
    has_accounts: bool = False
    accounts: tuple[ClientAccountRow, ...] = ()
    header_timeout_s: float = 10.0


class RegistryViewRow(NamedTuple):
    """Version and freshness of this VM's copy of one part of the registry.

    Attributes:
        part: Part of the registry.
        version: Version of the copy, read from the platform or from another VM;
            0 for none.
        watch_from_version: Newest version that the platform itself sent to this VM,
            from which the next watch continues; 0 for none.
        platform_answered_at_s: Monotonic time of the platform's last answer to this
            VM; 0 for none.
        read_failed_at_s: Monotonic time of this VM's last failed read from the
            platform, or of the start of the next successful one if that was much later;
            0 for none.
        restored_at_s: Monotonic time at which this VM learned that the platform's
            store was restored from a copy; 0 if it was not.
        n_failures: Failed reads from the platform since the last successful one.
        operation_id: Read or watch in progress, empty for none.
        changes_from_version: Oldest version from which on all changes are recorded in
            ``RegistryChangeRow``, except from versions in a ``RegistryGapRow``.
        first_applied_at_s: Monotonic time at which this VM applied its first version
            since its start; 0 for none. Set for the configuration only.
        has_caught_up: Whether this VM, since its start, has once held a version as
            new as those that others reported. Set for the configuration only.
    """

    part: RegistryPart
    version: int = 0
    watch_from_version: int = 0
    platform_answered_at_s: float = 0.0
    read_failed_at_s: float = 0.0
    restored_at_s: float = 0.0
    n_failures: int = 0
    operation_id: str = ""
    changes_from_version: int = 0
    first_applied_at_s: float = 0.0
    has_caught_up: bool = False


class RegistryChangeRow(NamedTuple):
    """The last change or removal of one entry in this VM's copy of the registry.

    Attributes:
        change_id: Registry part, and the name of the entry in it.
        part: Registry part.
        version: Version of this VM's copy after the change.
    """

    change_id: tuple[RegistryPart, str]
    part: RegistryPart
    version: int


class RegistryGap(NamedTuple):
    """Versions of a registry part between which not all changes are known.

    Attributes:
        after_version: Last version before the gap.
        before_version: First version after the gap.
    """

    after_version: int
    before_version: int


class RegistryGapRow(NamedTuple):
    """Versions of a registry part that this VM, or the source of its copy, skipped.

    They are skipped when the whole part is read.

    Attributes:
        gap_id: Registry part, and the last version before the gap.
        part: Registry part.
        before_version: First version after the gap.
    """

    gap_id: tuple[RegistryPart, int]
    part: RegistryPart
    before_version: int


class CopyQueueRow(NamedTuple):
    """The copies of the registry that this VM still sends to others, by estimate.

    Attributes:
        vm_id: This VM.
        ends_at_s: Monotonic time at which the last one is expected to be sent.
    """

    vm_id: str
    ends_at_s: float


class MissingServerRow(NamedTuple):
    """A backend server that vanished from the registry in or soon after an outage.

    It stays in use until a timer removes it, because entries that expired in an outage
    of the platform are usually listed again soon after its end.

    Attributes:
        server_id: Backend server.
    """

    server_id: str


class RemovedServerRow(NamedTuple):
    """A backend server that left, by which a restored list that holds it is known.

    Attributes:
        server_id: Backend server.
        process_started_ms: Start of its latest process; see ``BackendServerRow``.
        removed_at_s: Monotonic time of the removal.
    """

    server_id: str
    process_started_ms: int
    removed_at_s: float


class SuspendedServerRow(NamedTuple):
    """A backend server in a restored list that this VM had seen leave.

    It counts as draining until a timer fires, since the platform removes it soon if it
    has left. If it doesn't, the server had only been silent.

    Attributes:
        server_id: Backend server.
    """

    server_id: str


def make_registry_views() -> Table[RegistryViewRow]:
    """Return an empty table of views by registry part."""
    return Table(RegistryViewRow, key="part")


def make_registry_changes() -> Table[RegistryChangeRow]:
    """Return an empty table of changes of registry entries."""
    return Table(RegistryChangeRow, key="change_id", indexes=("part",))


def make_registry_gaps() -> Table[RegistryGapRow]:
    """Return an empty table of gaps between known versions of the registry."""
    return Table(RegistryGapRow, key="gap_id", indexes=("part",))


def make_copy_queues() -> Table[CopyQueueRow]:
    """Return an empty table for the queue of copies that this VM sends."""
    return Table(CopyQueueRow, key="vm_id")


def make_configurations() -> Table[ConfigurationDocument]:
    """Return an empty table for the configuration in force."""
    return Table(ConfigurationDocument, key="version")


def make_missing_servers() -> Table[MissingServerRow]:
    """Return an empty table of backend servers to be removed."""
    return Table(MissingServerRow, key="server_id")


def make_removed_servers() -> Table[RemovedServerRow]:
    """Return an empty table of backend servers that left."""
    return Table(RemovedServerRow, key="server_id", sorted_fields=("removed_at_s",))


def make_suspended_servers() -> Table[SuspendedServerRow]:
    """Return an empty table of backend servers that count as draining for a while."""
    return Table(SuspendedServerRow, key="server_id")
