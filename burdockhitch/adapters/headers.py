"""Names of HTTP headers and which of them are passed on."""

from collections.abc import Iterable

IDEMPOTENCY_KEY = "idempotency-key"
CALLER_ACCOUNT = "caller-account"
REQUEST_TIMEOUT = "request-timeout"
REQUEST_ID = "request-id"
OUTCOME = "burdockhitch-outcome"
REVISION = "burdockhitch-revision"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

HeaderPairs = tuple[tuple[str, str], ...]


def decode_pairs(raw: Iterable[tuple[bytes, bytes]]) -> HeaderPairs:
    """Return all headers with their names in lower case."""
    return tuple(
        (name.decode("ascii").lower(), value.decode("latin-1")) for name, value in raw
    )


def decode_headers(raw: Iterable[tuple[bytes, list[bytes]]]) -> HeaderPairs:
    """Return the end-to-end headers in lower case."""
    return drop_hop_by_hop(
        decode_pairs((name, value) for name, values in raw for value in values)
    )


def drop_hop_by_hop(pairs: HeaderPairs) -> HeaderPairs:
    """Return the end-to-end headers.

    Headers that ``Connection`` names are hop-by-hop too (RFC 9110, 7.6.1).
    """
    named = {
        token.strip().lower()
        for name, value in pairs
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in pairs if pair[0] not in dropped)


def find_header(headers: HeaderPairs, name: str) -> str:
    """Return the first value of a header, empty if there is none."""
    return next((value for key, value in headers if key == name), "")
