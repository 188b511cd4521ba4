"""Tests that selection leaves no healthy server without requests.

A server without recent successes must get requests even if other servers have some.
"""

import pytest

from burdockhitch.tests.direct_fakes import make_route, start_fleet

INTERVAL_S = 2.0
SEND_PERIOD_S = 0.04


@pytest.fixture(autouse=True)
def always_report_loads(monkeypatch):
    """Make VMs always report loads, and with them recent successes."""
    for module in ("reports", "zone_reports"):
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
    send_at_fixed_rate(fleet, 2 * INTERVAL_S)
    assert "7" in {attempt.server_id for attempt in fleet.issued_attempts}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "is_idempotent", [True, False], ids=["idempotent", "at most once"]
)
def test_most_healthy_servers_get_requests_in_each_interval(is_idempotent, seed):
    fleet = start_fleet(n_vms=8, n_servers=10, seed=seed)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    send_at_fixed_rate(fleet, 10.0)
    attempt_times_s = {attempt.at_s for attempt in fleet.issued_attempts}
    last_s = max(attempt_times_s)
    for start_s in attempt_times_s:
        if start_s > last_s - INTERVAL_S:
            continue
        used_server_ids = {
            attempt.server_id
            for attempt in fleet.issued_attempts
            if start_s <= attempt.at_s <= start_s + INTERVAL_S
        }
        # The settings require that seven in ten healthy servers get requests.
        assert len(used_server_ids) >= 7


# Fleets whose zones each have few of a service's servers, as (zones, servers, VMs).
SPARSE_FLEETS = [(5, 20, 20), (3, 9, 12)]
REQUESTS_PER_S = 100
# The servers fail in turn, each for FAILING_S of FAILING_PERIOD_S.
FAILING_S = 3.0
FAILING_PERIOD_S = 10.0
# A server counts as sound from this time after its last failure.
SOUND_AFTER_S = 2.0
RUN_S = 22.0


def fail_in_turn(fleet, elapsed_s):
    """Set which servers fail; return those that are sound throughout an interval."""
    n_servers = len(fleet.behaviour_by_server)
    sound_server_ids = set()
    for number, server_id in enumerate(fleet.behaviour_by_server):
        offset_s = number * FAILING_PERIOD_S / n_servers
        since_failing_s = (elapsed_s + offset_s) % FAILING_PERIOD_S
        is_failing = since_failing_s < FAILING_S
        fleet.behaviour_by_server[server_id] = "error" if is_failing else "ok"
        sound_until_s = FAILING_PERIOD_S - INTERVAL_S
        if FAILING_S + SOUND_AFTER_S <= since_failing_s <= sound_until_s:
            sound_server_ids.add(server_id)
    return sound_server_ids


def used_shares(fleet, sound_servers_by_s):
    """Return the share of the sound servers that get requests, by interval."""
    first_s, last_s = min(sound_servers_by_s), max(sound_servers_by_s)
    shares = []
    for start_s, sound_server_ids in sound_servers_by_s.items():
        if not first_s + FAILING_PERIOD_S <= start_s <= last_s - INTERVAL_S:
            continue
        used_server_ids = {
            attempt.server_id
            for attempt in fleet.issued_attempts
            if start_s <= attempt.at_s <= start_s + INTERVAL_S
        }
        shares.append(len(sound_server_ids & used_server_ids) / len(sound_server_ids))
    return shares


MIXED_ROUTES = (
    make_route(is_idempotent=False),
    make_route("safe", prefix="/a/safe/", is_idempotent=True),
)
# Of ten requests, the number that may run more than once.
N_IDEMPOTENT_OF_TEN = [0, 2]


@pytest.mark.parametrize("n_idempotent", N_IDEMPOTENT_OF_TEN)
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("n_zones", "n_servers", "n_vms"), SPARSE_FLEETS)
def test_recovered_servers_get_requests_in_zones_with_few_servers(
    n_zones, n_servers, n_vms, seed, n_idempotent
):
    zones = tuple(f"zone-{number}" for number in range(n_zones))
    fleet = start_fleet(n_vms=n_vms, n_servers=n_servers, zones=zones, seed=seed)
    fleet.configure(2, *MIXED_ROUTES)
    fleet.run(1.0)
    fleet.issued_attempts.clear()
    start_s = fleet.clock.elapsed_s
    sound_servers_by_s = {}
    for number in range(int(RUN_S * REQUESTS_PER_S)):
        now_s = fleet.clock.elapsed_s
        sound_servers_by_s[now_s] = fail_in_turn(fleet, now_s - start_s)
        path = "/a/safe/x" if number % 10 < n_idempotent else "/a/x"
        fleet.send(fleet.rng.choice(list(fleet.worlds)), path)
        fleet.run(1.0 / REQUESTS_PER_S)
    assert min(used_shares(fleet, sound_servers_by_s)) >= 0.7
