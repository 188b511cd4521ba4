"""Tells whether this VM may lack a configuration, under links and stores that fail.

A caller that gets a 401 for a key that a newer configuration allows is turned away for
good, while one that gets a 503 comes back. So a VM refuses an unknown key for good only
if it knows that no newer configuration had been published shortly before.
"""

import math

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.membership import HEARTBEAT_S
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World

# Age of the platform's last answer that a VM has heard of, above which it may lack a
# configuration. A zone's reader announces an answer every 1.05 s, the next one takes
# over after 1.4 s, and a configuration has to be in force 2.5 s after the store
# acknowledged it: in between, with time for a lost announcement.
ANSWER_AGE_MAX_S = 2.0
# Time after the first configuration for which a VM that has just started waits to hear
# of another VM: each replies at once, and sends a heartbeat in this time anyway.
FIRST_REPORT_S = HEARTBEAT_S


def _is_behind(world: World) -> bool:
    """Return whether another VM reported a newer configuration.

    Dead ones don't count: if the platform's store lost their version, too, nobody
    else will ever hold it.
    """
    version = registry_view(world, RegistryPart.CONFIGURATION).version
    return any(
        vm.configuration_version > version and vm.status is not VmStatus.DEAD
        for vm in world.vms
    )


def _platform_answered_at_s(world: World) -> float:
    """Return when the platform last answered this VM or one that it heard of since.

    Only VMs of this zone count, as the others' reports come by way of others and say
    less about when they were made.
    """
    views = [registry_view(world, RegistryPart.CONFIGURATION)]
    if not views[0].n_failures:
        # The watch of the configuration is open, and would end at a change.
        views.append(registry_view(world, RegistryPart.SERVERS))
    answered_at_s = [view.platform_answered_at_s or -math.inf for view in views]
    answered_at_s += [
        vm.status_updated_at_s - vm.platform_answer_age_s
        for vm in world.vms.select("zone", world.local.zone)
        if vm.vm_id != world.local.vm_id and vm.is_ready
    ]
    return max(answered_at_s)


def may_be_outdated(world: World, now: Instant) -> bool:
    """Return whether a newer configuration than this VM's may be in force.

    It may if another VM reported one, or if neither this VM nor another one of its zone
    that it hears of has had an answer of the platform lately.
    """
    age_s = now.monotonic_s - _platform_answered_at_s(world)
    return age_s > ANSWER_AGE_MAX_S or _is_behind(world)


def _has_peer_report(world: World, now: Instant) -> bool:
    """Return whether the VMs of this zone reported their versions, or had the time to.

    Without any in this zone, one of another zone suffices.
    """
    view = registry_view(world, RegistryPart.CONFIGURATION)
    if now.monotonic_s - view.first_applied_at_s > FIRST_REPORT_S:
        return True
    peers = [
        vm
        for vm in world.vms
        if vm.vm_id != world.local.vm_id and vm.status is not VmStatus.DEAD
    ]
    same_zone = [vm for vm in peers if vm.zone == world.local.zone]
    if same_zone:
        return all(vm.configuration_version for vm in same_zone)
    is_list_read = registry_view(world, RegistryPart.VMS).platform_answered_at_s > 0
    return any(vm.configuration_version for vm in peers) or (is_list_read and not peers)


def is_catching_up(world: World, now: Instant) -> bool:
    """Return whether this VM, since its start, hasn't held what others hold yet.

    Its first configuration may be from a store that was restored, or from a VM that
    was cut off, and allow keys that this VM knew as withdrawn before it was restarted.
    """
    view = registry_view(world, RegistryPart.CONFIGURATION)
    if view.has_caught_up:
        return False
    return _is_behind(world) or not _has_peer_report(world, now)


@system(Phase.INTAKE, DIRECT)
def record_caught_up(world: World, now: Instant) -> None:
    """Record that this VM holds what others hold, for the first time since its start.

    From then on it may be behind for a moment with each new configuration, and accepts
    the keys that it knows.
    """
    view = registry_view(world, RegistryPart.CONFIGURATION)
    if view.version and not view.has_caught_up and not is_catching_up(world, now):
        world.registry_views.put(view._replace(has_caught_up=True))
