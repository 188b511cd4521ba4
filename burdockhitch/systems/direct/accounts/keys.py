"""Finds the account of a key among those of tens of thousands of accounts.

A change of few accounts costs little, whatever their number. Two accounts that have
the same key both stay listed with it, so that it belongs to one of them again when the
other gives it up; until then it belongs to neither.
"""

from collections.abc import Iterable

from burdockhitch.tables.client_accounts import (
    DIGEST_BYTES,
    AccountKeysRow,
    ClientAccountRow,
    find_bucket,
    split_digests,
)
from burdockhitch.tables.registry_views import ConfigurationDocument
from burdockhitch.world import World, log_event

# Accounts and digests that the log line about shared keys names.
LOGGED_ACCOUNTS_MAX = 10

# Digest and name of the account that has the key.
KeyEntry = tuple[bytes, str]


def _find_holders(row: AccountKeysRow, digest: bytes) -> list[str]:
    """Return the names of the accounts that have a key."""
    holders = []
    start = row.digests.find(digest)
    while start >= 0:
        # The bytes may also occur across two neighbouring digests.
        number, offset = divmod(start, DIGEST_BYTES)
        if not offset:
            holders.append(row.accounts[number])
        start = row.digests.find(digest, start + 1)
    return holders


def find_account(world: World, key_digest: str) -> ClientAccountRow | None:
    """Return the account of a key, or None if no account or more than one has it.

    Args:
        world: Tables of this VM.
        key_digest: Digest of the key; empty for no usable key.
    """
    digest = bytes.fromhex(key_digest)
    row = world.account_keys.get(find_bucket(digest)) if digest else None
    holders = _find_holders(row, digest) if row is not None else []
    return world.client_accounts.get(holders[0]) if len(holders) == 1 else None


def _entries_by_bucket(
    accounts: Iterable[ClientAccountRow],
) -> dict[int, set[KeyEntry]]:
    entries: dict[int, set[KeyEntry]] = {}
    for row in accounts:
        for digest in split_digests(row.key_digests):
            entries.setdefault(find_bucket(digest), set()).add((digest, row.account))
    return entries


def _replace_keys(
    world: World,
    removed: Iterable[ClientAccountRow],
    added: Iterable[ClientAccountRow],
) -> None:
    removed_entries = _entries_by_bucket(removed)
    added_entries = _entries_by_bucket(added)
    for bucket in removed_entries.keys() | added_entries.keys():
        held = world.account_keys.get(bucket) or AccountKeysRow(bucket, b"", ())
        entries = set(zip(split_digests(held.digests), held.accounts, strict=True))
        entries -= removed_entries.get(bucket, set())
        entries |= added_entries.get(bucket, set())
        ordered = sorted(entries)
        digests = [digest for digest, _account in ordered]
        if not ordered:
            world.account_keys.discard(bucket)
            continue
        world.account_keys.put(
            AccountKeysRow(
                bucket,
                b"".join(digests),
                tuple(account for _digest, account in ordered),
                len(set(digests)) < len(digests),
            )
        )


def _compare_accounts(
    world: World, accounts: tuple[ClientAccountRow, ...]
) -> tuple[str, ...]:
    """Return which accounts were added, changed or removed."""
    held = world.client_accounts
    changed = {row.account for row in accounts if held.get(row.account) != row}
    if len(held) or changed:
        names = {row.account for row in accounts}
        changed |= {row.account for row in held if row.account not in names}
    return tuple(sorted(changed))


def apply_accounts(
    world: World,
    document: ConfigurationDocument,
    changed: tuple[str, ...] | None = None,
) -> tuple[str, ...]:
    """Bring the tables of accounts and keys to a configuration.

    Args:
        world: Tables of this VM.
        document: Configuration with all its accounts.
        changed: Accounts that may differ from those held; None if not known.

    Returns:
        The accounts that may differ.
    """
    if changed is None:
        changed = _compare_accounts(world, document.accounts)
    names = frozenset(changed)
    rows = document.accounts if names else ()
    added = {row.account: row for row in rows if row.account in names}
    removed = [
        row
        for name in changed
        for row in [world.client_accounts.get(name)]
        if row is not None
    ]
    _replace_keys(world, removed, added.values())
    for row in removed:
        world.client_accounts.remove(row.account)
    for row in added.values():
        world.client_accounts.insert(row)
    return changed


def log_shared_keys(world: World, version: int) -> None:
    """Log which accounts have a key of another account, once for a configuration."""
    rows = world.account_keys.select("has_shared", True)
    if not rows:
        return
    accounts = set()
    digests = set()
    for row in rows:
        for digest in split_digests(row.digests):
            holders = _find_holders(row, digest)
            if len(holders) > 1:
                digests.add(digest)
                accounts |= set(holders)
    log_event(
        world,
        "ERROR",
        "account_keys_shared",
        configuration=version,
        n_keys=len(digests),
        accounts=sorted(accounts)[:LOGGED_ACCOUNTS_MAX],
    )
