"""What the owner knows of a backend server's health."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServerState(StrEnum):
    """Life cycle states of a backend server at its owner."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    RECOVERING = "recovering"
    DRAINING = "draining"


class HealthRow(NamedTuple):
    """Evidence about one backend server.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        state: Life cycle state.
        error_evidence: Cumulative sum of the log likelihood ratio for errors.
        lateness_evidence: The same for late answers.
        n_samples: Answers judged since the evidence was last cleared.
        n_consecutive_failures: Failures since the last success.
        n_ejections: Ejections within the memory for flapping.
        cause: What the evidence is about, empty when healthy.
        changed_at_s: Monotonic time of the last change of state.
        ejected_at_s: Monotonic time of the last ejection, 0 before the first.
        n_unreachable: Connections in a row that could not be opened.
    """

    server_id: str
    service: str
    state: ServerState
    error_evidence: float
    lateness_evidence: float
    n_samples: int
    n_consecutive_failures: int
    n_ejections: int
    cause: str
    changed_at_s: float
    ejected_at_s: float = 0.0
    n_unreachable: int = 0


class DoubtRow(NamedTuple):
    """A backend server with some evidence against it since the last tick."""

    server_id: str


def make_doubts() -> Table[DoubtRow]:
    """Return an empty table of doubts."""
    return Table(DoubtRow, key="server_id")


class ReachRow(NamedTuple):
    """A question to other VMs whether they can reach a backend server.

    Attributes:
        server_id: Backend server.
        asked_at_s: Monotonic time of the question.
        is_ok: Whether one of them could.
    """

    server_id: str
    asked_at_s: float
    is_ok: bool


def make_reaches() -> Table[ReachRow]:
    """Return an empty table of questions."""
    return Table(ReachRow, key="server_id")


def make_health_signals() -> Table[HealthRow]:
    """Return an empty table of health evidence."""
    return Table(HealthRow, key="server_id", indexes=("service", "state"))
