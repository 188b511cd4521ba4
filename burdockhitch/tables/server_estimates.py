"""Estimates and loads of backend servers, with direct sending.

They come from the requests of this VM and from the reports of other VMs. A load is the
number of requests in flight at one backend server.
"""

import math
from typing import NamedTuple

from burdockhitch.tables.table import Table

# Time constant with which an estimate decays: a server fails for a few seconds on
# average.
RELAXATION_S = 2.5


class ServerEstimateRow(NamedTuple):
    """Estimated health and speed of a backend server.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        p_failing: Probability, at ``updated_at_s``, that the server is failing; from
            then on it decays towards its stationary value.
        updated_at_s: Monotonic time of the last update of ``p_failing``.
        relaxation_s: Time constant of this decay.
        avoided_until_s: Monotonic time until which this VM prefers other servers,
            because it could not connect or the server rejected a request; other
            VMs may still reach the server. In the past, or 0, if it is not avoided.
        n_connect_failures: Consecutive attempts of this VM that could not connect.
        n_unanswered: Consecutive attempts of this VM that became overdue although the
            server was not busy.
        unanswered_at_s: Monotonic time at which the last of them became overdue.
        lost_here_until_s: Monotonic time until which answers of the server count as
            lost on the way to this VM only.
        peer_answered_at_s: Latest monotonic time since which the server has certainly
            answered another VM, by the greatest age of the reported successes.
        overdue_reporter_vm_id: Other VM whose report that an answer of the server was
            overdue was applied last; empty if there was none, or if the server has
            answered that VM since.
        overdue_reported_at_s: Monotonic time at which that report was applied.
        success_due_s: Monotonic time from which this VM reports its next success of
            the server at once, since another VM misses an answer; infinite if none.
        latency_ratio: Moving average, at ``latency_ratio_updated_at_s``, of the
            server's run time relative to the mean of its service; from then on it
            decays towards 1.
        latency_ratio_updated_at_s: Monotonic time of the last update of
            ``latency_ratio``.
        warm_up_until_s: Monotonic time until which the server is expected to run
            slowly after its start.
    """

    server_id: str
    service: str
    p_failing: float
    updated_at_s: float
    avoided_until_s: float = 0.0
    n_connect_failures: int = 0
    n_unanswered: int = 0
    unanswered_at_s: float = 0.0
    lost_here_until_s: float = 0.0
    peer_answered_at_s: float = 0.0
    overdue_reporter_vm_id: str = ""
    overdue_reported_at_s: float = 0.0
    success_due_s: float = math.inf
    latency_ratio: float = 1.0
    latency_ratio_updated_at_s: float = 0.0
    warm_up_until_s: float = 0.0
    relaxation_s: float = RELAXATION_S


class ReportedLoadRow(NamedTuple):
    """Requests in flight at a backend server, as last reported by their senders.

    Attributes:
        key: ``(vm_id, server_id)``.
        vm_id: VM that sent the requests, or ``zone NAME`` for all VMs of another
            zone together. The rows of this VM hold what it last reported.
        server_id: Backend server.
        n_in_flight: Requests that were sent to the server and had not ended.
    """

    key: tuple[str, str]
    vm_id: str
    server_id: str
    n_in_flight: int


class PeerLoadTotalRow(NamedTuple):
    """Requests in flight at a backend server from all VMs but this one.

    Attributes:
        server_id: Backend server.
        n_in_flight: Sum of the ``ReportedLoadRow`` of the other VMs and zones.
    """

    server_id: str
    n_in_flight: int


class ServiceTimeRow(NamedTuple):
    """Mean concurrency of a service on this VM, from its first success on.

    Attributes:
        service: Name of the service.
        n_in_flight_mean: Moving average of this VM's requests of the service in
            flight, sampled before each send.
    """

    service: str
    n_in_flight_mean: float = 0.0


class UnreportedObservationRow(NamedTuple):
    """An observation of a backend server that is not yet reported to other VMs.

    Attributes:
        sequence: Position in the order of the observations.
        server_id: Backend server.
        kind: Name of a registered kind of observation, such as ``failure``.
    """

    sequence: int
    server_id: str
    kind: str


class ZoneObservationRow(NamedTuple):
    """An observation by a VM of this zone that may have to be told to other zones.

    Attributes:
        sequence: Position in the order of the observations.
        server_id: Backend server.
        kind: Name of a registered kind of observation, such as ``failure``.
        reporter_vm_id: VM that made the attempt.
    """

    sequence: int
    server_id: str
    kind: str
    reporter_vm_id: str


class ReceivedZoneReportRow(NamedTuple):
    """The last report of another zone that this VM applied.

    Attributes:
        zone: The other zone.
        report_id: Identity of the report.
        received_at_s: Monotonic time of its receipt.
    """

    zone: str
    report_id: str
    received_at_s: float


class RecentSuccessRow(NamedTuple):
    """A backend server that recently answered a request successfully.

    Attributes:
        server_id: Backend server.
        answered_at_s: Monotonic time at which the answer arrived here, or the report
            of another VM about it.
        is_reported_in_zone: Whether this VM has reported it to the VMs of its zone,
            or learned of it from one of them.
        is_reported_to_other_zones: Whether this VM has reported it to other zones.
    """

    server_id: str
    answered_at_s: float
    is_reported_in_zone: bool = False
    is_reported_to_other_zones: bool = False


def make_server_estimates() -> Table[ServerEstimateRow]:
    """Return an empty table of estimates by backend server."""
    return Table(ServerEstimateRow, key="server_id", indexes=("service",))


def make_reported_loads() -> Table[ReportedLoadRow]:
    """Return an empty table of requests in flight by sender and backend server."""
    return Table(ReportedLoadRow, key="key", indexes=("vm_id",))


def make_peer_load_totals() -> Table[PeerLoadTotalRow]:
    """Return an empty table of other VMs' requests in flight by backend server."""
    return Table(PeerLoadTotalRow, key="server_id")


def make_service_times() -> Table[ServiceTimeRow]:
    """Return an empty table of mean concurrencies by service."""
    return Table(ServiceTimeRow, key="service")


def make_unreported_observations() -> Table[UnreportedObservationRow]:
    """Return an empty table of unreported observations."""
    return Table(UnreportedObservationRow, key="sequence")


def make_zone_observations() -> Table[ZoneObservationRow]:
    """Return an empty table of the zone's observations since its last report."""
    return Table(ZoneObservationRow, key="sequence")


def make_received_zone_reports() -> Table[ReceivedZoneReportRow]:
    """Return an empty table of the last reports by zone."""
    return Table(ReceivedZoneReportRow, key="zone")


def make_recent_successes() -> Table[RecentSuccessRow]:
    """Return an empty table of recent successes by backend server."""
    return Table(RecentSuccessRow, key="server_id")
