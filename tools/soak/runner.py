"""Plays a plan: starts the fleet, its faults and callers, and judges it each second."""

import contextlib
import signal
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from loguru import logger
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from burdockhitch import log
from tools import fleet as tool
from tools.soak.callers import Callers
from tools.soak.checks import judge
from tools.soak.faults import faults
from tools.soak.fleet import RUNS_FILE, SoakFleet
from tools.soak.records import (
    HISTORY_FILE,
    PLAN_FILE,
    VIOLATIONS_FILE,
    History,
    MemoryRow,
    Plan,
    RunRow,
    Violation,
    write_document,
)

LOG_FILE = "soak.log"
TICK_S = 0.02
JUDGE_PERIOD_S = 1.0
# Longest time from the end of the plan until all faults and requests have ended.
FINISH_S = 20.0
# As in the settings of the VMs (limits.memoryMb).
MEMORY_LIMIT_MB = 300.0
KB_PER_MB = 1000.0


class RunResult(NamedTuple):
    """Outcome of a run.

    Attributes:
        folder: Plan, history, violations, settings and logs.
        error: Why the run itself broke off; empty if it was played to its end.
    """

    folder: Path
    history: History
    violations: list[Violation]
    error: str


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


class Runner:
    """Plays a plan on a started fleet.

    Args:
        fleet: Started fleet.
        callers: Callers of the fleet.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers) -> None:
        self._fleet = fleet
        self._callers = callers
        self._steps = list(fleet.plan.steps)
        self._n_open_faults = 0
        self._runs_path = fleet.folder / RUNS_FILE
        self._runs_position = 0
        self._judged_s = 0.0
        self.violations: list[Violation] = []
        self.error = "interrupted"

    def tick(self) -> None:
        """Start what is due, collect what was seen, and stop at the end."""
        if self._fleet.is_interrupted:
            self._fleet.reactor.stop()
            return
        now_s = self._fleet.now_s()
        duration_s = self._fleet.plan.duration_s
        while self._steps and self._steps[0].at_s <= now_s:
            step = self._steps.pop(0)
            self._n_open_faults += 1
            pending = ensureDeferred(faults[step.fault].apply(self._fleet, step))
            pending.addCallbacks(self._end_fault, self.fail)
        if now_s < duration_s:
            self._callers.send_due(now_s)
        self._fleet.collect_ends()
        if now_s - self._judged_s >= JUDGE_PERIOD_S:
            self._judged_s = now_s
            self._observe(now_s)
        is_idle = not (self._n_open_faults or self._callers.n_open)
        if now_s > duration_s + FINISH_S:
            self._stop(f"{self._n_open_faults} faults have not ended")
        elif now_s > duration_s and is_idle:
            self._stop("")

    def _observe(self, now_s: float) -> None:
        """Collect records and memory, and judge them; report new violations."""
        self._read_runs()
        for vm in self._fleet.vms:
            if self._fleet.is_up(vm):
                resident_mb = read_resident_mb(vm.process.pid)
                row = MemoryRow(vm.vm_id, now_s, resident_mb, MEMORY_LIMIT_MB)
                self._fleet.history.memory.append(row)
        violations = judge(self._fleet.history)
        for violation in violations:
            if violation not in self.violations:
                log.write_event("ERROR", "violation", violation._asdict())
        self.violations = violations

    def _read_runs(self) -> None:
        """Add the whole lines that the servers wrote since the last time."""
        with self._runs_path.open("rb") as file:
            file.seek(self._runs_position)
            lines, separator, _rest = file.read().rpartition(b"\n")
        self._runs_position += len(lines) + len(separator)
        for line in lines.splitlines():
            row = msgspec.json.decode(line, type=RunRow)
            at_s = self._fleet.to_run_time(row.at_s)
            self._fleet.history.runs.append(row._replace(at_s=at_s))

    def _end_fault(self, _result: Any) -> None:
        self._n_open_faults -= 1

    def _stop(self, error: str) -> None:
        self._observe(self._fleet.now_s())
        self.error = error
        self._fleet.reactor.stop()

    def fail(self, failure: Failure) -> None:
        """Break off the run because of an error of this tool."""
        self.error = failure.getTraceback()
        if self._fleet.reactor.running:
            self._fleet.reactor.stop()


def play(plan: Plan, parent: Path | None = None) -> RunResult:
    """Play a plan once; a process can do so once, since a reactor can't be restarted.

    Args:
        plan: Plan to play.
        parent: Folder in which the folder of the run is made.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-", dir=parent))
    write_document(folder / PLAN_FILE, plan)
    (folder / RUNS_FILE).touch()
    logger.remove()
    logger.add(folder / LOG_FILE, format="{time} {level} {message} {extra}")
    fleet = SoakFleet(loop, plan, folder)
    runner = Runner(fleet, Callers(fleet))
    # An exception in the middle of a start would leave a process that nobody knows.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, fleet.interrupt)
    try:
        fleet.start()
        loop.addSystemEventTrigger("before", "shutdown", fleet.end)
        ticks = LoopingCall(runner.tick)
        ticks.start(TICK_S).addErrback(runner.fail)
        loop.run(installSignalHandlers=False)
    except KeyboardInterrupt:
        runner.error = "interrupted"
    except tool.FleetStartError as error:
        runner.error = f"did not start: {error}"
    finally:
        # A second signal must not keep this from ending the processes.
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        tool.kill_processes(fleet.processes)
        write_document(folder / HISTORY_FILE, fleet.history)
        write_document(folder / VIOLATIONS_FILE, runner.violations)
    return RunResult(folder, fleet.history, runner.violations, runner.error)
