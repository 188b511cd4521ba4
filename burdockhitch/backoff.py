"""Delays that double at each consecutive failure, up to a limit."""

# The power of two of a larger exponent exceeds the range of a float.
DOUBLINGS_MAX = 60


def doubled_delay_s(initial_s: float, n_doublings: int, max_s: float) -> float:
    """Return a delay after a number of doublings.

    Args:
        initial_s: Delay before the first doubling.
        n_doublings: Number of doublings; it may grow without limit, as failures do
            while a server or the platform is away.
        max_s: Limit of the delay.
    """
    return min(max_s, initial_s * 2.0 ** min(n_doublings, DOUBLINGS_MAX))
