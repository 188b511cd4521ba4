"""Memory of large tables, and time to parse large rules files and compute a hash."""

import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from benchmarks.decisions import make_rules
from benchmarks.results import Result, benchmarks
from burdockhitch.clock import SystemClock
from burdockhitch.rules.document import parse_rules
from burdockhitch.settings import PlatformSettings, Settings, VmSettings
from burdockhitch.systems.direct.accounts.keys import apply_accounts
from burdockhitch.systems.ownership import rendezvous_hash
from burdockhitch.tables.backend_servers import BackendServerRow, make_backend_servers
from burdockhitch.tables.client_accounts import (
    ClientAccountRow,
    digest_key,
    pack_digests,
)
from burdockhitch.tables.registry_views import ConfigurationDocument
from burdockhitch.tables.routes import (
    RouteRow,
    TokenBucketRow,
    make_routes,
    make_token_buckets,
)
from burdockhitch.tables.vms import VmRow, VmStatus, make_vms
from burdockhitch.world import make_world

N_ROUTES = 63_000
N_SERVERS = 40_000
N_ACCOUNTS = 84_000
KEYS_PER_ACCOUNT = 3
N_VMS = 2_800
BYTES_PER_MB = 1024 * 1024


def make_route(number: int) -> RouteRow:
    """Return the row of one route."""
    path = f"/service{number % 1100}/{number}"
    return RouteRow(
        f"GET {path}",
        f"service{number % 1100}",
        "GET",
        path,
        True,
        "none",
        2.0,
        5,
        "Karin",
        number,
    )


def make_server(number: int) -> BackendServerRow:
    """Return the row of one backend server."""
    service = f"service{number % 1100}"
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
    name = f"{service}/{address}"
    return BackendServerRow(
        name, service, address, f"zone{number % 15}", 4, 400, False, "Eva", number
    )


def make_vm(number: int) -> VmRow:
    """Return the row of one entry VM."""
    address = f"10.{number >> 8}.{number & 255}.1"
    return VmRow(
        f"vm-{number:05}",
        1_790_000_000_000_000 + number,
        0,
        f"zone{number % 15}",
        f"region{number % 7}",
        f"{address}:80",
        f"{address}:70",
        VmStatus.ALIVE,
    )


def make_bucket(number: int) -> TokenBucketRow:
    """Return the token bucket of one client account."""
    return TokenBucketRow(f"account-{number:06}", float(number), float(number))


def make_account(number: int) -> ClientAccountRow:
    """Return a client account with its keys and a limit."""
    digests = [digest_key(f"{number}-{i}".encode()) for i in range(KEYS_PER_ACCOUNT)]
    return ClientAccountRow(
        f"account-{number:06}", pack_digests(digests), 1, 1.0 + number % 100, 10.0
    )


def _accounts_mb() -> float:
    """Apply a configuration of many client accounts; return what it allocated."""
    vm = VmSettings("a1", "a", "10.9.0.1:80", "10.9.0.1:70", "10.9.0.1:90")
    settings = Settings(vm=vm, platform=PlatformSettings("10.9.9.9:80"))
    world = make_world(settings, SystemClock(), random.Random(1))
    tracemalloc.start()
    accounts = tuple(make_account(number) for number in range(N_ACCOUNTS))
    document = ConfigurationDocument(1, (), 0, 0, 0.0, {}, True, accounts)
    apply_accounts(world, document)
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return n_bytes / BYTES_PER_MB


def _rows_mb(table: Any, make_row: Callable[[int], Any], n_rows: int) -> float:
    """Insert rows and return the memory that this allocated."""
    tracemalloc.start()
    for number in range(n_rows):
        table.insert(make_row(number))
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return n_bytes / BYTES_PER_MB


def _encoded_mb(make_row: Callable[[int], Any], n_rows: int) -> float:
    """Return the size of the rows as MessagePack."""
    encoder = msgspec.msgpack.Encoder()
    return (
        sum(len(encoder.encode(make_row(number))) for number in range(n_rows))
        / BYTES_PER_MB
    )


@benchmarks("footprint")
def measure_footprint() -> Iterator[Result]:
    """Measure tables of the design size, as rows in memory and as MessagePack."""
    tables = (
        ("routes", make_routes, make_route, N_ROUTES),
        ("backend servers", make_backend_servers, make_server, N_SERVERS),
        ("buckets", make_token_buckets, make_bucket, N_ACCOUNTS),
        ("VMs", make_vms, make_vm, N_VMS),
    )
    for name, make_table, make_row, n_rows in tables:
        case = f"{n_rows} {name}"
        rows_mb = _rows_mb(make_table(), make_row, n_rows)
        yield Result("footprint", f"{case} as rows", rows_mb, "MB", "32 in all")
        encoded_mb = _encoded_mb(make_row, n_rows)
        yield Result("footprint", f"{case} encoded", encoded_mb, "MB")
    case = f"{N_ACCOUNTS} client accounts with {KEYS_PER_ACCOUNT} keys each"
    yield Result("footprint", f"{case} as rows", _accounts_mb(), "MB", "32")
    encoded_mb = _encoded_mb(make_account, N_ACCOUNTS)
    yield Result("footprint", f"{case} encoded", encoded_mb, "MB")


@benchmarks("rules")
def measure_rules() -> Iterator[Result]:
    """Measure the processor time to parse large rules files."""
    routes = "".join(
        f"route s0 GET /r/{number} # Bench\n" for number in range(N_ROUTES)
    ).encode()
    bodies = {
        "63,000 routes": make_rules(36, 0) + b"\n" + routes,
        "40,000 servers": make_rules(N_SERVERS, 0),
    }
    for case, body in bodies.items():
        started_s = time.process_time()
        parse_rules(body)
        yield Result("rules", case, time.process_time() - started_s, "s")


@benchmarks("ownership")
def measure_ownership() -> Iterator[Result]:
    """Measure the hash of one VM and one server, computed when a VM joins or leaves.

    The VM with the highest hash owns the server.
    """
    server_ids = [make_server(number).server_id for number in range(10_000)]
    started_s = time.process_time()
    for server_id in server_ids:
        rendezvous_hash("vm-00001", server_id)
    cost_us = (time.process_time() - started_s) / len(server_ids) * 1e6
    yield Result("ownership", "one VM and one server", cost_us, "us")
