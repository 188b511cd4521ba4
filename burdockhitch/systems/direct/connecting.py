"""Records which attempts wait for a connection, so that nothing was sent for them."""

from burdockhitch.world import World


def record_connecting(world: World, attempt_id: int) -> None:
    """Record that an attempt waits for a new connection; no effect if it ended."""
    _replace_is_connecting(world, attempt_id, True)


def record_connected(world: World, attempt_id: int) -> None:
    """Record that bytes of an attempt may leave; to be called before the first does."""
    _replace_is_connecting(world, attempt_id, False)


def _replace_is_connecting(world: World, attempt_id: int, is_connecting: bool) -> None:
    row = world.attempts.get(attempt_id)
    if row is not None:
        world.attempts.replace(row._replace(is_connecting=is_connecting))
