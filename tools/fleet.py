"""Starts a small fleet on loopback as distinct processes, for demo and tests.

The processes are started by this script; no process of the system starts
another one. All of them are stopped by their process identity.
"""

import contextlib
import http.client
import json
import os
import random
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
# Linux gives outgoing connections ports from 32768 on.
PORT_MIN = 20_000
PORT_MAX = 32_000
_rng = random.SystemRandom()
_untaken_ports = list(range(PORT_MIN, PORT_MAX))


class VmPlan(NamedTuple):
    """Name and place of an entry VM to start."""

    vm_id: str
    zone: str


class ServerPlan(NamedTuple):
    """Backend servers of one service in one availability zone."""

    service: str
    zone: str
    n_servers: int
    n_slots: int


class RunningVm(NamedTuple):
    """A started entry VM."""

    vm_id: str
    zone: str
    caller_address: str
    message_address: str
    admin_address: str
    process: Any


class RunningServer(NamedTuple):
    """A started backend server."""

    service: str
    zone: str
    address: str
    n_slots: int


class Fleet(NamedTuple):
    """A started fleet."""

    folder: Path
    platform_address: str
    platform: Any
    vms: list[RunningVm]
    servers: list[RunningServer]
    processes: list[Any]


class Reply(NamedTuple):
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class FleetStartError(Exception):
    """A process of the fleet did not start in time."""


def free_addresses(n_addresses: int) -> list[str]:
    """Return loopback addresses whose ports nobody listens on.

    No port is returned twice, since its first holder may not listen yet. The system
    gives outgoing connections ports of the range above these; one that is free now
    may be taken by a connection before it is used.
    """
    sockets: list[socket.socket] = []
    while len(sockets) < n_addresses:
        port = _rng.choice(_untaken_ports)
        _untaken_ports.remove(port)
        opened = socket.socket()
        with contextlib.suppress(OSError):
            opened.bind(("127.0.0.1", port))
            sockets.append(opened)
            continue
        opened.close()
    addresses = [f"127.0.0.1:{opened.getsockname()[1]}" for opened in sockets]
    for opened in sockets:
        opened.close()
    return addresses


def ask(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> Reply:
    """Send one request over its own connection.

    Raises:
        OSError: If the address can't be reached or the answer breaks off.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, names, content)
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from None
    finally:
        connection.close()


def ask_json(address: str, path: str) -> Any:
    """Return a decoded JSON document."""
    return json.loads(ask(address, "GET", path).body)


def put_json(address: str, path: str, document: Any) -> None:
    """Send a JSON document."""
    ask(address, "PUT", path, json.dumps(document).encode())


def start_process(folder: Path, name: str, arguments: list[str]) -> Any:
    """Start the program with its output in a file of the folder."""
    log_path = folder / f"{name}.log"
    with log_path.open("ab") as log_file:
        return subprocess.Popen(
            [sys.executable, "-m", "burdockhitch", *arguments],
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
            cwd=Path(__file__).parent.parent,
        )


def wait_until(condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    Raises:
        FleetStartError: If it does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, ValueError):
            if condition():
                return
        time.sleep(POLL_S)
    raise FleetStartError(what)


def _settings_text(
    plan: VmPlan, addresses: list[str], platform: str, seeds: list[str], extra: str
) -> str:
    return f"""[vm]
vm_id = {plan.vm_id}
zone = {plan.zone}
caller_address = {addresses[0]}
message_address = {addresses[1]}
admin_address = {addresses[2]}

[platform]
address = {platform}

[membership]
seeds = {" ".join(seeds)}
{extra}
"""


def start_vm(
    folder: Path,
    plan: VmPlan,
    addresses: list[str],
    platform: str,
    seeds: list[str],
    extra: str = "",
) -> RunningVm:
    """Write the settings of an entry VM and start it."""
    path = folder / f"{plan.vm_id}.ini"
    path.write_text(_settings_text(plan, addresses, platform, seeds, extra))
    process = start_process(folder, plan.vm_id, ["serve", "--settings", str(path)])
    caller, message, admin = addresses
    return RunningVm(plan.vm_id, plan.zone, caller, message, admin, process)


def start_servers(
    folder: Path, plans: list[ServerPlan], processes: list[Any]
) -> list[RunningServer]:
    """Start the backend servers of all plans."""
    servers = []
    for plan in plans:
        addresses = free_addresses(plan.n_servers)
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


def write_rules(servers: list[RunningServer], other_rules: str) -> str:
    """Return rules that name the started backend servers."""
    lines = [
        f"server {server.service} {server.address} zone={server.zone} "
        f"slots={server.n_slots} # Tools"
        for server in servers
    ]
    return other_rules + "\n".join(lines) + "\n"


def start_push(fleet: Fleet, text: str, name: str = "tools", *arguments: str) -> Any:
    """Start a push of rules as an operator does; return the process."""
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


def is_ready(vm: RunningVm, n_vms: int, revision: int) -> bool:
    """Return whether a VM serves a revision and sees the whole fleet."""
    tables = ask_json(vm.admin_address, "/state")["tables"]
    alive = [row for row in tables["vms"] if row["status"] == "alive"]
    numbers = [row["number"] for row in tables["revisions"]]
    is_confirmed = {"source": "confirmed"} in tables["confirmations"]
    return len(alive) == n_vms and numbers == [revision] and is_confirmed


@contextlib.contextmanager
def run_fleet(
    vm_plans: list[VmPlan],
    server_plans: list[ServerPlan],
    other_rules: str,
    extra_settings: str = "",
) -> Iterator[Fleet]:
    """Run a fleet until the block ends, however it ends.

    Args:
        vm_plans: Entry VMs.
        server_plans: Backend servers.
        other_rules: Rules besides those of the backend servers.
        extra_settings: Further lines of every VM's settings file.
    """
    processes: list[Any] = []
    with tempfile.TemporaryDirectory(prefix="burdockhitch-") as name:
        folder = Path(name)
        try:
            yield _start_fleet(
                folder, processes, vm_plans, server_plans, other_rules, extra_settings
            )
        finally:
            stop_all(processes)


def _start_fleet(
    folder: Path,
    processes: list[Any],
    vm_plans: list[VmPlan],
    server_plans: list[ServerPlan],
    other_rules: str,
    extra_settings: str,
) -> Fleet:
    platform = free_addresses(1)[0]
    platform_process = start_process(
        folder, "platform", ["standin", "platform", "--address", platform]
    )
    processes.append(platform_process)
    servers = start_servers(folder, server_plans, processes)
    wait_until(lambda: ask(platform, "GET", "/vms").status == 200, "platform")
    addresses = free_addresses(3 * len(vm_plans))
    groups = [addresses[i : i + 3] for i in range(0, len(addresses), 3)]
    listed = [
        {
            "vm_id": plan.vm_id,
            "zone": plan.zone,
            "state": "live",
            "message_address": group[1],
        }
        for plan, group in zip(vm_plans, groups, strict=True)
    ]
    put_json(platform, "/vms", listed)
    seeds = [group[1] for group in groups[:3]]
    vms = []
    for plan, group in zip(vm_plans, groups, strict=True):
        vm = start_vm(folder, plan, group, platform, seeds, extra_settings)
        processes.append(vm.process)
        vms.append(vm)
    fleet = Fleet(folder, platform, platform_process, vms, servers, processes)
    pushing = start_push(fleet, write_rules(servers, other_rules))
    errors = pushing.communicate(timeout=START_TIMEOUT_S)[1]
    if pushing.returncode:
        raise FleetStartError(errors)
    for vm in vms:
        wait_until(partial(is_ready, vm, len(vms), 1), vm.vm_id)
    return fleet


def stop_all(processes: list[Any]) -> None:
    """End processes that still run, by their identity."""
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
    """Start callers as a process; see ``tools/callers.py``."""
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


def read_callers(process: Any) -> list[dict[str, Any]]:
    """Wait for the callers' end and return their records."""
    output, _ = process.communicate(timeout=CALLERS_TIMEOUT_S)
    records: list[dict[str, Any]] = json.loads(output)
    return records


def read_records(fleet: Fleet) -> list[dict[str, Any]]:
    """Return what all backend servers ran."""
    records = []
    for server in fleet.servers:
        document = ask_json(server.address, "/standin/records")
        records += document["records"]
    return records
