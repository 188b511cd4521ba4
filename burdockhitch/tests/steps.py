"""Random sequences of requests and faults, and the guarantees checked in them."""

import random
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import events
from burdockhitch.registry import Registry
from burdockhitch.tests import fleets
from burdockhitch.tests.fleets import Deployment
from burdockhitch.world import current_revision

RECOVERY_TIME_S = 30.0
SERVER_MODES = ("ok", "failing", "breaking", "silent", "dead", "shedding")


class Step(NamedTuple):
    """One step: a name in ``step_kinds`` and two numbers that the step interprets."""

    kind: str
    first: int
    second: int


class Sequence:
    """A fleet under a sequence of steps, and the violations found so far.

    Args:
        deployment: Deployment to start.
        seed: Seed of the fleet.

    Attributes:
        zones: Zone of each VM of the fleet, also of killed ones.
        keys: Path, body and key of each keyed request, for retries.
        unanswerable: Connections of callers that hung up or whose VM was killed.
        leaving: VMs that were told to stop.
        revisions: Revision last seen on each VM incarnation.
        violations: Violated guarantees.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.fleet = fleets.start_fleet(deployment, seed)
        self.zones = {
            vm_id: world.local.zone for vm_id, world in self.fleet.worlds.items()
        }
        self.keys: list[tuple[str, bytes, str]] = []
        self.unanswerable: set[int] = set()
        self.leaving: set[str] = set()
        self.revisions: dict[tuple[str, int], int] = {}
        self.violations: list[str] = []

    def vm(self, number: int) -> str:
        """Return the running VM that a number selects."""
        names = sorted(self.fleet.worlds)
        return names[number % len(names)]

    def check(self) -> None:
        """Add a violation for every guarantee that does not hold now."""
        fleet = self.fleet
        service = self.deployment.service
        n_left = fleets.count_slots(fleet) - fleets.count_ejected_slots(fleet, service)
        if n_left < self.deployment.floor_slots:
            self.violations.append(f"floor: {n_left} slots left")
        for vm_id, world in fleet.worlds.items():
            name = (vm_id, world.local.incarnation)
            number = current_revision(world)
            if number < self.revisions.get(name, 0):
                self.violations.append(f"revision reverted on {vm_id}")
            self.revisions[name] = number

    def finish(self) -> list[str]:
        """Remove all faults, let the fleet recover and return every violation."""
        fleet = self.fleet
        fleet.cut_routes.clear()
        fleet.loss_ratio = fleet.duplication_ratio = 0.0
        fleet.is_platform_down = False
        fleet.n_lost_replies = 0
        for server in fleet.servers.values():
            server.mode = "ok"
        for vm_id in list(fleet.paused):
            fleet.resume(vm_id)
        fleet.run(RECOVERY_TIME_S)
        self.check()
        self._check_outcomes()
        return self.violations

    def _check_outcomes(self) -> None:
        fleet = self.fleet
        counts = {
            "repeated executions": fleets.count_repeated_executions(fleet),
            "executed though refused as not run": fleets.count_false_not_run_refusals(
                fleet
            ),
            "wrong answers": fleets.count_wrong_answers(fleet),
            "more attempts than slots by one VM": len(fleet.slot_overruns),
            "unanswered requests": len(
                fleet.sent_requests.keys()
                - fleet.caller_replies.keys()
                - self.unanswerable
            ),
        }
        for vm_id, world in fleet.worlds.items():
            counts[f"request rows left on {vm_id}"] = len(world.requests)
            counts[f"attempt rows left on {vm_id}"] = len(world.attempts)
        found = [f"{what}: {n}" for what, n in counts.items() if n]
        self.violations += found


StepFunction = Callable[[Sequence, int, int], None]
step_kinds: Registry[StepFunction] = Registry("kind of step")


@step_kinds("wait")
def wait(sequence: Sequence, first: int, second: int) -> None:
    sequence.fleet.run((0.005, 0.05, 0.5, 3.0)[first % 4])


@step_kinds("look")
def send_get(sequence: Sequence, first: int, second: int) -> None:
    for _ in range(1 + second % 4):
        sequence.fleet.call(sequence.vm(first), "GET", "/look")


@step_kinds("plain")
def send_post(sequence: Sequence, first: int, second: int) -> None:
    body = f"p{len(sequence.fleet.sent_requests)}".encode()
    sequence.fleet.call(sequence.vm(first), "POST", "/plain", body)


@step_kinds("home")
def send_home_key(sequence: Sequence, first: int, second: int) -> None:
    body = f"h{len(sequence.fleet.sent_requests)}".encode()
    key = f"{sequence.fleet.home_token(sequence.vm(second))}/{body.decode()}"
    sequence.keys.append(("/home", body, key))
    sequence.fleet.call(sequence.vm(first), "POST", "/home", body, key)


@step_kinds("claim")
def send_claim_key(sequence: Sequence, first: int, second: int) -> None:
    body = f"c{len(sequence.fleet.sent_requests)}".encode()
    sequence.keys.append(("/claim", body, body.decode()))
    sequence.fleet.call(sequence.vm(first), "POST", "/claim", body, body.decode())


@step_kinds("repeat")
def retry_request(sequence: Sequence, first: int, second: int) -> None:
    """Send one of the last four keyed requests again, through any VM."""
    if sequence.keys:
        path, body, key = sequence.keys[-1 - second % min(4, len(sequence.keys))]
        sequence.fleet.call(sequence.vm(first), "POST", path, body, key)


@step_kinds("hang_up")
def disconnect_caller(sequence: Sequence, first: int, second: int) -> None:
    fleet = sequence.fleet
    waiting_numbers = sorted(fleet.sent_requests.keys() - fleet.caller_replies.keys())
    if waiting_numbers:
        connection_number = waiting_numbers[first % len(waiting_numbers)]
        sequence.unanswerable.add(connection_number)
        fleet.post(
            fleet.sent_requests[connection_number][0],
            events.CallerDisconnected(connection_number),
        )


@step_kinds("pause")
def pause_vm(sequence: Sequence, first: int, second: int) -> None:
    """Pause a VM, unless no other one would be left unpaused."""
    fleet = sequence.fleet
    if len(fleet.worlds) - len(fleet.paused) > 1:
        fleet.paused.add(sequence.vm(first))


@step_kinds("resume")
def resume(sequence: Sequence, first: int, second: int) -> None:
    for vm_id in sorted(sequence.fleet.paused):
        sequence.fleet.resume(vm_id)


def _add_unanswerable(sequence: Sequence, vm_id: str) -> None:
    """Expect no reply to the open requests that a VM received."""
    fleet = sequence.fleet
    sequence.unanswerable |= {
        connection_number
        for connection_number, (receiver, _request) in fleet.sent_requests.items()
        if receiver == vm_id and connection_number not in fleet.caller_replies
    }


@step_kinds("kill")
def kill_vm(sequence: Sequence, first: int, second: int) -> None:
    """Kill a VM if more than two run that were not told to stop."""
    staying_vm_ids = sequence.zones.keys() - sequence.leaving
    if len(staying_vm_ids & sequence.fleet.worlds.keys()) > 2:
        vm_id = sequence.vm(first)
        _add_unanswerable(sequence, vm_id)
        sequence.fleet.kill(vm_id)
        sequence.fleet.paused.discard(vm_id)


@step_kinds("restart")
def restart_vm(sequence: Sequence, first: int, second: int) -> None:
    """Start a VM that ended, under its old id or as a replacement with a new id."""
    fleet = sequence.fleet
    ended_vm_ids = sorted(sequence.zones.keys() - fleet.worlds.keys())
    if not ended_vm_ids:
        return
    vm_id = ended_vm_ids[first % len(ended_vm_ids)]
    zone = sequence.zones[vm_id]
    fleet.run(0.001)
    if second % 2:
        fleet.unlist_vm(vm_id)
        del sequence.zones[vm_id]
        vm_id = f"{zone}-{fleet.clock.elapsed_s}"
        sequence.zones[vm_id] = zone
    sequence.leaving.discard(vm_id)
    fleet.add_vm(vm_id, zone)


@step_kinds("list_vms")
def list_vms(sequence: Sequence, first: int, second: int) -> None:
    """Put every running VM on the platform's list of VMs."""
    for vm_id in sorted(sequence.fleet.worlds):
        sequence.fleet.list_vm(vm_id)


@step_kinds("burst")
def send_burst(sequence: Sequence, first: int, second: int) -> None:
    """Send 80 requests, one every 10 ms, to each VM in turn."""
    for number in range(80):
        sequence.fleet.call(sequence.vm(number), "GET", "/look")
        sequence.fleet.run(0.01)


@step_kinds("servers_fail")
def fail_servers(sequence: Sequence, first: int, second: int) -> None:
    """Let one to four backend servers fail at once."""
    addresses = sorted(sequence.fleet.servers)
    for number in range(1 + second % 4):
        address = addresses[(first + 2 * number) % len(addresses)]
        sequence.fleet.servers[address].mode = "failing"


@step_kinds("leave")
def stop_vm(sequence: Sequence, first: int, second: int) -> None:
    """Tell a VM to stop if more than two run that were not told to."""
    staying_vm_ids = sequence.zones.keys() - sequence.leaving
    if len(staying_vm_ids & sequence.fleet.worlds.keys()) > 2:
        vm_id = sequence.vm(first)
        sequence.leaving.add(vm_id)
        sequence.fleet.post(vm_id, events.StopRequested())


@step_kinds("cut")
def cut_vms(sequence: Sequence, first: int, second: int) -> None:
    """Drop the messages from one VM to another, in this direction only."""
    sequence.fleet.cut_routes.add((sequence.vm(first), sequence.vm(second)))


@step_kinds("cut_server")
def cut_off_server(sequence: Sequence, first: int, second: int) -> None:
    addresses = sorted(sequence.fleet.servers)
    address = addresses[second % len(addresses)]
    sequence.fleet.cut_routes.add((sequence.vm(first), address))


@step_kinds("heal")
def remove_cuts(sequence: Sequence, first: int, second: int) -> None:
    sequence.fleet.cut_routes.clear()


@step_kinds("platform")
def set_platform_state(sequence: Sequence, first: int, second: int) -> None:
    sequence.fleet.is_platform_down = first % 2 == 0


@step_kinds("lose_reply")
def lose_platform_replies(sequence: Sequence, first: int, second: int) -> None:
    """Lose the platform's replies to the next one or two committed transactions."""
    sequence.fleet.n_lost_replies = 1 + first % 2


@step_kinds("messages")
def disturb_messages(sequence: Sequence, first: int, second: int) -> None:
    sequence.fleet.loss_ratio = (0.0, 0.1, 0.3)[first % 3]
    sequence.fleet.duplication_ratio = (0.0, 0.3)[second % 2]


@step_kinds("server")
def change_server(sequence: Sequence, first: int, second: int) -> None:
    addresses = sorted(sequence.fleet.servers)
    server = sequence.fleet.servers[addresses[first % len(addresses)]]
    server.mode = SERVER_MODES[second % len(SERVER_MODES)]


@step_kinds("revision")
def commit_revision(sequence: Sequence, first: int, second: int) -> None:
    extra = f"limit visitor{first % 5} rate=5/s burst=9 # Karin\n"
    rules = fleets.make_rules_text(sequence.deployment, extra=extra)
    sequence.fleet.commit_rules(rules)


def run_sequence(deployment: Deployment, seed: int, steps: list[Step]) -> list[str]:
    """Run steps on a new fleet and return every violation."""
    sequence = Sequence(deployment, seed)
    for step in steps:
        step_kinds[step.kind](sequence, step.first, step.second)
        sequence.check()
    return sequence.finish()


def draw_steps(rng: random.Random, n_steps: int) -> list[Step]:
    """Return random steps, mostly requests and waiting."""
    work_kinds = ("wait", "look", "plain", "home", "claim", "repeat")
    steps = []
    for _ in range(n_steps):
        kinds = work_kinds if rng.random() < 0.6 else step_kinds.names()
        steps.append(Step(rng.choice(kinds), rng.randrange(12), rng.randrange(12)))
    return steps
