"""Tests that selection leaves no healthy server without requests.

A server without recent successes must get requests even where others have some.
"""

import pytest

from burdockhitch.tests.direct_fakes import make_route, start_fleet

WINDOW_S = 2.0
SEND_PERIOD_S = 0.04


@pytest.fixture(autouse=True)
def report_loads_always(monkeypatch):
    """Make VMs always report loads, and with them recent successes."""
    for module in ("reports", "zone_loads"):
        name = f"burdockhitch.systems.direct.{module}.is_any_service_busy"
        monkeypatch.setattr(name, lambda _world: True)


def send_at_fixed_rate(fleet, duration_s):
    fleet.issued_attempts.clear()
    for number in range(int(duration_s / SEND_PERIOD_S)):
        fleet.send(f"vm-{number % 8}")
        fleet.run(SEND_PERIOD_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "is_idempotent", [True, False], ids=["idempotent", "at most once"]
)
def test_a_new_server_gets_requests_beside_servers_with_recent_successes(
    is_idempotent, seed
):
    fleet = start_fleet(n_vms=8, n_servers=6, seed=seed)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    send_at_fixed_rate(fleet, 4.0)
    fleet.add_server("7")
    fleet.run(1.0)
    send_at_fixed_rate(fleet, 2 * WINDOW_S)
    assert "7" in {attempt.server_id for attempt in fleet.issued_attempts}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "is_idempotent", [True, False], ids=["idempotent", "at most once"]
)
def test_most_healthy_servers_get_requests_in_each_window(is_idempotent, seed):
    fleet = start_fleet(n_vms=8, n_servers=10, seed=seed)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    send_at_fixed_rate(fleet, 10.0)
    starts_s = {attempt.at_s for attempt in fleet.issued_attempts}
    last_s = max(starts_s)
    for start_s in starts_s:
        if start_s > last_s - WINDOW_S:
            continue
        used_server_ids = {
            attempt.server_id
            for attempt in fleet.issued_attempts
            if start_s <= attempt.at_s <= start_s + WINDOW_S
        }
        # The settings require that seven in ten healthy servers get requests.
        assert len(used_server_ids) >= 7
