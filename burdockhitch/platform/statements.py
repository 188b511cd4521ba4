"""What backend servers state about themselves in the headers of their answers."""

from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import log
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.adapters.headers import HeaderPairs
from burdockhitch.errors import DocumentError
from burdockhitch.platform import names
from burdockhitch.platform.numbers import decode_decimal

STATUS_UNAVAILABLE = 503
# Larger numbers count as malformed.
NUMBER_END = 1e9
DETAIL_MAX_CHARACTERS = 80


class Statement(NamedTuple):
    """What an answer states about its server.

    Attributes:
        limit_per_s: Requests a second that it accepts from all VMs together; None if
            it states no limit.
        has_limit_header: Whether the header is there, also with a malformed value.
        is_leaving: Whether the server is about to end.
        rest_s: Time for which it wants no more requests of this VM; 0 for none.
    """

    limit_per_s: float | None
    has_limit_header: bool
    is_leaving: bool
    rest_s: float


def _decode_numbers(headers: HeaderPairs, header: str) -> list[float]:
    """Return the values of a header that holds a decimal number.

    Raises:
        DocumentError: If a value is not a decimal number below ``NUMBER_END``.
    """
    numbers = []
    for text in [value for name, value in headers if name == header]:
        number = decode_decimal(text)
        if number is None or number >= NUMBER_END:
            raise DocumentError(header, text[:DETAIL_MAX_CHARACTERS])
        numbers.append(number)
    return numbers


def _decode_limit(answer: HttpAnswer) -> float | None:
    """Return the lowest limit that an answer names."""
    return min(_decode_numbers(answer.headers, names.SERVER_LIMIT), default=None)


def _decode_rest(answer: HttpAnswer) -> float | None:
    """Return the longest pause that a refusal asks for."""
    if answer.status != STATUS_UNAVAILABLE:
        return None
    return max(_decode_numbers(answer.headers, names.RETRY_AFTER), default=None)


def _decode_or_log(
    decode: Callable[[HttpAnswer], float | None], answer: HttpAnswer, server_id: str
) -> float | None:
    """Return a decoded number; None, and a line in the log, if it is malformed."""
    try:
        return decode(answer)
    except DocumentError as error:
        fields = {"server": server_id, "error": str(error)}
        log.write_event("WARNING", "statement_rejected", fields)
        return None


def decode_statement(answer: HttpAnswer, server_id: str) -> Statement:
    """Return what an answer states; a malformed value counts as not stated."""
    return Statement(
        limit_per_s=_decode_or_log(_decode_limit, answer, server_id),
        has_limit_header=any(name == names.SERVER_LIMIT for name, _ in answer.headers),
        is_leaving=(names.SERVER_LEAVING, names.SERVER_LEAVING_SET) in answer.headers,
        rest_s=_decode_or_log(_decode_rest, answer, server_id) or 0.0,
    )
