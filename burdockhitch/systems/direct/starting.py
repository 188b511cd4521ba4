"""Starts the periodic tasks of a VM that sends to all backend servers."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.membership import start_membership
from burdockhitch.systems.direct.message_ticks import schedule_message_tick
from burdockhitch.systems.direct.quotas.refresh import schedule_quota_refresh
from burdockhitch.systems.direct.registry_reads import schedule_reader_check
from burdockhitch.systems.direct.zone_reports import schedule_zone_reports
from burdockhitch.world import World


def start_vm(world: World, now: Instant) -> None:
    """Announce this VM and start the timers of its periodic tasks."""
    start_membership(world, now)
    schedule_reader_check(world, now)
    schedule_message_tick(world, now)
    schedule_zone_reports(world, now)
    schedule_quota_refresh(world, now)
