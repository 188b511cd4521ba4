"""Health of the backend servers that this VM owns."""

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
        latency_evidence: The same for late answers.
        n_samples: Answers judged since this VM became the owner, or since the
            server was last readmitted.
        n_consecutive_failures: Failures since the last success; only the
            ``consecutive_failures`` detector counts them.
        n_ejections: Ejections that each followed the one before within the flap
            memory.
        cause: Why it last became suspect or was ejected; empty otherwise.
        changed_at_s: Monotonic time of the last change of state.
        ejected_at_s: Monotonic time of the last ejection, 0 before the first.
        n_connect_failures: Consecutive attempts that could not connect.
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
    changed_at_s: float
    ejected_at_s: float = 0.0
    n_connect_failures: int = 0


class ServerEvidenceRow(NamedTuple):
    """A backend server with evidence against it that may need a repetition."""

    server_id: str


def make_servers_with_evidence() -> Table[ServerEvidenceRow]:
    """Return an empty table of candidates for a repetition."""
    return Table(ServerEvidenceRow, key="server_id")


class ReachQueryRow(NamedTuple):
    """A query to other VMs whether they can reach a backend server.

    Attributes:
        server_id: Backend server.
        queried_at_s: Monotonic time of the query.
        is_reachable: Whether one of the VMs replied that it can.
    """

    server_id: str
    queried_at_s: float
    is_reachable: bool


def make_reach_queries() -> Table[ReachQueryRow]:
    """Return an empty table of reachability queries."""
    return Table(ReachQueryRow, key="server_id")


def make_server_health() -> Table[ServerHealthRow]:
    """Return an empty table of server health."""
    return Table(ServerHealthRow, key="server_id", indexes=("service", "state"))
