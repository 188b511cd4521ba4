"""Reports to other zones how many of this zone's requests are in flight, by server.

Within a zone each VM reports its own loads. Between zones that would be too much
traffic, so one VM of a zone sends their sum to the first two VMs in rank of each
other zone, and the first of them forwards it within its zone.
"""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import ZoneLoads
from burdockhitch.systems.direct.recent_successes import (
    pop_unreported_for_other_zones,
    record_peer_successes,
)
from burdockhitch.systems.direct.registry_reads import better_ranked_vms, rank_in_zone
from burdockhitch.systems.direct.reports import (
    is_any_service_busy,
    live_peers,
    replace_reported_loads,
    same_zone_loads,
)
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, send, start_timer

# About the duration of a request; older loads say little.
ZONE_LOADS_PERIOD_S = 0.2
# Allows for three lost sums in a row, and for the time for which a sum waits to be read
# at the two VMs on its way.
ZONE_LOADS_EXPIRY_S = 1.0
# More than one, since the death of the first is known in its own zone long before it
# is known here.
RECEIVERS_PER_ZONE = 2
# Subject of the timer, besides the names of zones whose sums expire.
SEND_SUM = "sums"


def schedule_zone_sum(world: World, now: Instant) -> None:
    """Schedule the next sum of this zone's loads."""
    start_timer(
        world, TimerKind.ZONE_LOADS, SEND_SUM, now.monotonic_s + ZONE_LOADS_PERIOD_S
    )


def _receiver_addresses(world: World, zone: str) -> list[str]:
    """Return the message addresses of the VMs of a zone that receive sums."""
    alive = [vm for vm in world.vms.select("zone", zone) if vm.status is VmStatus.ALIVE]
    alive.sort(key=lambda vm: rank_in_zone(zone, vm.vm_id))
    return [vm.message_address for vm in alive[:RECEIVERS_PER_ZONE]]


def _send_sum(world: World, now: Instant) -> None:
    """Send this zone's loads and recent successes to all other zones."""
    own_zone = world.local.zone
    zones = [zone for zone in world.vms.values("zone") if zone != own_zone]
    addresses = [
        address for zone in zones for address in _receiver_addresses(world, zone)
    ]
    if addresses:
        succeeded_server_ids = pop_unreported_for_other_zones(world, now)
        message = ZoneLoads(own_zone, same_zone_loads(world), succeeded_server_ids)
        send(world, commands.BroadcastMessage(tuple(addresses), message))


@timer_handlers(TimerKind.ZONE_LOADS)
def handle_zone_loads_timer(world: World, subject: str, now: Instant) -> None:
    """Send this zone's sum if busy and first in rank, or expire another zone's sum."""
    if subject != SEND_SUM:
        replace_reported_loads(world, _sum_key(subject), ())
        return
    schedule_zone_sum(world, now)
    if is_any_service_busy(world) and not better_ranked_vms(world):
        _send_sum(world, now)


def _sum_key(zone: str) -> str:
    """Return the key of a zone's sum where loads are stored by VM."""
    return f"zone {zone}"


@message_handlers("zone_loads")
def handle_zone_loads(
    world: World, sender_vm_id: str, message: ZoneLoads, now: Instant
) -> None:
    """Store another zone's sum; the first VM of this zone forwards it to the others."""
    replace_reported_loads(world, _sum_key(message.zone), message.loads)
    record_peer_successes(
        world, message.succeeded_server_ids, now, is_from_other_zone=True
    )
    due_s = now.monotonic_s + ZONE_LOADS_EXPIRY_S
    start_timer(world, TimerKind.ZONE_LOADS, message.zone, due_s)
    sender = world.vms.get(sender_vm_id)
    is_forwarded = sender is None or sender.zone == world.local.zone
    if is_forwarded or better_ranked_vms(world):
        return
    same_zone = tuple(
        vm.message_address for vm in live_peers(world) if vm.zone == world.local.zone
    )
    if same_zone:
        send(world, commands.BroadcastMessage(same_zone, message))
