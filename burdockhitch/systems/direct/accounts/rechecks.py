"""Applies a new configuration to open requests, of which an overload holds hundreds.

A request whose key was withdrawn is refused, and one whose key was moved is given to
the other account, unless its first byte may have left. Each request is checked again
before it is sent, as it may have been at a server while the configuration changed.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.accounts.assignment import (
    assign_account,
    assign_priority,
    has_accounts,
    prepare_message,
)
from burdockhitch.systems.endings import advance_request, refuse_request
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.tables.requests import RequestRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    discard_events,
    log_event,
    send,
    stop_timer,
)


def _is_key_needed(world: World, row: RequestRow) -> bool:
    """Return whether a request can't do without an account.

    If its route was removed meanwhile, it needs one if it had one.
    """
    route = world.prefix_routes.get(row.route_id)
    return not route.is_public if route is not None else bool(row.account)


def _assign(
    world: World, row: RequestRow, account: ClientAccountRow | None
) -> RequestRow:
    """Return a request with an account and what follows from that."""
    route = world.prefix_routes.get(row.route_id)
    priority = assign_priority(route.priority if route else row.priority, account)
    message = row.message._replace(account="")
    account_headers = row.account_headers
    if has_accounts(world):
        message = prepare_message(message, account_headers, account)
        account_headers = ()
    return row._replace(
        message=message,
        account=message.account,
        priority=priority,
        account_headers=account_headers,
    )


def _withdraw_attempt(world: World, row: RequestRow, now: Instant) -> RequestRow:
    """End an attempt of which no byte has left; queue its request again."""
    world.attempts.discard(row.attempt_id)
    stop_timer(world, TimerKind.OVERDUE, str(row.attempt_id))
    send(world, commands.CancelAttempt(row.attempt_id))
    row = row._replace(attempt_id=0, n_tries=row.n_tries - 1, tried=row.tried[:-1])
    return advance_request(world, row, "requeue", now)


def recheck_request(world: World, row: RequestRow, now: Instant) -> RequestRow | None:
    """Apply the accounts in force to a request of which no attempt has been sent.

    Args:
        world: Tables of this VM.
        row: Request that waits, or whose attempt is still connecting.
        now: Current time.

    Returns:
        The request, or None if it was refused.
    """
    is_needed = _is_key_needed(world, row)
    assignment = assign_account(world, row.key_digest, is_needed, now)
    if assignment.refusal is not None:
        count(world, "requests_of_withdrawn_keys")
        refuse_request(world, row, assignment.refusal, now)
        return None
    assigned = _assign(world, row, assignment.account)
    if assigned == row:
        return row
    if assigned.account != row.account:
        log_event(
            world,
            "INFO",
            "request_reassigned",
            request_id=row.caller_request_id,
            account=assigned.account,
            previous=row.account,
        )
    is_changed = assigned.message != row.message
    world.requests.replace(assigned)
    if assigned.attempt_id and is_changed:
        return _withdraw_attempt(world, assigned, now)
    return assigned


def has_valid_key(world: World, row: RequestRow, now: Instant) -> bool:
    """Return whether a request may be sent again by the accounts in force."""
    is_needed = _is_key_needed(world, row)
    return assign_account(world, row.key_digest, is_needed, now).refusal is None


def _strip_sent(world: World, row: RequestRow) -> None:
    """Remove the headers of a sent request that hold a key."""
    if has_accounts(world) and row.account_headers:
        headers = row.message.headers
        names = row.account_headers
        headers = tuple(pair for pair in headers if pair[0] not in names)
        message = row.message._replace(headers=headers)
        world.requests.replace(row._replace(message=message, account_headers=()))


@system(Phase.INTAKE, DIRECT)
def recheck_requests(world: World, now: Instant) -> None:
    """Apply the accounts of a configuration that has just come into force."""
    if not discard_events(world, events.ConfigurationApplied):
        return
    for row in world.requests:
        attempt = world.attempts.get(row.attempt_id)
        if attempt is not None and not attempt.is_connecting:
            _strip_sent(world, row)
        else:
            recheck_request(world, row, now)
