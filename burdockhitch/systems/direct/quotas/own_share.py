"""Decides by this VM's own share of a quota; load: a home that does not reply.

A VM that gets no reply states that it leaves nothing to this home. Once all that it
stated before has expired, it uses its share itself: rate/n, without a burst.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.quotas.home import (
    WITHDRAWAL_S,
    home_of,
    home_since_s,
    quota_state,
    withheld_home_ids,
)
from burdockhitch.systems.direct.quotas.lending import excess_s
from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.tables.quotas import OwnShareRow, SilentHomeRow
from burdockhitch.world import World, count, log_event

# Requests for tokens without reply after which a home counts as silent. One in ten
# pairs fails while a third of all messages is lost.
UNANSWERED_MIN = 2
# Longest time over which a share is saved up, if the settings let the quota be exceeded
# by so much.
SHARE_SAVED_S = 1.0
# Time after the last request for tokens without reply after which a home counts as
# usual again.
SILENCE_MEMORY_S = 10.0
# Time between questions to a silent home whether it replies again.
PROBE_PERIOD_S = 0.25


def record_timeout(world: World, home_vm_id: str, now: Instant) -> None:
    """Count a request for tokens that a home did not reply to, or not as the home."""
    now_s = now.monotonic_s
    count(world, "quota_requests_unanswered")
    row = world.silent_homes.get(home_vm_id) or SilentHomeRow(home_vm_id, 0, now_s)
    row = row._replace(n_unanswered=row.n_unanswered + 1, updated_at_s=now_s)
    if row.n_unanswered >= UNANSWERED_MIN and not row.withheld_since_s:
        row = row._replace(withheld_since_s=now_s)
        log_event(world, "WARNING", "quota_home_silent", vm=home_vm_id)
    world.silent_homes.put(row)


def record_home_reply(world: World, home_vm_id: str) -> None:
    """Leave the share to a home again that replied."""
    world.silent_homes.discard(home_vm_id)


def forget_silent_homes(world: World, now: Instant) -> None:
    """Forget homes that were not asked for a while, and shares not used lately."""
    for row in world.silent_homes:
        if now.monotonic_s - row.updated_at_s > SILENCE_MEMORY_S:
            world.silent_homes.remove(row.vm_id)
    while (share := world.own_shares.first("updated_at_s")) is not None:
        if now.monotonic_s - share.updated_at_s <= SILENCE_MEMORY_S:
            break
        world.own_shares.remove(share.account)


def _usable_since_s(world: World, account: str) -> float | None:
    """Return from when on no home counts this VM's share; None if one may."""
    home = home_of(world, account)
    row = world.silent_homes.get(home)
    if row is None or home not in withheld_home_ids(world):
        return None
    return max(row.withheld_since_s, home_since_s(world, account)) + WITHDRAWAL_S


def is_share_usable(world: World, account: str, now: Instant) -> bool:
    """Return whether this VM may use its own share of an account."""
    since_s = _usable_since_s(world, account)
    return since_s is not None and since_s <= now.monotonic_s


def is_probe_due(world: World, home_vm_id: str, now: Instant) -> bool:
    """Return whether to ask a silent home whether it replies; if so, count this."""
    row = world.silent_homes.get(home_vm_id)
    if row is None or now.monotonic_s - row.probed_at_s < PROBE_PERIOD_S:
        return False
    now_s = now.monotonic_s
    world.silent_homes.replace(row._replace(probed_at_s=now_s, updated_at_s=now_s))
    return True


def own_rate_per_s(world: World, account: ClientAccountRow) -> float:
    """Return this VM's share of an account's rate; 0 while the fleet isn't known."""
    n_vms = quota_state(world).n_vms
    return account.rate_per_s / n_vms if n_vms else 0.0


def take_own_share(world: World, account: ClientAccountRow, now: Instant) -> bool:
    """Take a token of this VM's own share; return whether there was one.

    A share is mostly less than a request a second. If each VM saved a whole token, all
    of them together would exceed the limit at once, so a part of a token is used up as
    the probability of a whole one.
    """
    since_s = _usable_since_s(world, account.account)
    if since_s is None or since_s > now.monotonic_s:
        return False
    rate_per_s = own_rate_per_s(world, account)
    row = world.own_shares.get(account.account)
    if row is None or row.updated_at_s < since_s:
        row = OwnShareRow(account.account, 0.0, since_s)
    elapsed_s = now.monotonic_s - row.updated_at_s
    saved_max = rate_per_s * min(SHARE_SAVED_S, excess_s(world, account))
    n_tokens = min(saved_max, row.n_tokens + rate_per_s * elapsed_s)
    is_taken = n_tokens >= 1.0 or world.rng.random() < n_tokens
    n_left = max(0.0, n_tokens - 1.0)
    world.own_shares.put(OwnShareRow(account.account, n_left, now.monotonic_s))
    return is_taken
