"""Tests that delays stay finite however many failures precede them."""

import pytest

from burdockhitch import events
from burdockhitch.backoff import doubled_delay_s
from burdockhitch.errors import PlatformUnavailableError
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_fakes import start_fleet

# Beyond the exponent at which a power of two exceeds a float.
N_FAILURES = 1100


@pytest.mark.parametrize(
    ("n_doublings", "delay_s"),
    [(0, 0.5), (1, 1.0), (3, 4.0), (1024, 4.0), (10**9, 4.0)],
)
def test_a_delay_doubles_up_to_its_limit(n_doublings, delay_s):
    assert doubled_delay_s(0.5, n_doublings, 4.0) == delay_s


# Requests that met a server after 1,024 failed connections were never answered.
def test_requests_are_answered_after_any_number_of_failed_connections():
    fleet = start_fleet(n_vms=1, n_servers=1)
    fleet.behaviour_by_server["1"] = "unreachable"
    world = fleet.worlds["vm-0"]
    estimate = world.server_estimates.fetch("1")
    world.server_estimates.replace(estimate._replace(n_connect_failures=N_FAILURES))
    connections = [fleet.send("vm-0") for _ in range(20)]
    fleet.run(3.0)
    assert {fleet.status(connection) for connection in connections} == {
        "NoBackendServer"
    }


# After as many failed reads a VM would never have read the registry again.
@pytest.mark.parametrize("part", [RegistryPart.CONFIGURATION, RegistryPart.SERVERS])
def test_the_registry_is_read_again_after_any_number_of_failed_reads(part):
    fleet = start_fleet(n_vms=1)
    world = fleet.worlds["vm-0"]
    view = world.registry_views.fetch(part)
    world.registry_views.replace(view._replace(n_failures=N_FAILURES))
    operation_id = view.operation_id
    fleet.post("vm-0", events.RegistryRead(operation_id, PlatformUnavailableError))
    fleet.add_server("1", is_draining=True)
    fleet.configure(7)
    fleet.run(3.0)
    assert world.registry_views.fetch(part).n_failures == 0
    assert world.backend_servers.fetch("1").is_draining
