"""Requests under which backend servers ended, known by a digest of what they ask."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class EndedProcess(NamedTuple):
    """A process of a backend server that ended.

    Attributes:
        server_id: Backend server.
        process_started_ms: Start of the process; see ``BackendServerRow``.
    """

    server_id: str
    process_started_ms: int


class SuspectRequestRow(NamedTuple):
    """A request that processes of backend servers ended under.

    Attributes:
        digest: Digest of the request.
        ended: The processes, in the order in which this VM learned of them.
        ended_at_s: Monotonic time of the last of these ends.
        tried_at_s: Monotonic time at which this VM last sent the request to find out
            whether it is still harmful; 0 if never.
    """

    digest: str
    ended: tuple[EndedProcess, ...]
    ended_at_s: float
    tried_at_s: float = 0.0


class AnsweredRequestRow(NamedTuple):
    """A request that a backend server answered, so that it is harmless.

    Attributes:
        digest: Digest of the request.
        answered_at_s: Monotonic time of the last answer known here.
    """

    digest: str
    answered_at_s: float


class UnreportedRequestRow(NamedTuple):
    """A request with evidence that this VM hasn't reported yet.

    Attributes:
        digest: Digest of the request.
    """

    digest: str


def make_suspect_requests() -> Table[SuspectRequestRow]:
    """Return an empty table of requests that servers ended under."""
    return Table(SuspectRequestRow, key="digest", sorted_fields=("ended_at_s",))


def make_answered_requests() -> Table[AnsweredRequestRow]:
    """Return an empty table of requests that were answered lately."""
    return Table(AnsweredRequestRow, key="digest", sorted_fields=("answered_at_s",))


def make_unreported_requests() -> Table[UnreportedRequestRow]:
    """Return an empty table of requests with unreported evidence."""
    return Table(UnreportedRequestRow, key="digest")
