"""Chooses the VM on whose backend servers an admitted request runs.

Each backend server has one owner, the only VM that sends requests to it. A request
runs on a server of this VM, or is forwarded to another owner of its service's servers.
"""

from collections.abc import Callable

from burdockhitch.clock import Instant
from burdockhitch.errors import NoBackendServerError
from burdockhitch.messages import ForwardRequest
from burdockhitch.registry import Registry
from burdockhitch.systems.capacity import has_free_slot, reserve_owner_slot
from burdockhitch.systems.endings import advance_request, make_refusal, refuse_request
from burdockhitch.systems.phases import Phase, system
from burdockhitch.tables.backend_servers import OwnerCapacityRow
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, next_sequence, send_message, start_timer

# Time until a forwarded request without an answer is sent again or retried elsewhere.
RESEND_PERIOD_S = 1.0
# Time without a message from an owner until it is probed, and from then until it is
# marked as unreachable.
SILENCE_TIMEOUT_S = 0.1
# Wait suggested to a caller whose request no backend server can run.
RETRY_AFTER_S = 1.0

RoutingPolicy = Callable[[World, RequestRow, list[OwnerCapacityRow]], OwnerCapacityRow]
routing_policies: Registry[RoutingPolicy] = Registry("routing policy")


@routing_policies("two_choices")
def choose_two_choices(
    world: World, row: RequestRow, candidates: list[OwnerCapacityRow]
) -> OwnerCapacityRow:
    """Choose from two random owners the one with the larger share of free slots.

    Owners are drawn with their numbers of slots as weights, and the same may be drawn
    twice.
    """
    weights = [capacity.n_slots for capacity in candidates]
    first, second = world.rng.choices(candidates, weights, k=2)
    return max(first, second, key=lambda capacity: capacity.n_free / capacity.n_slots)


@routing_policies("random")
def choose_random(
    world: World, row: RequestRow, candidates: list[OwnerCapacityRow]
) -> OwnerCapacityRow:
    """Choose a random owner."""
    return world.rng.choice(candidates)


@routing_policies("round_robin")
def choose_round_robin(
    world: World, row: RequestRow, candidates: list[OwnerCapacityRow]
) -> OwnerCapacityRow:
    """Choose the owners in turn."""
    sequence = next_sequence(world, f"round_robin {row.service}")
    return candidates[sequence % len(candidates)]


@routing_policies("least_loaded")
def choose_least_loaded(
    world: World, row: RequestRow, candidates: list[OwnerCapacityRow]
) -> OwnerCapacityRow:
    """Choose the owner with the most free slots, as this VM estimates them."""
    return max(candidates, key=lambda capacity: capacity.n_free)


def _find_candidates(world: World, row: RequestRow) -> list[OwnerCapacityRow]:
    """Return the other live owners not tried yet, unreachable ones only if all are."""
    reachable = []
    live = []
    for capacity in world.owner_capacities.select("service", row.service):
        vm = world.vms.get(capacity.vm_id)
        if vm is None or vm.status is not VmStatus.ALIVE:
            continue
        if vm.vm_id in row.tried or vm.vm_id == world.local.vm_id:
            continue
        live.append(capacity)
        if vm.is_reachable:
            reachable.append(capacity)
    return reachable or live


def _queue_request(world: World, row: RequestRow, now: Instant) -> None:
    """Let a request wait here for a slot, at most for its service's queue timeout."""
    row = advance_request(world, row, "queue", now)
    service = world.services.get(row.service)
    if service is not None:
        due_s = min(now.monotonic_s + service.queue_timeout_s, row.deadline_s)
        start_timer(world, TimerKind.QUEUE_TIMEOUT, row.request_id, due_s)


def _forward_to_owner(
    world: World, row: RequestRow, capacity: OwnerCapacityRow, now: Instant
) -> None:
    """Forward a request to an owner, and start the timers for a lost answer."""
    vm = world.vms.fetch(capacity.vm_id)
    row = row._replace(
        owner_vm_id=vm.vm_id,
        owner_incarnation=vm.incarnation,
        tried=(*row.tried, vm.vm_id),
        n_tries=row.n_tries + 1,
    )
    row = advance_request(world, row, "forward", now)
    reserve_owner_slot(world, capacity)
    send_forward(world, row, now)
    start_timer(
        world,
        TimerKind.FORWARD_RESEND,
        row.request_id,
        now.monotonic_s + RESEND_PERIOD_S,
    )
    start_silence_timer(world, vm.vm_id, now)


def start_silence_timer(world: World, vm_id: str, now: Instant) -> None:
    """Start the timer that probes an owner, unless it runs; any message stops it."""
    if (TimerKind.OWNER_SILENCE, vm_id) not in world.timers:
        start_timer(
            world, TimerKind.OWNER_SILENCE, vm_id, now.monotonic_s + SILENCE_TIMEOUT_S
        )


def send_forward(world: World, row: RequestRow, now: Instant) -> None:
    """Send a request to the owner that it was routed to, or to the home VM of its key.

    The home VM is the one that keeps the record of the idempotency key.
    """
    message = ForwardRequest(
        request_id=row.request_id,
        request=row.message,
        service=row.service,
        route_id=row.route_id,
        remaining_s=row.deadline_s - now.monotonic_s,
        is_for_home=row.state is RequestState.AT_HOME,
        key=row.key,
        target_incarnation=row.owner_incarnation,
    )
    send_message(world, row.owner_vm_id, message)


def _has_untried_own_server(world: World, row: RequestRow) -> bool:
    """Return whether this VM has a server of the service that wasn't tried yet."""
    slots = world.slot_usages.select("service", row.service)
    return any(slot.server_id not in row.tried for slot in slots)


def route_request(world: World, row: RequestRow, now: Instant) -> None:
    """Queue a request on this VM, forward it to another owner, or refuse it.

    A free slot on this VM goes first, then another owner, then the queue here.
    """
    has_own_server = _has_untried_own_server(world, row)
    if has_own_server and has_free_slot(world, row.service):
        _queue_request(world, row, now)
        return
    candidates = _find_candidates(world, row) if row.is_forwardable else []
    if candidates:
        policy = routing_policies[world.settings.policies.routing]
        _forward_to_owner(world, row, policy(world, row, candidates), now)
    elif has_own_server:
        _queue_request(world, row, now)
    else:
        detail = f"no backend server of {row.service} can be reached"
        refusal = make_refusal(NoBackendServerError, detail, RETRY_AFTER_S)
        refuse_request(world, row, refusal, now)


@system(Phase.ROUTING)
def route_requests(world: World, now: Instant) -> None:
    """Route all admitted requests."""
    for row in world.requests.select("state", RequestState.ADMITTED):
        route_request(world, row, now)
