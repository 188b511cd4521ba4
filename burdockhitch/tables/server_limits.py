"""Rates that backend servers accept from all VMs together, as they state them."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServerLimitRow(NamedTuple):
    """The rate that a backend server states in its answers.

    Attributes:
        server_id: Backend server.
        limit_per_s: Requests a second from all VMs together; None once the server
            states no limit any more.
        stated_at_s: Monotonic time of the latest answer that shows it.
    """

    server_id: str
    limit_per_s: float | None
    stated_at_s: float


def make_server_limits() -> Table[ServerLimitRow]:
    """Return an empty table of the limits that servers state."""
    return Table(ServerLimitRow, key="server_id")
