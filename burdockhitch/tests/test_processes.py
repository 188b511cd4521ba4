"""Tests the request guarantees under faults of processes.

How often each request ran is counted from the records of the stand-in servers, and
compared with the outcome that its caller got.
"""

import os
import shutil
import signal
import time
from collections import Counter
from typing import Any, NamedTuple

import pytest

from tools import fleet as tool

RULES = """service booking floor=8slots queue=500ms # Karin
route booking GET /look timeout=3s # Karin
route booking POST /plain timeout=3s # Jonas
route booking POST /home once=home timeout=3s # Jonas
route booking POST /claim once=claim timeout=3s # Jonas
"""
VMS = [tool.VmPlan("a1", "a"), tool.VmPlan("a2", "a"), tool.VmPlan("b1", "b")]
SERVERS = [
    tool.ServerPlan("booking", "a", 3, 4),
    tool.ServerPlan("booking", "b", 3, 4),
]
SETTINGS = "[callers]\nkeep = 1s\n"
LOAD_DURATION_S = 4.0
RATE_PER_S = 150.0
CALLERS_START_S = 1.0
KINDS = ["GET:/look", "POST:/plain", "POST:/claim:key"]
LOST_REQUEST_WAIT_MAX_S = 10.0


class CallerRecords(NamedTuple):
    """The records of the callers, one for each request, with its outcome."""

    records: list[dict[str, Any]]

    def with_outcome(self, outcome):
        return [record for record in self.records if record["outcome"] == outcome]


def send_during(fleet, cause_fault):
    """Send requests, cause a fault meanwhile, and return the callers' records."""
    addresses = [vm.caller_address for vm in fleet.vms]
    callers = tool.start_callers(fleet, addresses, KINDS, RATE_PER_S, LOAD_DURATION_S)
    time.sleep(CALLERS_START_S)
    cause_fault(fleet)
    return CallerRecords(tool.collect_caller_records(callers))


def kill_vm(fleet):
    fleet.vms[1].process.kill()


def pause_vm(fleet):
    os.kill(fleet.vms[1].process.pid, signal.SIGSTOP)
    time.sleep(4.0)
    os.kill(fleet.vms[1].process.pid, signal.SIGCONT)


def stop_vm(fleet):
    os.kill(fleet.vms[1].process.pid, signal.SIGTERM)


def kill_servers_of_zone_a(fleet):
    fleet.processes[1].kill()


def stop_platform(fleet):
    tool.put_json(fleet.platform_address, "/faults", {"is_down": True})


def lose_replies(fleet):
    tool.put_json(fleet.platform_address, "/faults", {"n_lost_replies": 50})


def break_connections_of_server(fleet):
    behaviour = {"abort_ratio": 0.5}
    tool.put_json(fleet.servers[0].address, "/standin/behaviour", behaviour)


def return_errors_from_server(fleet):
    tool.put_json(fleet.servers[0].address, "/standin/behaviour", {"error_ratio": 1.0})


FAULTS = [
    kill_vm,
    pause_vm,
    stop_vm,
    kill_servers_of_zone_a,
    stop_platform,
    lose_replies,
    break_connections_of_server,
    return_errors_from_server,
]


@pytest.mark.parametrize("cause_fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_request_runs_twice_or_is_falsely_refused_under_faults(cause_fault):
    with tool.run_fleet(VMS, SERVERS, RULES, SETTINGS) as fleet:
        caller_records = send_during(fleet, cause_fault)
        running_servers = [
            server
            for server in fleet.servers
            if cause_fault is not kill_servers_of_zone_a or server.zone != "a"
        ]
        n_runs = Counter(
            (record["method"], record["body"])
            for server in running_servers
            for record in tool.get_json(server.address, "/standin/records")["records"]
        )
        run_twice = [
            body for (method, body), n in n_runs.items() if method == "POST" and n > 1
        ]
        false_refusals = [
            record["body"]
            for record in caller_records.records
            if record["outcome"] == "not-run"
            and n_runs[record["method"], record["body"]]
        ]
        assert all(record["is_own"] for record in caller_records.records)
        assert run_twice == []
        assert false_refusals == []
        assert caller_records.with_outcome("answered") != []
        assert caller_records.with_outcome("error") == []
        if cause_fault is stop_vm:
            assert caller_records.with_outcome("broken") == []
            assert caller_records.with_outcome("outcome-unknown") == []


@pytest.mark.parametrize("is_failing", [False, True])
def test_only_a_failing_run_keeps_its_logs(is_failing):
    try:
        with tool.run_fleet([], [], "service s floor=0slots # K\n") as fleet:
            if is_failing:
                raise AssertionError
    except AssertionError as error:
        assert any(str(fleet.folder) in note for note in error.__notes__)
    assert (fleet.folder / "platform.log").exists() == is_failing
    shutil.rmtree(fleet.folder, ignore_errors=True)


def test_a_request_lost_with_its_vm_is_listed_by_another_vm():
    with tool.run_fleet(VMS, SERVERS, RULES, SETTINGS) as fleet:
        for server in fleet.servers:
            slow = {"service_time_s": 2.5}
            tool.put_json(server.address, "/standin/behaviour", slow)
        addresses = [fleet.vms[0].caller_address]
        callers = tool.start_callers(fleet, addresses, ["POST:/plain"], 1.0, 1.0)
        others = fleet.vms[1:]
        tool.wait_until(
            lambda: find_rows(others, "witnessed_requests"), "witnessed request"
        )
        fleet.vms[0].process.kill()
        tool.wait_until(
            lambda: find_rows(others, "lost_requests"),
            "lost request",
            LOST_REQUEST_WAIT_MAX_S,
        )
        [row] = find_rows(others, "lost_requests")
        tool.collect_caller_records(callers)
    assert (row["service"], row["route_id"]) == ("booking", "POST /plain")
    assert (row["vm_id"], row["requester"]) == ("a1", "Jonas")


def find_rows(vms, table):
    return [
        row
        for vm in vms
        for row in tool.get_json(vm.admin_address, "/state")["tables"][table]
    ]
