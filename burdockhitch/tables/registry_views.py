"""What this VM knows of the platform's registry and how fresh it is."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.prefix_routes import PrefixRouteRow
from burdockhitch.tables.table import Table


class Subject(StrEnum):
    """Parts of the registry."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    VMS = "vms"


class ConfigurationDocument(NamedTuple):
    """A configuration that operators put in force.

    Attributes:
        version: Number; it never falls.
        routes: All routes.
        body_max_bytes: Largest body of a request.
        header_max_bytes: Largest header section of a request.
        idle_timeout_s: Time that a caller's connection may be idle.
        connections_max: Connections that each server of a service takes.
    """

    version: int
    routes: tuple[PrefixRouteRow, ...]
    body_max_bytes: int
    header_max_bytes: int
    idle_timeout_s: float
    connections_max: dict[str, int]


class ViewRow(NamedTuple):
    """One part of the registry as this VM holds it.

    Attributes:
        subject: Part of the registry.
        version: Version held, from whatever source; 0 for none.
        watched_version: Version of the last answer of the platform to this VM,
            from which a watch goes on; 0 for none.
        confirmed_at_s: Monotonic time of the last answer of the platform to
            this VM; 0 for none.
        failed_at_s: Monotonic time of the last failed read; 0 for none.
        n_failures: Failed reads in a row.
        operation_id: Read in progress, empty when there is none.
    """

    subject: Subject
    version: int = 0
    watched_version: int = 0
    confirmed_at_s: float = 0.0
    failed_at_s: float = 0.0
    n_failures: int = 0
    operation_id: str = ""


class DepartureRow(NamedTuple):
    """A backend server whose entry vanished while the platform was unwell.

    Attributes:
        server_id: Backend server.
    """

    server_id: str


def make_registry_views() -> Table[ViewRow]:
    """Return an empty table of views."""
    return Table(ViewRow, key="subject")


def make_configurations() -> Table[ConfigurationDocument]:
    """Return an empty table for the configuration in force."""
    return Table(ConfigurationDocument, key="version")


def make_departures() -> Table[DepartureRow]:
    """Return an empty table of departures."""
    return Table(DepartureRow, key="server_id")
