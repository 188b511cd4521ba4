"""Applies rate limits to accepted requests and admits them for routing.

Each route names an at-most-once policy, which checks the idempotency keys of its
requests before it admits them; the policy ``none`` admits every request.
"""

from collections.abc import Callable

from burdockhitch.clock import Instant
from burdockhitch.errors import RateLimitedError
from burdockhitch.registry import Registry
from burdockhitch.systems.deadlines import refuse_if_deadline_too_short
from burdockhitch.systems.endings import advance_request, make_refusal, refuse_request
from burdockhitch.systems.phases import Phase, system
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.routes import RateLimitRow, TokenBucketRow
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World

AtMostOncePolicy = Callable[[World, RequestRow, Instant], None]
at_most_once_policies: Registry[AtMostOncePolicy] = Registry(
    "way to run a request at most once"
)


@at_most_once_policies("none")
def admit_without_deduplication(world: World, row: RequestRow, now: Instant) -> None:
    """Admit a request without recording its idempotency key."""
    advance_request(world, row, "admit", now)


def _find_limit(world: World, account: str) -> RateLimitRow | None:
    """Return the rate limit of an account, else the one of ``*``, if any."""
    return world.rate_limits.get(account) or world.rate_limits.get("*")


def _compute_refilled_bucket(
    world: World, limit: RateLimitRow, account: str, now: Instant
) -> TokenBucketRow:
    """Return the account's token bucket, refilled up to now but not stored.

    The limit holds for the whole fleet; each alive VM grants an equal share.
    """
    n_vms = max(1, world.vms.count("status", VmStatus.ALIVE))
    burst = max(1.0, limit.burst / n_vms)
    bucket = world.token_buckets.get(account)
    if bucket is None:
        return TokenBucketRow(account, burst, now.monotonic_s)
    elapsed_s = now.monotonic_s - bucket.refilled_at_s
    n_tokens = bucket.n_tokens + elapsed_s * limit.rate_per_s / n_vms
    return TokenBucketRow(account, min(burst, n_tokens), now.monotonic_s)


def _consume_token(world: World, row: RequestRow, now: Instant) -> bool:
    """Take a token from the account's bucket, and return whether there was one.

    Returns True without a token for accounts without a limit, and for requests
    that another VM forwarded.
    """
    account = row.message.account
    limit = _find_limit(world, account)
    if limit is None or row.origin_vm_id:
        return True
    bucket = _compute_refilled_bucket(world, limit, account, now)
    has_token = bucket.n_tokens >= 1.0
    n_tokens = bucket.n_tokens - 1.0 if has_token else bucket.n_tokens
    world.token_buckets.put(bucket._replace(n_tokens=n_tokens))
    return has_token


@system(Phase.ADMISSION)
def admit_requests(world: World, now: Instant) -> None:
    """Refuse accepted requests that have too little time left or exceed a rate limit.

    The others are passed to the at-most-once policy of their route.
    """
    for row in world.requests.select("state", RequestState.ACCEPTED):
        if refuse_if_deadline_too_short(world, row, now):
            continue
        if _consume_token(world, row, now):
            at_most_once_policies[row.once](world, row, now)
            continue
        limit = _find_limit(world, row.message.account)
        detail = f"account {row.message.account} is over its rate"
        retry_after_s = 1.0 / limit.rate_per_s if limit else 1.0
        refusal = make_refusal(RateLimitedError, detail, retry_after_s)
        refuse_request(world, row, refusal, now)
