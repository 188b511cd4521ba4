"""What control costs, and how fast it works, at 6 to 48 VMs on processes."""

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
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(vm: tool.RunningVm) -> float:
    text = Path(f"/proc/{vm.process.pid}/smaps_rollup").read_text()
    line = next(line for line in text.splitlines() if line.startswith("Rss"))
    return int(line.split()[1]) / 1024


def _bytes_sent(vm: tool.RunningVm) -> float:
    name = "burdockhitch_message_bytes_sent_total"
    text = tool.ask(vm.admin_address, "GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.split()[-1]) for line in lines)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _idle(fleet: tool.Fleet, n_vms: int) -> Iterator[Result]:
    sampled = fleet.vms[:6]
    statistics = tool.ask_json(fleet.platform_address, "/statistics")
    cpu = [_cpu_s(vm) for vm in sampled]
    sent = [_bytes_sent(vm) for vm in sampled]
    time.sleep(IDLE_S)
    sent = [_bytes_sent(vm) - old for vm, old in zip(sampled, sent, strict=True)]
    cpu = [_cpu_s(vm) - old for vm, old in zip(sampled, cpu, strict=True)]
    after = tool.ask_json(fleet.platform_address, "/statistics")
    case = f"{n_vms} VMs idle"
    share = 100 * _mean(cpu) / IDLE_S
    yield Result("control", f"{case}, processor", share, "% of a core", "1.7")
    rate = _mean(sent) / IDLE_S
    yield Result("control", f"{case}, sent", rate, "bytes/s", "4096")
    memory = _mean([_memory_mb(vm) for vm in sampled])
    yield Result("control", f"{case}, resident", memory, "MB")
    reads = (after["n_reads"] - statistics["n_reads"]) / IDLE_S
    yield Result("control", f"{case}, platform", reads, "reads/s", "200")


def _time_until(condition: object, what: str) -> float:
    started_s = time.monotonic()
    tool.wait_until(condition, what, TIMEOUT_S)
    return time.monotonic() - started_s


def _sees(vm: tool.RunningVm, vm_id: str, statuses: tuple[str, ...]) -> bool:
    rows = tool.ask_json(vm.admin_address, "/state")["tables"]["vms"]
    return any(row["vm_id"] == vm_id and row["status"] in statuses for row in rows)


def _revision(vm: tool.RunningVm) -> int:
    return int(tool.ask_json(vm.admin_address, "/health")["revision"])


def _changes(fleet: tool.Fleet, n_vms: int) -> Iterator[Result]:
    text = tool.write_rules(fleet.servers, RULES)
    extra = "limit visitor rate=5/s burst=9 # Bench\n"
    head = "# revision 1 " + _head_hash(fleet) + "\n"
    pushing = tool.start_push(fleet, head + text + extra)
    tool.wait_until(lambda: _head_number(fleet) == 2, "commit")
    elapsed_s = _time_until(
        lambda: all(_revision(vm) == 2 for vm in fleet.vms), "revision"
    )
    pushing.wait()
    case = f"{n_vms} VMs, revision in force"
    yield Result("control", case, elapsed_s, "s", "2")
    others, victim = fleet.vms[:-1], fleet.vms[-1]
    os.kill(victim.process.pid, signal.SIGSTOP)
    elapsed_s = _time_until(
        lambda: all(_sees(vm, victim.vm_id, ("dead",)) for vm in others), "paused VM"
    )
    yield Result("control", f"{n_vms} VMs, paused VM noticed", elapsed_s, "s", "5")
    os.kill(victim.process.pid, signal.SIGCONT)
    elapsed_s = _time_until(
        lambda: all(_sees(vm, victim.vm_id, ("alive",)) for vm in others), "resumed VM"
    )
    yield Result("control", f"{n_vms} VMs, resumed VM back", elapsed_s, "s")
    victim.process.kill()
    elapsed_s = _time_until(
        lambda: all(_sees(vm, victim.vm_id, ("dead",)) for vm in others), "killed VM"
    )
    yield Result("control", f"{n_vms} VMs, killed VM noticed", elapsed_s, "s", "5")


def _head_number(fleet: tool.Fleet) -> int:
    row = tool.ask_json(fleet.platform_address, "/tables/revisions/rows/head")
    return int(row["value"]["number"])


def _head_hash(fleet: tool.Fleet) -> str:
    row = tool.ask_json(fleet.platform_address, "/tables/revisions/rows/head")
    return str(row["value"]["body_hash"])


@benchmarks("control")
def measure_control() -> Iterator[Result]:
    """Measure fleets of four sizes."""
    for n_vms in N_VMS:
        plans = [
            tool.VmPlan(f"v{number:02}", "abc"[number % 3]) for number in range(n_vms)
        ]
        with tool.run_fleet(plans, SERVERS, RULES) as fleet:
            yield from _idle(fleet, n_vms)
            yield from _changes(fleet, n_vms)
