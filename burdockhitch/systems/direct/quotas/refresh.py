"""Refreshes views, buckets and shares a few times a second; load: VMs that stand still.

Without limited accounts it only looks whether there are any.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.quotas.admission import (
    forget_demands,
    handle_ask_timer,
)
from burdockhitch.systems.direct.quotas.home import (
    distrust_messages,
    forget_expired_cessions,
    has_limited_accounts,
    has_unknown_listed_vms,
    quota_state,
    update_activity,
    update_fleet_view,
)
from burdockhitch.systems.direct.quotas.lending import refresh_buckets
from burdockhitch.systems.direct.quotas.own_share import forget_silent_homes
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer

REFRESH_PERIOD_S = 0.25
INACTIVE_PERIOD_S = 1.0
# Lateness of the timer by which this process is known to have stood still.
STANDSTILL_S = 0.4
# Time between reads of the registry's VMs while it listed one that isn't heard: the
# quota of a VM that has left is lost until then. It differs by VM.
LIST_READ_S = 30.0
# Subject of the timer, besides the identities of messages.
REFRESH = "refresh"


def schedule_quota_refresh(world: World, now: Instant) -> None:
    """Schedule the next refresh."""
    update_activity(world)
    is_active = has_limited_accounts(world)
    due_s = now.monotonic_s + (REFRESH_PERIOD_S if is_active else INACTIVE_PERIOD_S)
    world.quota_states.put(quota_state(world)._replace(refresh_due_s=due_s))
    start_timer(world, TimerKind.QUOTA, REFRESH, due_s)


@timer_handlers(TimerKind.QUOTA)
def handle_quota_timer(world: World, subject: str, now: Instant) -> None:
    """Refresh what is known of quotas, or handle a missing reply of a home."""
    if subject != REFRESH:
        handle_ask_timer(world, subject, now)
        return
    late_s = now.monotonic_s - quota_state(world).refresh_due_s
    schedule_quota_refresh(world, now)
    if late_s > STANDSTILL_S:
        distrust_messages(world, now)
        log_event(world, "WARNING", "quota_messages_distrusted", late_s=late_s)
    # Kept also without limits, so that a first limit finds views that are old enough.
    update_fleet_view(world, now)
    forget_expired_cessions(world, now)
    forget_silent_homes(world, now)
    forget_demands(world, now)
    refresh_buckets(world, now)
    timer_id = (TimerKind.REGISTRY_READ, RegistryPart.VMS)
    if not has_limited_accounts(world) or not has_unknown_listed_vms(world):
        return
    if timer_id not in world.timers:
        delay_s = LIST_READ_S * (1.0 + world.rng.random())
        start_timer(world, *timer_id, now.monotonic_s + delay_s)
