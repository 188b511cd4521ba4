import pytest

from burdockhitch.systems.windows import (
    END_DELAY_S,
    WindowInput,
    suggest_hours,
    update_profile,
    window_policies,
)
from burdockhitch.tables.loads import WindowStateRow
from burdockhitch.tables.routes import WindowRow
from burdockhitch.tests.fakes import FakeFleet

# From 17:30 to 21:00, with a floor of 96 slots, put in force by 60 requests a second.
WINDOW = WindowRow("w", "s", 1050, 1260, "Europe/Stockholm", 96, 60.0, "Karin", 7)
INACTIVE = WindowStateRow("w", False, "", 0.0)
BY_LOAD = WindowStateRow("w", True, "load", 0.0)
BY_HOURS = WindowStateRow("w", True, "hours", 0.0)
# In force by load, which has been too low since 100 s.
ENDING = BY_LOAD._replace(load_low_since_s=100.0)


@pytest.mark.parametrize(
    ("policy", "state", "load", "is_within", "is_absent", "now_s", "expected"),
    [
        ("hours", INACTIVE, 90.0, False, False, 100.0, INACTIVE),
        ("hours", INACTIVE, 0.0, True, True, 100.0, BY_HOURS),
        ("hours_or_load", INACTIVE, 90.0, False, False, 100.0, BY_LOAD),
        ("hours_or_load", INACTIVE, 0.0, True, False, 100.0, BY_HOURS),
        ("hours_or_load", INACTIVE, 0.0, True, True, 100.0, INACTIVE),
        ("hours_or_load", INACTIVE, 59.0, False, False, 100.0, INACTIVE),
        ("hours_or_load", BY_LOAD, 55.0, False, False, 100.0, BY_LOAD),
        ("hours_or_load", BY_LOAD, 20.0, False, False, 100.0, ENDING),
        ("hours_or_load", ENDING, 20.0, False, False, 100.0 + END_DELAY_S / 2, ENDING),
        ("hours_or_load", ENDING, 20.0, False, False, 100.0 + END_DELAY_S, INACTIVE),
        ("hours_or_load", ENDING, 55.0, False, False, 200.0, BY_LOAD),
        ("hours_or_load", BY_HOURS, 55.0, False, False, 100.0, BY_HOURS),
        ("hours_or_load", BY_HOURS, 20.0, False, False, 100.0, INACTIVE),
    ],
)
def test_policy_decides_by_hours_and_load(
    policy, state, load, is_within, is_absent, now_s, expected
):
    window_input = WindowInput(load, is_within, is_absent, now_s)
    assert window_policies[policy](WINDOW, state, window_input) == expected


@pytest.mark.parametrize(
    ("busy_quarters", "hours", "drift"),
    [
        (range(80, 92), "20:00-23:00", 150),
        (range(70, 84), "17:30-21:00", 0),
        ((), "", 0),
    ],
)
def test_suggested_hours_show_drift_and_requester(busy_quarters, hours, drift):
    world = FakeFleet().add_vm("a1", "a")
    for day in range(1, 6):
        for quarter in range(96):
            load = 80.0 if quarter in busy_quarters else 10.0
            update_profile(world, WINDOW, quarter, load, day)
    assert suggest_hours(world, WINDOW) == ("w", hours, drift, "Karin", 7)
