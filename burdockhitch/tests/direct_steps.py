"""Runs random sequences of requests and faults in a fleet in direct mode.

A sequence checks that no configuration is reverted, that no request runs twice
where it must not or is refused as not run although it ran, that retries stay within
the budget, that no request is left open or sent to a draining server, and that servers
that state a limit, a pause or that they leave get no more requests than that allows.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import events
from burdockhitch.problems import is_not_run
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_bounds import (
    find_broken_pauses,
    find_exceeded_limits,
    find_sends_to_leaving,
)
from burdockhitch.tests.direct_edges import behaviours
from burdockhitch.tests.direct_fakes import make_route, start_fleet

N_VMS = 5
N_SERVERS = 6
ZONES = ("a", "b")
# Retries of the fleet beyond the ratio. Few, so that a VM that exceeds its share of
# the retry budget breaks the bound.
RETRY_SLACK = 5.0
RECOVERY_S = 8.0
STEP_S = 0.05
ROUTES = (
    make_route("look", prefix="/look/"),
    make_route("hold", prefix="/hold/", is_idempotent=False),
)


class DirectStep(NamedTuple):
    """One step: a registered kind and two random numbers whose meaning it defines."""

    kind: str
    first: int
    second: int


class DirectSequence:
    """A fleet and the state that the checks of a sequence need.

    Args:
        seed: Seed of the fleet.

    Attributes:
        version: Version of the last configuration written.
        settings: Settings by VM ID, for restarts.
        last_versions: Last configuration version seen, by VM ID and incarnation.
        draining_server_ids: IDs of the servers that the registry lists as draining.
        cut_vm_ids: IDs of the VMs of which a link was cut.
        n_requests: Requests that callers sent.
        at_most_once_ids: IDs of the requests that must not run twice.
        violations: A text for each violation found.
    """

    def __init__(self, seed: int) -> None:
        self.fleet = start_fleet(N_VMS, N_SERVERS, seed, ZONES, retry_slack=RETRY_SLACK)
        self.version = 2
        self.fleet.configure(self.version, *ROUTES)
        self.fleet.run(2.0)
        self.settings = {
            vm_id: world.settings for vm_id, world in self.fleet.worlds.items()
        }
        self.last_versions: dict[tuple[str, int], int] = {}
        self.draining_server_ids: set[str] = set()
        self.cut_vm_ids: set[str] = set()
        self.n_requests = 0
        self.at_most_once_ids: set[str] = set()
        self.violations: list[str] = []

    def running_vm_id(self, number: int) -> str:
        """Return the ID of one of the running VMs, chosen by a number."""
        vm_ids = sorted(self.fleet.worlds)
        return vm_ids[number % len(vm_ids)]

    def server_id(self, number: int) -> str:
        """Return the ID of one of the servers, chosen by a number."""
        return str(number % N_SERVERS + 1)

    def check_versions(self) -> None:
        """Record a violation for each VM whose configuration version decreased."""
        for vm_id, world in self.fleet.worlds.items():
            key = (vm_id, world.local.incarnation)
            version = registry_view(world, RegistryPart.CONFIGURATION).version
            if version < self.last_versions.get(key, 0):
                self.violations.append(f"{vm_id} reverted to version {version}")
            self.last_versions[key] = version

    def check_end(self) -> None:
        """Record the violations that are looked for after the last step.

        These are requests run twice where they must not, requests that ran but were
        refused as not run, and retries above the budget.
        """
        fleet = self.fleet
        runs = Counter(attempt.request_id for attempt in fleet.executed_attempts)
        for request_id in self.at_most_once_ids:
            if runs[request_id] > 1:
                self.violations.append(f"{request_id} ran {runs[request_id]} times")
        for reply in fleet.caller_replies.values():
            refusal = getattr(reply.command, "refusal", None)
            if refusal is None or not is_not_run(refusal.error):
                continue
            if runs[reply.command.request_id] and reply.command.request_id:
                self.violations.append(
                    f"{reply.command.request_id} ran but was refused as not run"
                )
        settings = next(iter(self.settings.values())).direct
        n_retries_max = settings.retry_ratio * self.n_requests + settings.retry_slack
        sends = Counter(attempt.request_id for attempt in fleet.sent_attempts)
        n_retries = sum(n_sends - 1 for n_sends in sends.values())
        if n_retries > n_retries_max:
            self.violations.append(f"{n_retries} retries exceed the retry budget")
        self.check_statements()

    def check_statements(self) -> None:
        """Record the requests that servers got against what they had stated."""
        sent, statements = self.fleet.sent_attempts, self.fleet.statements
        for attempt in find_sends_to_leaving(sent, statements):
            self.violations.append(f"{attempt} was sent to a leaving server")
        for statement in find_broken_pauses(sent, statements):
            self.violations.append(f"the pause of {statement} was broken")
        exceeded = find_exceeded_limits(sent, statements, self.cut_vm_ids)
        for server, n_sent in exceeded.items():
            self.violations.append(f"{server} got {n_sent} requests, over its limit")


step_kinds: Registry[Callable[[DirectSequence, int, int], None]] = Registry(
    "step of a direct sequence"
)


@step_kinds("send")
def send_requests(sequence, first, second):
    """Send ``second + 1`` requests, to one VM after another."""
    for number in range(1 + second):
        path = "/hold/x" if (first + number) % 3 else "/look/x"
        connection = sequence.fleet.send(sequence.running_vm_id(first + number), path)
        sequence.n_requests += 1
        if path.startswith("/hold"):
            sequence.at_most_once_ids.add(f"id-{connection}")


@step_kinds("behave")
def change_server_behaviour(sequence, first, second):
    """Give a server another behaviour."""
    names = behaviours.names()
    sequence.fleet.behaviour_by_server[sequence.server_id(first)] = names[
        second % len(names)
    ]


@step_kinds("connect")
def delay_connections(sequence, first, second):
    """Delay new connections to a server by ``0.06 * second`` seconds."""
    server_id = sequence.server_id(first)
    sequence.fleet.connect_delay_s[server_id] = 0.06 * second


@step_kinds("heal")
def end_all_faults(sequence, first, second):
    """End all faults of servers, links, messages and registry calls."""
    fleet = sequence.fleet
    fleet.behaviour_by_server = dict.fromkeys(fleet.behaviour_by_server, "ok")
    fleet.blocked_links.clear()
    fleet.connect_delay_s.clear()
    fleet.loss_ratio = 0.0
    fleet.registry.refused_vms.clear()
    fleet.leaving_server_ids.clear()
    fleet.stated_rests.clear()


@step_kinds("cut")
def block_link(sequence, first, second):
    """Block what one VM sends to another VM, or to a server."""
    vm_id = sequence.running_vm_id(first)
    other = sequence.server_id(second) if second % 2 else sequence.running_vm_id(second)
    sequence.fleet.blocked_links.add((vm_id, other))
    sequence.cut_vm_ids |= {vm_id, other}


@step_kinds("lose")
def lose_messages(sequence, first, second):
    """Let messages between VMs be lost, each with probability ``0.04 * second``."""
    sequence.fleet.loss_ratio = 0.04 * second


@step_kinds("refuse")
def refuse_registry_calls(sequence, first, second):
    """Let the registry refuse a VM's calls."""
    sequence.fleet.registry.refused_vms.add(sequence.running_vm_id(first))


@step_kinds("forget")
def discard_history(sequence, first, second):
    """Let the next watch fail, as if the registry had discarded its history."""
    sequence.fleet.registry.is_history_gone = True


@step_kinds("configure")
def write_configuration(sequence, first, second):
    """Write a configuration of a higher version to the registry."""
    sequence.version += 1 + second
    sequence.fleet.configure(sequence.version, *ROUTES)


@step_kinds("drain")
def toggle_draining(sequence, first, second):
    """List a server as draining, or as ready again."""
    server_id = sequence.server_id(first)
    is_draining = second % 2 == 0
    behaviour = sequence.fleet.behaviour_by_server[server_id]
    zone = ZONES[(int(server_id) - 1) % len(ZONES)]
    number = sequence.fleet.process_numbers[server_id]
    sequence.fleet.add_server(
        server_id,
        behaviour,
        zone=zone,
        is_draining=is_draining,
        process_started_ms=number,
    )
    sequence.draining_server_ids.discard(server_id)
    if is_draining:
        sequence.draining_server_ids.add(server_id)


@step_kinds("state_leaving")
def state_leaving(sequence, first, second):
    """Let a server state that it leaves, in all its answers."""
    sequence.fleet.leaving_server_ids.add(sequence.server_id(first))


@step_kinds("state_limit")
def state_limit(sequence, first, second):
    """Let a server state a limit, which doesn't change once it is stated."""
    sequence.fleet.stated_limits.setdefault(sequence.server_id(first), second / 2)


@step_kinds("state_pause")
def refuse_with_pause(sequence, first, second):
    """Let a server refuse all requests, and ask for a pause."""
    server_id = sequence.server_id(first)
    sequence.fleet.behaviour_by_server[server_id] = "shed"
    sequence.fleet.stated_rests[server_id] = 0.4 * second


@step_kinds("replace")
def replace_process(sequence, first, second):
    """End a server's process, and start another that states nothing."""
    server_id = sequence.server_id(first)
    fleet = sequence.fleet
    fleet.leaving_server_ids.discard(server_id)
    fleet.stated_rests.pop(server_id, None)
    fleet.stated_limits.pop(server_id, None)
    zone = ZONES[(int(server_id) - 1) % len(ZONES)]
    number = fleet.process_numbers[server_id] + 1
    fleet.add_server(server_id, zone=zone, process_started_ms=number)
    sequence.draining_server_ids.discard(server_id)


@step_kinds("restart")
def kill_and_restart_vm(sequence, first, second):
    """Kill a VM and start it again, unless fewer than three are running."""
    if len(sequence.fleet.worlds) < 3:
        return
    vm_id = sequence.running_vm_id(first)
    sequence.fleet.kill_vm(vm_id)
    sequence.fleet.run(STEP_S * second)
    sequence.fleet.restart_vm(vm_id, sequence.settings[vm_id])


@step_kinds("leave")
def disconnect_caller(sequence, first, second):
    """Disconnect the caller whose request was attempted last."""
    if sequence.fleet.issued_attempts:
        connection = int(
            sequence.fleet.issued_attempts[-1].request_id.partition("-")[2]
        )
        for vm_id in list(sequence.fleet.worlds):
            sequence.fleet.post(vm_id, events.CallerDisconnected(connection))


@step_kinds("stop")
def stop_vm(sequence, first, second):
    """Ask a VM to stop; restart it after 4 s.

    It is not restarted if it had open requests or fewer than three VMs are running.
    """
    vm_id = sequence.running_vm_id(first)
    n_open = len(sequence.fleet.worlds[vm_id].requests)
    sequence.fleet.post(vm_id, events.StopRequested())
    if n_open or len(sequence.fleet.worlds) < 3:
        return
    sequence.fleet.run(4.0)
    sequence.fleet.kill_vm(vm_id)
    sequence.fleet.restart_vm(vm_id, sequence.settings[vm_id])


def _check_drains(sequence: DirectSequence) -> None:
    """Send requests to every VM; record each that reaches a draining server."""
    fleet = sequence.fleet
    started_s = fleet.clock.elapsed_s
    for number in range(4 * N_VMS):
        send_requests(sequence, number, 0)
        fleet.run(STEP_S)
    for attempt in fleet.issued_attempts:
        if (
            attempt.at_s >= started_s
            and attempt.server_id in sequence.draining_server_ids
        ):
            sequence.violations.append(
                f"{attempt.server_id} is draining but received {attempt.request_id}"
            )


def draw_direct_steps(rng: random.Random, n_steps: int) -> list[DirectStep]:
    """Return random steps; at least every second one is ``send``."""
    kinds = step_kinds.names()
    return [
        DirectStep(
            "send" if number % 2 else rng.choice(kinds),
            rng.randrange(12),
            rng.randrange(12),
        )
        for number in range(n_steps)
    ]


def run_direct_sequence(seed: int, steps: list[DirectStep]) -> list[str]:
    """Run steps, end all faults, and return a text for each violation."""
    sequence = DirectSequence(seed)
    for step in steps:
        step_kinds[step.kind](sequence, step.first, step.second)
        sequence.fleet.run(STEP_S * (1 + step.second))
        sequence.check_versions()
    end_all_faults(sequence, 0, 0)
    sequence.fleet.run(RECOVERY_S)
    _check_drains(sequence)
    sequence.fleet.run(RECOVERY_S)
    sequence.check_versions()
    sequence.check_end()
    for vm_id, world in sequence.fleet.worlds.items():
        if len(world.requests):
            sequence.violations.append(
                f"{vm_id} left {len(world.requests)} requests open"
            )
    return sequence.violations
