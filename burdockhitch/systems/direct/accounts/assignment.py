"""Decides which client account a request belongs to, at the rate of all requests.

Requests without a usable key are refused before they take anything of a backend server.
"""

from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.errors import AccountUnknownError, ConfigurationOutdatedError
from burdockhitch.messages import Refusal, RequestMessage
from burdockhitch.systems.direct.accounts.freshness import (
    is_catching_up,
    may_be_outdated,
)
from burdockhitch.systems.direct.accounts.keys import find_account
from burdockhitch.systems.endings import make_refusal
from burdockhitch.tables.client_accounts import ClientAccountRow
from burdockhitch.world import World

# Time after which a caller may return to a VM that doesn't know its key for sure: an
# announcement of the zone's reader and a copy take less on average.
RETRY_AFTER_S = 0.5


class Assignment(NamedTuple):
    """Which account a request belongs to.

    Attributes:
        account: The account; None for none, on public routes and without accounts.
        refusal: Why the request can't be accepted; None if it can.
    """

    account: ClientAccountRow | None = None
    refusal: Refusal | None = None


def has_accounts(world: World) -> bool:
    """Return whether the configuration in force has client accounts."""
    return any(document.has_accounts for document in world.configurations)


def _refuse(world: World, key_digest: str, now: Instant) -> Assignment:
    if not key_digest:
        detail = "the request carries no usable key of a client account"
        return Assignment(refusal=make_refusal(AccountUnknownError, detail))
    if may_be_outdated(world, now):
        detail = "the key is unknown here, but this VM may lack a newer configuration"
        refusal = make_refusal(ConfigurationOutdatedError, detail, RETRY_AFTER_S)
        return Assignment(refusal=refusal)
    detail = "the key of the request belongs to no client account"
    return Assignment(refusal=make_refusal(AccountUnknownError, detail))


def assign_account(
    world: World, key_digest: str, is_key_needed: bool, now: Instant
) -> Assignment:
    """Return the account of a request by the configuration in force.

    Args:
        world: Tables of this VM.
        key_digest: Digest of the key that the request carries; empty without one.
        is_key_needed: Whether the request can't do without an account.
        now: Current time.
    """
    if not has_accounts(world):
        return Assignment()
    account = find_account(world, key_digest)
    if account is not None and is_catching_up(world, now):
        if not is_key_needed:
            return Assignment()
        detail = "this VM has just started and may lack a newer configuration"
        refusal = make_refusal(ConfigurationOutdatedError, detail, RETRY_AFTER_S)
        return Assignment(refusal=refusal)
    if account is not None or not is_key_needed:
        return Assignment(account)
    return _refuse(world, key_digest, now)


def assign_priority(route_priority: int, account: ClientAccountRow | None) -> int:
    """Return the priority of a request; that of its account takes precedence."""
    if account is None or account.priority is None:
        return route_priority
    return account.priority


def prepare_message(
    message: RequestMessage,
    account_headers: tuple[str, ...],
    account: ClientAccountRow | None,
) -> RequestMessage:
    """Return a request as it is passed on with accounts: with the name of its account.

    Args:
        message: The caller's request.
        account_headers: Names of its headers that hold a key or an account, which are
            left out.
        account: Its account, None for none.
    """
    headers = message.headers
    if account_headers:
        headers = tuple(pair for pair in headers if pair[0] not in account_headers)
    return message._replace(headers=headers, account=account.account if account else "")
