"""Request rates of the services, their daily profiles, and windows in force.

A window is a daily period in which a service has another floor, the minimum of healthy
slots. A high load can put it in force at other times too.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ArrivalRateRow(NamedTuple):
    """Rate at which callers send requests of one service to this VM.

    Attributes:
        service: Name of the service.
        n_arrived: Requests that arrived since the last measurement.
        requests_per_s: Exponentially smoothed rate, as of the last measurement.
    """

    service: str
    n_arrived: int
    requests_per_s: float


class LoadProfileRow(NamedTuple):
    """Mean request rate over the whole fleet in one quarter hour of the day.

    Attributes:
        key: ``(window_id, quarter hour)``; the quarter hours count from 0 at midnight
            in the time zone of the window.
        window_id: Window that determines the service and the time zone.
        requests_per_s: Moving average over the days, of one measurement a day.
        n_days: Days with a measurement in this quarter hour.
        last_measured_day: Last such day in UTC, as a proleptic Gregorian ordinal.
    """

    key: tuple[str, int]
    window_id: str
    requests_per_s: float
    n_days: int
    last_measured_day: int


class WindowStateRow(NamedTuple):
    """Whether a window is in force, and why.

    Attributes:
        window_id: Window.
        is_in_force: Whether its floor applies now.
        cause: Why it is in force, ``hours`` or ``load``; empty if it is not.
        load_low_since_s: Monotonic time since which the load has been low enough to
            end a window that is in force by load; 0 if the load is higher.
    """

    window_id: str
    is_in_force: bool
    cause: str
    load_low_since_s: float


def make_arrival_rates() -> Table[ArrivalRateRow]:
    """Return an empty table of request rates by service."""
    return Table(ArrivalRateRow, key="service")


def make_load_profiles() -> Table[LoadProfileRow]:
    """Return an empty table of load profiles by window and quarter hour."""
    return Table(LoadProfileRow, key="key", indexes=("window_id",))


def make_window_states() -> Table[WindowStateRow]:
    """Return an empty table of window states."""
    return Table(WindowStateRow, key="window_id")
