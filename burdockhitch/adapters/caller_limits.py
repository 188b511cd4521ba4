"""Decides which callers' connections are closed, by what this VM holds for them.

The load that this module handles is callers that send more than they should. It has
no network access: connections report what they hold and are told to close.
"""

from collections.abc import Callable, Mapping
from itertools import count
from typing import NamedTuple, Protocol

from burdockhitch.clock import Clock
from burdockhitch.tables.caller_connections import (
    CallerConnectionRow,
    Door,
    HeldBytes,
    Phase,
)
from burdockhitch.tables.table import Table

# Memory of the process without callers: 61 MB after its first requests, and 32 MiB of
# answers in progress.
PROCESS_BYTES = 100_000_000
# A body, and what the allocator and the copy of its part that is being sent take.
COPIES_PER_BODY = 2
# Bodies up to this size need no reservation, so that a few large ones don't keep all
# others out.
SMALL_BODY_BYTES = 64 * 1024
# What remains for everything else while large bodies take all of their share.
SMALL_SHARE_BYTES = 8_000_000
# Closing connections one by one would search all of them each time.
RELIEF_RATIO = 0.9
# Bytes that count as progress at the start, so that a new connection isn't the worst.
PROGRESS_MIN_BYTES = 1024
# Share of the process's descriptors for each port. A quarter stays for the store, other
# VMs, backend servers and the log.
DESCRIPTOR_SHARES = {Door.CALLERS: 0.5, Door.DIRECTORY: 0.125, Door.ADMIN: 0.125}
# A large body without a byte for this time gives way to another one. Callers in the
# region send a part each few milliseconds.
STALLED_BODY_S = 2.0
# In force while no configuration sets them.
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
SWEEP_PERIOD_S = 0.5
# A sweep that comes later than this follows a pause of the process, in which bytes may
# have arrived that were not read yet.
SWEEP_DELAY_MAX_S = 0.5


class CallerLimits(NamedTuple):
    """Limits of what this VM holds for all callers together.

    Attributes:
        large_bodies_max_bytes: Limit of the reservations of large bodies.
        others_max_bytes: Limit of everything else while no large body is held.
        connections_max: Limit of the open connections by port.
    """

    large_bodies_max_bytes: float
    others_max_bytes: float
    connections_max: Mapping[Door, int]


class CallerTimeLimits(NamedTuple):
    """Time limits of callers' connections.

    Attributes:
        header_timeout_s: From the first byte of a head to its end.
        idle_timeout_s: Without a request, or without a byte in a body or an answer.
    """

    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class Connection(Protocol):
    """A caller's connection."""

    def report(self) -> None:
        """Report what it holds, by ``CallerConnections.update``."""

    def evict(self, reason: str) -> None:
        """Close the connection, and release its memory."""


def derive_limits(memory_bytes: float, n_descriptors: int) -> CallerLimits:
    """Return the limits of a process.

    Args:
        memory_bytes: Memory that the process may use.
        n_descriptors: Descriptors that it may open.
    """
    large_bytes = max(0.0, memory_bytes - PROCESS_BYTES) / COPIES_PER_BODY
    return CallerLimits(
        large_bodies_max_bytes=large_bytes,
        others_max_bytes=large_bytes + SMALL_SHARE_BYTES,
        connections_max={
            door: max(1, int(share * n_descriptors))
            for door, share in DESCRIPTOR_SHARES.items()
        },
    )


def find_overdue_reason(
    row: CallerConnectionRow, time_limits: CallerTimeLimits, now_s: float
) -> str:
    """Return why a connection is closed at this time, empty if it isn't."""
    limit_s = time_limits.idle_timeout_s
    since_s = row.moved_at_s
    if row.phase is Phase.ANSWER:
        return ""
    if row.phase is Phase.HEAD:
        limit_s = time_limits.header_timeout_s
    if row.phase in (Phase.HEAD, Phase.IDLE, Phase.CLOSING):
        since_s = row.phase_since_s
    return f"{row.phase}_timeout" if now_s - since_s > limit_s else ""


def rate_eviction(row: CallerConnectionRow, now_s: float) -> float:
    """Return how much a connection has held for how little progress.

    It is the memory divided by the bytes a second of the phase, i.e. 0 for a phase that
    starts. A connection that waits for this VM's answer is never evicted.
    """
    if row.phase is Phase.ANSWER:
        return -1.0
    age_s = max(0.0, now_s - row.phase_since_s)
    return row.n_held_bytes * age_s / (PROGRESS_MIN_BYTES + row.n_moved_bytes)


class CallerConnections:
    """Accounts what this VM holds for callers, and closes connections above the limits.

    Args:
        table: Rows of the open connections.
        limits: Limits of all connections together.
        clock: Source of time.
        record: Called with the reason and the row of each connection that is closed or
            refused.
    """

    def __init__(
        self,
        table: Table[CallerConnectionRow],
        limits: CallerLimits,
        clock: Clock,
        record: Callable[[str, CallerConnectionRow], None],
    ) -> None:
        self.limits = limits
        self._table = table
        self._clock = clock
        self._record = record
        self._connections: dict[int, Connection] = {}
        self._ids = count(1)
        self._swept_at_s = self._now_s()
        self.n_large_bytes = 0
        self.n_other_bytes = 0

    def __len__(self) -> int:
        return len(self._table)

    def __contains__(self, connection_id: int) -> bool:
        return connection_id in self._table

    def find(self, connection_id: int) -> CallerConnectionRow | None:
        """Return the row of a connection, or None if it is closed."""
        return self._table.get(connection_id)

    def _now_s(self) -> float:
        return self._clock.now().monotonic_s

    def open(self, door: Door, connection: Connection) -> int:
        """Add a connection; close the worst one of its port if there are too many.

        Returns:
            The number of the connection, or 0 if it is refused.
        """
        now_s = self._now_s()
        row = CallerConnectionRow(next(self._ids), door, Phase.IDLE, now_s, now_s)
        if self._table.count("door", door) >= self.limits.connections_max[door]:
            rows = self._table.select("door", door)
            worst = max(rows, key=lambda other: rate_eviction(other, now_s))
            if worst.phase is Phase.ANSWER:
                self._record("connections", row)
                return 0
            self._evict(worst, "connections")
        self._table.insert(row)
        self._connections[row.connection_id] = connection
        self.n_other_bytes += row.n_held_bytes
        self._relieve()
        return row.connection_id if row.connection_id in self._table else 0

    def update(
        self, connection_id: int, phase: Phase, n_moved_bytes: int, held: HeldBytes
    ) -> None:
        """Record what a connection holds, and close others if that is too much.

        Args:
            connection_id: Number of the connection; ignored if it was closed.
            phase: What it is waiting for.
            n_moved_bytes: Bytes read and written since the last report.
            held: Memory that it takes. A large body is reserved by ``reserve``.
        """
        old = self._table.get(connection_id)
        if old is None:
            return
        now_s = self._now_s()
        n_moved_bytes += max(0, old.held.unread - held.unread)
        row = old._replace(
            phase=phase,
            moved_at_s=now_s if n_moved_bytes else old.moved_at_s,
            n_moved_bytes=old.n_moved_bytes + n_moved_bytes,
            held=held._replace(large_body=old.held.large_body),
        )
        if phase is not old.phase:
            row = row._replace(
                phase_since_s=now_s, moved_at_s=now_s, n_moved_bytes=n_moved_bytes
            )
        self._table.replace(row)
        self.n_other_bytes += row.n_held_bytes - old.n_held_bytes
        if row.n_held_bytes > old.n_held_bytes:
            self._relieve()

    def reserve(self, connection_id: int, n_bytes: int) -> bool:
        """Reserve the memory of a body, unless that much is reserved, or refuse it.

        A body that is the only large one is taken, whatever its size: the limit of
        single bodies applies to it.

        Args:
            connection_id: Connection that the body arrives on.
            n_bytes: Size of the body, as announced or as received so far.

        Returns:
            Whether there is room for it.
        """
        row = self._table.get(connection_id)
        if row is None:
            return False
        n_reserved = row.held.large_body
        if n_bytes <= max(SMALL_BODY_BYTES, n_reserved):
            return True
        self._evict_stalled_bodies(connection_id, n_bytes - n_reserved)
        n_others = self.n_large_bytes - n_reserved
        if n_others and n_others + n_bytes > self.limits.large_bodies_max_bytes:
            return False
        self._table.replace(row._replace(held=row.held._replace(large_body=n_bytes)))
        self.n_large_bytes = n_others + n_bytes
        return True

    def _evict_stalled_bodies(self, connection_id: int, n_added_bytes: int) -> None:
        """Close connections with stalled large bodies until there is room."""
        now_s = self._now_s()
        for row in self._table:
            n_bytes = self.n_large_bytes + n_added_bytes
            if n_bytes <= self.limits.large_bodies_max_bytes:
                return
            is_stalled = (
                row.phase is Phase.BODY
                and row.held.large_body > 0
                and now_s - row.moved_at_s > STALLED_BODY_S
            )
            if is_stalled and row.connection_id != connection_id:
                self._evict(row, "stalled_body")

    def release_body(self, connection_id: int) -> None:
        """Release the reservation of a large body."""
        row = self._table.get(connection_id)
        if row is not None:
            self.n_large_bytes -= row.held.large_body
            self._table.replace(row._replace(held=row.held._replace(large_body=0)))

    def has_room(self) -> bool:
        """Return whether another request can be taken."""
        return self.n_other_bytes <= self._others_max_bytes()

    def close(self, connection_id: int) -> None:
        """Remove a connection that is closed."""
        row = self._table.get(connection_id)
        if row is not None:
            self._remove(row)

    def sweep(self, time_limits: CallerTimeLimits) -> None:
        """Close the connections whose time is over."""
        now_s = self._now_s()
        delay_s = now_s - self._swept_at_s - SWEEP_PERIOD_S
        self._swept_at_s = now_s
        if delay_s > SWEEP_DELAY_MAX_S:
            return
        for row in self._table:
            connection = self._connections.get(row.connection_id)
            if row.held.unread and connection is not None:
                connection.report()
            current = self._table.get(row.connection_id)
            if current is None:
                continue
            reason = find_overdue_reason(current, time_limits, now_s)
            if reason:
                self._evict(current, reason)

    def _others_max_bytes(self) -> float:
        limits = self.limits
        n_large_bytes = min(self.n_large_bytes, limits.large_bodies_max_bytes)
        return limits.others_max_bytes - n_large_bytes

    def _relieve(self) -> None:
        """Close the worst connections while more than the limit is held."""
        if self.has_room():
            return
        now_s = self._now_s()
        rows = sorted(self._table, key=lambda row: -rate_eviction(row, now_s))
        for row in rows:
            enough_bytes = RELIEF_RATIO * self._others_max_bytes()
            if self.n_other_bytes <= enough_bytes or row.phase is Phase.ANSWER:
                return
            if row.connection_id in self._table:
                self._evict(row, "memory")

    def _evict(self, row: CallerConnectionRow, reason: str) -> None:
        connection = self._connections[row.connection_id]
        self._remove(row)
        self._record(reason, row)
        connection.evict(reason)

    def _remove(self, row: CallerConnectionRow) -> None:
        self._table.remove(row.connection_id)
        del self._connections[row.connection_id]
        self.n_large_bytes -= row.held.large_body
        self.n_other_bytes -= row.n_held_bytes
