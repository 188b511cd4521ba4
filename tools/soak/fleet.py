"""Processes of a run on loopback, and what can be done to them.

All changes run as coroutines on the reactor of the run; no call blocks once the fleet
has started.
"""

import signal
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import treq
from twisted.internet.defer import DeferredLock
from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater
from twisted.web.client import ResponseNeverReceived

from burdockhitch import log
from burdockhitch.clock import SystemClock
from burdockhitch.platform import names
from tools import fleet as tool
from tools import platform_fleet as platform
from tools.soak.backend import KEY_PREFIX
from tools.soak.records import (
    NOT_ENDED_S,
    PUBLIC_ROUTE,
    STORE,
    DisturbanceRow,
    EndRow,
    History,
    Plan,
    WithdrawalRow,
    make_history,
)

N_VMS = 3
N_SERVERS = 3
N_SLOTS = 8
RUNS_FILE = "runs.jsonl"
STATUS_OK = 200
ACCOUNT = "acme"
FIRST_KEY = f"{KEY_PREFIX}first"
FIRST_ROUTES = ("tours", "holds", PUBLIC_ROUTE)
READY_POLL_S = 0.1
CALL_TIMEOUT_S = 10.0
POLL_TIMEOUT_S = 1.0


class RunningBackend(NamedTuple):
    """A backend server of the moment."""

    server_id: str
    address: str
    process: Any


def make_server_document(
    server: RunningBackend, state: str, sequence: int
) -> dict[str, Any]:
    """Return the registry entry of a backend server."""
    return {
        "service": platform.SERVICE,
        "address": server.address,
        "zone": "a",
        "version": "v1",
        "concurrency": N_SLOTS,
        "state": state,
        "warmupLeftS": 0,
        "sequence": sequence,
        "born": 1,
    }


class SoakFleet:
    """The processes of a run, its history, and the configuration in force.

    Args:
        reactor: Twisted reactor.
        plan: Plan of the run.
        folder: Folder of the settings, logs and records.
    """

    def __init__(self, reactor: Any, plan: Plan, folder: Path) -> None:
        self.reactor = reactor
        self.plan = plan
        self.folder = folder
        self.history: History = make_history()
        self.processes: list[Any] = []
        self.running: dict[str, Any] = {}
        self.asked: set[int] = set()
        self.vms: list[platform.PlatformVm] = []
        self.servers: list[RunningBackend] = []
        self.routes: list[str] = list(FIRST_ROUTES)
        self.accounts: dict[str, list[str]] = {}
        self.is_over = False
        self.is_interrupted = False
        self._clock = SystemClock()
        self._started_s = self._clock.now().monotonic_s
        self._version = 0
        self._n_servers_started = 0
        self._n_names = 0
        self._configuration_lock = DeferredLock()
        self._claimed: set[str] = set()
        self._store_address = ""
        self._ports: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return self._clock.now().monotonic_s - self._started_s

    def to_run_time(self, monotonic_s: float) -> float:
        """Return the seconds since the start of the run of a clock reading."""
        return monotonic_s - self._started_s

    def start(self) -> None:
        """Start all processes and wait until they serve, before the reactor runs.

        Raises:
            KeyboardInterrupt: If the run was interrupted meanwhile.
            FleetStartError: If a process did not start in time.
        """
        self._store_address = tool.find_free_addresses(1)[0]
        arguments = ["standin", "store", "--address", self._store_address]
        self._add(STORE, tool.start_process(self.folder, STORE, arguments))
        for address in tool.find_free_addresses(N_SERVERS):
            self.servers.append(self._start_server(address))
        self._wait_until(
            lambda: bool(tool.get_json(self._store_address, "/standin/calls")), STORE
        )
        if self.plan.has_accounts:
            self.accounts[ACCOUNT] = [FIRST_KEY]
            self.history.accounts[FIRST_KEY] = ACCOUNT
        platform.put_row(
            self._store_address, "op", "config", self._make_configuration()
        )
        for server in self.servers:
            platform.put_row(
                self._store_address,
                "servers",
                server.server_id,
                make_server_document(server, "ready", 1),
            )
            self._wait_until(
                lambda server=server: (
                    tool.send_request(server.address, "GET", "/health").status == 200
                ),
                server.server_id,
            )
        self._ports = [
            address.rpartition(":")[2]
            for address in tool.find_free_addresses(platform.N_PORTS)
        ]
        self.vms = [self._start_vm(number) for number in range(1, N_VMS + 1)]
        for vm in self.vms:
            self._wait_until(lambda vm=vm: platform.is_ready(vm), vm.vm_id)
        self._started_s = self._clock.now().monotonic_s

    def _wait_until(self, condition: Any, what: str) -> None:
        """Wait for a condition, until a signal interrupts the run."""

        def is_met() -> bool:
            if self.is_interrupted:
                raise KeyboardInterrupt
            return bool(condition())

        tool.wait_until(is_met, what)

    def interrupt(self, _number: int, _frame: Any) -> None:
        """Handle a signal: the run ends as soon as all started processes are known."""
        self.is_interrupted = True

    async def sleep(self, length_s: float) -> None:
        """Wait."""
        await deferLater(self.reactor, length_s, lambda: None)

    def end(self) -> None:
        """Record nothing more; connections that close now aren't closed by VMs."""
        self.is_over = True

    def is_up(self, vm: platform.PlatformVm) -> bool:
        """Return whether the process of a VM runs."""
        return vm.vm_id in self.running

    def is_disturbed(self, process: str) -> bool:
        """Return whether a fault disturbs a process now."""
        return any(
            row.process == process and row.to_s == NOT_ENDED_S
            for row in self.history.disturbances
        )

    def is_usable(self, server: RunningBackend) -> bool:
        """Return whether a server runs and no fault is about to replace it."""
        is_running = server.server_id in self.running
        return is_running and server.server_id not in self._claimed

    def claim_server(self, server: RunningBackend) -> bool:
        """Keep other faults from a server that will be replaced, if it is usable."""
        if not self.is_usable(server):
            return False
        self._claimed.add(server.server_id)
        return True

    def make_name(self, prefix: str) -> str:
        """Return a new name."""
        self._n_names += 1
        return f"{prefix}{self._n_names}"

    async def put(self, address: str, path: str, document: Any) -> None:
        """Send a JSON document; returns when it is acknowledged."""
        reply = await treq.put(
            f"http://{address}{path}",
            data=msgspec.json.encode(document),
            persistent=False,
            timeout=CALL_TIMEOUT_S,
        )
        await treq.content(reply)

    async def set_store_faults(self, store_faults: dict[str, object]) -> None:
        """Change the faults of the store."""
        await self.put(self._store_address, "/standin/faults", store_faults)

    async def set_behaviour(
        self, server: RunningBackend, behaviour: dict[str, object]
    ) -> None:
        """Change the behaviour of a backend server, unless it is replaced meanwhile."""
        try:
            await self.put(server.address, "/standin/behaviour", behaviour)
        except (ConnectError, ResponseNeverReceived):
            if self.is_usable(server):
                raise

    async def put_configuration(self) -> None:
        """Write the current routes and accounts as a new configuration."""
        path = "/standin/rows/op/config"
        # Two writes at once could arrive in the wrong order.
        await self._configuration_lock.acquire()
        try:
            await self.put(self._store_address, path, self._make_configuration())
        finally:
            self._configuration_lock.release()

    async def put_server(self, server: RunningBackend, state: str, number: int) -> None:
        """Write the registry entry of a backend server."""
        path = f"/standin/rows/servers/{server.server_id}"
        document = make_server_document(server, state, number)
        await self.put(self._store_address, path, document)

    async def remove_server(self, server: RunningBackend) -> None:
        """Remove the registry entry of a backend server."""
        url = f"http://{self._store_address}/standin/rows/servers/{server.server_id}"
        reply = await treq.delete(url, persistent=False, timeout=CALL_TIMEOUT_S)
        await treq.content(reply)

    def add_withdrawal(self, kind: str, name: str) -> None:
        """Record that something may not be used any more from a bound after now on."""
        self.history.withdrawals.append(WithdrawalRow(kind, name, self.now_s()))

    def open_disturbance(self, process: str, fault: str) -> int:
        """Record that a fault disturbs a process; return the number of the row."""
        row = DisturbanceRow(process, fault, self.now_s(), NOT_ENDED_S)
        self.history.disturbances.append(row)
        return len(self.history.disturbances) - 1

    def close_disturbance(self, number: int) -> None:
        """Record the end of a disturbance."""
        rows = self.history.disturbances
        rows[number] = rows[number]._replace(to_s=self.now_s())

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the run, if it still runs."""
        process = self.running.get(name)
        if process is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.asked.add(process.pid)
        process.send_signal(number)

    def collect_ends(self) -> None:
        """Record the processes that have ended."""
        for name, process in list(self.running.items()):
            exit_code = process.poll()
            if exit_code is not None:
                del self.running[name]
                was_asked = process.pid in self.asked
                row = EndRow(name, self.now_s(), exit_code, was_asked)
                self.history.ends.append(row)

    async def wait_for_end(self, name: str, timeout_s: float) -> None:
        """Wait until a process has ended; kill it after the time-out."""
        deadline_s = self.now_s() + timeout_s
        while name in self.running:
            if self.now_s() > deadline_s:
                self.signal(name, signal.SIGKILL)
            await self.sleep(READY_POLL_S)

    async def wait_for_ok(self, address: str, path: str) -> None:
        """Wait until a process answers with status 200."""
        while True:
            await self.sleep(READY_POLL_S)
            try:
                url = f"http://{address}{path}"
                reply = await treq.get(url, persistent=False, timeout=POLL_TIMEOUT_S)
                await treq.content(reply)
            except Exception as error:  # any failure means that it isn't ready
                fields = {"address": address, "error": repr(error)}
                log.write_event("DEBUG", "not_ready", fields)
                continue
            if reply.code == STATUS_OK:
                return

    async def restart_vm(self, number: int) -> None:
        """Start a VM that has ended, and wait until it is ready."""
        self.vms[number] = self._start_vm(number + 1)
        await self.wait_for_ok(self.vms[number].readiness_address, names.READY_PATH)

    async def restart_server(self, number: int) -> None:
        """Start another process with another id at the address of a server."""
        server = self._start_server(self.servers[number].address)
        await self.wait_for_ok(server.address, "/health")
        self.servers[number] = server
        await self.put_server(server, "ready", 1)

    def _start_vm(self, number: int) -> platform.PlatformVm:
        vm = platform.start_vm(self.folder, number, self._ports, self._store_address)
        self._add(vm.vm_id, vm.process)
        return vm

    def _start_server(self, address: str) -> RunningBackend:
        self._n_servers_started += 1
        server_id = f"server-{self._n_servers_started}"
        arguments = ["--address", address, "--id", server_id, "--slots", str(N_SLOTS)]
        arguments += ["--records", str(self.folder / RUNS_FILE)]
        arguments += ["--seed", str(self.plan.seed + self._n_servers_started)]
        process = tool.start_process(
            self.folder, server_id, arguments, module="tools.soak.backend"
        )
        self._add(server_id, process)
        return RunningBackend(server_id, address, process)

    def _add(self, name: str, process: Any) -> None:
        self.processes.append(process)
        self.running[name] = process

    def _make_configuration(self) -> dict[str, Any]:
        """Return the next version of the configuration."""
        self._version += 1
        document = platform.make_configuration(self._version)
        safe_route, unsafe_route = document["routes"]
        document["routes"] = [
            {
                **(unsafe_route if name == "holds" else safe_route),
                "name": name,
                "prefix": f"/{name}/",
                "public": name == PUBLIC_ROUTE,
            }
            for name in self.routes
        ]
        if self.plan.has_accounts:
            document["tenants"] = [
                {"name": name, "apiKeys": keys, "priority": 1}
                for name, keys in self.accounts.items()
            ]
        return document
