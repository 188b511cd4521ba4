"""Records which attempts wait for a connection, so that nothing was sent for them."""

from burdockhitch.systems.direct.evidence.run_times import overdue_after_s
from burdockhitch.tables.requests import AttemptRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

# Time after which a connection is overdue, if the answer isn't earlier: about the time
# to connect with a margin, whatever the run time. Run times of seconds would otherwise
# leave a request with a server that this VM can't reach.
CONNECTING_MAX_S = 0.4


def record_connecting(world: World, attempt_id: int) -> None:
    """Record that an attempt waits for a new connection; no effect if it ended."""
    row = _replace_is_connecting(world, attempt_id, True)
    if row is not None:
        _start_overdue_timer(world, row, min(CONNECTING_MAX_S, _answer_s(world, row)))


def record_connected(world: World, attempt_id: int) -> None:
    """Record that bytes of an attempt may leave; to be called before the first does."""
    was_connecting = _is_connecting(world, attempt_id)
    row = _replace_is_connecting(world, attempt_id, False)
    if row is not None and was_connecting:
        _start_overdue_timer(world, row, _answer_s(world, row))


def _answer_s(world: World, row: AttemptRow) -> float:
    request = world.requests.get(row.request_id)
    route_id = request.route_id if request else ""
    return overdue_after_s(world, row.service, row.wait_s, route_id)


def _start_overdue_timer(world: World, row: AttemptRow, after_s: float) -> None:
    attempt_id = str(row.attempt_id)
    start_timer(world, TimerKind.OVERDUE, attempt_id, row.started_at_s + after_s)


def _is_connecting(world: World, attempt_id: int) -> bool:
    row = world.attempts.get(attempt_id)
    return row is not None and row.is_connecting


def _replace_is_connecting(
    world: World, attempt_id: int, is_connecting: bool
) -> AttemptRow | None:
    """Change an attempt and return it, or return None if it has ended."""
    row = world.attempts.get(attempt_id)
    if row is None:
        return None
    row = row._replace(is_connecting=is_connecting)
    world.attempts.replace(row)
    return row
