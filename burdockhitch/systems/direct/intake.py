"""Accepts callers' requests and routes them by host and longest path prefix."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    NoBackendServerError,
    NotReadyError,
    RequestRefusedError,
    RouteNotFoundError,
)
from burdockhitch.messages import Refusal
from burdockhitch.systems.direct.accounts.assignment import (
    assign_account,
    assign_priority,
    has_accounts,
    prepare_message,
)
from burdockhitch.systems.direct.budget import credit_retry_budget
from burdockhitch.systems.direct.draining import may_outlast_grace
from burdockhitch.systems.endings import (
    abandon_request,
    advance_request,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.prefix_routes import PrefixRouteRow
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    next_sequence,
    pop_events,
    send,
    start_timer,
)

# Sent to callers while this VM isn't ready: the time after which to try again.
RETRY_AFTER_S = 0.3


def match_route(world: World, host: str, path: str) -> PrefixRouteRow | None:
    """Return the host's route with the longest prefix that matches a path."""
    path = path.partition("?")[0]
    routes = [
        route
        for route in world.prefix_routes.select("host", host)
        if path.startswith(route.prefix)
    ]
    return max(routes, key=lambda route: len(route.prefix), default=None)


def choose_service(world: World, route: PrefixRouteRow) -> str:
    """Choose a service of a route at random, by the weights of its targets."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return world.rng.choices(route.targets, weights)[0].service


def _refuse_arrival(
    world: World,
    event: events.HostRequestArrived,
    error: type[RequestRefusedError],
    detail: str,
    retry_after_s: float = 0.0,
) -> None:
    _send_refusal(world, event, make_refusal(error, detail, retry_after_s))


def _send_refusal(
    world: World, event: events.HostRequestArrived, refusal: Refusal
) -> None:
    count(world, "refusals", "error", refusal.error)
    log_event(
        world,
        "INFO",
        "request_refused",
        request_id=event.caller_request_id,
        host=event.request.host,
        error=refusal.error,
        detail=refusal.detail,
        configuration=[row.version for row in world.configurations],
    )
    command = commands.RefuseCaller(
        event.connection_id, event.caller_request_id, refusal
    )
    send(world, command)


def _accept(world: World, event: events.HostRequestArrived, now: Instant) -> None:
    request = event.request
    if not len(world.configurations):
        detail = "this VM holds no configuration yet"
        _refuse_arrival(world, event, NotReadyError, detail, RETRY_AFTER_S)
        return
    route = match_route(world, event.request.host, request.path)
    if route is None:
        detail = f"no route for {event.request.host} {request.path}"
        _refuse_arrival(world, event, RouteNotFoundError, detail)
        return
    assignment = assign_account(world, event.key_digest, not route.is_public, now)
    if assignment.refusal is not None:
        _send_refusal(world, event, assignment.refusal)
        return
    account_headers = event.account_headers
    if has_accounts(world):
        request = prepare_message(request, account_headers, assignment.account)
        account_headers = ()
    priority = assign_priority(route.priority, assignment.account)
    deadline_s = now.monotonic_s + min(route.timeout_s, event.remaining_s)
    if may_outlast_grace(world, deadline_s, now):
        detail = "this VM may end before the request does"
        _refuse_arrival(world, event, NotReadyError, detail, RETRY_AFTER_S)
        return
    sequence = next_sequence(world, "request")
    request_id = f"{world.local.vm_id}:{world.local.incarnation}:{sequence}"
    service = choose_service(world, route)
    credit_retry_budget(world, service, priority, route.is_idempotent, now)
    row = RequestRow(
        request_id=request_id,
        connection_id=event.connection_id,
        origin_vm_id="",
        message=request,
        service=service,
        route_id=route.route_id,
        is_idempotent=route.is_idempotent,
        once="none",
        key="",
        priority=priority,
        state=RequestState.ACCEPTED,
        accepted_at_s=now.monotonic_s,
        deadline_s=deadline_s,
        state_changed_at_s=now.monotonic_s,
        caller_request_id=event.caller_request_id,
        latency_objective_s=route.latency_objective_s,
        n_tries_max=route.n_tries_max,
        account=request.account,
        key_digest=event.key_digest,
        account_headers=account_headers,
    )
    world.requests.insert(row)
    start_timer(world, TimerKind.REQUEST_CUTOFF, request_id, deadline_s)
    row = advance_request(world, row, "admit", now)
    advance_request(world, row, "queue", now)


def _refuse_failed(
    world: World, event: events.HostRequestArrived, error: Exception, now: Instant
) -> None:
    """Refuse a request that was not accepted because of an unexpected error."""
    detail = f"it was not accepted because of an error: {error!r}"
    rows = world.requests.select("connection_id", event.connection_id)
    for row in rows:
        refusal = make_refusal(NoBackendServerError, detail, RETRY_AFTER_S)
        refuse_request(world, row, refusal, now)
    if not rows:
        _refuse_arrival(world, event, NoBackendServerError, detail, RETRY_AFTER_S)


@system(Phase.INTAKE, DIRECT)
def accept_requests(world: World, now: Instant) -> None:
    """Accept or refuse each request that arrived from a caller.

    A request whose acceptance raises an error is refused, as its event is gone.

    Raises:
        Exception: The last of these errors, after all requests.
    """
    failure = None
    for event in pop_events(world, events.HostRequestArrived):
        try:
            count(world, "requests_accepted")
            _accept(world, event, now)
        except Exception as error:
            failure = error
            _refuse_failed(world, event, error, now)
    if failure is not None:
        raise failure


def _handle_disconnect(world: World, row: RequestRow, now: Instant) -> None:
    """End a request whose caller disconnected.

    A request that isn't idempotent and may have been sent runs on without its caller.
    """
    attempt = world.attempts.get(row.attempt_id)
    may_be_sent = attempt is not None and not attempt.is_connecting
    if may_be_sent and not row.is_idempotent:
        world.requests.replace(row._replace(connection_id=0))
        return
    abandon_request(world, row, now)


@system(Phase.INTAKE, DIRECT)
def handle_disconnected_callers(world: World, now: Instant) -> None:
    """Handle the requests of callers that disconnected."""
    for event in pop_events(world, events.CallerDisconnected):
        for row in world.requests.select("connection_id", event.connection_id):
            _handle_disconnect(world, row, now)
