"""Request rates of the services, their daily profiles, and windows in force."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ArrivalRateRow(NamedTuple):
    """Rate at which callers send requests of one service to this VM.

    Attributes:
        service: Name of the service.
        n_arrived: Requests since the last measurement.
        requests_per_s: Exponentially smoothed rate, as of that measurement.
    """

    service: str
    n_arrived: int
    requests_per_s: float


class LoadProfileRow(NamedTuple):
    """Mean request rate of the whole fleet in one quarter hour of the day.

    Attributes:
        key: ``(window_id, number of the quarter hour from midnight)``.
        window_id: Window that determines the service and the time zone.
        requests_per_s: Moving average over the days.
        n_days: Days with a measurement in this quarter hour.
        last_measured_day: Proleptic Gregorian ordinal, in UTC, of the last such day.
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
        cause: ``hours`` or ``load``; empty when it is not in force.
        load_low_since_s: Monotonic time since which the load has been low enough to
            end the window, 0 when it is higher.
    """

    window_id: str
    is_in_force: bool
    cause: str
    load_low_since_s: float


def make_arrival_rates() -> Table[ArrivalRateRow]:
    """Return an empty table of request rates by service."""
    return Table(ArrivalRateRow, key="service")


def make_load_profiles() -> Table[LoadProfileRow]:
    """Return an empty table of daily load profiles."""
    return Table(LoadProfileRow, key="key", indexes=("window_id",))


def make_window_states() -> Table[WindowStateRow]:
    """Return an empty table of window states."""
    return Table(WindowStateRow, key="window_id")
