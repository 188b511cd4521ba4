"""Tells other zones how busy backend servers are with this zone's requests.

Within a zone each VM tells its own loads. Between zones that would be too many
bytes, so one VM of a zone sums them up for one VM of each other zone, which
passes them on to its own.
"""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import ZoneLoads
from burdockhitch.systems.direct.answered import hear_answered, take_untold_far
from burdockhitch.systems.direct.reading import better_ranked, rank_in_zone
from burdockhitch.systems.direct.reports import (
    is_any_busy,
    near_loads,
    reachable_peers,
    take_loads,
)
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, send, start_timer

# About the time that a request takes; older loads say little.
PERIOD_S = 0.2
# Three sums lost, and the time that they wait at two VMs.
EXPIRY_S = 1.0
# The death of the first is known in its own zone long before it is known here.
RECEIVERS_PER_ZONE = 2
SUMS = "sums"


def start_summing(world: World, now: Instant) -> None:
    """Plan the next sum of the zone's loads."""
    start_timer(world, TimerKind.ZONE_LOADS, SUMS, now.monotonic_s + PERIOD_S)


def _receivers_of(world: World, zone: str) -> list[str]:
    """Return the message addresses of a zone's VMs that take sums."""
    alive = [vm for vm in world.vms.select("zone", zone) if vm.status is VmStatus.ALIVE]
    alive.sort(key=lambda vm: rank_in_zone(zone, vm.vm_id))
    return [vm.message_address for vm in alive[:RECEIVERS_PER_ZONE]]


def _send_sum(world: World, now: Instant) -> None:
    own_zone = world.local.zone
    zones = [zone for zone in world.vms.values("zone") if zone != own_zone]
    addresses = [name for zone in zones for name in _receivers_of(world, zone)]
    if addresses:
        answered = take_untold_far(world, now)
        message = ZoneLoads(own_zone, near_loads(world), answered)
        send(world, commands.BroadcastMessage(tuple(addresses), message))


@timer_handlers(TimerKind.ZONE_LOADS)
def sum_loads(world: World, subject: str, now: Instant) -> None:
    """Send the zone's sum, if this VM has to, or drop that of another zone."""
    if subject != SUMS:
        take_loads(world, _sum_key(subject), ())
        return
    start_summing(world, now)
    if is_any_busy(world) and not better_ranked(world):
        _send_sum(world, now)


def _sum_key(zone: str) -> str:
    """Return what stands for a zone where loads are kept by VM."""
    return f"zone {zone}"


@message_handlers("zone_loads")
def take_sum(world: World, sender_vm_id: str, message: ZoneLoads, now: Instant) -> None:
    """Keep another zone's sum; the first VM of this zone passes it on."""
    take_loads(world, _sum_key(message.zone), message.loads)
    hear_answered(world, message.answered, now, is_far=True)
    due_s = now.monotonic_s + EXPIRY_S
    start_timer(world, TimerKind.ZONE_LOADS, message.zone, due_s)
    sender = world.vms.get(sender_vm_id)
    is_passed_on = sender is None or sender.zone == world.local.zone
    if is_passed_on or better_ranked(world):
        return
    near = tuple(
        vm.message_address
        for vm in reachable_peers(world)
        if vm.zone == world.local.zone
    )
    if near:
        send(world, commands.BroadcastMessage(near, message))
