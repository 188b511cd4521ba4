"""Quotas of client accounts: who counts whose share, tokens, and requests that wait.

All of it concerns accounts with recent requests only, apart from what is known of the
fleet as a whole.
"""

from typing import Any, NamedTuple

from burdockhitch.tables.table import Table


class ShareCession(NamedTuple):
    """To which homes a VM leaves its share of the quotas.

    It leaves its share of an account to the VM that was the account's home in each of
    its views of the last few seconds, and to no VM if that was not the same one.

    Attributes:
        stable_digest: Digest of the VMs that were ready in all these views.
        changed_vm_ids: VMs that were ready in some of them only.
        withheld_home_ids: Homes to which it leaves nothing, since they don't reply to
            it.
    """

    stable_digest: int
    changed_vm_ids: tuple[str, ...] = ()
    withheld_home_ids: tuple[str, ...] = ()


class QuotaStateRow(NamedTuple):
    """What this VM knows of quotas as a whole.

    Attributes:
        vm_id: This VM.
        is_active: Whether any client account is limited.
        accounts_key: Version of the configuration and number of accounts from which
            ``is_active`` was found.
        refresh_due_s: Monotonic time at which the next refresh is due.
        trusted_from_s: Monotonic time from which messages are known to be recent: of
            the start, or soon after this process last stood still.
        listed_vm_ids: VMs of the registry's last list.
        n_vms: Number of VMs among which a limit is divided; 0 while unknown.
    """

    vm_id: str
    is_active: bool = False
    accounts_key: tuple[int, int] = (0, -1)
    refresh_due_s: float = 0.0
    trusted_from_s: float = 0.0
    listed_vm_ids: tuple[str, ...] = ()
    n_vms: int = 0


class FleetViewRow(NamedTuple):
    """The ready VMs, as this VM knew them for a time.

    Attributes:
        sequence: Position in the order of views.
        vm_ids: IDs of the ready VMs, sorted.
        since_s: Monotonic time from which they were in force.
        until_s: Monotonic time at which the next view replaced them; infinite for the
            current one.
    """

    sequence: int
    vm_ids: tuple[str, ...]
    since_s: float
    until_s: float


class CededShareRow(NamedTuple):
    """Shares that other VMs leave to their homes, which may be this VM.

    Attributes:
        source: VM of this zone, or another zone and the number of a group of its VMs.
        zone: Zone of the VMs.
        cession: To which homes they leave their shares.
        n_vms: Number of the VMs.
        sent_at_s: Monotonic time at which the oldest of their messages was sent, by
            what is known of its age.
    """

    source: str
    zone: str
    cession: ShareCession
    n_vms: int
    sent_at_s: float


class QuotaBucketRow(NamedTuple):
    """The token bucket of an account at its home.

    Attributes:
        account: Name of the account.
        n_tokens: Tokens in it at ``updated_at_s``.
        fraction: Part of the fleet whose shares fill it.
        updated_at_s: Monotonic time of the last update.
        used_at_s: Monotonic time of the last request for tokens.
        promised_until_s: Monotonic time of the last token that a refused request was
            told to return for.
    """

    account: str
    n_tokens: float
    fraction: float
    updated_at_s: float
    used_at_s: float
    promised_until_s: float = 0.0


class AnsweredAskRow(NamedTuple):
    """A message about tokens that was handled, so that a copy of it changes nothing.

    Attributes:
        ask_id: Identity of the message.
        reply: What was replied; None for a message without reply.
        expires_at_s: Monotonic time at which this row is removed.
    """

    ask_id: str
    reply: Any
    expires_at_s: float


class Loan(NamedTuple):
    """Tokens that a home lent.

    Attributes:
        n_tokens: Tokens that are left.
        expires_at_s: Monotonic time at which they become void.
    """

    n_tokens: int
    expires_at_s: float


class AccountDemandRow(NamedTuple):
    """What this VM's callers of a limited account need, and the tokens it was lent.

    Attributes:
        account: Name of the account.
        n_recent: Requests so far, each with a weight that decays with its age.
        updated_at_s: Monotonic time of the last request.
        loans: Tokens that are not used yet.
    """

    account: str
    n_recent: float
    updated_at_s: float
    loans: tuple[Loan, ...] = ()


class HeldRequestRow(NamedTuple):
    """A request that waits for a token of its account's home.

    Attributes:
        request_id: Request, in state ``ADMITTED``.
        account: Its account.
        home_vm_id: Home that is asked.
        held_at_s: Monotonic time from which it waits.
        is_second: Whether the former home is asked, after the present one.
        ask_id: Message that asks for its token; empty until it is sent.
    """

    request_id: str
    account: str
    home_vm_id: str
    held_at_s: float
    is_second: bool = False
    ask_id: str = ""


class OpenAskRow(NamedTuple):
    """A message that asked a home for tokens and has no reply yet.

    Attributes:
        ask_id: Identity of the message.
        home_vm_id: Home that was asked.
        message: The message, to send it again.
        sent_at_s: Monotonic time at which it was first sent.
        ends_at_s: Monotonic time at which requests wait for its reply no longer.
    """

    ask_id: str
    home_vm_id: str
    message: Any
    sent_at_s: float
    ends_at_s: float


class SilentHomeRow(NamedTuple):
    """A home that did not reply, or not as a home.

    Attributes:
        vm_id: The home.
        n_unanswered: Requests for tokens without reply since the last reply.
        updated_at_s: Monotonic time of the last of them.
        withheld_since_s: Monotonic time from which this VM has told others that it
            doesn't leave its share to this home; 0 while it does.
        probed_at_s: Monotonic time at which it was last asked without a request that
            waits.
    """

    vm_id: str
    n_unanswered: int
    updated_at_s: float
    withheld_since_s: float = 0.0
    probed_at_s: float = 0.0


class OwnShareRow(NamedTuple):
    """This VM's own share of an account whose home doesn't reply.

    Attributes:
        account: Name of the account.
        n_tokens: Tokens at ``updated_at_s``; mostly a fraction of one.
        updated_at_s: Monotonic time of the last update.
    """

    account: str
    n_tokens: float
    updated_at_s: float


def make_quota_states() -> Table[QuotaStateRow]:
    """Return an empty table for what is known of quotas as a whole."""
    return Table(QuotaStateRow, key="vm_id")


def make_fleet_views() -> Table[FleetViewRow]:
    """Return an empty table of this VM's last views of the ready VMs."""
    return Table(FleetViewRow, key="sequence")


def make_ceded_shares() -> Table[CededShareRow]:
    """Return an empty table of shares that other VMs leave to homes."""
    return Table(CededShareRow, key="source", indexes=("zone",))


def make_quota_buckets() -> Table[QuotaBucketRow]:
    """Return an empty table of token buckets by account."""
    return Table(QuotaBucketRow, key="account")


def make_answered_asks() -> Table[AnsweredAskRow]:
    """Return an empty table of handled messages about tokens."""
    return Table(AnsweredAskRow, key="ask_id", sorted_fields=("expires_at_s",))


def make_account_demands() -> Table[AccountDemandRow]:
    """Return an empty table of demands and loans by account."""
    return Table(AccountDemandRow, key="account", sorted_fields=("updated_at_s",))


def make_held_requests() -> Table[HeldRequestRow]:
    """Return an empty table of requests that wait for a token."""
    return Table(HeldRequestRow, key="request_id", indexes=("ask_id",))


def make_open_asks() -> Table[OpenAskRow]:
    """Return an empty table of messages without reply."""
    return Table(OpenAskRow, key="ask_id")


def make_silent_homes() -> Table[SilentHomeRow]:
    """Return an empty table of homes that did not reply."""
    return Table(SilentHomeRow, key="vm_id")


def make_own_shares() -> Table[OwnShareRow]:
    """Return an empty table of own shares by account."""
    return Table(OwnShareRow, key="account", sorted_fields=("updated_at_s",))
