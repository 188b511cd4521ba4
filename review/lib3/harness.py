"""Small stand-ins and helpers for the scripts of this review.

One asyncio process holds the store, the backends and the clients. The entry VMs run as
processes of their own, started with the line ``run`` of ``deploy/system.toml`` and a
settings file made from its template. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "tours.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._started_s = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now_s(self):
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line, and print it."""
        self.write(text)
        print(f"{self.now_s():8.3f} {text}", flush=True)


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message."""
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def make_message(first_line, headers, body=b""):
    """Return a message as bytes."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows in tables, transactions, reads and a feed."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.is_down = False
        self._changed = asyncio.Event()
        self._writers = set()
        self.address = ""

    async def start(self, address):
        """Start."""
        self.address = address
        host, _, port = address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port), backlog=256)

    def put(self, table, key, value):
        """Write a row, as the operator or a backend does."""
        self.version += 1
        self.rows[(table, key)] = (self.version, value)
        self._wake()

    def put_json(self, table, key, document):
        """Write a row with a JSON document."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put(table, key, value)

    def delete(self, table, key):
        """Remove a row."""
        if (table, key) in self.rows:
            self.version += 1
            self.rows[(table, key)] = (self.version, None)
            self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def go_down(self):
        """Answer nothing from now on, and cut the calls in progress."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self):
        """Answer again."""
        self.is_down = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if self.is_down:
                    # A store that is down doesn't answer.
                    await asyncio.sleep(30)
                    break
                await asyncio.sleep(0.004)
                status, document = await self._answer(head[0], body)
                if self.is_down:
                    break
                data = json.dumps(document).encode()
                names = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data)),
                    ("Store-Era", "0"),
                ]
                writer.write(make_message(f"HTTP/1.1 {status} X", names, data))
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first_line, body):
        method, target, _ = first_line.split(" ", 2)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/-/rows-get":
            return self._get(query)
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, document):
        for row in document.get("expectedRevision", []):
            held = self.rows.get((row["table"], row["key"]), (0, None))
            if (held[0] if held[1] is not None else 0) != row["ver"]:
                return 412, {"rows": []}
        changes = [*document.get("puts", []), *document.get("deletes", [])]
        if any(row["table"] in ("op", "servers") for row in changes):
            return 403, {}
        self.version += 1
        for row in document.get("puts", []):
            self.rows[(row["table"], row["key"])] = (self.version, row["value"])
        for row in document.get("deletes", []):
            self.rows[(row["table"], row["key"])] = (self.version, None)
        self._wake()
        return 200, {"ver": self.version, "nowS": time.monotonic()}

    def _get(self, query):
        first, limit = query.get("from", ""), int(query.get("limit", "500"))
        found = sorted(
            (key, held)
            for (table, key), held in self.rows.items()
            if table == query["table"] and key >= first and held[1] is not None
        )
        rows = [self._row(query["table"], key, held) for key, held in found[:limit]]
        return 200, {
            "rows": rows,
            "hasMore": len(found) > limit,
            "ver": self.version,
            "nowS": time.monotonic(),
        }

    def _row(self, table, key, held):
        row = {"table": table, "part": "", "key": key, "ver": held[0]}
        if held[1] is None:
            return {**row, "removed": True}
        return {**row, "value": held[1]}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            event = self._changed
            found = sorted(
                (held[0], key)
                for (name, key), held in self.rows.items()
                if name == table and held[0] > after
            )
            remaining_s = until_s - time.monotonic()
            if found or remaining_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(event.wait(), remaining_s)
        rows = [self._row(table, key, self.rows[(table, key)]) for _, key in found]
        return 200, {"rows": rows, "ver": self.version, "nowS": time.monotonic()}


class Backend:
    """A backend server; ``handle`` decides what becomes of each request.

    Attributes:
        runs: Times and ids of the requests that it began to work on.
    """

    def __init__(self, record, server_id, address, work_s=0.02):
        self.record = record
        self.server_id = server_id
        self.address = address
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.arrivals = []
        self.runs = []
        self.slots = asyncio.Semaphore(4)
        self._server = None
        self._writers = set()

    async def start(self):
        """Start."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=256, limit=1 << 20
        )

    def crash(self):
        """Close the listener and reset all connections, as an ended process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state="ready", service="booking", zone="a", slots=4):
        """Return the next entry of this backend in the registry."""
        self.sequence += 1
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "concurrency": slots,
            "state": state,
            "warmupLeftS": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self._respond(head, body, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _respond(self, head, body, reader, writer):
        first_line, headers = head
        method, target, _ = first_line.split(" ", 2)
        request_id = headers.get("request-id", "")
        if target == "/health":
            writer.write(
                make_message(
                    "HTTP/1.1 200 OK",
                    [("Instance-Id", self.server_id), ("Content-Length", 0)],
                )
            )
            await writer.drain()
            return True
        if headers.get("target-instance", self.server_id) != self.server_id:
            names = [("Instance-Id", self.server_id), ("Content-Length", 0)]
            writer.write(make_message("HTTP/1.1 421 Misdirected Request", names))
            await writer.drain()
            return True
        self.arrivals.append((self.record.now_s(), request_id))
        status, extra, data = await self.handle(method, target, headers, body)
        names = [("Request-Id", request_id), *extra, ("Content-Length", len(data))]
        writer.write(make_message(f"HTTP/1.1 {status} X", names, data))
        await writer.drain()
        return True

    def find_work_s(self, target, body):
        """Return how long a request takes."""
        return self.work_s

    async def handle(self, method, target, headers, body):
        """Run a request; return status, further headers and body of the answer."""
        request_id = headers.get("request-id", "")
        async with self.slots:
            self.runs.append((self.record.now_s(), request_id))
            await asyncio.sleep(self.find_work_s(target, body))
        data = f"{self.server_id} ran {request_id}".encode()
        return 200, [("Backend-Signature", f"{self.server_id}.{request_id}")], data


def make_configuration(version, accounts=None, body_max_bytes=1 << 20, timeout_s=2.0):
    """Return a configuration with a safe and an unsafe route."""
    route = {
        "name": "look",
        "host": HOST,
        "prefix": "/tours/",
        "kind": "safe",
        "timeoutS": timeout_s,
        "targetLatencyS": 0.8,
        "priority": 2,
        "service": "booking",
        "maxAttempts": 2,
    }
    hold = {**route, "name": "hold", "prefix": "/holds/", "kind": "unsafe"}
    document = {
        "version": version,
        "routes": [route, hold],
        "services": [
            {
                "name": "booking",
                "healthPath": "/health",
                "maxConnections": 390,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": body_max_bytes,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }
    if accounts is not None:
        document["tenants"] = accounts
    return document


def render(text, fields):
    """Fill a template as the platform does, for the tags that the project uses."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def fill_section(match):
        return match[2] if look_up(match[1]) not in (None, "", []) else ""

    def fill_value(match):
        value = look_up(match[1])
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.S)
    return re.sub(r"\{\{([^}#/]+)\}\}", fill_value, text)


class Vm:
    """An entry VM: its addresses, its settings and its process."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.name = f"front-a-{number}"
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{number}"
        front, control, directory, readiness, _message = fleet.ports
        self.front = f"{self.ip}:{front}"
        self.control = f"{self.ip}:{control}"
        self.directory = f"{self.ip}:{directory}"
        self.readiness = f"{self.ip}:{readiness}"
        self.process = None
        self.n_starts = 0

    def start(self):
        """Start."""
        fleet = self.fleet
        fields = {
            "nodeName": self.name,
            "zone": "a",
            "region": "local",
            "ip": self.ip,
            "internalPorts": [fleet.ports[4], fleet.ports[4]],
            "seeds": [f"127.{fleet.net[0]}.{fleet.net[1]}.1:{fleet.ports[1]}"],
            "listen": {
                "front": self.front,
                "control": self.control,
                "directory": self.directory,
                "readiness": self.readiness,
            },
            "limits": {"linkMbps": 1000.0, "memoryMb": fleet.memory_mb},
            "platform": {"address": fleet.store.address},
            "bounds": fleet.bounds,
        }
        path = fleet.folder / f"{self.name}.ini"
        path.write_text(render(fleet.template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BURDOCKHITCH_NODE_FILE"] = str(path)
        self.n_starts += 1
        log = open(fleet.folder / f"{self.name}.{self.n_starts}.log", "wb")
        self.process = subprocess.Popen(
            fleet.run_words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        fleet.processes.append(self.process)

    def signal(self, number):
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def log_text(self):
        """Return what the processes of this VM logged."""
        paths = sorted(self.fleet.folder.glob(f"{self.name}.*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    async def is_ready(self):
        """Return whether the VM says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                request_once(self.readiness, "GET", "/-/ready"), 1.0
            )
        except (TimeoutError, OSError):
            return False
        return answer is not None and answer.status == 200


BOUNDS = {
    "drainS": 2,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 64,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
}


class Fleet:
    """The store and the entry VMs of a case."""

    def __init__(self, record, n_vms, memory_mb=300, bounds=None):
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.run_words = role["run"].split()
        self.template = (REPOSITORY / role["template"]).read_text()
        if not (REPOSITORY / "target" / "deps").is_dir():
            raise NotRunError("the build of the deploy file is missing")
        self.record = record
        self.memory_mb = memory_mb
        self.bounds = bounds or BOUNDS
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = (random.randint(10, 200), random.randint(0, 250))
        self.processes = []
        self.store = Store()
        self.ports = self._find_ports(n_vms)
        self.vms = [Vm(self, number) for number in range(1, n_vms + 1)]

    def _find_ports(self, n_vms):
        """Return five ports that are free on the addresses of all VMs."""
        for _ in range(50):
            first = random.randint(20000, 55000)
            try:
                for number in range(1, n_vms + 1):
                    for port in range(first, first + 5):
                        with socket.socket() as probe:
                            ip = f"127.{self.net[0]}.{self.net[1]}.{number}"
                            probe.bind((ip, port))
                return list(range(first, first + 5))
            except OSError:
                continue
        raise NotRunError("no free ports")

    def free_address(self, number):
        """Return a free address for a stand-in, on a loopback address of its own."""
        ip = f"127.{self.net[0]}.{self.net[1]}.{number}"
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return f"{ip}:{probe.getsockname()[1]}"

    async def start(self, configuration, backends):
        """Start."""
        await self.store.start(self.free_address(250))
        self.store.put_json("op", "config", configuration)
        for backend in backends:
            await backend.start()
            self.store.put_json("servers", backend.server_id, backend.entry())
        for vm in self.vms:
            vm.start()
        await self.wait_ready()

    async def wait_ready(self, limit_s=30.0):
        """Wait until all VMs are ready."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if all([await vm.is_ready() for vm in self.vms]):
                return
            await asyncio.sleep(0.2)
        raise NotRunError("the entry VMs did not get ready")

    def stop(self):
        """End all processes and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    os.kill(process.pid, signal.SIGCONT)
                    os.kill(process.pid, signal.SIGKILL)
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An answer: status, headers with names in lower case, body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reader):
    """Return a whole answer, or None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Answer(int(head[0].split(" ")[1]), head[1], body)


async def open_connection(address):
    """Open a connection."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


async def request_once(address, method, target, headers=(), body=b""):
    """Send a request on a new connection; return its answer, or None without one."""
    reader, writer = await open_connection(address)
    try:
        length = [("Content-Length", len(body))] if body else []
        names = [("Host", HOST), *headers, *length]
        writer.write(make_message(f"{method} {target} HTTP/1.1", names, body))
        await writer.drain()
        return await read_answer(reader)
    except (ConnectionError, OSError):
        return None
    finally:
        writer.close()


class Client:
    """A client that keeps one connection open and sends one request after another."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    @property
    def is_open(self):
        """Whether it has a connection."""
        return self._streams is not None

    async def request(self, method, target, headers=(), body=b"", timeout_s=5.0):
        """Return the answer, or None if the connection ended or the time is over."""
        try:
            if self._streams is None:
                self._streams = await asyncio.wait_for(
                    open_connection(self.address), 1.0
                )
            reader, writer = self._streams
            length = [("Content-Length", len(body))] if body or method != "GET" else []
            names = [("Host", HOST), *headers, *length]
            writer.write(make_message(f"{method} {target} HTTP/1.1", names, body))
            await writer.drain()
            answer = await asyncio.wait_for(read_answer(reader), timeout_s)
        except (TimeoutError, OSError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(folder, main):
    """Run ``main(record)``, which returns whether the rule held; exit accordingly."""
    record = Record(folder)
    record.write(f"trouble={'1' if TROUBLE else '0'}")

    async def run():
        # Tasks of stand-ins are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(main(record), 110.0)

    try:
        is_held = asyncio.run(run())
    except (TimeoutError, NotRunError, OSError) as error:
        record.say(f"NOT RUN: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.say("the rule held" if is_held else "the rule was BROKEN")
    sys.exit(EXIT_HELD if is_held else EXIT_BROKEN)
