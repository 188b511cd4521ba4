"""Messages between VMs that send directly to all backend servers."""

from typing import NamedTuple

from burdockhitch.messages import vm_messages
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.registry_views import ConfigurationDocument
from burdockhitch.tables.vms import VmRow


class Snapshot(NamedTuple):
    """A VM's copy of the registry; parts that the reader holds are left out.

    Attributes:
        configuration: Configuration in force, if it is newer.
        servers_version: Version of the backend servers.
        servers: All backend servers, if they are newer.
        vms: VMs that the sender knows.
    """

    configuration: ConfigurationDocument | None
    servers_version: int
    servers: tuple[BackendServerRow, ...] | None
    vms: tuple[VmRow, ...]


class ServerLoad(NamedTuple):
    """Requests in flight from the sender to a backend server."""

    server_id: str
    n_in_flight: int


class Observation(NamedTuple):
    """What one attempt showed about a backend server.

    Attributes:
        server_id: Backend server.
        kind: Name of a registered kind of observation.
    """

    server_id: str
    kind: str


@vm_messages("heartbeat")
class Heartbeat(NamedTuple):
    """The sender lives.

    Attributes:
        row: The sender's own row.
        loads: Its requests in flight as last reported, None when left out.
        is_answer_wanted: Whether the receiver should answer with its own.
        answered: Backend servers that answered it well just now.
    """

    row: VmRow
    loads: tuple[ServerLoad, ...] | None
    is_answer_wanted: bool = False
    answered: tuple[str, ...] = ()


@vm_messages("report")
class Report(NamedTuple):
    """What the sender observed and has in flight.

    Attributes:
        observations: Observations since the last report.
        loads: Its requests in flight, None when they are left out.
        answered: Backend servers that answered it well just now.
    """

    observations: tuple[Observation, ...]
    loads: tuple[ServerLoad, ...] | None
    answered: tuple[str, ...] = ()


@vm_messages("zone_loads")
class ZoneLoads(NamedTuple):
    """What all VMs of a zone have in flight.

    Attributes:
        zone: Availability zone of the VMs that sent the requests.
        loads: Their requests in flight, summed.
        answered: Backend servers that answered one of them well since the last sum.
    """

    zone: str
    loads: tuple[ServerLoad, ...]
    answered: tuple[str, ...] = ()
