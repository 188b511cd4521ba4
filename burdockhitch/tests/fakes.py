"""In-memory fakes: clock, network, platform, backend servers and callers."""

import heapq
import random
from collections import deque
from datetime import UTC, datetime, timedelta
from itertools import count
from typing import Any, NamedTuple

import msgspec

import burdockhitch.systems.owned  # noqa: F401
from burdockhitch import events
from burdockhitch.adapters.codec import decode_message, encode_message
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer, RequestMessage
from burdockhitch.registry import Registry
from burdockhitch.rules.document import hash_rules
from burdockhitch.settings import PlatformSettings, Settings, VmSettings
from burdockhitch.standins.platform import PlatformStore, StoredRow, make_row_document
from burdockhitch.systems.configuration import start_platform_reads
from burdockhitch.systems.membership import start_membership
from burdockhitch.systems.phases import run_tick
from burdockhitch.systems.windows import schedule_load_measurement
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, make_world, post_event

START_UTC = datetime(2026, 5, 4, 12, 0, tzinfo=UTC)
FLEET_NAME = "test"
MESSAGE_DELAY_S = 0.001
CONNECT_DELAY_S = 0.001
SERVICE_TIME_S = 0.02
MESSAGE_MAX_BYTES = 1 << 20
DELIVERED_MESSAGES_MAX = 10_000

fakes: Registry[Any] = Registry("fake adapter of a command")


class FakeClock:
    """A clock that advances only when a test says so."""

    def __init__(self, start_utc: datetime = START_UTC) -> None:
        self.elapsed_s = 0.0
        self._start_utc = start_utc

    def now(self) -> Instant:
        """Return the start time plus the time that the test has advanced."""
        utc = self._start_utc + timedelta(seconds=self.elapsed_s)
        return Instant(1000.0 + self.elapsed_s, utc)


class ExecutedRequest(NamedTuple):
    """A request that a fake backend server executed."""

    request_id: str
    address: str
    body: bytes


class CallerReply(NamedTuple):
    """The reply that a caller got and when, in seconds of the fake clock."""

    at_s: float
    command: Any


class FakeServer:
    """A backend server of a fake fleet.

    Attributes:
        mode: Name in ``server_behaviours``; ``dead`` and ``shedding`` servers accept no
            new attempt.
        service_time_s: Time from the arrival of an attempt to its answer.
        error_ratio: Share of the attempts that are answered with an error.
        running: Attempts in progress, by VM id, incarnation and attempt id.
    """

    def __init__(self, address: str, n_slots: int) -> None:
        self.address = address
        self.n_slots = n_slots
        self.mode = "ok"
        self.service_time_s = SERVICE_TIME_S
        self.error_ratio = 0.0
        self.running: dict[tuple[str, int, int], None] = {}


class FakeFleet:
    """Several entry VMs in one process, connected by fakes, on one fake clock.

    Attributes:
        n_lost_replies: Platform transactions still to be committed without a reply.
        cut_routes: Pairs of a VM and the VM id or server address that it can't reach.
        loss_ratio: Share of the messages between VMs that are lost.
        duplication_ratio: Share of the messages between VMs that arrive twice.
        paused: VMs that queue arriving events and process none.
        closed: VMs that closed their listeners.
        executed_requests: Requests that backend servers executed.
        caller_replies: Reply to each caller by connection number.
        sent_requests: VM and request of each caller by connection number.
        logs: VM and command of each log event.
        delivered_messages: The latest messages between VMs, with their receivers.
        slot_overruns: VM and server of each attempt beyond the server's slots.
        is_traced: Whether every event and command is added to ``trace``.
    """

    def __init__(self, seed: int = 1, start_utc: datetime = START_UTC) -> None:
        self.clock = FakeClock(start_utc)
        self.rng = random.Random(seed)
        self.worlds: dict[str, World] = {}
        self.servers: dict[str, FakeServer] = {}
        self.store = PlatformStore()
        self.is_platform_down = False
        self.n_lost_replies = 0
        self.cut_routes: set[tuple[str, str]] = set()
        self.loss_ratio = 0.0
        self.duplication_ratio = 0.0
        self.paused: set[str] = set()
        self.closed: set[str] = set()
        self.executed_requests: list[ExecutedRequest] = []
        self.caller_replies: dict[int, CallerReply] = {}
        self.sent_requests: dict[int, tuple[str, Any]] = {}
        self.logs: list[tuple[str, Any]] = []
        self.trace: list[str] = []
        self.delivered_messages: deque[tuple[str, Any]] = deque(
            maxlen=DELIVERED_MESSAGES_MAX
        )
        self.slot_overruns: list[tuple[str, str]] = []
        self.is_traced = False
        self._queue: list[tuple[float, int, Any]] = []
        self._queue_numbers = count(1)
        self._connection_numbers = count(1)
        self._vm_ids_by_address: dict[str, str] = {}

    def add_vm(self, vm_id: str, zone: str, **sections: Any) -> World:
        """Start an entry VM; a running one with the same id is replaced."""
        number = len(self._vm_ids_by_address) + 1
        message_address = f"10.0.0.{number}:7000"
        settings = Settings(
            vm=VmSettings(
                vm_id,
                zone,
                f"10.0.0.{number}:80",
                message_address,
                f"10.0.0.{number}:9000",
            ),
            platform=PlatformSettings("10.9.9.9:80"),
        )._replace(**sections)
        seeds = tuple(self._vm_ids_by_address)[:3]
        membership = settings.membership._replace(seeds=seeds)
        settings = settings._replace(membership=membership)
        self._vm_ids_by_address[message_address] = vm_id
        world = make_world(settings, self.clock, random.Random(self.rng.random()))
        self.worlds[vm_id] = world
        self.paused.discard(vm_id)
        self.closed.discard(vm_id)
        now = self.clock.now()
        start_membership(world, now)
        start_platform_reads(world, now)
        schedule_load_measurement(world, now)
        self._tick(vm_id)
        return world

    def list_vm(self, vm_id: str) -> None:
        """Put a VM on the platform's list of VMs."""
        address = self.worlds[vm_id].settings.vm.message_address
        self.unlist_vm(vm_id)
        entry = {"vm_id": vm_id, "state": "live", "message_address": address}
        self.store.vms.append(entry)

    def unlist_vm(self, vm_id: str) -> None:
        """Take a VM off the platform's list of VMs."""
        self.store.vms = [vm for vm in self.store.vms if vm["vm_id"] != vm_id]

    def kill(self, vm_id: str) -> None:
        """End a VM without draining it."""
        del self.worlds[vm_id]

    def add_server(self, address: str, n_slots: int) -> FakeServer:
        """Add a backend server."""
        self.servers[address] = FakeServer(address, n_slots)
        return self.servers[address]

    def commit_rules(self, text: str) -> int:
        """Store rules as the next revision and return its number."""
        body = text.encode()
        head = self.store.rows.get(("revisions", "head"))
        number = head.value["number"] + 1 if head else 1
        self.store.objects[hash_rules(body)] = body
        value = {"number": number, "body_hash": hash_rules(body)}
        row = StoredRow(("revisions", "head"), "revisions", number, value)
        self.store.rows.put(row)
        return number

    def call(
        self,
        vm_id: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "",
        account: str = "school",
    ) -> int:
        """Send a request as a caller and return its connection number."""
        number = next(self._connection_numbers)
        request = RequestMessage(method, path, (), body, account)
        if vm_id in self.closed:
            return number
        self.sent_requests[number] = (vm_id, request)
        if vm_id in self.worlds:
            self.post(vm_id, events.CallerRequestArrived(number, request, key, 0.0))
        return number

    def ask_addresses(self, vm_id: str, service: str, zone: str = "") -> int:
        """Request addresses from a VM and return the connection number."""
        number = next(self._connection_numbers)
        self.post(vm_id, events.AddressesRequested(number, service, "school", zone))
        return number

    def home_token(self, vm_id: str) -> str:
        """Return the token that a VM issues for idempotency keys.

        The VM is the home of these keys: it keeps their records.
        """
        world = self.worlds[vm_id]
        issued_s = int(self.clock.now().utc.timestamp())
        return f"{world.local.incarnation_id()}.{issued_s}"

    def post(self, vm_id: str, event: Any, delay_s: float = 0.0) -> None:
        """Post an event to a VM after a delay."""
        self._schedule(delay_s, lambda: self._deliver(vm_id, event))

    def post_to(self, world: World | None, event: Any, delay_s: float) -> None:
        """Post an event to one incarnation of a VM, if it still runs then."""

        def deliver() -> None:
            if world is not None and self.worlds.get(world.local.vm_id) is world:
                self._deliver(world.local.vm_id, event)

        self._schedule(delay_s, deliver)

    def run(self, duration_s: float) -> None:
        """Advance the clock and run the timers and actions that fall due."""
        end_s = self.clock.elapsed_s + duration_s
        while True:
            due_s, vm_id = self._next_due()
            if due_s > end_s:
                break
            self.clock.elapsed_s = max(self.clock.elapsed_s, due_s)
            if vm_id:
                self._tick(vm_id)
            else:
                heapq.heappop(self._queue)[2]()
        self.clock.elapsed_s = end_s

    def alive_vm_ids(self, vm_id: str) -> set[str]:
        """Return the ids of the VMs that are alive in the membership view of a VM."""
        rows = self.worlds[vm_id].vms.select("status", VmStatus.ALIVE)
        return {row.vm_id for row in rows}

    def resume(self, vm_id: str) -> None:
        """Resume a paused VM; it processes what arrived meanwhile."""
        self.paused.discard(vm_id)
        if vm_id in self.worlds:
            self._tick(vm_id)

    def _next_due(self) -> tuple[float, str]:
        """Return the next due time and the VM of the timer, or "" for an action."""
        due_s, timer_vm_id = (
            (self._queue[0][0], "") if self._queue else (float("inf"), "")
        )
        for vm_id, world in self.worlds.items():
            timer = world.timers.first("due_s")
            if timer is None or vm_id in self.paused:
                continue
            # Timers use the monotonic clock, which starts at 1000 s.
            timer_s = timer.due_s - 1000.0
            if timer_s < due_s:
                due_s, timer_vm_id = timer_s, vm_id
        return due_s, timer_vm_id

    def _schedule(self, delay_s: float, action: Any) -> None:
        due_s = self.clock.elapsed_s + delay_s
        heapq.heappush(self._queue, (due_s, next(self._queue_numbers), action))

    def _deliver(self, vm_id: str, event: Any) -> None:
        world = self.worlds.get(vm_id)
        if world is None:
            return
        self._add_to_trace("<-", vm_id, event)
        if isinstance(event, events.VmMessageArrived):
            self.delivered_messages.append((vm_id, event))
        post_event(world, event)
        if vm_id not in self.paused:
            self._tick(vm_id)

    def _tick(self, vm_id: str) -> None:
        world = self.worlds[vm_id]
        run_tick(world)
        while len(world.outbox) or len(world.inbox):
            for row in world.outbox:
                world.outbox.remove(row.sequence)
                self._add_to_trace("->", vm_id, row.command)
                fakes[row.kind](self, vm_id, row.command)
            if len(world.inbox):
                run_tick(world)

    def _add_to_trace(self, direction: str, vm_id: str, item: Any) -> None:
        if self.is_traced:
            line = f"{self.clock.elapsed_s:8.3f} {vm_id} {direction} {item!r}"
            self.trace.append(line)

    def run_platform_operation(
        self, vm_id: str, operation_id: str, operation: Any
    ) -> None:
        """Run a platform operation and post its reply to the VM."""
        world = self.worlds.get(vm_id)

        def execute() -> None:
            error, document = (PlatformUnavailableError, None)
            if not self.is_platform_down:
                error, document = operation()
            event = events.PlatformReplied(operation_id, error, document)
            self.post_to(world, event, MESSAGE_DELAY_S)

        self._schedule(MESSAGE_DELAY_S, execute)

    def later(self, delay_s: float, action: Any) -> None:
        """Run an action after a delay in seconds."""
        self._schedule(delay_s, action)


@fakes("SendMessage")
def deliver_message(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    receiver = fleet._vm_ids_by_address.get(command.message_address, "")
    is_lost = fleet.loss_ratio and fleet.rng.random() < fleet.loss_ratio
    if (vm_id, receiver) in fleet.cut_routes or is_lost:
        return
    frames = encode_message(FLEET_NAME, vm_id, command.message)
    envelope = decode_message(FLEET_NAME, frames, MESSAGE_MAX_BYTES)
    event = events.VmMessageArrived(*envelope)
    fleet.post(receiver, event, MESSAGE_DELAY_S)
    if fleet.duplication_ratio and fleet.rng.random() < fleet.duplication_ratio:
        fleet.post(receiver, event, MESSAGE_DELAY_S * fleet.rng.randint(1, 500))


@fakes("AnswerCaller")
@fakes("RefuseCaller")
@fakes("OfferAddresses")
def record_reply(fleet: FakeFleet, _vm_id: str, command: Any) -> None:
    assert command.connection_id not in fleet.caller_replies, "two replies"
    fleet.caller_replies[command.connection_id] = CallerReply(
        fleet.clock.elapsed_s, command
    )


@fakes("CloseLink")
def close_link(_fleet: FakeFleet, _vm_id: str, _command: Any) -> None:
    pass


@fakes("LogEvent")
def record_log_event(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    fleet.logs.append((vm_id, command))


@fakes("CloseListeners")
def close_listeners(fleet: FakeFleet, vm_id: str, _command: Any) -> None:
    fleet.closed.add(vm_id)


@fakes("StopProcess")
def stop_process(fleet: FakeFleet, vm_id: str, _command: Any) -> None:
    fleet.later(0.0, lambda: fleet.worlds.pop(vm_id, None))


@fakes("SendAttempt")
def run_attempt(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    world = fleet.worlds[vm_id]
    server = fleet.servers[command.address]
    if not can_reach(fleet, vm_id, command.address):
        not_sent_event = events.BackendFailed(
            command.attempt_id, AttemptFailure.NOT_SENT
        )
        fleet.post_to(world, not_sent_event, CONNECT_DELAY_S)
        return
    if len(server.running) >= server.n_slots or server.mode == "shedding":
        shed_event = events.BackendFailed(command.attempt_id, AttemptFailure.SHED)
        fleet.post_to(world, shed_event, CONNECT_DELAY_S)
        return
    incarnation_key = (vm_id, world.local.incarnation)
    if (
        sum(1 for attempt_key in server.running if attempt_key[:2] == incarnation_key)
        >= server.n_slots
    ):
        fleet.slot_overruns.append((vm_id, command.address))
    attempt_key = (*incarnation_key, command.attempt_id)
    server.running[attempt_key] = None
    fleet.executed_requests.append(
        ExecutedRequest(command.request_id, command.address, command.request.body)
    )
    delay_s = server.service_time_s
    fleet.later(
        delay_s, lambda: _finish_attempt(fleet, world, server, attempt_key, command)
    )


def _finish_attempt(
    fleet: FakeFleet, world: World, server: FakeServer, attempt_key: Any, command: Any
) -> None:
    # A cancelled attempt is no longer there and gets no answer.
    if server.running.pop(attempt_key, 0) == 0:
        return
    mode = server.mode
    if server.error_ratio and fleet.rng.random() < server.error_ratio:
        mode = "failing"
    event = server_behaviours[mode](command)
    if event is not None:
        fleet.post_to(world, event, CONNECT_DELAY_S)


server_behaviours: Registry[Any] = Registry("behaviour of a fake server")


# Servers that are dead or shed still answer the attempts that they accepted before.
@server_behaviours("ok")
@server_behaviours("dead")
@server_behaviours("shedding")
def answer_ok(command: Any) -> Any:
    body = msgspec.json.encode([command.request.path, command.request.body.decode()])
    return events.BackendAnswered(command.attempt_id, Answer(200, (), body))


@server_behaviours("failing")
def answer_error(command: Any) -> Any:
    return events.BackendAnswered(command.attempt_id, Answer(500, (), b""))


@server_behaviours("breaking")
def break_connection(command: Any) -> Any:
    return events.BackendFailed(command.attempt_id, AttemptFailure.BROKEN)


@server_behaviours("silent")
def answer_nothing(command: Any) -> Any:
    return None


@fakes("CancelAttempt")
def cancel_attempt(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    attempt_key = (vm_id, fleet.worlds[vm_id].local.incarnation, command.attempt_id)
    for server in fleet.servers.values():
        server.running.pop(attempt_key, None)


@fakes("ProbeServer")
def probe_server(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    is_reachable = can_reach(fleet, vm_id, command.address)
    event = events.ServerProbed(command.server_id, is_reachable)
    fleet.post(vm_id, event, CONNECT_DELAY_S)


@fakes("ProbeForPeer")
def probe_for_peer(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    is_reachable = can_reach(fleet, vm_id, command.address)
    event = events.ServerProbedForPeer(
        command.requesting_vm_id, command.server_id, is_reachable
    )
    fleet.post(vm_id, event, CONNECT_DELAY_S)


def can_reach(fleet: FakeFleet, vm_id: str, address: str) -> bool:
    """Return whether a VM can connect to a backend server."""
    is_cut = (vm_id, address) in fleet.cut_routes
    return not is_cut and fleet.servers[address].mode != "dead"


@fakes("ReadRow")
def read_row(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    def execute() -> Any:
        row = fleet.store.read_row(command.table, command.key)
        if row is None:
            return PlatformNotFoundError, None
        return None, msgspec.json.decode(msgspec.json.encode(make_row_document(row)))

    fleet.run_platform_operation(vm_id, command.operation_id, execute)


@fakes("RunTransaction")
def run_transaction(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    def execute() -> Any:
        conditions = [row._asdict() for row in command.conditions]
        writes = [row._asdict() for row in command.writes]
        if not fleet.store.run_transaction(conditions, writes):
            return PlatformConflictError, None
        # The transaction is committed, but to the VM the platform seems unavailable.
        if fleet.n_lost_replies > 0:
            fleet.n_lost_replies -= 1
            return PlatformUnavailableError, None
        return None, {}

    fleet.run_platform_operation(vm_id, command.operation_id, execute)


@fakes("ReadObject")
def read_object(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    def execute() -> Any:
        body = fleet.store.objects.get(command.name)
        return (PlatformNotFoundError, None) if body is None else (None, body)

    fleet.run_platform_operation(vm_id, command.operation_id, execute)


@fakes("WriteObject")
def write_object(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    def execute() -> Any:
        fleet.store.objects[command.name] = command.body
        return None, b""

    fleet.run_platform_operation(vm_id, command.operation_id, execute)


@fakes("ListVms")
def list_vms(fleet: FakeFleet, vm_id: str, command: Any) -> None:
    def execute() -> Any:
        fleet.store.n_reads += 1
        return None, {"vms": fleet.store.vms}

    fleet.run_platform_operation(vm_id, command.operation_id, execute)
