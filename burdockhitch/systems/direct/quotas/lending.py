"""Lends the tokens of an account at its home; load: an account used by all VMs at once.

The bucket fills at the account's rate, times the part of the fleet whose shares this VM
counts. Its row exists only while the account is used: a bucket without a row fills
from the time at which this VM became the home.
"""

import math

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import (
    TokenLoan,
    TokenReply,
    TokenRequest,
    TokenTransfer,
    TokenTransfers,
    TokenWant,
)
from burdockhitch.systems.direct.quotas.home import (
    CESSION_LIFETIME_S,
    WITHDRAWAL_S,
    count_groups,
    counted_fraction,
    home_of,
    home_since_s,
    starting_fraction,
)
from burdockhitch.systems.timing import message_handlers
from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.tables.quotas import AnsweredAskRow, QuotaBucketRow
from burdockhitch.world import World, count, next_sequence, send

# Time after which lent tokens are void, from when they were asked for. Those lent ahead
# are at most half of what a VM uses in this time, i.e. an eighth of a second's rate.
LOAN_LIFETIME_S = 0.25
# Part of the burst that must be left for tokens to be lent ahead, since some of them
# are not used.
AHEAD_LEVEL_MIN = 0.5
# Longest time for which a bucket fills in one step. It is refreshed more often, unless
# the process stands still.
FILL_MAX_S = 1.0
# Time without requests after which a full bucket is forgotten.
IDLE_S = 10.0
# Time for which the reply to a request is kept; copies of it arrive sooner.
REPLY_MEMORY_S = 1.0
# Longest time after which refused callers are told to return.
RETRY_AFTER_MAX_S = 2.0


def excess_s(world: World, account: ClientAccountRow) -> float:
    """Return the time at an account's rate by which the settings let it exceed it."""
    settings = world.settings.direct
    overage_s = settings.quota_overage * settings.quota_window_s
    return overage_s + settings.quota_slack / account.rate_per_s


def _capacity(account: ClientAccountRow) -> float:
    # A bucket of less than one token would never admit a request.
    return max(1.0, account.burst)


def _filled(
    row: QuotaBucketRow, account: ClientAccountRow, fraction: float, now: Instant
) -> QuotaBucketRow:
    """Return a bucket with what it gained since its last update.

    Of the parts of the fleet that counted then and count now, the lower one fills it.
    """
    elapsed_s = min(FILL_MAX_S, max(0.0, now.monotonic_s - row.updated_at_s))
    gained = account.rate_per_s * min(row.fraction, fraction) * elapsed_s
    return row._replace(
        n_tokens=min(_capacity(account), row.n_tokens + gained),
        fraction=fraction,
        updated_at_s=now.monotonic_s,
    )


def _make_bucket(
    world: World, account: ClientAccountRow, now: Instant
) -> QuotaBucketRow:
    """Return the bucket of an account that had no requests lately.

    It is filled from when on all shares could be left to this VM.
    """
    fraction = counted_fraction(world, count_groups(world, now), account.account)
    starting = starting_fraction(world, account.account, now)
    if starting > fraction:
        # The slack of the quota covers the first token of each account.
        now_s = now.monotonic_s
        return QuotaBucketRow(account.account, 1.0, starting, now_s, now_s)
    n_tokens = 0.0
    if home_of(world, account.account) == world.local.vm_id:
        since_s = home_since_s(world, account.account) + WITHDRAWAL_S
        filled_s = max(0.0, now.monotonic_s - since_s)
        n_tokens = min(_capacity(account), account.rate_per_s * fraction * filled_s)
    now_s = now.monotonic_s
    return QuotaBucketRow(account.account, n_tokens, fraction, now_s, now_s)


def _current_bucket(
    world: World, account: ClientAccountRow, now: Instant
) -> QuotaBucketRow:
    row = world.quota_buckets.get(account.account)
    if row is None:
        return _make_bucket(world, account, now)
    return _filled(row, account, row.fraction, now)


def _retry_after_s(
    row: QuotaBucketRow, account: ClientAccountRow, now: Instant
) -> float:
    """Return when the next token that no refused request was told of will be there."""
    rate_per_s = account.rate_per_s * row.fraction
    if rate_per_s <= 0:
        return CESSION_LIFETIME_S
    missing_s = max(0.0, 1.0 - row.n_tokens) / rate_per_s
    promised_s = row.promised_until_s - now.monotonic_s + 1.0 / rate_per_s
    return min(RETRY_AFTER_MAX_S, max(missing_s, promised_s))


def lend_tokens(
    world: World, account: ClientAccountRow, want: TokenWant, now: Instant
) -> TokenLoan:
    """Take tokens from the bucket of an account, as many as there are.

    Args:
        world: Tables of this VM.
        account: Account of the tokens.
        want: Tokens that are asked for.
        now: Time of the tick.
    """
    row = _current_bucket(world, account, now)
    n_lent = min(want.n_tokens, math.floor(row.n_tokens))
    n_left = row.n_tokens - n_lent
    n_free = math.floor(n_left - AHEAD_LEVEL_MIN * _capacity(account))
    n_ahead = max(0, min(want.n_ahead, n_free))
    row = row._replace(n_tokens=n_left - n_ahead, used_at_s=now.monotonic_s)
    retry_after_s = 0.0
    for _ in range(want.n_tokens - n_lent):
        retry_after_s = _retry_after_s(row, account, now)
        row = row._replace(promised_until_s=now.monotonic_s + retry_after_s)
    world.quota_buckets.put(row)
    count(world, "quota_tokens_lent", n_events=n_lent + n_ahead)
    return TokenLoan(
        account.account,
        n_lent + n_ahead,
        retry_after_s,
        home_of(world, account.account) == world.local.vm_id,
        row.n_tokens,
        row.fraction,
    )


def _lend_to_vm(world: World, want: TokenWant, now: Instant) -> TokenLoan:
    account = world.client_accounts.get(want.account)
    if account is not None and account.rate_per_s > 0:
        return lend_tokens(world, account, want, now)
    # The configuration of this VM has no limit for the account. The other VM's is older
    # or newer; a new limit binds only once all VMs have it.
    n_tokens = want.n_tokens
    return TokenLoan(want.account, n_tokens, 0.0, True, n_tokens, 1.0)


def _forget_answered(world: World, now: Instant) -> None:
    while (row := world.answered_asks.first("expires_at_s")) is not None:
        if row.expires_at_s > now.monotonic_s:
            break
        world.answered_asks.remove(row.ask_id)


@message_handlers("token_request")
def handle_token_request(
    world: World, sender_vm_id: str, message: TokenRequest, now: Instant
) -> None:
    """Lend tokens to another VM; a copy of its request gets the same reply."""
    sender = world.vms.get(sender_vm_id)
    if sender is None:
        return
    _forget_answered(world, now)
    answered = world.answered_asks.get(message.ask_id)
    if answered is None:
        loans = tuple(_lend_to_vm(world, want, now) for want in message.wants)
        reply = TokenReply(message.ask_id, loans)
        expires_at_s = now.monotonic_s + REPLY_MEMORY_S
        answered = AnsweredAskRow(message.ask_id, reply, expires_at_s)
        world.answered_asks.insert(answered)
    addresses = (sender.message_address,)
    send(world, commands.BroadcastMessage(addresses, answered.reply))


def refresh_buckets(world: World, now: Instant) -> None:
    """Fill the buckets, pass on those with another home, and forget unused ones."""
    if not len(world.quota_buckets):
        return
    groups = count_groups(world, now)
    transfers: dict[str, list[TokenTransfer]] = {}
    for row in world.quota_buckets:
        account = world.client_accounts.get(row.account)
        if account is None or account.rate_per_s <= 0:
            world.quota_buckets.remove(row.account)
            continue
        fraction = max(
            counted_fraction(world, groups, row.account),
            starting_fraction(world, row.account, now),
        )
        row = _filled(row, account, fraction, now)
        home = home_of(world, row.account)
        is_home = home in ("", world.local.vm_id)
        if not is_home and row.n_tokens > 0:
            transfers.setdefault(home, []).append(
                TokenTransfer(row.account, row.n_tokens)
            )
            row = row._replace(n_tokens=0.0)
        is_idle = now.monotonic_s - row.used_at_s > IDLE_S
        if is_idle and (not is_home or row.n_tokens >= _capacity(account)):
            world.quota_buckets.remove(row.account)
        else:
            world.quota_buckets.replace(row)
    for home, tokens in transfers.items():
        vm = world.vms.get(home)
        if vm is not None:
            sequence = next_sequence(world, "token_transfer")
            transfer_id = f"{world.local.incarnation_id()}.transfer.{sequence}"
            message = TokenTransfers(transfer_id, tuple(tokens))
            send(world, commands.BroadcastMessage((vm.message_address,), message))


@message_handlers("token_transfers")
def handle_token_transfers(
    world: World, _sender_vm_id: str, message: TokenTransfers, now: Instant
) -> None:
    """Add the tokens that a former home of accounts left in their buckets."""
    _forget_answered(world, now)
    if message.transfer_id in world.answered_asks:
        return
    expires_at_s = now.monotonic_s + REPLY_MEMORY_S
    world.answered_asks.insert(AnsweredAskRow(message.transfer_id, None, expires_at_s))
    for transfer in message.transfers:
        account = world.client_accounts.get(transfer.account)
        if account is None or account.rate_per_s <= 0:
            continue
        row = _current_bucket(world, account, now)
        n_tokens = min(_capacity(account), row.n_tokens + transfer.n_tokens)
        world.quota_buckets.put(row._replace(n_tokens=n_tokens))
