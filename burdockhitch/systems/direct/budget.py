"""The zone's share of the fleet's retry budget, which its VMs use together.

The budget limits sends beyond the first of each request over a sliding window, to
a ratio of the requests plus a fixed slack for the whole fleet. Failures are not
spread evenly over VMs that each see few requests, so the VMs of a zone tell each
other their requests and retries, and each may retry while the sum of the zone allows
it. A VM adds the shares of those VMs only whose retries of the whole window it knows,
so one that is cut off or has just started has its own share.
"""

from burdockhitch.clock import Instant
from burdockhitch.direct_messages import ServiceUsage
from burdockhitch.tables.retry_usages import (
    PeerUsageRow,
    RetryUsageRow,
    UsageBucket,
)
from burdockhitch.world import World, count

# Fraction of the budget that is used. The rest allows for the first retries of a
# sudden failure, which other VMs have not reported yet.
USABLE_FRACTION = 0.85
# Fraction of the usable budget up to which requests explore suspect servers; beyond
# it, retries are kept for requests that failed.
EXPLORATION_FRACTION = 0.5
# The same for retries of requests that are less urgent, by one step of priority and by
# more, than others of their service.
LESS_URGENT_FRACTIONS = (1.0, 0.9, 0.8)
N_BUCKETS = 20
# Time without messages of a VM after which its share isn't used here: a little more
# than the period of heartbeats.
SILENCE_MAX_S = 1.3
# Time for which a service counts as one with idempotent requests. It is long, since
# a VM sees few requests of a service.
IDEMPOTENT_MEMORY_S = 60.0
# Most services in one message.
USAGES_MAX = 16


def _zone_slack(world: World, now: Instant) -> float:
    """Return the slack of this VM and of those whose retries it knows."""
    window_s = world.settings.direct.retry_window_s
    n_sharing = sum(
        now.monotonic_s - peer.updated_at_s <= SILENCE_MAX_S
        and now.monotonic_s - peer.counted_since_s >= window_s
        for peer in world.peer_usages
    )
    n_vms = max(1, len(world.vms))
    return world.settings.direct.retry_slack * min(n_vms, n_sharing + 1) / n_vms


def _current_usage(world: World, service: str, now: Instant) -> RetryUsageRow:
    """Return a service's usage without what is older than the window."""
    row = world.retry_usages.get(service) or RetryUsageRow(service)
    window_s = world.settings.direct.retry_window_s
    bucket_s = window_s / N_BUCKETS
    if row.buckets and now.monotonic_s - row.buckets[-1].started_at_s < bucket_s:
        return row
    kept = tuple(
        bucket
        for bucket in row.buckets
        if now.monotonic_s - bucket.started_at_s < window_s + bucket_s
    )
    row = row._replace(
        buckets=(*kept, UsageBucket(now.monotonic_s, 0, 0)),
        slack=_zone_slack(world, now),
    )
    world.retry_usages.put(row)
    return row


def _with_usage(row: RetryUsageRow, n_requests: int, n_retries: int) -> RetryUsageRow:
    """Return a usage with more requests and retries in the current bucket."""
    last = row.buckets[-1]
    last = last._replace(
        n_requests=last.n_requests + n_requests, n_retries=last.n_retries + n_retries
    )
    return row._replace(buckets=(*row.buckets[:-1], last))


def _used_fraction(world: World, service: str, now: Instant) -> float:
    """Return the fraction of the usable budget that one more retry would reach."""
    row = _current_usage(world, service, now)
    n_requests = sum(bucket.n_requests for bucket in row.buckets)
    n_retries = sum(bucket.n_retries for bucket in row.buckets)
    # As many as in the last half second may be on their way to this VM.
    n_unreported = sum(bucket.n_retries for bucket in row.buckets[-2:]) / 2
    budget = row.slack + world.settings.direct.retry_ratio * n_requests
    return (n_retries + n_unreported + 1) / max(1.0, USABLE_FRACTION * budget)


def credit_retry_budget(
    world: World, service: str, priority: int, is_idempotent: bool, now: Instant
) -> None:
    """Count a caller's request, which adds to the budget of its service."""
    row = _with_usage(_current_usage(world, service, now), 1, 0)
    if is_idempotent:
        row = row._replace(last_idempotent_at_s=now.monotonic_s)
    last = row.buckets[-1]
    last = last._replace(most_urgent=min(priority, last.most_urgent))
    world.retry_usages.put(
        row._replace(
            buckets=(*row.buckets[:-1], last), n_own_requests=row.n_own_requests + 1
        )
    )


def has_idempotent_requests(world: World, service: str, now: Instant) -> bool:
    """Return whether callers sent this VM requests that may run more than once lately.

    These explore the suspect servers of the service.
    """
    row = _current_usage(world, service, now)
    return now.monotonic_s - row.last_idempotent_at_s < IDEMPOTENT_MEMORY_S


def urgency_rank(world: World, service: str, priority: int, now: Instant) -> int:
    """Return by how many steps of priority other requests of a service are more urgent.

    It is 0 for the most urgent that callers sent to this VM in the last window.
    """
    buckets = _current_usage(world, service, now).buckets
    most_urgent = min(bucket.most_urgent for bucket in buckets)
    return int(max(0, priority - min(most_urgent, priority)))


def has_retry_budget(world: World, service: str, priority: int, now: Instant) -> bool:
    """Return whether the zone's budget allows one more retry of a request.

    While all servers reject or fail, the budget doesn't suffice for all retries. Its
    last part is kept for the more urgent requests of the service, so that they are
    not served less often than others.
    """
    rank = urgency_rank(world, service, priority, now)
    limit = LESS_URGENT_FRACTIONS[min(rank, len(LESS_URGENT_FRACTIONS) - 1)]
    return _used_fraction(world, service, now) <= limit


def has_exploration_budget(world: World, service: str, now: Instant) -> bool:
    """Return whether the budget allows a try at a suspect server, and its retry."""
    return _used_fraction(world, service, now) <= EXPLORATION_FRACTION


def zone_requests_per_s(world: World, service: str, now: Instant) -> float:
    """Return the rate of a service's requests in this zone, over the last window.

    It is too low by the requests of VMs that this VM doesn't hear from.
    """
    buckets = _current_usage(world, service, now).buckets
    n_requests = sum(bucket.n_requests for bucket in buckets)
    elapsed_s = now.monotonic_s - buckets[0].started_at_s
    window_s = world.settings.direct.retry_window_s
    return n_requests / min(window_s, max(1.0, elapsed_s))


def spend_retry_budget(world: World, service: str, now: Instant) -> None:
    """Count a retry of this VM against the budget."""
    row = _with_usage(_current_usage(world, service, now), 0, 1)
    world.retry_usages.put(
        row._replace(n_own_retries=row.n_own_retries + 1, is_unreported=True)
    )
    count(world, "retries", "service", service)


def has_unreported_retries(world: World) -> bool:
    """Return whether this VM sent retries that its zone doesn't know of."""
    return world.retry_usages.count("is_unreported", True) > 0


def pop_own_usages(world: World) -> tuple[ServiceUsage, ...]:
    """Return this VM's requests and retries since its start, and mark them as sent.

    Services with unreported retries come first if there are more than a message
    holds.
    """
    rows = [row for row in world.retry_usages if row.n_own_requests]
    rows.sort(key=lambda row: not row.is_unreported)
    for row in rows[:USAGES_MAX]:
        world.retry_usages.replace(row._replace(is_unreported=False))
    return tuple(
        ServiceUsage(row.service, row.n_own_requests, row.n_own_retries)
        for row in rows[:USAGES_MAX]
    )


def record_peer_usages(
    world: World, vm_id: str, usages: tuple[ServiceUsage, ...], now: Instant
) -> None:
    """Count what another VM of this zone sent since its last report.

    After a silence longer than the window, and at its first message to this VM, what
    it had sent before isn't counted, since the message doesn't tell when that was. A
    new incarnation of the VM counts from zero.
    """
    incarnation = world.vms.fetch(vm_id).incarnation
    now_s = now.monotonic_s
    reported = {usage.service: usage[1:] for usage in usages}
    last = world.peer_usages.get(vm_id)
    window_s = world.settings.direct.retry_window_s
    if last is None or now_s - last.updated_at_s > window_s:
        last = PeerUsageRow(vm_id, incarnation, reported, now_s, now_s)
    elif last.incarnation != incarnation:
        last = last._replace(incarnation=incarnation, counts={})
    counts = dict(last.counts)
    for service, (n_requests, n_retries) in reported.items():
        n_requests_before, n_retries_before = last.counts.get(service, (0, 0))
        if n_requests < n_requests_before or n_retries < n_retries_before:
            # The message is older than the last one.
            continue
        row = _current_usage(world, service, now)
        world.retry_usages.put(
            _with_usage(
                row, n_requests - n_requests_before, n_retries - n_retries_before
            )
        )
        counts[service] = (n_requests, n_retries)
    world.peer_usages.put(last._replace(counts=counts, updated_at_s=now_s))


def forget_peer_usages(world: World, vm_id: str) -> None:
    """Forget what a VM reported that is removed from the membership view."""
    world.peer_usages.discard(vm_id)
