"""Starts a small fleet on loopback for demos, benchmarks and tests.

Entry VMs, backend servers and the platform run as processes of their own. This
module starts all of them and ends them by process id; no process of the system
starts another one.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

START_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
HTTP_TIMEOUT_S = 15.0
CALLERS_TIMEOUT_S = 60.0
# All ports are below those that Linux gives to outgoing connections, which by default
# start at 32768.
PORT_MIN = 20_000
PORT_MAX = 32_000
_rng = random.SystemRandom()
_unused_ports = list(range(PORT_MIN, PORT_MAX))


class VmPlan(NamedTuple):
    """Name and availability zone of an entry VM to start."""

    vm_id: str
    zone: str


class ServerPlan(NamedTuple):
    """Backend servers to start for one service in one availability zone."""

    service: str
    zone: str
    n_servers: int
    n_slots: int


class RunningVm(NamedTuple):
    """A started entry VM; addresses are ``ip:port``."""

    vm_id: str
    zone: str
    caller_address: str
    message_address: str
    admin_address: str
    process: Any


class RunningServer(NamedTuple):
    """A started backend server; its address is ``ip:port``."""

    service: str
    zone: str
    address: str
    n_slots: int


class Fleet(NamedTuple):
    """A started fleet.

    Attributes:
        folder: Settings, rules and log files; removed when the fleet ends without an
            error.
        platform_address: Address of the platform's stand-in.
        platform: Process of the platform's stand-in.
        vms: Entry VMs.
        servers: Backend servers; those of a plan share one process.
        processes: All processes, to be ended with the fleet.
    """

    folder: Path
    platform_address: str
    platform: Any
    vms: list[RunningVm]
    servers: list[RunningServer]
    processes: list[Any]


class HttpReply(NamedTuple):
    """An HTTP answer; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class FleetStartError(Exception):
    """A process of the fleet did not start in time."""


def find_free_addresses(n_addresses: int) -> list[str]:
    """Return loopback addresses on whose ports nothing listens.

    All ports are below the range that the operating system gives to outgoing
    connections; a connection could take a port of that range after this check and
    before a process listens on it. No port is returned twice, since the process that
    got it first may not listen on it yet.
    """
    bound_sockets: list[socket.socket] = []
    while len(bound_sockets) < n_addresses:
        port = _rng.choice(_unused_ports)
        _unused_ports.remove(port)
        port_socket = socket.socket()
        with contextlib.suppress(OSError):
            port_socket.bind(("127.0.0.1", port))
            bound_sockets.append(port_socket)
            continue
        port_socket.close()
    addresses = [
        f"127.0.0.1:{port_socket.getsockname()[1]}" for port_socket in bound_sockets
    ]
    for port_socket in bound_sockets:
        port_socket.close()
    return addresses


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> HttpReply:
    """Send one HTTP request over a connection of its own.

    Raises:
        OSError: If the address can't be reached or the answer is incomplete.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        content = answer.read()
        answer_headers = {name.lower(): value for name, value in answer.getheaders()}
        return HttpReply(answer.status, answer_headers, content)
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from None
    finally:
        connection.close()


def get_json(address: str, path: str) -> Any:
    """Request a JSON document with GET and return it decoded."""
    return json.loads(send_request(address, "GET", path).body)


def put_json(address: str, path: str, document: Any) -> None:
    """Send a JSON document with PUT; the status of the answer is ignored."""
    send_request(address, "PUT", path, json.dumps(document).encode())


def start_process(
    folder: Path,
    name: str,
    arguments: list[str],
    module: str = "burdockhitch",
    environment: dict[str, str] | None = None,
) -> Any:
    """Start a program with its output appended to ``folder/name.log``.

    Args:
        folder: Folder of the log file.
        name: Name of the log file, without suffix.
        arguments: Arguments of the program.
        module: Module or package that is run.
        environment: Added to the environment of this process.
    """
    log_path = folder / f"{name}.log"
    with log_path.open("ab") as log_file:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env={**os.environ, **(environment or {})},
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
            cwd=Path(__file__).parent.parent,
        )


def wait_until(condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a condition until it holds; an ``OSError`` or ``ValueError`` means not yet.

    Args:
        condition: Called without arguments.
        what: What is waited for; text of the error.
        timeout_s: Seconds to wait at most.

    Raises:
        FleetStartError: If the condition does not hold within ``timeout_s``.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, ValueError):
            if condition():
                return
        time.sleep(POLL_S)
    raise FleetStartError(what)


def _settings_text(
    plan: VmPlan,
    addresses: list[str],
    platform_address: str,
    seeds: list[str],
    extra_settings: str,
) -> str:
    return f"""[vm]
vm_id = {plan.vm_id}
zone = {plan.zone}
caller_address = {addresses[0]}
message_address = {addresses[1]}
admin_address = {addresses[2]}

[platform]
address = {platform_address}

[membership]
seeds = {" ".join(seeds)}
{extra_settings}
"""


def start_vm(
    folder: Path,
    plan: VmPlan,
    addresses: list[str],
    platform: str,
    seeds: list[str],
    extra_settings: str = "",
) -> RunningVm:
    """Write the settings of an entry VM and start it.

    Args:
        folder: Folder of the settings and log files.
        plan: Name and zone of the VM.
        addresses: Caller, message and admin address of the VM.
        platform: Address of the platform.
        seeds: Message addresses of the VMs that it contacts first.
        extra_settings: Further lines of the settings file.
    """
    path = folder / f"{plan.vm_id}.ini"
    path.write_text(_settings_text(plan, addresses, platform, seeds, extra_settings))
    process = start_process(folder, plan.vm_id, ["serve", "--settings", str(path)])
    caller_address, message_address, admin_address = addresses
    return RunningVm(
        plan.vm_id, plan.zone, caller_address, message_address, admin_address, process
    )


def start_servers(
    folder: Path, plans: list[ServerPlan], processes: list[Any]
) -> list[RunningServer]:
    """Start the backend servers, one process for each plan."""
    servers = []
    for plan in plans:
        addresses = find_free_addresses(plan.n_servers)
        arguments = ["standin", "servers", "--slots", str(plan.n_slots)]
        for address in addresses:
            arguments += ["--address", address]
        name = f"servers-{plan.service}-{plan.zone}"
        processes.append(start_process(folder, name, arguments))
        servers += [
            RunningServer(plan.service, plan.zone, address, plan.n_slots)
            for address in addresses
        ]
    return servers


def add_server_rules(servers: list[RunningServer], other_rules: str) -> str:
    """Return ``other_rules`` and a rule for each started backend server."""
    lines = [
        f"server {server.service} {server.address} zone={server.zone} "
        f"slots={server.n_slots} # Tools"
        for server in servers
    ]
    return other_rules + "\n".join(lines) + "\n"


def start_push(fleet: Fleet, text: str, name: str = "tools", *arguments: str) -> Any:
    """Start ``rules push`` as an operator does and return its process."""
    path = fleet.folder / f"{name}.rules"
    path.write_text(text)
    command = [sys.executable, "-m", "burdockhitch", "rules", "push", str(path)]
    command += ["--platform", fleet.platform_address, "--operator", name, *arguments]
    return subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent,
    )


def is_synchronized(vm: RunningVm, n_vms: int, revision: int) -> bool:
    """Return whether a VM lists ``n_vms`` alive VMs and has confirmed a revision.

    A revision is a numbered state of the rules.
    """
    tables = get_json(vm.admin_address, "/state")["tables"]
    alive_vms = [row for row in tables["vms"] if row["status"] == "alive"]
    revision_numbers = [row["number"] for row in tables["revisions"]]
    is_revision_confirmed = {"source": "confirmed"} in tables["revision_confirmations"]
    return (
        len(alive_vms) == n_vms
        and revision_numbers == [revision]
        and is_revision_confirmed
    )


@contextlib.contextmanager
def run_fleet(
    vm_plans: list[VmPlan],
    server_plans: list[ServerPlan],
    other_rules: str,
    extra_settings: str = "",
) -> Iterator[Fleet]:
    """Run a fleet for the length of the block; end its processes in any case.

    Its folder is removed, unless an error leaves the block.

    Args:
        vm_plans: Entry VMs.
        server_plans: Backend servers.
        other_rules: Rules text without the rules of the backend servers.
        extra_settings: Further lines of every VM's settings file.
    """
    processes: list[Any] = []
    folder = Path(tempfile.mkdtemp(prefix="burdockhitch-"))
    try:
        yield _start_fleet(
            folder, processes, vm_plans, server_plans, other_rules, extra_settings
        )
    except Exception as error:
        error.add_note(f"The logs of the fleet stay in {folder}.")
        raise
    else:
        kill_processes(processes)
        shutil.rmtree(folder)
    finally:
        kill_processes(processes)


def _start_fleet(
    folder: Path,
    processes: list[Any],
    vm_plans: list[VmPlan],
    server_plans: list[ServerPlan],
    other_rules: str,
    extra_settings: str,
) -> Fleet:
    platform_address = find_free_addresses(1)[0]
    platform_process = start_process(
        folder, "platform", ["standin", "platform", "--address", platform_address]
    )
    processes.append(platform_process)
    servers = start_servers(folder, server_plans, processes)
    wait_until(
        lambda: send_request(platform_address, "GET", "/vms").status == 200, "platform"
    )
    addresses = find_free_addresses(3 * len(vm_plans))
    address_groups = [
        addresses[start : start + 3] for start in range(0, len(addresses), 3)
    ]
    listed_vms = [
        {
            "vm_id": plan.vm_id,
            "zone": plan.zone,
            "state": "live",
            "message_address": vm_addresses[1],
        }
        for plan, vm_addresses in zip(vm_plans, address_groups, strict=True)
    ]
    put_json(platform_address, "/vms", listed_vms)
    seeds = [vm_addresses[1] for vm_addresses in address_groups[:3]]
    vms = []
    for plan, vm_addresses in zip(vm_plans, address_groups, strict=True):
        vm = start_vm(
            folder, plan, vm_addresses, platform_address, seeds, extra_settings
        )
        processes.append(vm.process)
        vms.append(vm)
    fleet = Fleet(folder, platform_address, platform_process, vms, servers, processes)
    push = start_push(fleet, add_server_rules(servers, other_rules))
    errors = push.communicate(timeout=START_TIMEOUT_S)[1]
    if push.returncode:
        raise FleetStartError(errors)
    for vm in vms:
        wait_until(partial(is_synchronized, vm, len(vms), 1), vm.vm_id)
    return fleet


def kill_processes(processes: list[Any]) -> None:
    """Kill the processes that still run, also paused ones, and wait until they end."""
    for process in processes:
        if process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
            process.kill()
    for process in processes:
        process.wait(STOP_TIMEOUT_S)


def start_callers(
    fleet: Fleet,
    addresses: list[str],
    kinds: list[str],
    rate_per_s: float,
    duration_s: float,
    name: str = "c",
) -> Any:
    """Start the load generator ``tools/callers.py`` as a process and return it."""
    command = [sys.executable, "-m", "tools.callers", "--name", name]
    command += ["--rate", str(rate_per_s), "--duration", str(duration_s)]
    for address in addresses:
        command += ["--address", address]
    for kind in kinds:
        command += ["--kind", kind]
    root = Path(__file__).parent.parent
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=root)
    fleet.processes.append(process)
    return process


def collect_caller_records(process: Any) -> list[dict[str, Any]]:
    """Wait until the load generator ends and return its records."""
    output, _ = process.communicate(timeout=CALLERS_TIMEOUT_S)
    records: list[dict[str, Any]] = json.loads(output)
    return records


def fetch_run_records(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the records that the backend servers keep of the requests they ran."""
    records = []
    for server in fleet.servers:
        document = get_json(server.address, "/standin/records")
        records += document["records"]
    return records
