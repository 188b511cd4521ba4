"""Decides whether this VM may send a request to a backend server now.

Every condition must hold. Each is asked when a server is selected, and those that an
answer may change also before the first byte of an attempt that waited for a connection.
"""

from collections import Counter
from collections.abc import Callable

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.sending_shares import has_share
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.world import World

# Tells whether a server meets a condition at a time.
ServerCheck = Callable[[BackendServerRow], bool]
# Returns the check of a condition, or None if all servers meet it now.
SendingCondition = Callable[[World, Instant], ServerCheck | None]
sending_conditions: Registry[SendingCondition] = Registry("condition for sending")
# Conditions on which a connection that is being opened doesn't count, as it was
# counted when its attempt began.
UNCOUNTED = ("listed as ready", "staying", "rested")


@sending_conditions("listed as ready")
def check_listed(world: World, now: Instant) -> ServerCheck | None:
    """Exclude servers that the registry lists as draining."""
    return lambda server: not server.is_draining


@sending_conditions("staying")
def check_staying(world: World, now: Instant) -> ServerCheck | None:
    """Exclude servers that stated to this VM that they are leaving."""
    leaving = world.leaving_servers
    return (lambda server: server.server_id not in leaving) if len(leaving) else None


@sending_conditions("rested")
def check_rested(world: World, now: Instant) -> ServerCheck | None:
    """Exclude servers that want a pause of this VM."""
    resting = {
        row.server_id for row in world.resting_servers if row.until_s > now.monotonic_s
    }
    return (lambda server: server.server_id not in resting) if resting else None


@sending_conditions("below its limit")
def check_limit(world: World, now: Instant) -> ServerCheck | None:
    """Exclude servers of whose stated limit this VM has no share left."""
    if not len(world.sending_shares):
        return None
    return lambda server: has_share(world, server.server_id, now)


def make_checks(
    world: World, now: Instant, names: tuple[str, ...] = ()
) -> dict[str, ServerCheck]:
    """Return the checks that some servers may fail now, by condition.

    Args:
        world: Tables of this VM.
        now: Time for which the checks hold.
        names: Conditions; all if empty.
    """
    checks = {}
    for name in names or sending_conditions.names():
        check = sending_conditions[name](world, now)
        if check is not None:
            checks[name] = check
    return checks


def may_still_send(world: World, attempt_id: int, now: Instant) -> bool:
    """Return whether an attempt may be sent that waited for a connection.

    Meanwhile the server may have left, stated that it does, or asked for a pause.
    """
    attempt = world.attempts.get(attempt_id)
    server = world.backend_servers.get(attempt.server_id) if attempt else None
    if server is None:
        return False
    checks = make_checks(world, now, UNCOUNTED)
    return all(check(server) for check in checks.values())


def describe_obstacles(world: World, service: str, now: Instant) -> str:
    """Return how many of a service's servers which condition excludes, for a log line.

    A server that several conditions exclude counts for the first of them.
    """
    checks = make_checks(world, now)
    obstacles: Counter[str] = Counter()
    for server in world.backend_servers.select("service", service):
        unmet = [name for name, check in checks.items() if not check(server)]
        obstacles.update(unmet[:1])
    return ", ".join(f"{n} {name}" for name, n in sorted(obstacles.items()))


def shortest_pause_s(world: World, service: str, now: Instant) -> float:
    """Return the time until the first pause of a service's servers ends, 0 for none."""
    checks = make_checks(world, now, ("listed as ready", "staying"))
    ends_s = [
        world.resting_servers.fetch(server.server_id).until_s - now.monotonic_s
        for server in world.backend_servers.select("service", service)
        if server.server_id in world.resting_servers
        and all(check(server) for check in checks.values())
    ]
    return max(0.0, min(ends_s, default=0.0))
