"""What this VM believes of backend servers, from its own work and that of peers."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class BeliefRow(NamedTuple):
    """Probability that a backend server fails its work.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        p_failing: Probability at ``updated_at_s``; it drifts back from there.
        updated_at_s: Monotonic time of the last observation.
        avoided_until_s: Monotonic time until which this VM alone keeps away,
            since it can't reach the server itself.
        n_unreachable: Attempts in a row that could not reach the server.
        slowness: Running ratio of its answers' time to that of the service, at
            ``slowness_at_s``; it drifts back to 1 from there.
        slowness_at_s: Monotonic time of the last change of ``slowness``.
        warm_until_s: Monotonic time until which it is slow after its start.
    """

    server_id: str
    service: str
    p_failing: float
    updated_at_s: float
    avoided_until_s: float = 0.0
    n_unreachable: int = 0
    slowness: float = 1.0
    slowness_at_s: float = 0.0
    warm_until_s: float = 0.0


class PeerLoadRow(NamedTuple):
    """Requests that another VM has in flight at a backend server.

    Attributes:
        key: ``(vm_id, server_id)``.
        vm_id: VM that reported it.
        server_id: Backend server.
        n_in_flight: Requests sent and not ended.
    """

    key: tuple[str, str]
    vm_id: str
    server_id: str
    n_in_flight: int


class ServerLoadRow(NamedTuple):
    """Sum of the peers' requests in flight at a backend server.

    Attributes:
        server_id: Backend server.
        n_in_flight: Requests in flight from all peers, as last reported.
    """

    server_id: str
    n_in_flight: int


class ServiceTimeRow(NamedTuple):
    """How long a service takes to answer.

    Attributes:
        service: Name of the service.
        mean_s: Running mean over the answers on this VM.
        n_answers: Answers so far.
        n_in_flight_mean: Running mean of this VM's requests in flight.
    """

    service: str
    mean_s: float
    n_answers: int
    n_in_flight_mean: float = 0.0


class ObservationRow(NamedTuple):
    """An observation that the next report tells to other VMs.

    Attributes:
        sequence: Order of the observations.
        server_id: Backend server.
        kind: Name of a registered kind of observation.
        is_for_all: Whether other zones should hear of it too.
    """

    sequence: int
    server_id: str
    kind: str
    is_for_all: bool


class AnsweredRow(NamedTuple):
    """A backend server that answered well not long ago.

    Attributes:
        server_id: Backend server.
        answered_at_s: Monotonic time of the answer, or of hearing of it.
        is_told_near: Whether this zone's VMs know.
        is_told_far: Whether it was in a sum for the other zones.
    """

    server_id: str
    answered_at_s: float
    is_told_near: bool = False
    is_told_far: bool = False


def make_beliefs() -> Table[BeliefRow]:
    """Return an empty table of beliefs."""
    return Table(BeliefRow, key="server_id", indexes=("service",))


def make_peer_loads() -> Table[PeerLoadRow]:
    """Return an empty table of peers' loads."""
    return Table(PeerLoadRow, key="key", indexes=("vm_id",))


def make_server_loads() -> Table[ServerLoadRow]:
    """Return an empty table of summed loads."""
    return Table(ServerLoadRow, key="server_id")


def make_service_times() -> Table[ServiceTimeRow]:
    """Return an empty table of service times."""
    return Table(ServiceTimeRow, key="service")


def make_observations() -> Table[ObservationRow]:
    """Return an empty table of observations to report."""
    return Table(ObservationRow, key="sequence")


def make_answered() -> Table[AnsweredRow]:
    """Return an empty table of good answers."""
    return Table(AnsweredRow, key="server_id")
