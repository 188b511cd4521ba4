"""Registry of the faults of a run.

A fault is a coroutine that starts it, waits for the length of the step and ends it.
A fault whose target is already stopped by another one does nothing.
"""

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from burdockhitch.registry import Registry
from tools import platform_fleet as platform
from tools.soak.backend import KEY_PREFIX
from tools.soak.fleet import ACCOUNT, RunningBackend, SoakFleet
from tools.soak.records import STORE, PlanStep

Apply = Callable[[SoakFleet, PlanStep], Awaitable[None]]
# Time that a stopping VM may take beyond its grace before it is killed.
STOP_MARGIN_S = 2.0
SERVER_STOP_S = 3.0


class Fault(NamedTuple):
    """How a fault is caused.

    Attributes:
        length_range_s: Shortest and longest time until it ends.
        needs_accounts: Whether it makes sense with client accounts only.
        apply: Causes the fault and ends it.
    """

    length_range_s: tuple[float, float]
    needs_accounts: bool
    apply: Apply


faults: Registry[Fault] = Registry("fault")


def _fault(
    name: str, length_range_s: tuple[float, float], needs_accounts: bool = False
) -> Callable[[Apply], Apply]:
    def register(apply: Apply) -> Apply:
        faults(name)(Fault(length_range_s, needs_accounts, apply))
        return apply

    return register


async def _stop_and_restart_vm(
    fleet: SoakFleet, step: PlanStep, number: signal.Signals
) -> None:
    vm = fleet.vms[step.target]
    if not fleet.is_up(vm) or fleet.is_disturbed(vm.vm_id):
        return
    disturbance = fleet.open_disturbance(vm.vm_id, step.fault)
    fleet.signal(vm.vm_id, number)
    await fleet.wait_for_end(vm.vm_id, platform.GRACE_S + STOP_MARGIN_S)
    await fleet.sleep(step.length_s)
    await fleet.restart_vm(step.target)
    fleet.close_disturbance(disturbance)


@_fault("stop_vm", (0.0, 2.0))
async def stop_vm(fleet: SoakFleet, step: PlanStep) -> None:
    """Stop a VM with SIGTERM and start it again."""
    await _stop_and_restart_vm(fleet, step, signal.SIGTERM)


@_fault("kill_vm", (0.0, 2.0))
async def kill_vm(fleet: SoakFleet, step: PlanStep) -> None:
    """Kill a VM and start it again."""
    await _stop_and_restart_vm(fleet, step, signal.SIGKILL)


@_fault("pause_vm", (1.0, 5.0))
async def pause_vm(fleet: SoakFleet, step: PlanStep) -> None:
    """Pause a VM."""
    vm = fleet.vms[step.target]
    if not fleet.is_up(vm) or fleet.is_disturbed(vm.vm_id):
        return
    disturbance = fleet.open_disturbance(vm.vm_id, step.fault)
    fleet.signal(vm.vm_id, signal.SIGSTOP)
    await fleet.sleep(step.length_s)
    fleet.signal(vm.vm_id, signal.SIGCONT)
    fleet.close_disturbance(disturbance)


class Change(NamedTuple):
    """Values that a stand-in gets while a fault lasts, and those after it."""

    during: dict[str, object]
    after: dict[str, object]


def _break_answers(broken: str) -> Change:
    return Change({"broken": broken, "broken_ratio": 0.4}, {"broken_ratio": 0.0})


STORE_FAULTS = {
    "store_refuses": Change({"refused": ["*"]}, {"refused": []}),
    "store_silent": Change({"silent": ["*"]}, {"silent": []}),
    "store_slow": Change({"delay_s": 0.3}, {"delay_s": 0.0}),
}
SERVER_FAULTS = {
    "server_errors": Change({"error_ratio": 0.4}, {"error_ratio": 0.0}),
    "answers_truncated": _break_answers("truncated"),
    "answers_garbled": _break_answers("garbled"),
    "answers_lost": _break_answers("lost"),
    "answers_missing": _break_answers("mute"),
}


async def _change_store(change: Change, fleet: SoakFleet, step: PlanStep) -> None:
    disturbance = fleet.open_disturbance(STORE, step.fault)
    await fleet.set_store_faults(change.during)
    await fleet.sleep(step.length_s)
    await fleet.set_store_faults(change.after)
    fleet.close_disturbance(disturbance)


async def _change_server(change: Change, fleet: SoakFleet, step: PlanStep) -> None:
    server = fleet.servers[step.target]
    if not fleet.is_usable(server):
        return
    await fleet.set_behaviour(server, change.during)
    await fleet.sleep(step.length_s)
    if fleet.is_usable(server):
        await fleet.set_behaviour(server, change.after)


for _name, _change in STORE_FAULTS.items():
    _fault(_name, (1.0, 4.0))(partial(_change_store, _change))
for _name, _change in SERVER_FAULTS.items():
    _fault(_name, (1.0, 4.0))(partial(_change_server, _change))


async def _replace_server(
    fleet: SoakFleet, step: PlanStep, server: RunningBackend
) -> None:
    """Stop a server's process and start one with another id at the same address."""
    fleet.signal(server.server_id, signal.SIGTERM)
    await fleet.wait_for_end(server.server_id, SERVER_STOP_S)
    await fleet.remove_server(server)
    await fleet.restart_server(step.target)


@_fault("replace_server", (0.0, 0.0))
async def replace_server(fleet: SoakFleet, step: PlanStep) -> None:
    """Stop a server without notice; it comes back with another id."""
    server = fleet.servers[step.target]
    if fleet.claim_server(server):
        await _replace_server(fleet, step, server)


@_fault("drain_server", (5.0, 8.0))
async def drain_server(fleet: SoakFleet, step: PlanStep) -> None:
    """Drain a server, then stop it; it comes back with another id."""
    server = fleet.servers[step.target]
    if not fleet.claim_server(server):
        return
    await fleet.put_server(server, "draining", 2)
    fleet.add_withdrawal("server", server.server_id)
    await fleet.sleep(step.length_s)
    await _replace_server(fleet, step, server)


@_fault("change_route", (2.0, 5.0))
async def change_route(fleet: SoakFleet, step: PlanStep) -> None:
    """Add a route, and withdraw it again."""
    name = fleet.make_name("extra")
    fleet.routes.append(name)
    await fleet.put_configuration()
    await fleet.sleep(step.length_s)
    fleet.routes.remove(name)
    await fleet.put_configuration()
    fleet.add_withdrawal("route", name)


@_fault("change_key", (2.0, 5.0), needs_accounts=True)
async def change_key(fleet: SoakFleet, step: PlanStep) -> None:
    """Add an account with a key, and withdraw the key again."""
    key = fleet.make_name(KEY_PREFIX)
    account = f"{ACCOUNT}-{key.removeprefix(KEY_PREFIX)}"
    fleet.accounts[account] = [key]
    fleet.history.accounts[key] = account
    await fleet.put_configuration()
    await fleet.sleep(step.length_s)
    fleet.accounts[account] = []
    await fleet.put_configuration()
    fleet.add_withdrawal("key", key)
