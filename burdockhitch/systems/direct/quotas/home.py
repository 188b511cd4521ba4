"""Finds the home of an account and the shares that it counts; load: VMs come and go.

An account's home is the first of the ready VMs by rendezvous hashing. Views of which
VMs are ready differ for seconds after a VM starts or ends, and two VMs may both take
themselves for the home. So each VM states to which homes it leaves its share of the
quotas, in heartbeats to its zone and in the reports between zones. It leaves its share
of an account to the VM that was the home in each of its views of the last
``WITHDRAWAL_S``; meanwhile, all that it stated before has expired at other homes, so at
any time at most one home counts its share.
"""

import functools
import hashlib
import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.direct_messages import ShareGroup
from burdockhitch.tables.quotas import (
    CededShareRow,
    FleetViewRow,
    QuotaStateRow,
    ShareCession,
)
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import MICROSECONDS_PER_S, World, next_sequence

# Time after which a statement of a VM counts no longer. Heartbeats are sent each
# second, and reports between zones each 0.2 s, so that one may be lost.
CESSION_LIFETIME_S = 2.5
# The same with the time that messages may wait to be read without being noticed, at the
# two VMs that forward them and at the home.
WITHDRAWAL_S = CESSION_LIFETIME_S + 1.0
# Time in which a home lends before it may count shares, until statements count; views
# grow for about a second of it.
STARTING_S = WITHDRAWAL_S + 1.0
# Difference of start times, which clocks of the machines tell, up to which VMs count as
# started together.
STARTED_TOGETHER_S = 10
# Part of the fleet that must have started together.
STARTED_FRACTION_MIN = 0.25
STARTING_FRACTION = 0.45
SUCCEEDING_FRACTION = 0.3
# Time after this process stood still in which messages may be old ones that waited.
DISTRUST_S = 0.3
# Views that are kept, for the time since which a VM is the home of an account.
VIEWS_MAX = 16
# Most VMs or homes that a statement names; beyond that a VM leaves its share to none.
NAMES_MAX = 64
# Most groups of one zone in a report, so that it fits into a datagram.
GROUPS_MAX = 48
RANKS_MAX = 1 << 16
HOMES_MAX = 1 << 13


class CountedGroup(NamedTuple):
    """VMs whose statement this VM understands.

    Attributes:
        n_vms: Number of the VMs.
        vm_ids: VMs that were ready in any of their views, apart from ``changed``.
        changed: VMs that were ready in some of their views only.
    """

    n_vms: int
    vm_ids: tuple[str, ...]
    changed: tuple[str, ...]


@functools.lru_cache(maxsize=RANKS_MAX)
def _rank(account: str, vm_id: str) -> bytes:
    """Return a VM's rank for an account; the highest is its home."""
    return hashlib.blake2b(f"{account}|{vm_id}".encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=HOMES_MAX)
def _first_in_rank(vm_ids: tuple[str, ...], account: str) -> str:
    return max(vm_ids, key=lambda vm_id: _rank(account, vm_id), default="")


@functools.lru_cache(maxsize=RANKS_MAX)
def _member_digest(vm_id: str) -> int:
    digest = hashlib.blake2b(vm_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _digest_vms(vm_ids: Iterable[str]) -> int:
    """Return a digest of a set from which members can be removed again."""
    digest = 0
    for vm_id in vm_ids:
        digest ^= _member_digest(vm_id)
    return digest


def quota_state(world: World) -> QuotaStateRow:
    """Return what this VM knows of quotas as a whole."""
    vm_id = world.local.vm_id
    return world.quota_states.get(vm_id) or QuotaStateRow(vm_id)


def has_limited_accounts(world: World) -> bool:
    """Return whether any client account is limited; otherwise quotas cost nothing."""
    return quota_state(world).is_active


def update_activity(world: World) -> None:
    """Find whether any client account is limited, after each new configuration."""
    version = max((row.version for row in world.configurations), default=0)
    key = (version, len(world.client_accounts))
    state = quota_state(world)
    if state.accounts_key == key:
        return
    is_active = any(row.rate_per_s > 0 for row in world.client_accounts)
    world.quota_states.put(state._replace(accounts_key=key, is_active=is_active))


def record_listed_vms(world: World, rows: tuple[VmRow, ...]) -> None:
    """Record the VMs that the registry lists, also those that no VM hears."""
    vm_ids = tuple(row.vm_id for row in rows)
    world.quota_states.put(quota_state(world)._replace(listed_vm_ids=vm_ids))


def has_unknown_listed_vms(world: World) -> bool:
    """Return whether the registry listed a VM that this VM doesn't know as alive.

    It may have left the registry since; until it is read again, it counts.
    """
    for vm_id in quota_state(world).listed_vm_ids:
        vm = world.vms.get(vm_id)
        if vm is None or vm.status is VmStatus.DEAD:
            return True
    return False


def _ready_vm_ids(world: World) -> tuple[str, ...]:
    ready = [
        vm.vm_id for vm in world.vms.select("status", VmStatus.ALIVE) if vm.is_ready
    ]
    return tuple(sorted(ready))


def current_view(world: World) -> FleetViewRow | None:
    """Return the view in force, or None if this VM doesn't know the fleet yet."""
    views = list(world.fleet_views)
    return views[-1] if views and math.isinf(views[-1].until_s) else None


def update_fleet_view(world: World, now: Instant) -> None:
    """Record which VMs are ready and how many there are, from the membership view.

    Nothing is recorded before this VM is ready itself and has the registry's list or
    the membership view of another VM: its number of VMs would be too low. A VM that is
    leaving goes on, to pass its tokens to the next homes.
    """
    state = quota_state(world)
    known = {vm.vm_id for vm in world.vms} | set(state.listed_vm_ids)
    own = world.vms.get(world.local.vm_id)
    is_known = bool(state.listed_vm_ids) or len(known) > 1
    if own is None or not is_known:
        return
    if not own.is_ready and own.status is not VmStatus.LEAVING:
        return
    world.quota_states.put(state._replace(n_vms=len(known)))
    vm_ids = _ready_vm_ids(world)
    view = current_view(world)
    if view is not None and view.vm_ids == vm_ids:
        return
    now_s = now.monotonic_s
    if view is not None:
        world.fleet_views.replace(view._replace(until_s=now_s))
    sequence = next_sequence(world, "fleet_view")
    world.fleet_views.insert(FleetViewRow(sequence, vm_ids, now_s, math.inf))
    for old in list(world.fleet_views)[:-VIEWS_MAX]:
        world.fleet_views.remove(old.sequence)


def distrust_messages(world: World, now: Instant) -> None:
    """Forget what other VMs stated, after this process stood still.

    Messages that it reads next may have waited all that time.
    """
    world.ceded_shares.clear()
    trusted_from_s = now.monotonic_s + DISTRUST_S
    state = quota_state(world)
    world.quota_states.put(state._replace(trusted_from_s=trusted_from_s))


def home_of(world: World, account: str) -> str:
    """Return the VM that is an account's home by this VM's view; empty if unknown."""
    view = current_view(world)
    return _first_in_rank(view.vm_ids, account) if view else ""


def former_home_of(world: World, account: str) -> str:
    """Return the VM that was the home before the present one started; empty if none."""
    view = current_view(world)
    home = home_of(world, account)
    if view is None:
        return ""
    others = tuple(vm_id for vm_id in view.vm_ids if vm_id != home)
    return max(others, key=lambda vm_id: _rank(account, vm_id), default="")


def home_since_s(world: World, account: str) -> float:
    """Return from when on the present home was the home in all views of this VM."""
    since_s = math.inf
    home = home_of(world, account)
    for view in reversed(list(world.fleet_views)):
        if not home or _first_in_rank(view.vm_ids, account) != home:
            break
        since_s = view.since_s
    return max(since_s, quota_state(world).trusted_from_s)


def _recent_views(world: World, now: Instant) -> list[FleetViewRow]:
    from_s = now.monotonic_s - WITHDRAWAL_S
    return [view for view in world.fleet_views if view.until_s > from_s]


def withheld_home_ids(world: World) -> tuple[str, ...]:
    """Return the homes to which this VM leaves nothing, those since longest first."""
    rows = [row for row in world.silent_homes if row.withheld_since_s]
    rows.sort(key=lambda row: row.withheld_since_s)
    return tuple(row.vm_id for row in rows[:NAMES_MAX])


def own_cession(world: World, now: Instant) -> ShareCession | None:
    """Return to which homes this VM leaves its share; None for none.

    A VM that started less than ``WITHDRAWAL_S`` ago leaves it to none, since what its
    last process stated may still count.
    """
    views = _recent_views(world, now)
    first = next(iter(world.fleet_views), None)
    if (
        not has_limited_accounts(world)
        or first is None
        or now.monotonic_s - first.since_s < WITHDRAWAL_S
    ):
        return None
    # A VM that announced that it is leaving counts no shares any more, so nobody has to
    # wait until former statements expire.
    leaving = {vm.vm_id for vm in world.vms.select("status", VmStatus.LEAVING)}
    members = [set(view.vm_ids) - leaving for view in views]
    stable = set.intersection(*members)
    changed = set.union(*members) - stable
    if len(changed) > NAMES_MAX:
        return None
    return ShareCession(
        _digest_vms(stable), tuple(sorted(changed)), withheld_home_ids(world)
    )


def record_cession(
    world: World, vm_id: str, cession: ShareCession | None, now: Instant
) -> None:
    """Record what another VM of this zone stated in a heartbeat."""
    if now.monotonic_s < quota_state(world).trusted_from_s:
        return
    if cession is None:
        world.ceded_shares.discard(vm_id)
        return
    world.ceded_shares.put(
        CededShareRow(vm_id, world.local.zone, cession, 1, now.monotonic_s)
    )


def record_zone_shares(
    world: World, zone: str, groups: tuple[ShareGroup, ...], now: Instant
) -> None:
    """Record what the VMs of another zone stated, by a report of that zone."""
    if now.monotonic_s < quota_state(world).trusted_from_s:
        return
    for row in world.ceded_shares.select("zone", zone):
        world.ceded_shares.remove(row.source)
    for number, group in enumerate(groups):
        world.ceded_shares.put(
            CededShareRow(
                f"{zone} {number}",
                zone,
                group.cession,
                group.n_vms,
                now.monotonic_s - group.age_s,
            )
        )


def forget_expired_cessions(world: World, now: Instant) -> None:
    """Remove statements that count no longer."""
    for row in world.ceded_shares:
        if now.monotonic_s - row.sent_at_s > CESSION_LIFETIME_S:
            world.ceded_shares.remove(row.source)


def make_zone_shares(world: World, now: Instant) -> tuple[ShareGroup, ...] | None:
    """Return what this zone's VMs stated, for other zones; None without limits."""
    if not has_limited_accounts(world):
        return None
    forget_expired_cessions(world, now)
    n_vms: Counter[ShareCession] = Counter()
    ages_s: dict[ShareCession, float] = {}
    own = own_cession(world, now)
    if own is not None:
        n_vms[own] = 1
    for row in world.ceded_shares.select("zone", world.local.zone):
        n_vms[row.cession] += 1
        age_s = now.monotonic_s - row.sent_at_s
        ages_s[row.cession] = max(age_s, ages_s.get(row.cession, 0.0))
    return tuple(
        ShareGroup(cession, n, ages_s.get(cession, 0.0))
        for cession, n in n_vms.most_common(GROUPS_MAX)
    )


def count_groups(world: World, now: Instant) -> tuple[CountedGroup, ...]:
    """Return the VMs that may leave their share to this VM, grouped by their views.

    A statement names the VMs that were ready all the time by their digest; it counts
    only if that is found from a view of this VM and the changed VMs that it names.
    """
    own_id = world.local.vm_id
    statements: Counter[ShareCession] = Counter()
    own = own_cession(world, now)
    if own is not None:
        statements[own] = 1
    for row in world.ceded_shares:
        if now.monotonic_s - row.sent_at_s <= CESSION_LIFETIME_S:
            statements[row.cession] += row.n_vms
    views = {view.vm_ids: _digest_vms(view.vm_ids) for view in world.fleet_views}
    groups = []
    for cession, n_vms in statements.items():
        if own_id in cession.changed_vm_ids or own_id in cession.withheld_home_ids:
            continue
        for vm_ids, digest in views.items():
            removed = [vm_id for vm_id in cession.changed_vm_ids if vm_id in vm_ids]
            if digest ^ _digest_vms(removed) == cession.stable_digest:
                groups.append(CountedGroup(n_vms, vm_ids, cession.changed_vm_ids))
                break
    return tuple(groups)


def counted_fraction(
    world: World, groups: tuple[CountedGroup, ...], account: str
) -> float:
    """Return the part of the fleet that leaves its share of an account to this VM.

    It is 0 from when this VM announces that it is leaving.
    """
    own_id = world.local.vm_id
    own = world.vms.get(own_id)
    if own is None or own.status is VmStatus.LEAVING:
        return 0.0
    n_counted = 0
    for group in groups:
        if _first_in_rank(group.vm_ids, account) != own_id:
            continue
        own_rank = _rank(account, own_id)
        if all(_rank(account, vm_id) < own_rank for vm_id in group.changed):
            n_counted += group.n_vms
    n_vms = quota_state(world).n_vms
    return min(1.0, n_counted / n_vms) if n_vms else 0.0


def starting_fraction(world: World, account: str, now: Instant) -> float:
    """Return the part of a quota that a home lends before it may count shares.

    After a restart of many VMs nobody may count their shares yet, and all their
    requests would be refused until statements count. Their shares were left to others
    by processes that ended before these started. Views still grow, so two VMs may both
    take themselves for the home: each lends less than half of the shares of the VMs
    that started with it. After the home died, the next one lends less, since the former
    one may only be cut off, and the excess that the settings allow must cover that.
    """
    n_vms = quota_state(world).n_vms
    own = world.vms.get(world.local.vm_id)
    first = next(iter(world.fleet_views), None)
    if own is None or first is None or not n_vms or own.status is VmStatus.LEAVING:
        return 0.0
    if home_of(world, account) != world.local.vm_id:
        return 0.0
    ready = [v for v in world.vms.select("status", VmStatus.ALIVE) if v.is_ready]
    if now.monotonic_s - first.since_s < STARTING_S:
        started_from = own.incarnation - STARTED_TOGETHER_S * MICROSECONDS_PER_S
        ready = [vm for vm in ready if vm.incarnation >= started_from]
        if len(ready) < STARTED_FRACTION_MIN * n_vms:
            # The former homes of its accounts go on.
            return 0.0
        return STARTING_FRACTION * min(1.0, len(ready) / n_vms)
    if now.monotonic_s - home_since_s(world, account) < STARTING_S:
        former = world.vms.get(_home_before(world, account))
        if former is not None and former.status is VmStatus.DEAD:
            return SUCCEEDING_FRACTION * min(1.0, len(ready) / n_vms)
    return 0.0


def _home_before(world: World, account: str) -> str:
    """Return the last VM that was the home before this one; empty if unknown."""
    for view in reversed(list(world.fleet_views)):
        home = _first_in_rank(view.vm_ids, account)
        if home != world.local.vm_id:
            return home
    return ""
