"""Bounds the memory of all request bodies that a VM holds."""

from collections.abc import Hashable

# Memory of the process without bodies and answers.
PROCESS_BYTES = 100_000_000
# A body and the copy of it that is being sent.
COPIES_PER_BODY = 2
# Bodies up to this size are always taken, so that a few large ones don't keep all
# others out.
SMALL_BODY_BYTES = 64 * 1024


class HeldBodies:
    """Bytes of the larger request bodies that are held or announced.

    Args:
        memory_bytes: Memory that the process may use.
    """

    def __init__(self, memory_bytes: float) -> None:
        self.limit_bytes = max(0.0, memory_bytes - PROCESS_BYTES) / COPIES_PER_BODY
        self._n_bytes_by_holder: dict[Hashable, int] = {}
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """Bytes held or announced."""
        return self._n_bytes

    def reserve(self, holder: Hashable, n_bytes: int) -> bool:
        """Reserve the memory of a body, unless that much is reserved, or refuse it.

        A body that is the only large one is taken, whatever its size: the limit of
        single bodies applies to it.

        Args:
            holder: Request that the body belongs to.
            n_bytes: Size of the body, as announced or as received so far.

        Returns:
            Whether there is room for it.
        """
        if n_bytes <= SMALL_BODY_BYTES:
            return True
        n_reserved = self._n_bytes_by_holder.get(holder, 0)
        if n_bytes <= n_reserved:
            return True
        n_others = self._n_bytes - n_reserved
        if n_others and n_others + n_bytes > self.limit_bytes:
            return False
        self._n_bytes_by_holder[holder] = n_bytes
        self._n_bytes = n_others + n_bytes
        return True

    def release(self, holder: Hashable) -> None:
        """Release what a holder had."""
        self._n_bytes -= self._n_bytes_by_holder.pop(holder, 0)
