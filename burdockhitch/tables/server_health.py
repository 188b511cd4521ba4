"""Health of the backend servers that this VM owns, with sending by owners."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServerState(StrEnum):
    """Life cycle states of a backend server on its owner VM."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    RECOVERING = "recovering"
    DRAINING = "draining"


class ServerHealthRow(NamedTuple):
    """State of one backend server and the evidence against it.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        state: Life cycle state.
        error_evidence: Cumulative sum of the log likelihood ratio for errors, in
            nats; never below 0.
        latency_evidence: The same sum for late answers.
        n_samples: Ended attempts evaluated since this VM became the owner, or since
            the server was last readmitted.
        n_consecutive_failures: Failed attempts since the last success; only the
            ``consecutive_failures`` detector counts them.
        n_ejections: Ejections up to the last one that each followed the one before
            within ``REPEATED_EJECTION_INTERVAL_MAX_S``; a new owner continues the
            count of the previous one.
        cause: Why the server is suspect or ejected; empty in other states.
        state_changed_at_s: Monotonic time of the last change of state, or at which
            this VM became the owner.
        ejected_at_s: Monotonic time of the last ejection by this VM; 0 for none.
        n_connect_failures: Consecutive attempts of this VM that could not connect.
    """

    server_id: str
    service: str
    state: ServerState
    error_evidence: float
    latency_evidence: float
    n_samples: int
    n_consecutive_failures: int
    n_ejections: int
    cause: str
    state_changed_at_s: float
    ejected_at_s: float = 0.0
    n_connect_failures: int = 0


class ServerWithEvidenceRow(NamedTuple):
    """A server whose evidence was updated and that may need a repetition.

    A repetition is a safe request that is sent again to judge a server sooner. The row
    stays until the health systems decide whether to schedule one.
    """

    server_id: str


def make_servers_with_evidence() -> Table[ServerWithEvidenceRow]:
    """Return an empty table of servers that may need a repetition."""
    return Table(ServerWithEvidenceRow, key="server_id")


class ReachQueryRow(NamedTuple):
    """The last query to other VMs whether they can reach a backend server.

    Attributes:
        server_id: Backend server.
        queried_at_s: Monotonic time at which this VM sent the query.
        is_reachable: Whether one of the queried VMs has answered that it can.
    """

    server_id: str
    queried_at_s: float
    is_reachable: bool


def make_reach_queries() -> Table[ReachQueryRow]:
    """Return an empty table of reachability queries by backend server."""
    return Table(ReachQueryRow, key="server_id")


def make_server_health() -> Table[ServerHealthRow]:
    """Return an empty table of health by backend server."""
    return Table(ServerHealthRow, key="server_id", indexes=("service", "state"))
