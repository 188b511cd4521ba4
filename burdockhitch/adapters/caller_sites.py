"""Sites of the listening ports, which account what callers' connections hold."""

import resource
import select
from collections.abc import Callable
from typing import Any

from twisted.web.server import Site

from burdockhitch import log
from burdockhitch.adapters.bodies import SmallRequest
from burdockhitch.adapters.caller_channel import CallerChannel
from burdockhitch.adapters.caller_limits import (
    SWEEP_PERIOD_S,
    CallerConnections,
    CallerTimeLimits,
    derive_limits,
)
from burdockhitch.clock import Clock, SystemClock
from burdockhitch.settings import DEFAULT_MEMORY_MB
from burdockhitch.tables.caller_connections import (
    CallerConnectionRow,
    Door,
    make_caller_connections,
)
from burdockhitch.world import World, count

# In force only while there is no configuration, which sets the limit otherwise.
HEADER_MAX_BYTES = 256 * 1024
DESCRIPTORS_MAX = 65_536
BYTES_PER_MB = 1_000_000
CALLER_REFUSED = "caller_refused"
# Not logged: ordinary callers leave connections idle until they are closed.
IDLE_TIMEOUT_REASON = "idle_timeout"
# Time between two log lines on callers.
LOG_PERIOD_S = 0.2


class CallerSite(Site):
    """Site that accounts the open connections of callers.

    Args:
        resource: Root resource.
        door: Port that the site serves.
        world: Tables of this VM; None for a table of its own.
        connections: Account that is shared with other sites; None for a new one.
        kwargs: Further arguments of Twisted's site.
    """

    protocol = CallerChannel

    def __init__(
        self,
        resource: Any,
        door: Door = Door.CALLERS,
        world: World | None = None,
        connections: CallerConnections | None = None,
        **kwargs: Any,
    ) -> None:
        # A body is bytes: parsed forms take several times their size. Time limits are
        # those of the account.
        super().__init__(
            resource, timeout=None, parsePOSTFormSubmission=False, **kwargs
        )
        self.door = door
        self.open_channels: set[CallerChannel] = set()
        self._world = world
        self._clock = SystemClock() if world is None else world.clock
        self._log_gate = LogGate(self._clock)
        if connections is None:
            connections = make_connections(world, self._clock, self._record_row)
        self.connections = connections
        self._sweep_call: Any = None

    def read_header_max_bytes(self) -> int:
        """Return the size limit of the header section of a request."""
        for configuration in self._world.configurations if self._world else ():
            return configuration.header_max_bytes
        return HEADER_MAX_BYTES

    def read_time_limits(self) -> CallerTimeLimits:
        """Return the time limits of connections."""
        for configuration in self._world.configurations if self._world else ():
            return CallerTimeLimits(
                configuration.header_timeout_s, configuration.idle_timeout_s
            )
        return CallerTimeLimits()

    def start_sweeps(self) -> None:
        """Check periodically for connections whose time is over."""
        if self._sweep_call is None:
            self._sweep_call = self.reactor.callLater(SWEEP_PERIOD_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_call = None
        self.connections.sweep(self.read_time_limits())
        if self.open_channels:
            self.start_sweeps()

    def record(
        self,
        reason: str,
        connection_id: int,
        event: str = CALLER_REFUSED,
        **fields: Any,
    ) -> None:
        """Count and log a refusal on a connection.

        Args:
            reason: Why the request or the connection is refused.
            connection_id: Number of the connection.
            event: Name of the log event.
            fields: Further fields of the log line.
        """
        row = self.connections.find(connection_id)
        if row is not None:
            self._record_row(reason, row, event, **fields)

    def _record_row(
        self,
        reason: str,
        row: CallerConnectionRow,
        event: str = CALLER_REFUSED,
        **other_fields: Any,
    ) -> None:
        if self._world is not None:
            count(self._world, "caller_connections_refused", "reason", reason)
        if reason == IDLE_TIMEOUT_REASON or not self._log_gate.is_open():
            return
        fields = {
            "reason": reason,
            "door": row.door,
            "phase": row.phase,
            "n_held_bytes": row.n_held_bytes + row.held.large_body,
            "n_moved_bytes": row.n_moved_bytes,
            "n_all_held_bytes": self.connections.n_other_bytes,
            "n_large_body_bytes": self.connections.n_large_bytes,
            "n_connections": len(self.connections),
            "n_left_out": self._log_gate.take_n_left_out(),
            **other_fields,
        }
        log.write_event("WARNING", event, fields)

    def close_idle(self) -> None:
        """Close the connections that were kept alive and have no further request.

        A later request would break when the process ends. The first request of a new
        connection is likely on its way.
        """
        for channel in list(self.open_channels):
            if channel.is_idle() and not is_readable(channel.transport):
                channel.loseConnection()

    def count_unwritten(self, reactor: Any) -> int:
        """Return how many connections have bytes that the kernel didn't take yet."""
        writers = set(reactor.getWriters())
        return sum(channel.transport in writers for channel in self.open_channels)


class LogGate:
    """Limits the log lines on callers, so that a crowd doesn't displace other lines.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at_s = 0.0
        self._n_left_out = 0

    def is_open(self) -> bool:
        """Return whether a line may be written now."""
        now_s = self._clock.now().monotonic_s
        if now_s < self._next_at_s:
            self._n_left_out += 1
            return False
        self._next_at_s = now_s + LOG_PERIOD_S
        return True

    def take_n_left_out(self) -> int:
        """Return the number of lines left out since the last one."""
        n_left_out, self._n_left_out = self._n_left_out, 0
        return n_left_out


def make_connections(
    world: World | None,
    clock: Clock,
    record: Callable[[str, CallerConnectionRow], None],
) -> CallerConnections:
    """Return the account of a process, with limits by its memory and descriptors."""
    memory_mb = DEFAULT_MEMORY_MB if world is None else world.settings.direct.memory_mb
    table = make_caller_connections() if world is None else world.caller_connections
    n_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if n_descriptors == resource.RLIM_INFINITY:
        n_descriptors = DESCRIPTORS_MAX
    limits = derive_limits(memory_mb * BYTES_PER_MB, n_descriptors)
    return CallerConnections(table, limits, clock, record)


def make_admin_site(
    root: Any, world: World, connections: CallerConnections
) -> CallerSite:
    """Return the site of the operators' port and of other VMs.

    Args:
        root: Root resource.
        world: Tables of this VM.
        connections: Account of all callers' connections.
    """
    return CallerSite(root, Door.ADMIN, world, connections, requestFactory=SmallRequest)


def is_readable(transport: Any) -> bool:
    """Return whether data or connections wait to be read from a socket."""
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLIN)
    return bool(poll.poll(0))
