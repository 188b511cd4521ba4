"""HTTP header names, and decoding and filtering of headers."""

from collections.abc import Iterable

IDEMPOTENCY_KEY = "idempotency-key"
CALLER_ACCOUNT = "caller-account"
REQUEST_TIMEOUT = "request-timeout"
REQUEST_ID = "request-id"
OUTCOME = "burdockhitch-outcome"
REVISION = "burdockhitch-revision"

# Hop-by-hop headers; also Content-Length and Host, which are set anew for each hop.
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


def decode_all_headers(raw: Iterable[tuple[bytes, bytes]]) -> HeaderPairs:
    """Decode all headers; names become lower case."""
    return tuple(
        (name.decode("ascii").lower(), value.decode("latin-1")) for name, value in raw
    )


def decode_end_to_end_headers(raw: Iterable[tuple[bytes, list[bytes]]]) -> HeaderPairs:
    """Decode headers without the hop-by-hop ones; names become lower case."""
    return drop_hop_by_hop(
        decode_all_headers((name, value) for name, values in raw for value in values)
    )


def drop_hop_by_hop(pairs: HeaderPairs) -> HeaderPairs:
    """Return the headers without the hop-by-hop ones.

    Headers that ``Connection`` names are hop-by-hop too (RFC 9110, 7.6.1).
    """
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name == "connection"
        for option in value.split(",")
    }
    excluded = HOP_BY_HOP | connection_options
    return tuple(pair for pair in pairs if pair[0] not in excluded)


def find_header(headers: HeaderPairs, name: str) -> str:
    """Return the first value of a header, or an empty string."""
    return next((value for key, value in headers if key == name), "")
