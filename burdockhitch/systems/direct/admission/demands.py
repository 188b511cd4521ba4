"""Tracks demand by account and the backlog while services get more than they can run.

A VM knows the requests of its own callers only, about one a second and service in a
large fleet. Callers are spread over the VMs at random, so over half a minute its sample
shows which accounts send several times as much as the others.
"""

import math

from burdockhitch.clock import Instant
from burdockhitch.tables.account_demands import (
    AccountDemandRow,
    AccountRefusalRow,
    ServiceBacklogRow,
)
from burdockhitch.world import World, count

# Time constant of the decay of the demand.
DEMAND_DECAY_S = 30.0
# Most rows of accounts; the one with the fewest requests leaves first.
DEMANDS_MAX = 512
# Requests of an account below which its sample shows nothing.
SAMPLE_MIN = 4.0
# Accounts whose refusals are counted by name.
REFUSED_ACCOUNTS_MAX = 10
# Time constants of the backlog's moving averages.
BACKLOG_DECAY_S = 0.5
# Greatest change of the wait in seconds a second that counts.
GROWTH_MAX = 1.0


def _decayed(row: AccountDemandRow, now: Instant) -> float:
    elapsed_s = max(0.0, now.monotonic_s - row.updated_at_s)
    return row.n_requests * math.exp(-elapsed_s / DEMAND_DECAY_S)


def record_demand(world: World, service: str, account: str, now: Instant) -> None:
    """Count a request of an account for a service."""
    key = (service, account)
    row = world.service_demands.get(key)
    n_requests = 1.0 + (_decayed(row, now) if row else 0.0)
    if row is None and len(world.service_demands) >= DEMANDS_MAX:
        least = min(world.service_demands, key=lambda other: _decayed(other, now))
        world.service_demands.remove(least.key)
    world.service_demands.put(
        AccountDemandRow(key, service, n_requests, now.monotonic_s)
    )


def demand_ratio(world: World, service: str, account: str, now: Instant) -> float:
    """Return an account's demand relative to the mean of the active accounts.

    It is 1 for a request without an account, and while the sample is too small.
    """
    row = world.service_demands.get((service, account))
    if not account or row is None:
        return 1.0
    own = _decayed(row, now)
    if own < SAMPLE_MIN:
        return 1.0
    rows = world.service_demands.select("service", service)
    total = sum(_decayed(other, now) for other in rows)
    return own * len(rows) / max(own, total)


def record_backlog(world: World, service: str, wait_s: float, now: Instant) -> None:
    """Update the moving averages of a service's expected wait and of its change."""
    row = world.service_backlogs.get(service)
    if row is None or now.monotonic_s - row.updated_at_s > 4 * BACKLOG_DECAY_S:
        row = ServiceBacklogRow(service, wait_s, 0.0, now.monotonic_s)
        world.service_backlogs.put(row)
        return
    elapsed_s = now.monotonic_s - row.updated_at_s
    if elapsed_s <= 0:
        return
    weight = 1.0 - math.exp(-elapsed_s / BACKLOG_DECAY_S)
    mean_s = row.wait_s + weight * (wait_s - row.wait_s)
    slope = min(GROWTH_MAX, max(-GROWTH_MAX, (mean_s - row.wait_s) / elapsed_s))
    growth = row.growth + weight * (slope - row.growth)
    world.service_backlogs.replace(
        ServiceBacklogRow(service, mean_s, growth, now.monotonic_s)
    )


def record_refusal(world: World, account: str) -> None:
    """Count a refusal of an account, for the ten accounts with most of them."""
    if not account:
        return
    row = world.account_refusals.get(account)
    n_refusals = row.n_refusals if row else 0
    if row is None and len(world.account_refusals) >= REFUSED_ACCOUNTS_MAX:
        least = world.account_refusals.first("n_refusals")
        if least is not None:
            world.account_refusals.remove(least.account)
            world.counters.discard(("account_refusals", "account", least.account))
            n_refusals = least.n_refusals
    world.account_refusals.put(AccountRefusalRow(account, n_refusals + 1))
    name, label = "account_refusals", "account"
    added = n_refusals + 1 if row is None else 1
    count(world, name, label, account, added)
