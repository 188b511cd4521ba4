"""Idle cost and reaction times of fleets of 6 to 48 entry VMs, one process each."""

import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.results import Result, benchmarks
from tools import fleet as tool

N_VMS = (6, 12, 24, 48)
IDLE_S = 10.0
POLL_S = 0.05
TIMEOUT_S = 15.0
RULES = """service booking floor=1slots # Bench
route booking GET /look timeout=5s # Bench
"""
SERVERS = [tool.ServerPlan("booking", zone, 4, 4) for zone in ("a", "b", "c")]


def _cpu_s(vm: tool.RunningVm) -> float:
    # Fields 14 and 15 of proc(5) stat are user and system time, in clock ticks. The
    # text after the process name in parentheses starts with field 3.
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(vm: tool.RunningVm) -> float:
    text = Path(f"/proc/{vm.process.pid}/smaps_rollup").read_text()
    line = next(line for line in text.splitlines() if line.startswith("Rss"))
    return int(line.split()[1]) / 1024


def _bytes_sent(vm: tool.RunningVm) -> float:
    name = "burdockhitch_message_bytes_sent_total"
    text = tool.send_request(vm.admin_address, "GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.split()[-1]) for line in lines)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _measure_idle(fleet: tool.Fleet, n_vms: int) -> Iterator[Result]:
    """Measure what a VM without requests costs, as the mean of up to 6 VMs."""
    sampled_vms = fleet.vms[:6]
    statistics_before = tool.get_json(fleet.platform_address, "/statistics")
    cpu_s = [_cpu_s(vm) for vm in sampled_vms]
    sent_bytes = [_bytes_sent(vm) for vm in sampled_vms]
    time.sleep(IDLE_S)
    sent_bytes = [
        _bytes_sent(vm) - value_before
        for vm, value_before in zip(sampled_vms, sent_bytes, strict=True)
    ]
    cpu_s = [
        _cpu_s(vm) - value_before
        for vm, value_before in zip(sampled_vms, cpu_s, strict=True)
    ]
    statistics_after = tool.get_json(fleet.platform_address, "/statistics")
    case = f"{n_vms} VMs idle"
    cpu_percent = 100 * _mean(cpu_s) / IDLE_S
    yield Result("control", f"{case}, processor", cpu_percent, "% of a core", "1.7")
    bytes_per_s = _mean(sent_bytes) / IDLE_S
    yield Result("control", f"{case}, sent", bytes_per_s, "bytes/s", "4096")
    resident_mb = _mean([_resident_mb(vm) for vm in sampled_vms])
    yield Result("control", f"{case}, resident", resident_mb, "MB")
    reads_per_s = (statistics_after["n_reads"] - statistics_before["n_reads"]) / IDLE_S
    yield Result("control", f"{case}, platform", reads_per_s, "reads/s", "200")


def _time_until(condition: object, what: str) -> float:
    """Return the seconds until a condition holds; ``what`` is the text of the error."""
    started_s = time.monotonic()
    tool.wait_until(condition, what, TIMEOUT_S)
    return time.monotonic() - started_s


def _has_status(
    observer: tool.RunningVm, vm_id: str, statuses: tuple[str, ...]
) -> bool:
    """Return whether ``observer`` lists the VM ``vm_id`` with one of the statuses."""
    rows = tool.get_json(observer.admin_address, "/state")["tables"]["vms"]
    return any(row["vm_id"] == vm_id and row["status"] in statuses for row in rows)


def _applied_revision(vm: tool.RunningVm) -> int:
    return int(tool.get_json(vm.admin_address, "/health")["revision"])


def _measure_changes(fleet: tool.Fleet, n_vms: int) -> Iterator[Result]:
    """Measure the time until all VMs apply a revision and notice a change of one VM.

    A revision is a numbered state of the rules.
    """
    text = tool.add_server_rules(fleet.servers, RULES)
    added_rule = "limit visitor rate=5/s burst=9 # Bench\n"
    base_revision_line = "# revision 1 " + _stored_hash(fleet) + "\n"
    push = tool.start_push(fleet, base_revision_line + text + added_rule)
    tool.wait_until(lambda: _stored_revision(fleet) == 2, "commit")
    elapsed_s = _time_until(
        lambda: all(_applied_revision(vm) == 2 for vm in fleet.vms), "revision"
    )
    push.wait()
    case = f"{n_vms} VMs, revision in force"
    yield Result("control", case, elapsed_s, "s", "2")
    other_vms, failed_vm = fleet.vms[:-1], fleet.vms[-1]
    os.kill(failed_vm.process.pid, signal.SIGSTOP)
    elapsed_s = _time_until(
        lambda: all(_has_status(vm, failed_vm.vm_id, ("dead",)) for vm in other_vms),
        "paused VM",
    )
    yield Result("control", f"{n_vms} VMs, paused VM noticed", elapsed_s, "s", "5")
    os.kill(failed_vm.process.pid, signal.SIGCONT)
    elapsed_s = _time_until(
        lambda: all(_has_status(vm, failed_vm.vm_id, ("alive",)) for vm in other_vms),
        "resumed VM",
    )
    yield Result("control", f"{n_vms} VMs, resumed VM back", elapsed_s, "s")
    failed_vm.process.kill()
    elapsed_s = _time_until(
        lambda: all(_has_status(vm, failed_vm.vm_id, ("dead",)) for vm in other_vms),
        "killed VM",
    )
    yield Result("control", f"{n_vms} VMs, killed VM noticed", elapsed_s, "s", "5")


def _stored_revision(fleet: tool.Fleet) -> int:
    row = tool.get_json(fleet.platform_address, "/tables/revisions/rows/head")
    return int(row["value"]["number"])


def _stored_hash(fleet: tool.Fleet) -> str:
    row = tool.get_json(fleet.platform_address, "/tables/revisions/rows/head")
    return str(row["value"]["body_hash"])


@benchmarks("control")
def measure_control() -> Iterator[Result]:
    """Measure the idle cost, then reactions to a revision and to a failing VM."""
    for n_vms in N_VMS:
        plans = [
            tool.VmPlan(f"v{number:02}", "abc"[number % 3]) for number in range(n_vms)
        ]
        with tool.run_fleet(plans, SERVERS, RULES) as fleet:
            yield from _measure_idle(fleet, n_vms)
            yield from _measure_changes(fleet, n_vms)
