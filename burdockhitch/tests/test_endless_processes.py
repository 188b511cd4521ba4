"""Tests a VM process beside servers that send bytes without end."""

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from burdockhitch.settings import DEFAULT_OPEN_ANSWERS_MAX_BYTES
from burdockhitch.standins.endless import endless_answers
from tools import fleet as tool
from tools import platform_fleet as platform

N_SOUND_SERVERS = 4
N_CALLERS = 8
N_REQUESTS = 60
N_ROUNDS_MAX = 10
N_ENDLESS_MIN = 1
ROUTE_TIMEOUT_S = 2.0
LONG_TIMEOUT_S = 4.0
LATENESS_MAX_S = 0.5
OTHER_ANSWER_MAX_S = 1.0
CLOSE_MAX_S = 1.0
# Growth of the VM's resident memory over all tests of this module: the answers in
# progress, copies of them, and memory that the allocator keeps.
GROWTH_MAX_BYTES = 3 * DEFAULT_OPEN_ANSWERS_MAX_BYTES
PAGE_BYTES = 4096


@pytest.fixture(scope="module")
def fleet():
    # Each test has a server of its own, since the VM avoids it afterwards.
    n_servers = len(endless_answers.names()) + N_SOUND_SERVERS
    with platform.run_platform_fleet(n_vms=1, n_servers=n_servers) as running:
        run_requests(running.vms[0], "warm", N_CALLERS, ("GET", "POST"))
        yield running


@pytest.fixture(scope="module")
def resident_bytes_before(fleet):
    return read_resident_bytes(fleet.vms[0])


def read_resident_bytes(vm):
    fields = Path(f"/proc/{vm.process.pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def set_endless(server, name):
    tool.put_json(server.address, "/standin/behaviour", {"endless": name})


def read_record(server, name):
    return tool.get_json(server.address, "/standin/records")[name]


def send_timed(vm, request_id, method):
    """Return the method, the status of the answer and the seconds until it arrived."""
    path = "/tours/1" if method == "GET" else "/holds/1"
    started_s = time.monotonic()
    reply = platform.send_caller_request(vm.caller_address, request_id, path, method)
    return method, reply.status, time.monotonic() - started_s


def run_requests(vm, name, n_callers, methods):
    """Send requests of each method, ``n_callers`` at a time.

    Returns:
        The results of ``send_timed``, and the VM's largest resident memory in bytes.
    """
    with ThreadPoolExecutor(n_callers) as executor:
        replies = [
            executor.submit(send_timed, vm, f"{name}-{method}-{number}", method)
            for number in range(N_REQUESTS)
            for method in methods
        ]
        resident_bytes = 0
        while not all(reply.done() for reply in replies):
            resident_bytes = max(resident_bytes, read_resident_bytes(vm))
            time.sleep(0.01)
    return [reply.result() for reply in replies], resident_bytes


def has_configuration(vm, version):
    tables = tool.get_json(vm.admin_address, "/state")["tables"]
    return [row["version"] for row in tables["configurations"]] == [version]


def wait_until_closed(servers):
    tool.wait_until(
        lambda: sum(read_record(server, "n_endless_open") for server in servers) == 0,
        "connections closed by the VM",
        CLOSE_MAX_S,
    )


@pytest.mark.parametrize(("server_number", "name"), list(enumerate(endless_answers)))
def test_a_vm_serves_others_beside_a_server_that_sends_bytes_without_end(
    fleet, resident_bytes_before, server_number, name
):
    vm, endless_server = fleet.vms[0], fleet.servers[server_number]
    set_endless(endless_server, name)
    results = []
    resident_bytes = 0
    for round_number in range(N_ROUNDS_MAX):
        prefix = f"{name}-{round_number}"
        new_results, n_bytes = run_requests(vm, prefix, N_CALLERS, ("POST", "GET"))
        results += new_results
        resident_bytes = max(resident_bytes, n_bytes)
        if read_record(endless_server, "n_endless") >= N_ENDLESS_MIN:
            break
    wait_until_closed([endless_server])
    set_endless(endless_server, "")
    assert read_record(endless_server, "n_endless") >= N_ENDLESS_MIN
    statuses = {method: [] for method in ("GET", "POST")}
    for method, status, elapsed_s in results:
        statuses[method].append(status)
        assert elapsed_s < ROUTE_TIMEOUT_S + LATENESS_MAX_S
    assert set(statuses["GET"]) == {200}
    n_lost = len(statuses["POST"]) - statuses["POST"].count(200)
    assert n_lost <= read_record(endless_server, "n_endless")
    assert resident_bytes - resident_bytes_before <= GROWTH_MAX_BYTES


def test_the_memory_of_a_vm_is_bounded_while_most_servers_send_without_end(
    fleet, resident_bytes_before
):
    vm = fleet.vms[0]
    # Long enough for each answer to reach the limit of a single one.
    document = platform.make_configuration(2, timeoutS=LONG_TIMEOUT_S)
    platform.put_row(fleet.store_address, "op", "config", document)
    tool.wait_until(lambda: has_configuration(vm, 2), "configuration")
    endless_servers = fleet.servers[:-N_SOUND_SERVERS]
    for server in endless_servers:
        set_endless(server, "slow_body")
    _, resident_bytes = run_requests(vm, "many", N_REQUESTS, ("POST",))
    wait_until_closed(endless_servers)
    for server in endless_servers:
        set_endless(server, "")
    assert resident_bytes - resident_bytes_before <= GROWTH_MAX_BYTES
    _, status, elapsed_s = send_timed(vm, "many-after", "GET")
    assert (status, elapsed_s < OTHER_ANSWER_MAX_S) == (200, True)
