"""Starts entry VMs by the deploy file, each on a loopback address of its own."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from review.stand.client import send

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
SETTINGS_VARIABLE = "BURDOCKHITCH_NODE_FILE"
# The bounds of sites/vdr-gateway.toml, and those of the quotas of demands/.
BOUNDS = {
    "drainS": "2",
    "graceS": "6",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "retryBudgetSlack": "64",
    "quotaWindowS": "5",
    "quotaOverage": "0.1",
    "quotaSlack": "20",
}
# All ports lie below those that the kernel gives to outgoing connections.
PORT_MIN = 20_000
PORT_MAX = 31_000
ROLE_PORTS = ("front", "control", "directory", "readiness")


def fill_template(text, values):
    """Fill the settings template as DEPLOY.md says, for the tags that it uses."""
    text = re.sub(r"\{\{[#/][^}]*\}\}", "", text)
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match[1]], text)


class Vm:
    """An entry VM."""

    def __init__(self, fleet, number, zone="a", bounds=None, memory_mb="300", store=""):
        self.fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.ip = f"{fleet.network}.{number}"
        self.front = f"{self.ip}:{fleet.ports['front']}"
        self.readiness = f"{self.ip}:{fleet.ports['readiness']}"
        self.directory = f"{self.ip}:{fleet.ports['directory']}"
        values = {f"bounds.{k}": v for k, v in {**BOUNDS, **(bounds or {})}.items()}
        values |= {f"listen.{k}": f"{self.ip}:{p}" for k, p in fleet.ports.items()}
        values |= {
            "nodeName": self.name,
            "zone": zone,
            "region": "local",
            "ip": self.ip,
            "internalPorts.0": str(fleet.message_port),
            "limits.linkMbps": "1000",
            "limits.memoryMb": memory_mb,
            "platform.address": store or fleet.store.address,
            "seeds": f"{fleet.network}.1:{fleet.ports['control']}",
        }
        self.path = fleet.folder / f"{self.name}.ini"
        template = (ROOT / ROLE["template"]).read_text()
        self.path.write_text(fill_template(template, values))
        self.process = None
        self.log = None

    def start(self):
        """Start the process with the line ``run`` of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment[SETTINGS_VARIABLE] = str(self.path)
        self.log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            shlex.split(ROLE["run"]),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        answer = await send(self.readiness, "ready", path="/-/ready", timeout_s=1.0)
        return answer.status == 200

    def log_lines(self):
        """Return the log of the process."""
        path = self.fleet.folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []


class Fleet:
    """VMs, and the folder of their settings and logs."""

    def __init__(self, store):
        self.store = store
        self._temporary = tempfile.TemporaryDirectory(prefix="burdockhitch-review-")
        self.folder = Path(self._temporary.name)
        # A network of its own, so that two cases may run at once.
        self.network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        first_port = random.randint(PORT_MIN, PORT_MAX)
        self.ports = {name: first_port + n for n, name in enumerate(ROLE_PORTS)}
        self.message_port = first_port + len(ROLE_PORTS)
        self.vms = []

    def add(self, number, **fields):
        """Add a VM without starting it."""
        vm = Vm(self, number, **fields)
        self.vms.append(vm)
        return vm

    async def wait_ready(self, vms=None, timeout_s=20.0):
        """Wait until VMs are ready and know each other."""
        vms = vms or self.vms
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if all(await asyncio.gather(*(vm.is_ready() for vm in vms))):
                counts = [await self._count_offered(vm) for vm in vms]
                if min(counts) >= len(self.vms):
                    return
            await asyncio.sleep(0.1)
        raise CaseError("the VMs did not become ready")

    async def _count_offered(self, vm):
        path = "/-/resolve?name=tours.example&region=local&zone=none"
        answer = await send(vm.directory, "resolve", path=path, timeout_s=1.0)
        return len(json.loads(answer.body)["addresses"]) if answer.status == 200 else 0

    def stop(self):
        """End all processes that were started here, and remove the folder."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
            if vm.log is not None:
                vm.log.close()
        self._temporary.cleanup()


class CaseError(Exception):
    """The case could not run."""


def make_configuration(version, routes, services, **changes):
    """Return a configuration.

    Args:
        version: Its version.
        routes: Fields of the routes that differ from the usual ones.
        services: Names of the services.
        changes: Further fields of the document.
    """
    usual = {
        "host": "tours.example",
        "kind": "safe",
        "timeoutS": 4,
        "targetLatencyS": 0.8,
        "priority": 1,
        "maxAttempts": 2,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 390}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutS": 10,
            "idleTimeoutS": 60,
        },
        **changes,
    }
