"""Client accounts, and the digests of the keys by which callers belong to one."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from burdockhitch.tables.table import Table

# Two of 10**9 keys have the same digest with a probability of 10**-21.
DIGEST_BYTES = 16
# Keys are kept in buckets by the first bits of their digests. A row for each key
# took 65 MB for 84,000 accounts with 3 keys each; with so many, a bucket holds 62.
BUCKET_BITS = 12


class ClientAccountRow(NamedTuple):
    """A client account of the configuration.

    Attributes:
        account: Name of the account, which backend servers are told.
        key_digests: Digests of its keys, sorted, one after the other; see
            ``pack_digests``.
        priority: Priority of its requests, which takes precedence over that of their
            routes; None for none.
        rate_per_s: Requests a second that all VMs together accept; 0 for no limit.
        burst: Requests that they accept at once beyond the rate.
    """

    account: str
    key_digests: bytes
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class AccountKeysRow(NamedTuple):
    """The keys of client accounts whose digests begin with the same bits.

    Attributes:
        bucket: Number that the first ``BUCKET_BITS`` of the digests make.
        digests: Digests, one after the other.
        accounts: Name of the account of each digest, in the same order.
        has_shared: Whether two accounts have one of the keys.
    """

    bucket: int
    digests: bytes
    accounts: tuple[str, ...]
    has_shared: bool = False


def digest_key(key: bytes) -> str:
    """Return the digest by which a key is known; the key itself is kept nowhere."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


def pack_digests(digests: Iterable[str]) -> bytes:
    """Return digests as one value, sorted, each once.

    Args:
        digests: Results of ``digest_key``.
    """
    return b"".join(bytes.fromhex(digest) for digest in sorted(set(digests)))


def split_digests(digests: bytes) -> Iterator[bytes]:
    """Yield the digests that stand one after the other in a value."""
    for start in range(0, len(digests), DIGEST_BYTES):
        yield digests[start : start + DIGEST_BYTES]


def find_bucket(digest: bytes) -> int:
    """Return the number of the bucket of a digest."""
    return int.from_bytes(digest[:2]) >> (16 - BUCKET_BITS)


def make_client_accounts() -> Table[ClientAccountRow]:
    """Return an empty table of client accounts by name."""
    return Table(ClientAccountRow, key="account")


def make_account_keys() -> Table[AccountKeysRow]:
    """Return an empty table of keys by the first bits of their digests."""
    return Table(AccountKeysRow, key="bucket", indexes=("has_shared",))
