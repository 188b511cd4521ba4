"""Measured load of the services, its daily profile, and windows in force."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class LoadRow(NamedTuple):
    """Requests of one service that callers sent to this VM.

    Attributes:
        service: Name of the service.
        n_arrived: Requests since the last measurement.
        requests_per_s: Smoothed rate.
    """

    service: str
    n_arrived: int
    requests_per_s: float


class ProfileRow(NamedTuple):
    """Load of the whole fleet in one quarter of an hour of the day.

    Attributes:
        key: ``(window_id, quarter of the day)``.
        window_id: Window whose service and time zone it is of.
        requests_per_s: Running mean over the days.
        n_days: Days that it was measured on.
        last_day: Ordinal of the last of them.
    """

    key: tuple[str, int]
    window_id: str
    requests_per_s: float
    n_days: int
    last_day: int


class WindowStateRow(NamedTuple):
    """Whether a window is in force, and why.

    Attributes:
        window_id: Window.
        is_in_force: Whether its floor holds now.
        cause: ``hours``, ``load`` or empty.
        low_since_s: Monotonic time since which the load is low, 0 when it is not.
    """

    window_id: str
    is_in_force: bool
    cause: str
    low_since_s: float


def make_loads() -> Table[LoadRow]:
    """Return an empty table of loads."""
    return Table(LoadRow, key="service")


def make_profiles() -> Table[ProfileRow]:
    """Return an empty table of daily profiles."""
    return Table(ProfileRow, key="key", indexes=("window_id",))


def make_window_states() -> Table[WindowStateRow]:
    """Return an empty table of window states."""
    return Table(WindowStateRow, key="window_id")
