"""Every sound server gets work, also where others are proven and it is not."""

import pytest

from burdockhitch.tests.direct_fakes import make_route, start_fleet

WINDOW_S = 2.0
PERIOD_S = 0.04


@pytest.fixture(autouse=True)
def all_busy(monkeypatch):
    """Let loads, and good answers with them, be told always."""
    for module in ("reports", "zone_loads"):
        name = f"burdockhitch.systems.direct.{module}.is_any_busy"
        monkeypatch.setattr(name, lambda _world: True)


def send_steadily(fleet, duration_s):
    fleet.arrivals.clear()
    for number in range(int(duration_s / PERIOD_S)):
        fleet.send(f"vm-{number % 8}")
        fleet.run(PERIOD_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_idempotent", [True, False], ids=["safe", "once"])
def test_a_joining_server_gets_work_beside_proven_ones(is_idempotent, seed):
    fleet = start_fleet(n_vms=8, n_servers=6, seed=seed)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    send_steadily(fleet, 4.0)
    fleet.add_server("7")
    fleet.run(1.0)
    send_steadily(fleet, 2 * WINDOW_S)
    assert "7" in {arrival.server_id for arrival in fleet.arrivals}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_idempotent", [True, False], ids=["safe", "once"])
def test_most_servers_get_work_in_any_window(is_idempotent, seed):
    fleet = start_fleet(n_vms=8, n_servers=10, seed=seed)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    send_steadily(fleet, 10.0)
    starts_s = {arrival.at_s for arrival in fleet.arrivals}
    last_s = max(starts_s)
    for start_s in starts_s:
        if start_s > last_s - WINDOW_S:
            continue
        used = {
            arrival.server_id
            for arrival in fleet.arrivals
            if start_s <= arrival.at_s <= start_s + WINDOW_S
        }
        # The share of sound servers that have to get work, by the settings.
        assert len(used) >= 7
