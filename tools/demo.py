"""Runs one small fleet under faults, with services of both example deployments.

All processes run on loopback. One backend server fails its requests and one entry
VM is killed under load; the outcomes are printed. The exit code is 0 only if every
guarantee held and a backend server was ejected.
"""

import json
import signal
import sys
import time
from collections import Counter
from typing import Any, NamedTuple

import typer

from tools import fleet as tool

VMS = [
    tool.VmPlan("a1", "a"),
    tool.VmPlan("a2", "a"),
    tool.VmPlan("b1", "b"),
    tool.VmPlan("b2", "b"),
]
SERVERS = [
    tool.ServerPlan("booking", "a", 3, 4),
    tool.ServerPlan("booking", "b", 3, 4),
    tool.ServerPlan("payments", "a", 2, 4),
    tool.ServerPlan("bench", "b", 4, 2),
    tool.ServerPlan("ledger", "a", 2, 2),
]
RULES = """service booking floor=12slots health=detection_first # Karin, tour desk
service payments floor=4slots health=detection_first # Jonas, quay kiosk
service bench floor=4slots health=few_false_ejections # Sigrun, bench desk
service ledger floor=2slots health=few_false_ejections # Ari, accounts
route booking GET /tours/* timeout=2s # Karin, tour desk
route booking POST /holds timeout=4s # Karin, tour desk
route payments POST /deposits once=claim timeout=4s # Jonas, quay kiosk
route bench GET /lots/* timeout=2s # Sigrun, bench desk
route ledger POST /records once=claim timeout=4s # Ari, accounts
"""
KINDS = [
    "GET:/tours/1",
    "POST:/holds",
    "POST:/deposits:key",
    "GET:/lots/7",
    "POST:/records:key",
]
RATE_PER_S = 150.0
LOAD_DURATION_S = 11.0
FAULT_DELAY_S = 2.0
KILL_DELAY_S = 3.0
LOSS_REPORT_WAIT_S = 5.0


class DemoResult(NamedTuple):
    """Counts of the demo run.

    Attributes:
        outcomes: Requests by the outcome that the caller recorded.
        n_duplicate_runs: Runs of a POST request beyond its first.
        n_mismatched: Successful answers that belong to another request.
        n_false_not_run: Requests refused as not run that a backend server ran.
        n_unreported_losses: POST requests that ran, got no answer and were not
            reported as lost.
        ejections: Log events of entry VMs that ejected a backend server.
    """

    outcomes: Counter[str]
    n_duplicate_runs: int
    n_mismatched: int
    n_false_not_run: int
    n_unreported_losses: int
    ejections: list[dict[str, Any]]


def _read_log_events(fleet: tool.Fleet, event: str) -> list[dict[str, Any]]:
    """Return the log lines with this event name from all entry VMs."""
    log_events = []
    for vm in fleet.vms:
        for line in (fleet.folder / f"{vm.vm_id}.log").read_text().splitlines():
            if line.startswith("{") and f'"event":"{event}"' in line:
                log_events.append(json.loads(line))
    return log_events


def _inject_faults(fleet: tool.Fleet) -> None:
    """Make one backend server fail its requests, then kill one entry VM."""
    time.sleep(FAULT_DELAY_S)
    faulty_server = fleet.servers[0]
    typer.echo(
        f"backend server {faulty_server.address} now fails requests but passes probes"
    )
    behaviour = {"error_ratio": 1.0}
    tool.put_json(faulty_server.address, "/standin/behaviour", behaviour)
    time.sleep(KILL_DELAY_S)
    typer.echo(f"entry VM {fleet.vms[1].vm_id} is killed")
    fleet.vms[1].process.kill()


def _count_unreported_losses(fleet: tool.Fleet, records: list[dict[str, Any]]) -> int:
    """Count POST requests that ran, got no answer and were not reported as lost.

    Waits first, so that the remaining VMs can report the requests of the killed VM.
    """
    time.sleep(LOSS_REPORT_WAIT_S)
    run_records = tool.fetch_run_records(fleet)
    broken_bodies = {
        record["body"] for record in records if record["outcome"] == "broken"
    }
    lost_ids = {line["request_id"] for line in _read_log_events(fleet, "request_lost")}
    return sum(
        record["method"] == "POST"
        and record["body"] in broken_bodies
        and record["request_id"] not in lost_ids
        for record in run_records
    )


def _evaluate(fleet: tool.Fleet, records: list[dict[str, Any]]) -> DemoResult:
    n_unreported_losses = _count_unreported_losses(fleet, records)
    run_records = tool.fetch_run_records(fleet)
    n_runs = Counter(
        record["body"] for record in run_records if record["method"] == "POST"
    )
    run_bodies = {record["body"] for record in run_records}
    server_changes = _read_log_events(fleet, "server_changed")
    return DemoResult(
        outcomes=Counter(record["outcome"] for record in records),
        n_duplicate_runs=sum(n - 1 for n in n_runs.values()),
        n_mismatched=sum(not record["is_own"] for record in records),
        n_false_not_run=sum(
            record["outcome"] == "not-run" and record["body"] in run_bodies
            for record in records
        ),
        n_unreported_losses=n_unreported_losses,
        ejections=[line for line in server_changes if line["after"] == "ejected"],
    )


def _print_result(result: DemoResult) -> bool:
    """Print the counts; return whether all guarantees held and a server was ejected."""
    typer.echo(f"requests: {sum(result.outcomes.values())}")
    for outcome, n_requests in result.outcomes.most_common():
        typer.echo(f"  {outcome}: {n_requests}")
    for line in result.ejections:
        typer.echo(
            f"ejected: {line['server']} by {line['vm']}, cause {line['cause']}, "
            f"rule line {line['rule_line']} of {line['requester']}"
        )
    typer.echo(
        f"doubled = {result.n_duplicate_runs}, mixed = {result.n_mismatched}, "
        f"falsely refused = {result.n_false_not_run}, "
        f"lost = {result.n_unreported_losses}"
    )
    violation_counts = result[1:5]
    return not any(violation_counts) and bool(result.ejections)


def main() -> None:
    """Run a fleet under load and faults and print the counts."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started_s = time.monotonic()
    with tool.run_fleet(VMS, SERVERS, RULES) as fleet:
        typer.echo(f"{len(fleet.vms)} entry VMs, {len(fleet.servers)} backend servers")
        addresses = [vm.caller_address for vm in fleet.vms]
        callers = tool.start_callers(
            fleet, addresses, KINDS, RATE_PER_S, LOAD_DURATION_S
        )
        _inject_faults(fleet)
        is_passed = _print_result(
            _evaluate(fleet, tool.collect_caller_records(callers))
        )
    typer.echo(f"{'all guarantees held' if is_passed else 'A GUARANTEE WAS VIOLATED'}")
    typer.echo(f"{time.monotonic() - started_s:.1f} s")
    sys.exit(0 if is_passed else 1)


if __name__ == "__main__":
    typer.run(main)
