"""Random sequences of work and faults in a fleet that sends directly."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import events
from burdockhitch.problems import is_not_run
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.configuration import view_of
from burdockhitch.tables.registry_views import Subject
from burdockhitch.tests.direct_edges import behaviours
from burdockhitch.tests.direct_fakes import make_route, start_fleet

N_VMS = 5
N_SERVERS = 6
ZONES = ("a", "b")
# Little, so that a VM that spends more than its share is noticed.
RETRY_SLACK = 5.0
HEAL_S = 8.0
STEP_S = 0.05
ROUTES = (
    make_route("look", prefix="/look/"),
    make_route("hold", prefix="/hold/", is_idempotent=False),
)


class DirectStep(NamedTuple):
    """One step: a registered kind and two numbers that it interprets."""

    kind: str
    first: int
    second: int


class DirectSequence:
    """A fleet and what the sequence has done to it so far.

    Args:
        seed: Seed of the fleet.
    """

    def __init__(self, seed: int) -> None:
        self.fleet = start_fleet(N_VMS, N_SERVERS, seed, ZONES, retry_slack=RETRY_SLACK)
        self.version = 2
        self.fleet.configure(self.version, *ROUTES)
        self.fleet.run(2.0)
        self.settings = {
            vm_id: world.settings for vm_id, world in self.fleet.worlds.items()
        }
        self.held: dict[tuple[str, int], int] = {}
        self.drained: set[str] = set()
        self.n_requests = 0
        self.holds: set[str] = set()
        self.violations: list[str] = []

    def vm(self, number: int) -> str:
        """Return the name of a running VM."""
        names = sorted(self.fleet.worlds)
        return names[number % len(names)]

    def server(self, number: int) -> str:
        """Return the name of a server."""
        return str(number % N_SERVERS + 1)

    def check_versions(self) -> None:
        """Note a VM whose configuration went back."""
        for vm_id, world in self.fleet.worlds.items():
            name = (vm_id, world.local.incarnation)
            version = view_of(world, Subject.CONFIGURATION).version
            if version < self.held.get(name, 0):
                self.violations.append(f"{vm_id} went back to {version}")
            self.held[name] = version

    def check_end(self) -> None:
        """Note every promise that was broken."""
        fleet = self.fleet
        runs = Counter(run.request_id for run in fleet.runs)
        for request_id in self.holds:
            if runs[request_id] > 1:
                self.violations.append(f"{request_id} ran {runs[request_id]} times")
        for reply in fleet.replies.values():
            refusal = getattr(reply.command, "refusal", None)
            if refusal is None or not is_not_run(refusal.error):
                continue
            if runs[reply.command.request_id] and reply.command.request_id:
                self.violations.append(f"{reply.command.request_id} had run")
        settings = next(iter(self.settings.values())).direct
        bound = settings.retry_ratio * self.n_requests + settings.retry_slack
        if len(fleet.arrivals) - self.n_requests > bound:
            self.violations.append(f"{len(fleet.arrivals)} arrivals")


step_kinds: Registry[Callable[[DirectSequence, int, int], None]] = Registry(
    "step of a direct sequence"
)


@step_kinds("send")
def send(sequence, first, second):
    """Send a few requests to a VM."""
    for number in range(1 + second):
        path = "/hold/x" if (first + number) % 3 else "/look/x"
        connection = sequence.fleet.send(sequence.vm(first + number), path)
        sequence.n_requests += 1
        if path.startswith("/hold"):
            sequence.holds.add(f"id-{connection}")


@step_kinds("behave")
def behave(sequence, first, second):
    """Change how a server behaves."""
    modes = behaviours.names()
    sequence.fleet.modes[sequence.server(first)] = modes[second % len(modes)]


@step_kinds("heal")
def heal(sequence, first, second):
    """Let all servers behave and all cuts end."""
    fleet = sequence.fleet
    fleet.modes = dict.fromkeys(fleet.modes, "ok")
    fleet.cuts.clear()
    fleet.loss_ratio = 0.0
    fleet.registry.refused.clear()


@step_kinds("cut")
def cut(sequence, first, second):
    """Cut one VM from another, one way, or from a server."""
    vm_id = sequence.vm(first)
    other = sequence.server(second) if second % 2 else sequence.vm(second)
    sequence.fleet.cuts.add((vm_id, other))


@step_kinds("lose")
def lose(sequence, first, second):
    """Lose messages between VMs."""
    sequence.fleet.loss_ratio = 0.04 * second


@step_kinds("refuse")
def refuse(sequence, first, second):
    """Let the store turn a VM away."""
    sequence.fleet.registry.refused.add(sequence.vm(first))


@step_kinds("forget")
def forget(sequence, first, second):
    """Let the store forget its history."""
    sequence.fleet.registry.is_history_gone = True


@step_kinds("configure")
def configure(sequence, first, second):
    """Put a configuration in force."""
    sequence.version += 1 + second
    sequence.fleet.configure(sequence.version, *ROUTES)


@step_kinds("drain")
def drain(sequence, first, second):
    """Let a server drain, or come back."""
    server_id = sequence.server(first)
    is_draining = second % 2 == 0
    mode = sequence.fleet.modes[server_id]
    zone = ZONES[(int(server_id) - 1) % len(ZONES)]
    sequence.fleet.add_server(server_id, mode, zone=zone, is_draining=is_draining)
    sequence.drained.discard(server_id)
    if is_draining:
        sequence.drained.add(server_id)


@step_kinds("restart")
def restart(sequence, first, second):
    """Kill a VM and start it again."""
    if len(sequence.fleet.worlds) < 3:
        return
    vm_id = sequence.vm(first)
    sequence.fleet.kill_vm(vm_id)
    sequence.fleet.run(STEP_S * second)
    sequence.fleet.restart_vm(vm_id, sequence.settings[vm_id])


@step_kinds("leave")
def leave(sequence, first, second):
    """Let the caller of a request go."""
    if sequence.fleet.arrivals:
        connection = int(sequence.fleet.arrivals[-1].request_id.partition("-")[2])
        for vm_id in list(sequence.fleet.worlds):
            sequence.fleet.post(vm_id, events.CallerGone(connection))


@step_kinds("stop")
def stop(sequence, first, second):
    """Ask a VM to stop, and start it again once it has."""
    vm_id = sequence.vm(first)
    n_open = len(sequence.fleet.worlds[vm_id].requests)
    sequence.fleet.post(vm_id, events.StopRequested())
    if n_open or len(sequence.fleet.worlds) < 3:
        return
    sequence.fleet.run(4.0)
    sequence.fleet.kill_vm(vm_id)
    sequence.fleet.restart_vm(vm_id, sequence.settings[vm_id])


def _check_drains(sequence: DirectSequence) -> None:
    """Send work to every VM; none may reach a server that drains for long."""
    fleet = sequence.fleet
    started_s = fleet.clock.elapsed_s
    for number in range(4 * N_VMS):
        send(sequence, number, 0)
        fleet.run(STEP_S)
    for run in fleet.arrivals:
        if run.at_s >= started_s and run.server_id in sequence.drained:
            sequence.violations.append(f"{run.server_id} got {run.request_id}")


def draw_direct_steps(rng: random.Random, n_steps: int) -> list[DirectStep]:
    """Return random steps; every second one sends."""
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
    """Run steps, heal everything and return the broken promises."""
    sequence = DirectSequence(seed)
    for step in steps:
        step_kinds[step.kind](sequence, step.first, step.second)
        sequence.fleet.run(STEP_S * (1 + step.second))
        sequence.check_versions()
    heal(sequence, 0, 0)
    sequence.fleet.run(HEAL_S)
    _check_drains(sequence)
    sequence.fleet.run(HEAL_S)
    sequence.check_versions()
    sequence.check_end()
    for vm_id, world in sequence.fleet.worlds.items():
        if len(world.requests):
            sequence.violations.append(f"{vm_id} left {len(world.requests)} open")
    return sequence.violations
