"""Starts a small fleet on loopback whose entry VMs use the platform front end.

Each VM has an IP address of its own in 127.0.1.0/24, since on the platform all
VMs use the same ports.
"""

import contextlib
import json
import re
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from burdockhitch.front_ends import SETTINGS_FILE_VARIABLE
from tools import fleet as tool

TEMPLATE = Path(__file__).parent.parent / "deploy" / "node.ini"
N_PORTS = 5
HOST = "tours.example"
SERVICE = "booking"
# Time from the request to stop until the platform kills a VM.
GRACE_S = 6
N_SLOTS = 4
MEMORY_MB = 300


class PlatformVm(NamedTuple):
    """A started entry VM; addresses are ``ip:port``."""

    vm_id: str
    ip: str
    caller_address: str
    admin_address: str
    directory_address: str
    readiness_address: str
    process: Any


class PlatformFleet(NamedTuple):
    """A started fleet.

    Attributes:
        folder: Settings and log files; removed when the fleet ends.
        store_address: Address of the row store's stand-in.
        vms: Entry VMs.
        servers: Backend servers; those of a plan share one process.
        processes: All processes, to be ended with the fleet.
    """

    folder: Path
    store_address: str
    vms: list[PlatformVm]
    servers: list[tool.RunningServer]
    processes: list[Any]


def make_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration document, as the platform stores it, with two routes.

    Args:
        version: Version of the configuration.
        changes: Fields of both routes that replace their defaults.
    """
    safe_route = {
        "name": "look",
        "host": HOST,
        "prefix": "/tours/",
        "kind": "safe",
        "timeoutS": 2,
        "targetLatencyS": 0.8,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": 2,
        **changes,
    }
    unsafe_route = {**safe_route, "name": "hold", "prefix": "/holds/", "kind": "unsafe"}
    return {
        "version": version,
        "routes": [safe_route, unsafe_route],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 390}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }


def put_row(store: str, table: str, key: str, document: Any) -> None:
    """Write a row of the store as the operator or a backend server does."""
    tool.put_json(store, f"/standin/rows/{table}/{key}", document)


def register_server(
    store: str, server: tool.RunningServer, state: str = "ready", sequence: int = 1
) -> None:
    """Write the row that registers a backend server."""
    document = {
        "service": server.service,
        "address": server.address,
        "zone": server.zone,
        "version": "v1",
        "concurrency": server.n_slots,
        "state": state,
        "warmupLeftS": 0,
        "sequence": sequence,
        "born": 1,
    }
    put_row(store, "servers", server.address, document)


def fill_template(text: str, values: dict[str, str]) -> str:
    """Fill the settings template as the platform does.

    Removes section tags (``{{#name}}``, ``{{/name}}``) and replaces ``{{name}}``.
    """
    text = re.sub(r"\{\{[#/][^}]*\}\}", "", text)
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match[1]], text)


def start_vm(
    folder: Path,
    number: int,
    ports: list[str],
    store: str,
    zone: str = "a",
    memory_mb: int = MEMORY_MB,
) -> PlatformVm:
    """Write the settings of an entry VM and start it.

    Args:
        folder: Folder of the settings and log files.
        number: Number of the VM, the last byte of its IP address.
        ports: Caller, admin, directory, readiness and message port.
        store: Address of the row store.
        zone: Availability zone of the VM.
        memory_mb: Memory that the VM may use, in megabytes.
    """
    ip = f"127.0.1.{number}"
    caller_port, admin_port, directory_port, readiness_port, message_port = ports
    values = {
        "nodeName": f"vm-{number}",
        "zone": zone,
        "region": "local",
        "ip": ip,
        "listen.front": f"{ip}:{caller_port}",
        "listen.control": f"{ip}:{admin_port}",
        "listen.directory": f"{ip}:{directory_port}",
        "listen.readiness": f"{ip}:{readiness_port}",
        "internalPorts.0": message_port,
        "limits.linkMbps": "1000",
        "limits.memoryMb": str(memory_mb),
        "platform.address": store,
        "seeds": f"127.0.1.1:{admin_port}",
        "bounds.drainS": "2",
        "bounds.graceS": str(GRACE_S),
        "bounds.retryBudgetRatio": "0.2",
        "bounds.budgetWindowS": "10",
        "bounds.retryBudgetSlack": "64",
        "bounds.quotaWindowS": "5",
        "bounds.quotaOverage": "0.1",
        "bounds.quotaSlack": "20",
    }
    path = folder / f"vm-{number}.ini"
    path.write_text(fill_template(TEMPLATE.read_text(), values))
    process = tool.start_process(
        folder,
        f"vm-{number}",
        [],
        module="burdockhitch.platform",
        environment={SETTINGS_FILE_VARIABLE: str(path)},
    )
    return PlatformVm(
        values["nodeName"],
        ip,
        values["listen.front"],
        values["listen.control"],
        values["listen.directory"],
        values["listen.readiness"],
        process,
    )


def is_ready(vm: PlatformVm) -> bool:
    """Return whether the readiness check of a VM succeeds."""
    return tool.send_request(vm.readiness_address, "GET", "/-/ready").status == 200


def resolve_addresses(vm: PlatformVm) -> list[str]:
    """Return the caller addresses in a VM's directory; none if it refuses to answer."""
    path = f"/-/resolve?name={HOST}&region=local&zone=a"
    answer = tool.send_request(vm.directory_address, "GET", path)
    return list(json.loads(answer.body)["addresses"]) if answer.status == 200 else []


def send_caller_request(
    address: str, request_id: str, path: str = "/tours/1", method: str = "GET"
) -> tool.HttpReply:
    """Send a request as a caller does, with a deadline of 4000 ms."""
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "4000"}
    body = request_id.encode() if method == "POST" else None
    return tool.send_request(address, method, path, body, headers)


@contextlib.contextmanager
def run_platform_fleet(
    n_vms: int, n_servers: int, memory_mb: int = MEMORY_MB
) -> Iterator[PlatformFleet]:
    """Run a fleet for the length of the block; end its processes in any case."""
    processes: list[Any] = []
    with tempfile.TemporaryDirectory(prefix="burdockhitch-") as folder_path:
        folder = Path(folder_path)
        try:
            yield _start_fleet(folder, processes, n_vms, n_servers, memory_mb)
        finally:
            tool.kill_processes(processes)


def _start_fleet(
    folder: Path, processes: list[Any], n_vms: int, n_servers: int, memory_mb: int
) -> PlatformFleet:
    store_address = tool.find_free_addresses(1)[0]
    arguments = ["standin", "store", "--address", store_address]
    processes.append(tool.start_process(folder, "store", arguments))
    plan = tool.ServerPlan(SERVICE, "a", n_servers, N_SLOTS)
    servers = tool.start_servers(folder, [plan], processes)
    tool.wait_until(
        lambda: bool(tool.get_json(store_address, "/standin/calls")), "store"
    )
    put_row(store_address, "op", "config", make_configuration(1))
    for server in servers:
        register_server(store_address, server)
        tool.wait_until(
            lambda server=server: (
                tool.send_request(server.address, "GET", "/health").status == 200
            ),
            "server",
        )
    ports = [
        address.rpartition(":")[2] for address in tool.find_free_addresses(N_PORTS)
    ]
    vms = []
    for number in range(1, n_vms + 1):
        vms.append(start_vm(folder, number, ports, store_address, memory_mb=memory_mb))
        processes.append(vms[-1].process)
    for vm in vms:
        tool.wait_until(lambda vm=vm: is_ready(vm), vm.vm_id)
        tool.wait_until(lambda vm=vm: len(resolve_addresses(vm)) == n_vms, vm.vm_id)
    return PlatformFleet(folder, store_address, vms, servers, processes)
