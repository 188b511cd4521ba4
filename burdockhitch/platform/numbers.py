"""Numbers in headers."""

import math
import re

# The number of digits is not limited: a quotient may be written with 17 or more.
DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def decode_decimal(text: str) -> float | None:
    """Return a decimal number without a sign or an exponent.

    Returns:
        The number; None if the text is not one, or too large for a float.
    """
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None
