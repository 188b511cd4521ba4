"""Fleets of the example deployments, and counts of violated guarantees in them."""

from typing import Any, NamedTuple

from burdockhitch.problems import is_not_run
from burdockhitch.tables.server_health import ServerState
from burdockhitch.tests.fakes import FakeFleet

STARTUP_TIME_S = 3.0


class Deployment(NamedTuple):
    """A reduced model of a deployment.

    Attributes:
        service: Name of its service.
        zones: Availability zones.
        n_vms: Entry VMs in each zone.
        n_servers: Backend servers in each zone.
        n_slots: Slots of each server.
        floor_slots: Floor of the service: slots that ejections must leave.
        profile: Name of the health profile.
    """

    service: str
    zones: tuple[str, ...]
    n_vms: int
    n_servers: int
    n_slots: int
    floor_slots: int
    profile: str


VASTKUST = Deployment(
    "booking", ("vk-a", "vk-b", "vk-c"), 1, 2, 4, 12, "detection_first"
)
SUDURLAND = Deployment(
    "bench", ("sl-a", "sl-b", "sl-c", "sl-d"), 1, 2, 2, 10, "few_false_ejections"
)


def make_rules_text(
    deployment: Deployment, floor_slots: int = 0, extra: str = ""
) -> str:
    """Return the text of the rules of a deployment, with ``extra`` appended.

    A ``floor_slots`` of 0 stands for the floor of the deployment.
    """
    service = deployment.service
    floor = floor_slots or deployment.floor_slots
    lines = [
        f"service {service} floor={floor}slots health={deployment.profile} # Karin",
        f"route {service} GET /look timeout=2s # Karin",
        f"route {service} POST /plain timeout=2s # Jonas",
        f"route {service} POST /home once=home timeout=2s # Jonas",
        f"route {service} POST /claim once=claim timeout=2s # Jonas",
    ]
    for address, zone in list_servers(deployment):
        line = (
            f"server {service} {address} zone={zone} slots={deployment.n_slots} # Eva"
        )
        lines.append(line)
    return "\n".join(lines) + "\n" + extra


def list_servers(deployment: Deployment) -> list[tuple[str, str]]:
    """Return the address and zone of every backend server."""
    return [
        (f"10.1.{zone_number}.{number + 1}:80", zone)
        for zone_number, zone in enumerate(deployment.zones)
        for number in range(deployment.n_servers)
    ]


def start_fleet(
    deployment: Deployment, seed: int = 1, extra: str = "", **sections: Any
) -> FakeFleet:
    """Return a started fleet whose VMs know each other and have the rules.

    ``extra`` is appended to the rules; ``sections`` replace sections of the settings.
    """
    fleet = FakeFleet(seed)
    for address, _zone in list_servers(deployment):
        fleet.add_server(address, deployment.n_slots)
    fleet.commit_rules(make_rules_text(deployment, extra=extra))
    for number in range(deployment.n_vms):
        for zone in deployment.zones:
            fleet.add_vm(f"{zone}-{number}", zone, **sections)
            fleet.list_vm(f"{zone}-{number}")
    fleet.run(STARTUP_TIME_S)
    return fleet


def count_repeated_executions(fleet: FakeFleet) -> int:
    """Return how many executions repeated a non-idempotent request.

    Every non-idempotent request of a test has a body of its own.
    """
    bodies = [request.body for request in fleet.executed_requests if request.body]
    return len(bodies) - len(set(bodies))


def count_false_not_run_refusals(fleet: FakeFleet) -> int:
    """Return how many requests were executed although refused as not run."""
    # A request that a VM forwards runs under its id with a suffix after "@".
    executed_ids = {
        request.request_id.partition("@")[0] for request in fleet.executed_requests
    }
    return sum(
        1
        for reply in fleet.caller_replies.values()
        if hasattr(reply.command, "refusal")
        and is_not_run(reply.command.refusal.error)
        and reply.command.request_id in executed_ids
    )


def count_wrong_answers(fleet: FakeFleet) -> int:
    """Return how many callers got the answer to another request.

    A fake server answers with the path and body of the request.
    """
    n_wrong = 0
    for connection_number, reply in fleet.caller_replies.items():
        answer = getattr(reply.command, "answer", None)
        if (
            answer is None
            or answer.status != 200
            or connection_number not in fleet.sent_requests
        ):
            continue
        request = fleet.sent_requests[connection_number][1]
        expected = f'["{request.path}","{request.body.decode()}"]'.encode()
        n_wrong += answer.body != expected
    return n_wrong


def count_ejected_slots(fleet: FakeFleet, service: str) -> int:
    """Return the slots of a service's servers that at least one VM has ejected."""
    ejected_ids = set()
    for world in fleet.worlds.values():
        for row in world.server_health.select("state", ServerState.EJECTED):
            if row.service == service:
                ejected_ids.add(row.server_id)
    return sum(
        fleet.servers[server_id.split("/")[1]].n_slots for server_id in ejected_ids
    )


def count_slots(fleet: FakeFleet) -> int:
    """Return the slots of all backend servers."""
    return sum(server.n_slots for server in fleet.servers.values())
