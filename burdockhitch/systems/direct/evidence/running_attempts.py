"""Counts requests that still run as evidence for their servers.

It handles services with long work: a failing server fails within milliseconds, but a
healthy one shows it only with its answer, seconds later.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.evidence.run_times import mean_run_time_s
from burdockhitch.systems.direct.server_estimates import RUNNING, apply_observation
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import AttemptRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

# Age from which a running request is evidence: far above the milliseconds after which
# failing servers fail, with the network's delay.
RUNNING_AGE_S = 0.2
# Mean run time from which it is used. Answers of shorter work come soon, and the timer
# costs processor time.
MEAN_RUN_MIN_S = 0.5


def schedule_running_evidence(world: World, attempt: AttemptRow) -> None:
    """Schedule the check whether an attempt still runs, for services with long work."""
    if mean_run_time_s(world, attempt.service) >= MEAN_RUN_MIN_S:
        due_s = attempt.started_at_s + RUNNING_AGE_S
        start_timer(world, TimerKind.RUNNING, str(attempt.attempt_id), due_s)


@timer_handlers(TimerKind.RUNNING)
def handle_running_attempt(world: World, attempt_id: str, now: Instant) -> None:
    """Count an attempt that still runs as evidence for its server, on this VM only."""
    attempt = world.attempts.get(int(attempt_id))
    if attempt is not None and not attempt.is_connecting:
        apply_observation(world, attempt.server_id, RUNNING, now)
