"""Processor time per request of the systems, by number of backend servers.

The systems run in this process, without network I/O.
"""

import random
import time
from collections.abc import Iterator

from benchmarks.results import Result, benchmarks
from burdockhitch import events
from burdockhitch.clock import SystemClock
from burdockhitch.messages import Answer, RequestMessage
from burdockhitch.settings import PlatformSettings, Settings, VmSettings
from burdockhitch.systems import owned
from burdockhitch.systems.confirmation import PLATFORM_SOURCE, record_confirmation
from burdockhitch.systems.membership import start_membership
from burdockhitch.systems.phases import run_tick
from burdockhitch.systems.revision_exchange import apply_revision
from burdockhitch.world import World, make_world, post_event

# Imported because it registers the systems.
REGISTERED_MODULES = (owned,)
N_REQUESTS = 3000
SERVERS_PER_SERVICE = 36
N_SERVERS = (10, 100, 1000, 10_000, 40_000)
N_SERVERS_OWNED = 14


def make_rules(n_servers: int, n_owned: int) -> bytes:
    """Return rules for backend servers; the first ``n_owned`` are in zone a.

    The measured VM is the only one in zone a, and so owns these backend servers.
    """
    lines = []
    for number in range(n_servers):
        service = f"s{number // SERVERS_PER_SERVICE}"
        if number % SERVERS_PER_SERVICE == 0:
            lines.append(f"service {service} floor=1slots # Bench")
            lines.append(f"route {service} GET /{service}/* # Bench")
        zone = "a" if number < n_owned else "b"
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
        lines.append(f"server {service} {address} zone={zone} slots=4 # Bench")
    return "\n".join(lines).encode()


def make_configured_world(n_servers: int) -> World:
    """Return the world of a VM in zone a, with rules and a second VM in zone b."""
    vm = VmSettings("a1", "a", "10.9.0.1:80", "10.9.0.1:70", "10.9.0.1:90")
    settings = Settings(vm=vm, platform=PlatformSettings("10.9.9.9:80"))
    world = make_world(settings, SystemClock(), random.Random(1))
    now = world.clock.now()
    start_membership(world, now)
    own_row = world.vms.fetch("a1")
    world.vms.insert(
        own_row._replace(vm_id="b1", zone="b", message_address="10.9.0.2:70")
    )
    apply_revision(world, 1, make_rules(n_servers, N_SERVERS_OWNED), now)
    record_confirmation(world, PLATFORM_SOURCE, 1)
    run_tick(world)
    world.outbox.clear()
    world.timers.clear()
    return world


def serve_request(world: World, number: int) -> None:
    """Run the systems for one request, from its arrival to the answer to the caller."""
    request = RequestMessage("GET", "/s0/1", (), b"", "school")
    post_event(world, events.CallerRequestArrived(number, request, "", 0.0))
    run_tick(world)
    [attempt] = [row.command for row in world.outbox if row.kind == "SendAttempt"]
    world.outbox.clear()
    answer = Answer(200, (), b"")
    post_event(world, events.BackendAnswered(attempt.attempt_id, answer))
    run_tick(world)
    world.outbox.clear()


@benchmarks("decisions")
def measure_decisions() -> Iterator[Result]:
    """Measure processor time per request, without network I/O."""
    for n_servers in N_SERVERS:
        world = make_configured_world(n_servers)
        for number in range(200):
            serve_request(world, number)
        started_s = time.process_time()
        for number in range(N_REQUESTS):
            serve_request(world, 1000 + number)
        cost_us = (time.process_time() - started_s) / N_REQUESTS * 1e6
        yield Result("decisions", f"{n_servers} servers", cost_us, "us/request", "150")
