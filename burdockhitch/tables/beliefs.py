"""Estimates about backend servers, from this VM's requests and from peers' reports."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServerEstimateRow(NamedTuple):
    """Estimated health and speed of a backend server.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        p_failing: Probability, at ``updated_at_s``, that the server is failing;
            after that it decays to its stationary value.
        updated_at_s: Monotonic time of the last observation.
        avoided_until_s: Monotonic time until which this VM prefers other servers,
            because it could not connect or the server rejected a request; other
            VMs may still reach the server.
        n_connect_failures: Consecutive attempts of this VM that could not connect.
        latency_ratio: Moving average, at ``latency_ratio_at_s``, of the server's run
            time relative to the mean of its service; after that it decays to 1.
        latency_ratio_at_s: Monotonic time of the last change of ``latency_ratio``.
        warm_up_until_s: Monotonic time at which its warm-up after a start ends.
    """

    server_id: str
    service: str
    p_failing: float
    updated_at_s: float
    avoided_until_s: float = 0.0
    n_connect_failures: int = 0
    latency_ratio: float = 1.0
    latency_ratio_at_s: float = 0.0
    warm_up_until_s: float = 0.0


class ReportedLoadRow(NamedTuple):
    """Requests in flight at a backend server, as one sender last reported them.

    Attributes:
        key: ``(vm_id, server_id)``.
        vm_id: Another VM, or ``zone NAME`` for the sum over the VMs of another
            zone, or this VM for what it last reported to its peers.
        server_id: Backend server.
        n_in_flight: Requests sent and not ended.
    """

    key: tuple[str, str]
    vm_id: str
    server_id: str
    n_in_flight: int


class PeerLoadTotalRow(NamedTuple):
    """Requests in flight at a backend server from all VMs but this one.

    Attributes:
        server_id: Backend server.
        n_in_flight: Sum over the other senders, as last reported.
    """

    server_id: str
    n_in_flight: int


class ServiceTimeRow(NamedTuple):
    """Mean run time and mean concurrency of a service on this VM.

    Attributes:
        service: Name of the service.
        mean_s: Moving average of the time that its servers take for a request,
            without the expected wait for a slot.
        n_answers: Successful answers so far.
        n_in_flight_mean: Moving average of this VM's requests in flight, sampled
            before each send.
    """

    service: str
    mean_s: float
    n_answers: int
    n_in_flight_mean: float = 0.0


class UnreportedObservationRow(NamedTuple):
    """An observation that waits for the next report to other VMs.

    Attributes:
        sequence: Position in the order of the observations.
        server_id: Backend server.
        kind: Name of a registered kind of observation.
        is_for_other_zones: Whether VMs of other zones get it too.
    """

    sequence: int
    server_id: str
    kind: str
    is_for_other_zones: bool


class RecentSuccessRow(NamedTuple):
    """A backend server that recently answered a request successfully.

    Attributes:
        server_id: Backend server.
        answered_at_s: Monotonic time of the answer, or of the report of it.
        is_reported_in_zone: Whether it was reported to the VMs of this zone, or by one.
        is_reported_to_other_zones: Whether it was reported to the other zones.
    """

    server_id: str
    answered_at_s: float
    is_reported_in_zone: bool = False
    is_reported_to_other_zones: bool = False


def make_server_estimates() -> Table[ServerEstimateRow]:
    """Return an empty table of estimates by backend server."""
    return Table(ServerEstimateRow, key="server_id", indexes=("service",))


def make_reported_loads() -> Table[ReportedLoadRow]:
    """Return an empty table of reported requests in flight."""
    return Table(ReportedLoadRow, key="key", indexes=("vm_id",))


def make_peer_load_totals() -> Table[PeerLoadTotalRow]:
    """Return an empty table of the other VMs' requests in flight."""
    return Table(PeerLoadTotalRow, key="server_id")


def make_service_times() -> Table[ServiceTimeRow]:
    """Return an empty table of mean run times by service."""
    return Table(ServiceTimeRow, key="service")


def make_unreported_observations() -> Table[UnreportedObservationRow]:
    """Return an empty table of unreported observations."""
    return Table(UnreportedObservationRow, key="sequence")


def make_recent_successes() -> Table[RecentSuccessRow]:
    """Return an empty table of recent successes."""
    return Table(RecentSuccessRow, key="server_id")
