"""Tests a VM process with the native front end beside a server that sends no end."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from burdockhitch.settings import DEFAULT_OPEN_ANSWERS_MAX_BYTES
from tools import fleet as tool

RULES = """service booking floor=1slots queue=500ms # Karin
route booking GET /look timeout=3s # Karin
"""
VMS = [tool.VmPlan("a1", "a")]
SERVERS = [tool.ServerPlan("booking", "a", 2, 4)]
SETTINGS = "[callers]\nkeep = 1s\n"
N_CALLERS = 8
N_REQUESTS = 32
N_ENDLESS_MIN = 1
PAGE_BYTES = 4096
# The bound of the platform's front end in test_endless_processes.py.
GROWTH_MAX_BYTES = 3 * DEFAULT_OPEN_ANSWERS_MAX_BYTES


def read_resident_bytes(vm):
    fields = Path(f"/proc/{vm.process.pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def send_requests(vm, name):
    """Send requests by several callers; return the statuses and largest memory."""

    def send(number):
        headers = {"Request-Id": f"{name}-{number}"}
        try:
            reply = tool.send_request(
                vm.caller_address, "GET", "/look", headers=headers
            )
        except OSError:
            return None, read_resident_bytes(vm)
        return reply.status, read_resident_bytes(vm)

    with ThreadPoolExecutor(N_CALLERS) as executor:
        results = list(executor.map(send, range(N_REQUESTS)))
    return [status for status, _ in results], max(n_bytes for _, n_bytes in results)


@pytest.mark.parametrize("name", ["head", "interim", "small_chunks", "trickled_body"])
def test_a_native_vm_lives_beside_a_server_that_sends_bytes_without_end(name):
    # Guards against a VM that keeps what a faulty server sends until memory runs out.
    with tool.run_fleet(VMS, SERVERS, RULES, SETTINGS) as fleet:
        (vm,) = fleet.vms
        endless_server = fleet.servers[0]
        send_requests(vm, "warm")
        before_bytes = read_resident_bytes(vm)
        behaviour = {"endless": name}
        tool.put_json(endless_server.address, "/standin/behaviour", behaviour)
        _statuses, resident_bytes = send_requests(vm, "endless")

        def record(field):
            return tool.get_json(endless_server.address, "/standin/records")[field]

        assert record("n_endless") >= N_ENDLESS_MIN
        tool.wait_until(lambda: record("n_endless_open") == 0, "closed connections")
        tool.put_json(endless_server.address, "/standin/behaviour", {"endless": ""})
        assert vm.process.poll() is None
        assert resident_bytes - before_bytes <= GROWTH_MAX_BYTES
        reply = tool.send_request(vm.caller_address, "GET", "/look")
        assert reply.status == 200
