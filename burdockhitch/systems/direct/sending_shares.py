"""Divides the rate that a limited backend server accepts among the VMs.

A VM can't know in time what all others send. So only some VMs, the senders, send to a
limited server, each an equal share by a token bucket of one request. Each VM finds the
senders by itself, from the VMs and servers that it knows, without a message: both are
on a ring, in a fixed order, and a server's senders follow its place.

In a window of ``t`` seconds the server gets at most ``limit * t`` requests and one for
each sender, so their number is bounded by the limit. Views that differ for a moment add
a few senders. Places at equal distances give each VM shares of several servers.
"""

import functools
import hashlib
import math

from burdockhitch.clock import Instant
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.server_limits import SendingShareRow, ServerLimitRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, start_timer

# Senders of a server besides those for each request a second that it accepts.
SENDERS_MIN = 3
SENDERS_PER_LIMIT = 1.5
# Least rate of all senders together, so that they learn when a server that accepts
# nothing states no limit any more.
RATE_MIN_PER_S = 0.25
# Period after which the senders are found anew from the VMs and servers then known.
ASSIGNMENT_PERIOD_S = 0.5
# Time after the last known statement of a limit from which VMs that aren't senders try
# the server, too: the statement that it has ended may have been lost.
STATEMENT_STALE_S = 10.0
# Time for which a VM remembers that a limit has ended, to tell VMs that missed it.
ENDED_MEMORY_S = 10.0
# Places of VMs that are kept, so that they are not computed at each assignment.
RING_KEYS_MAX = 4096
# Subject of the timer.
ASSIGN = "assign"


@functools.lru_cache(maxsize=RING_KEYS_MAX)
def _ring_key(vm_id: str) -> bytes:
    """Return a VM's place in the order of the ring."""
    return hashlib.blake2b(vm_id.encode(), digest_size=8).digest()


def _place_of_this_vm(world: World) -> tuple[int, int]:
    """Return this VM's index on the ring of the VMs that send, and their number."""
    own_id = world.local.vm_id
    vm_ids = {vm.vm_id for vm in world.vms.select("status", VmStatus.ALIVE)} | {own_id}
    ring = sorted(vm_ids, key=_ring_key)
    return ring.index(own_id), len(ring)


def _share_per_s(limit_per_s: float, distance: int, n_vms: int) -> float:
    """Return this VM's share of a limit.

    Args:
        limit_per_s: Requests a second that the server accepts.
        distance: Distance of this VM from the server's place, along the ring.
        n_vms: Number of VMs on the ring.
    """
    n_senders = min(n_vms, SENDERS_MIN + math.floor(SENDERS_PER_LIMIT * limit_per_s))
    if distance >= n_senders:
        return 0.0
    return max(RATE_MIN_PER_S, limit_per_s) / n_senders


def _available_tokens(share: SendingShareRow, now: Instant) -> float:
    elapsed_s = now.monotonic_s - share.refilled_at_s
    return min(1.0, share.n_tokens + share.share_per_s * elapsed_s)


def _put_share(
    world: World, limit: ServerLimitRow, share_per_s: float, now: Instant
) -> None:
    """Store a share; the tokens that this VM has of an earlier one stay."""
    share = world.sending_shares.get(limit.server_id)
    if share is not None and share.share_per_s == share_per_s:
        return
    # Drawn, so that the senders of a server don't send their first requests at once.
    n_tokens = _available_tokens(share, now) if share else world.rng.random()
    world.sending_shares.put(
        SendingShareRow(limit.server_id, share_per_s, n_tokens, now.monotonic_s)
    )


def assign_shares(world: World, service: str, now: Instant) -> None:
    """Find this VM's shares of the limited servers of a service."""
    index, n_vms = _place_of_this_vm(world)
    servers = world.backend_servers.select("service", service)
    server_ids = sorted(server.server_id for server in servers)
    for position, server_id in enumerate(server_ids):
        limit = world.server_limits.get(server_id)
        if limit is None or limit.limit_per_s is None:
            world.sending_shares.discard(server_id)
            continue
        place = position * n_vms // len(server_ids)
        distance = (index - place) % n_vms
        share_per_s = _share_per_s(limit.limit_per_s, distance, n_vms)
        _put_share(world, limit, share_per_s, now)
    timer_id = (TimerKind.SENDING_SHARES, ASSIGN)
    if timer_id not in world.timers:
        start_timer(world, *timer_id, now.monotonic_s + ASSIGNMENT_PERIOD_S)


@timer_handlers(TimerKind.SENDING_SHARES)
def reassign_shares(world: World, _subject: str, now: Instant) -> None:
    """Find the shares anew, since VMs and servers come and go."""
    for limit in world.server_limits:
        age_s = now.monotonic_s - limit.changed_at_s
        if limit.limit_per_s is None and age_s > ENDED_MEMORY_S:
            forget_share(world, limit.server_id)
    for service in world.server_limits.values("service"):
        assign_shares(world, service, now)


def forget_share(world: World, server_id: str) -> None:
    """Forget limit and share of a server that is gone or has restarted."""
    world.server_limits.discard(server_id)
    world.sending_shares.discard(server_id)


def has_share(world: World, server_id: str, now: Instant) -> bool:
    """Return whether the limit that a server states leaves this VM a request now."""
    limit = world.server_limits.get(server_id)
    share = world.sending_shares.get(server_id)
    if limit is None or share is None:
        return True
    if share.share_per_s > 0:
        return _available_tokens(share, now) >= 1.0
    is_stale = now.monotonic_s - limit.stated_at_s > STATEMENT_STALE_S
    # So all VMs together send it about as many as one of them without the limit.
    return is_stale and world.rng.random() < 1.0 / max(1, len(world.vms))


def spend_share(world: World, server_id: str, now: Instant) -> None:
    """Count a request that is sent to a server, against this VM's share if limited."""
    share = world.sending_shares.get(server_id)
    if share is not None:
        n_tokens = max(0.0, _available_tokens(share, now) - 1.0)
        world.sending_shares.replace(
            share._replace(n_tokens=n_tokens, refilled_at_s=now.monotonic_s)
        )
