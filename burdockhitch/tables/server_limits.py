"""Rates that backend servers accept from all VMs together, and this VM's shares."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServerLimitRow(NamedTuple):
    """The rate that a backend server states in its answers.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        limit_per_s: Requests a second from all VMs together; None once the server
            states no limit any more.
        stated_at_s: Monotonic time of the latest answer that shows it, here or at
            another VM.
        changed_at_s: Monotonic time at which this VM learned that the limit is another
            one than before.
        reported_at_s: Monotonic time at which this VM last reported it, or got a
            report of it.
        is_reported_in_zone: Whether this VM has reported it to the VMs of its zone,
            or learned of it from one of them.
        is_reported_to_other_zones: Whether this VM has reported it to other zones.
    """

    server_id: str
    service: str
    limit_per_s: float | None
    stated_at_s: float
    changed_at_s: float = 0.0
    reported_at_s: float = 0.0
    is_reported_in_zone: bool = False
    is_reported_to_other_zones: bool = False


class SendingShareRow(NamedTuple):
    """This VM's share of a server's limit, as a token bucket.

    Attributes:
        server_id: Backend server.
        share_per_s: Requests a second that this VM may send; 0 if other VMs have the
            whole limit.
        n_tokens: Requests that it might send at ``refilled_at_s``.
        refilled_at_s: Monotonic time to which the tokens are counted.
    """

    server_id: str
    share_per_s: float
    n_tokens: float
    refilled_at_s: float


def make_server_limits() -> Table[ServerLimitRow]:
    """Return an empty table of the limits that servers state."""
    return Table(
        ServerLimitRow,
        key="server_id",
        indexes=("service", "is_reported_in_zone", "is_reported_to_other_zones"),
    )


def make_sending_shares() -> Table[SendingShareRow]:
    """Return an empty table of this VM's shares by server."""
    return Table(SendingShareRow, key="server_id")
