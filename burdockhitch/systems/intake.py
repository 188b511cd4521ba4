"""Accepts or refuses requests of callers, and ends those of closed connections."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    NotReadyError,
    RequestRefusedError,
    RouteNotFoundError,
)
from burdockhitch.systems.confirmation import is_revision_confirmed
from burdockhitch.systems.endings import abandon_request, make_refusal
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.windows import count_arrival
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.routes import RouteRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    next_sequence,
    pop_events,
    send,
    start_timer,
)


def match_route(world: World, method: str, path: str) -> RouteRow | None:
    """Return the route with the exact path, else the one with the longest prefix.

    The query of the path is ignored.
    """
    path = path.partition("?")[0]
    route = world.routes.get(f"{method} {path}")
    while route is None and path:
        path = path.rpartition("/")[0]
        route = world.routes.get(f"{method} {path}/*")
    return route


def _refuse_arrival(
    world: World,
    event: events.CallerRequestArrived,
    request_id: str,
    error: type[RequestRefusedError],
    detail: str,
) -> None:
    refusal = make_refusal(error, detail)
    count(world, "refusals", "error", refusal.error)
    send(world, commands.RefuseCaller(event.connection_id, request_id, refusal))


def _accept_or_refuse(
    world: World, event: events.CallerRequestArrived, now: Instant
) -> None:
    sequence = next_sequence(world, "request")
    request_id = f"{world.local.vm_id}:{world.local.incarnation}:{sequence}"
    request = event.request
    if not is_revision_confirmed(world):
        detail = "this VM does not know yet that its configuration is the newest"
        _refuse_arrival(world, event, request_id, NotReadyError, detail)
        return
    route = match_route(world, request.method, request.path)
    if route is None:
        detail = f"no route for {request.method} {request.path}"
        _refuse_arrival(world, event, request_id, RouteNotFoundError, detail)
        return
    count_arrival(world, route.service)
    timeout_s = min(route.timeout_s, event.timeout_s or route.timeout_s)
    deadline_s = now.monotonic_s + timeout_s
    world.requests.insert(
        RequestRow(
            request_id=request_id,
            connection_id=event.connection_id,
            origin_vm_id="",
            message=request,
            service=route.service,
            route_id=route.route_id,
            is_idempotent=route.is_idempotent,
            once=route.once,
            key=event.key,
            priority=route.priority,
            state=RequestState.ACCEPTED,
            accepted_at_s=now.monotonic_s,
            deadline_s=deadline_s,
            state_changed_at_s=now.monotonic_s,
        )
    )
    start_timer(world, TimerKind.DEADLINE, request_id, deadline_s)


@system(Phase.INTAKE)
def accept_requests(world: World, now: Instant) -> None:
    """Accept or refuse every request that callers sent."""
    for event in pop_events(world, events.CallerRequestArrived):
        count(world, "requests_accepted")
        _accept_or_refuse(world, event, now)


@system(Phase.INTAKE)
def abandon_requests(world: World, now: Instant) -> None:
    """End the requests of callers that closed their connections."""
    for event in pop_events(world, events.CallerDisconnected):
        for row in world.requests.select("connection_id", event.connection_id):
            abandon_request(world, row, now)
