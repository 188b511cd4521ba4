"""Decides whether a request has a token of its account's quota; load: demand jumps.

A request takes a token that was lent ahead, or waits for the reply of the account's
home. Without a reply in time, this VM's own share decides.
"""

import math
from collections import Counter
from enum import StrEnum

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import TokenLoan, TokenReply, TokenRequest, TokenWant
from burdockhitch.errors import QuotaExceededError
from burdockhitch.systems.direct.quotas.home import (
    former_home_of,
    has_limited_accounts,
    home_of,
    update_activity,
    update_fleet_view,
)
from burdockhitch.systems.direct.quotas.lending import (
    LOAN_LIFETIME_S,
    RETRY_AFTER_MAX_S,
    excess_s,
    lend_tokens,
)
from burdockhitch.systems.direct.quotas.own_share import (
    is_probe_due,
    is_share_usable,
    own_rate_per_s,
    record_home_reply,
    record_timeout,
    take_own_share,
)
from burdockhitch.systems.endings import (
    Ending,
    advance_request,
    ending_hooks,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import message_handlers
from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.tables.quotas import (
    AccountDemandRow,
    HeldRequestRow,
    Loan,
    OpenAskRow,
)
from burdockhitch.tables.requests import RequestRow, RequestState, queue_order
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    next_sequence,
    send,
    start_timer,
    stop_timer,
)

# Longest time for which a request waits for a token, and time after which the home is
# asked again: two transfers between zones take up to 8 ms. With a third of all
# messages lost, one in eleven requests gets no reply to four messages.
HOLD_MAX_S = 0.06
RESEND_S = 0.015
# Time constant of the moving average of demand.
DEMAND_S = 1.0
# Part of the expected demand in the lifetime of a loan that is asked for ahead. Below
# one token, i.e. 8 requests a second, a VM asks for none: most would expire unused.
AHEAD_FRACTION = 0.5
# Time without requests after which an account's demand is forgotten.
DEMAND_MEMORY_S = 10.0
# Time after which callers return whose account has no home yet.
NO_HOME_RETRY_S = 1.0


class TokenDecision(StrEnum):
    """What became of a request for a token."""

    ADMITTED = "admitted"
    HELD = "held"
    REFUSED = "refused"


def _limited_account(world: World, name: str) -> ClientAccountRow | None:
    account = world.client_accounts.get(name) if name else None
    return account if account is not None and account.rate_per_s > 0 else None


def _demand(world: World, account: str, now: Instant) -> AccountDemandRow:
    """Return an account's demand now, without void loans."""
    now_s = now.monotonic_s
    row = world.account_demands.get(account)
    if row is None:
        return AccountDemandRow(account, 0.0, now_s)
    decay = math.exp(-max(0.0, now_s - row.updated_at_s) / DEMAND_S)
    loans = tuple(loan for loan in row.loans if loan.expires_at_s > now_s)
    return row._replace(n_recent=row.n_recent * decay, updated_at_s=now_s, loans=loans)


def _count_demand(world: World, account: str, now: Instant) -> None:
    row = _demand(world, account, now)
    world.account_demands.put(row._replace(n_recent=row.n_recent + 1.0))


def _take_loan(world: World, account: str, now: Instant) -> bool:
    """Use a token that was lent to this VM and isn't void; return whether there is one.

    The clock is read again, since the process may have stood still in this tick, whose
    last phases send the request.
    """
    row = _demand(world, account, now)
    now_s = world.clock.now().monotonic_s
    if not any(loan.expires_at_s > now_s for loan in row.loans):
        return False
    first = min(
        (loan for loan in row.loans if loan.expires_at_s > now_s),
        key=lambda loan: loan.expires_at_s,
    )
    others = [loan for loan in row.loans if loan is not first]
    if first.n_tokens > 1:
        others.append(first._replace(n_tokens=first.n_tokens - 1))
    world.account_demands.put(row._replace(loans=tuple(others)))
    return True


def _n_ahead(world: World, account: str, now: Instant) -> int:
    """Return how many tokens to ask for ahead, besides those that are left.

    They may be used until they are void, when the bucket has filled again, so none are
    asked for if the settings don't let the quota be exceeded by so much.
    """
    limited = _limited_account(world, account)
    if limited is None or excess_s(world, limited) < LOAN_LIFETIME_S:
        return 0
    row = _demand(world, account, now)
    expected = row.n_recent / DEMAND_S * LOAN_LIFETIME_S
    n_left = sum(loan.n_tokens for loan in row.loans)
    return max(0, math.floor(AHEAD_FRACTION * expected) - n_left)


def _refuse(
    world: World, row: RequestRow, reason: str, retry_after_s: float, now: Instant
) -> None:
    count(world, "quota_refusals")
    detail = f"no token of account {row.account} is left: {reason}"
    refusal = make_refusal(QuotaExceededError, detail, retry_after_s)
    refuse_request(world, row, refusal, now)


def _describe_loan(home: str, loan: TokenLoan, age_s: float) -> str:
    return (
        f"home {home} had {loan.n_left:.2f} tokens and "
        f"{100 * loan.fraction:.0f}% of the shares, {age_s:.3f} s ago"
    )


def request_tokens(world: World, row: RequestRow, now: Instant) -> TokenDecision:
    """Take or ask for a token for an accepted request.

    Args:
        world: Tables of this VM.
        row: Request in state ``ADMITTED``.
        now: Time of the tick.

    Returns:
        ``ADMITTED`` if the caller of this function has to queue it, ``HELD`` if a
        reply or a timer does so or refuses it, ``REFUSED`` if it has ended.
    """
    account = _limited_account(world, row.account)
    if account is None:
        return TokenDecision.ADMITTED
    update_activity(world)
    _count_demand(world, row.account, now)
    if _take_loan(world, row.account, now):
        count(world, "quota_admitted", "reason", "lent_ahead")
        return TokenDecision.ADMITTED
    home = home_of(world, row.account)
    if not home:
        update_fleet_view(world, now)
        home = home_of(world, row.account)
    if not home:
        reason = "this VM doesn't know the fleet yet"
        _refuse(world, row, reason, NO_HOME_RETRY_S, now)
        return TokenDecision.REFUSED
    if home == world.local.vm_id:
        return _decide_at_home(world, row, account, now)
    if is_share_usable(world, row.account, now):
        if is_probe_due(world, home, now):
            _ask(world, home, (), now)
        return _decide_by_own_share(world, row, account, now)
    _hold(world, row, home, now.monotonic_s)
    return TokenDecision.HELD


def _hold(
    world: World,
    row: RequestRow,
    home: str,
    held_at_s: float,
    is_second: bool = False,
) -> None:
    world.held_requests.put(
        HeldRequestRow(row.request_id, row.account, home, held_at_s, is_second)
    )


def _hold_for_former_home(
    world: World, row: RequestRow, loan: TokenLoan, held_at_s: float
) -> bool:
    """Ask the former home for a token if the present one counts no shares yet.

    Until all VMs know that a home has started, the former one has the tokens.

    Returns:
        Whether the request is held for it.
    """
    former = former_home_of(world, row.account)
    if loan.fraction > 0 or former in ("", world.local.vm_id):
        return False
    _hold(world, row, former, held_at_s, is_second=True)
    return True


def _decide_at_home(
    world: World, row: RequestRow, account: ClientAccountRow, now: Instant
) -> TokenDecision:
    loan = lend_tokens(world, account, TokenWant(row.account, 1, 0), now)
    if loan.n_tokens:
        count(world, "quota_admitted", "reason", "home")
        return TokenDecision.ADMITTED
    if _hold_for_former_home(world, row, loan, now.monotonic_s):
        return TokenDecision.HELD
    reason = _describe_loan(world.local.vm_id, loan, 0.0)
    _refuse(world, row, reason, loan.retry_after_s, now)
    return TokenDecision.REFUSED


def _decide_by_own_share(
    world: World, row: RequestRow, account: ClientAccountRow, now: Instant
) -> TokenDecision:
    if take_own_share(world, account, now):
        count(world, "quota_admitted", "reason", "own_share")
        return TokenDecision.ADMITTED
    rate_per_s = own_rate_per_s(world, account)
    retry_after_s = min(RETRY_AFTER_MAX_S, 1.0 / rate_per_s if rate_per_s else 1.0)
    home = home_of(world, row.account)
    last = world.silent_homes.get(home)
    n_unanswered = last.n_unanswered if last else 0
    is_usable = is_share_usable(world, row.account, now)
    share = "is used up" if is_usable else "may still count there"
    reason = (
        f"home {home} sent no reply, {n_unanswered} times in a row, and this VM's "
        f"share of {rate_per_s:.2f} a second {share}"
    )
    _refuse(world, row, reason, retry_after_s, now)
    return TokenDecision.REFUSED


def _ask(
    world: World,
    home: str,
    wants: tuple[TokenWant, ...],
    now: Instant,
    held_at_s: float = math.inf,
) -> str:
    """Ask a home for tokens, and return the identity of the message."""
    sequence = next_sequence(world, "token_request")
    ask_id = f"{world.local.incarnation_id()}.{sequence}"
    message = TokenRequest(ask_id, wants)
    ends_at_s = min(held_at_s, now.monotonic_s) + HOLD_MAX_S
    world.open_asks.insert(
        OpenAskRow(ask_id, home, message, now.monotonic_s, ends_at_s)
    )
    _send_ask(world, home, message)
    start_timer(world, TimerKind.QUOTA, ask_id, now.monotonic_s + RESEND_S)
    return ask_id


def _send_ask(world: World, home: str, message: TokenRequest) -> None:
    vm = world.vms.get(home)
    if vm is not None:
        send(world, commands.BroadcastMessage((vm.message_address,), message))


@system(Phase.ACCOUNTING, DIRECT)
def send_token_requests(world: World, now: Instant) -> None:
    """Ask each home, in one message, for the tokens of all that was held this tick."""
    rows = world.held_requests.select("ask_id", "")
    for home in {row.home_vm_id: None for row in rows}:
        held = [row for row in rows if row.home_vm_id == home]
        n_tokens = Counter(row.account for row in held)
        wants = tuple(
            TokenWant(account, n, _n_ahead(world, account, now))
            for account, n in n_tokens.items()
        )
        held_at_s = min(row.held_at_s for row in held)
        ask_id = _ask(world, home, wants, now, held_at_s)
        for row in held:
            world.held_requests.replace(row._replace(ask_id=ask_id))


@ending_hooks("held_request")
def forget_held_request(
    world: World, row: RequestRow, _ending: Ending, _now: Instant
) -> None:
    """Forget a request that ended while it was held; its token remains as a loan."""
    world.held_requests.discard(row.request_id)


def _pop_held(world: World, ask_id: str) -> list[tuple[RequestRow, HeldRequestRow]]:
    """Remove and return the requests that wait for a reply, urgent ones first."""
    rows = []
    for held in world.held_requests.select("ask_id", ask_id):
        world.held_requests.remove(held.request_id)
        row = world.requests.get(held.request_id)
        if row is not None and row.state is RequestState.ADMITTED:
            rows.append((row, held))
    return sorted(rows, key=lambda pair: queue_order(pair[0]))


@message_handlers("token_reply")
def handle_token_reply(
    world: World, sender_vm_id: str, message: TokenReply, now: Instant
) -> None:
    """Queue held requests with the tokens that a home lent, and refuse the others.

    The lifetime of the tokens counts from when they were first asked for, which is
    before they were lent. Copies of a reply, and replies after the limit, are ignored.
    """
    ask = world.open_asks.get(message.ask_id)
    if ask is None or ask.home_vm_id != sender_vm_id:
        count(world, "quota_replies_dropped")
        return
    world.open_asks.remove(ask.ask_id)
    stop_timer(world, TimerKind.QUOTA, ask.ask_id)
    if all(
        loan.is_home or home_of(world, loan.account) != sender_vm_id
        for loan in message.loans
    ):
        record_home_reply(world, sender_vm_id)
    else:
        record_timeout(world, sender_vm_id, now)
    expires_at_s = ask.sent_at_s + LOAN_LIFETIME_S
    loans = {loan.account: loan for loan in message.loans}
    for loan in message.loans:
        if loan.n_tokens > 0 and expires_at_s > now.monotonic_s:
            row = _demand(world, loan.account, now)
            new = Loan(loan.n_tokens, expires_at_s)
            world.account_demands.put(row._replace(loans=(*row.loans, new)))
    age_s = now.monotonic_s - ask.sent_at_s
    for request, held in _pop_held(world, ask.ask_id):
        loan = loans[request.account]
        if _take_loan(world, request.account, now):
            count(world, "quota_admitted", "reason", "lent")
            advance_request(world, request, "queue", now)
        elif held.is_second or not _hold_for_former_home(
            world, request, loan, held.held_at_s
        ):
            reason = _describe_loan(sender_vm_id, loan, age_s)
            _refuse(world, request, reason, loan.retry_after_s, now)


def handle_ask_timer(world: World, ask_id: str, now: Instant) -> None:
    """Ask again, or decide what waits by this VM's own share after the limit."""
    ask = world.open_asks.get(ask_id)
    if ask is None:
        return
    if now.monotonic_s < ask.ends_at_s:
        _send_ask(world, ask.home_vm_id, ask.message)
        due_s = min(ask.ends_at_s, now.monotonic_s + RESEND_S)
        start_timer(world, TimerKind.QUOTA, ask_id, due_s)
        return
    world.open_asks.remove(ask_id)
    record_timeout(world, ask.home_vm_id, now)
    for request, _held in _pop_held(world, ask_id):
        account = _limited_account(world, request.account)
        if account is None or _take_loan(world, request.account, now):
            advance_request(world, request, "queue", now)
            continue
        decision = _decide_by_own_share(world, request, account, now)
        if decision is TokenDecision.ADMITTED:
            advance_request(world, request, "queue", now)


def forget_demands(world: World, now: Instant) -> None:
    """Forget accounts without recent requests."""
    while (row := world.account_demands.first("updated_at_s")) is not None:
        if now.monotonic_s - row.updated_at_s <= DEMAND_MEMORY_S:
            break
        world.account_demands.remove(row.account)


def needs_prompt_messages(world: World) -> bool:
    """Return whether messages must be read when they arrive, not at the next tick."""
    return has_limited_accounts(world)
