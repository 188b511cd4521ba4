"""What backend servers state in their answers about requests to come.

Each row is about one process of a server, so that it outlives the server's entry in the
registry, which may be late, copied from a VM that is behind, or restored.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class LeavingServerRow(NamedTuple):
    """A backend server that stated to this VM that it is leaving.

    Attributes:
        server_id: Backend server.
        process_started_ms: Start of the process that stated it; see
            ``BackendServerRow``.
        stated_at_s: Monotonic time of the first answer that stated it.
    """

    server_id: str
    process_started_ms: int
    stated_at_s: float


class RestingServerRow(NamedTuple):
    """A backend server that refused a request of this VM, and said for how long.

    Attributes:
        server_id: Backend server.
        process_started_ms: Start of the process that refused.
        until_s: Monotonic time until which it wants no requests of this VM.
    """

    server_id: str
    process_started_ms: int
    until_s: float


def make_leaving_servers() -> Table[LeavingServerRow]:
    """Return an empty table of servers that stated that they are leaving."""
    return Table(LeavingServerRow, key="server_id", sorted_fields=("stated_at_s",))


def make_resting_servers() -> Table[RestingServerRow]:
    """Return an empty table of servers that want no requests for a time."""
    return Table(RestingServerRow, key="server_id")
