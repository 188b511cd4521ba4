"""Runs a tick only when an event has arrived or a timer is due.

A tick runs all systems once over the tables. The commands that they put into the
outbox are executed afterwards.
"""

from collections.abc import Callable
from typing import Any

from loguru import logger

from burdockhitch.systems.phases import run_tick
from burdockhitch.world import World, count, post_event

# Time after which a failed tick is repeated for the events and timers that it left, so
# that an error that lasts doesn't keep the loop busy.
TICK_RETRY_S = 0.05


class Ticker:
    """Runs one tick for all events that arrive in one turn of the reactor.

    Args:
        world: Tables of this VM.
        reactor: Twisted reactor.
        execute_command: Called after each tick for each command in the outbox, with the
            kind of the command and the command.
        read_pending: Called before the systems run, to read sockets that don't wake
            the reactor and post their messages.
    """

    def __init__(
        self,
        world: World,
        reactor: Any,
        execute_command: Callable[[str, Any], None],
        read_pending: Callable[[], None] | None = None,
    ) -> None:
        self._world = world
        self._reactor = reactor
        self._execute_command = execute_command
        self._read_pending = read_pending
        self._is_requested = False
        self._timer: Any = None

    def post(self, event: Any) -> None:
        """Put an event into the inbox and request a tick."""
        post_event(self._world, event)
        self.request_tick()

    def request_tick(self) -> None:
        """Schedule a tick for the next turn of the reactor, unless one is scheduled."""
        if not self._is_requested:
            self._is_requested = True
            self._reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        self._read_sockets()
        # Cleared after reading the sockets, so that events posted there don't schedule
        # another tick.
        self._is_requested = False
        retry_s = 0.0
        try:
            run_tick(self._world)
        except Exception:
            logger.exception("tick_failed")
            count(self._world, "ticks_failed")
            retry_s = TICK_RETRY_S
        self._execute_commands()
        if len(self._world.inbox) and not self._is_requested:
            self._is_requested = True
            self._reactor.callLater(retry_s, self._tick)
        self._schedule_next_timer(retry_s)

    def _read_sockets(self) -> None:
        if self._read_pending is None:
            return
        try:
            self._read_pending()
        except Exception:
            logger.exception("sockets_not_read")
            count(self._world, "reads_failed")

    def _execute_commands(self) -> None:
        outbox = self._world.outbox
        for row in outbox:
            outbox.remove(row.sequence)
            try:
                self._execute_command(row.kind, row.command)
            except Exception:
                logger.exception("command_failed")
                count(self._world, "commands_failed", "kind", row.kind)

    def _schedule_next_timer(self, delay_min_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        row = self._world.timers.first("due_s")
        if row is None:
            return
        delay_s = row.due_s - self._world.clock.now().monotonic_s
        self._timer = self._reactor.callLater(
            max(delay_min_s, delay_s), self.request_tick
        )
