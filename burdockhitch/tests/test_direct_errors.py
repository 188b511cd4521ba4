"""Tests that an unexpected error in a system strands no request."""

import pytest

from burdockhitch.systems import phases, timing
from burdockhitch.systems.phases import DIRECT, Phase
from burdockhitch.tables.table import Table
from burdockhitch.tests.direct_fakes import make_route, start_fleet

TIMEOUT_S = 2.0
# An answer at the deadline is allowed to be as late as this.
LATE_MAX_S = 0.5
FAILING_S = 1.0
BEHAVIOURS = ("ok", "error", "broken", "shed", "unreachable", "mute")
WRITES = ("insert", "replace", "put", "remove")


class InjectedError(Exception):
    """The error that the tests raise."""


def raise_at_start(function, args, monkeypatch):
    raise InjectedError


def raise_after_first_write(function, args, monkeypatch):
    """Run a function until it has written to a table for the first time.

    Taking an event or a timer out doesn't count. What handles the error can write.
    """
    world = args[0]
    raised = []
    with monkeypatch.context() as context:
        for name in WRITES:
            write = getattr(Table, name)

            def write_and_raise(table, *write_args, write=write):
                write(table, *write_args)
                is_counted = table is not world.inbox and table is not world.timers
                if is_counted and not raised:
                    raised.append(True)
                    raise InjectedError

            context.setattr(Table, name, write_and_raise)
        return function(*args)


def raise_at_end(function, args, monkeypatch):
    function(*args)
    raise InjectedError


def registered_systems():
    return [
        pytest.param(phase, index, id=functions[index].__name__)
        for (mode, phase), functions in sorted(phases._systems.items())
        for index in range(len(functions))
        if mode == DIRECT and phase is not Phase.RECOVERY
    ]


def start_under_load():
    fleet = start_fleet(n_vms=3, n_servers=len(BEHAVIOURS))
    fleet.are_errors_expected = True
    fleet.configure(2, make_route(timeout_s=TIMEOUT_S))
    fleet.run(1.0)
    return fleet


def send_load(fleet, duration_s):
    connections = []
    for step in range(int(duration_s / 0.1)):
        for vm_id in fleet.worlds:
            connections.append(fleet.send(vm_id, f"/a/{step}"))
        fleet.run(0.1)
    return connections


def check_all_answered(fleet, connections):
    fleet.run(TIMEOUT_S + LATE_MAX_S)
    assert [c for c in connections if fleet.status(c) == "open"] == []
    for world in fleet.worlds.values():
        assert (len(world.requests), len(world.attempts)) == (0, 0)
        kinds = {timer.timer_id[0] for timer in world.timers}
        assert timing.TimerKind.HEARTBEAT in kinds
        assert timing.TimerKind.REGISTRY_READ in kinds


def serve_again(fleet):
    """Check that the fleet serves requests as before."""
    fleet.behaviour_by_server = dict.fromkeys(fleet.registry.servers, "ok")
    fleet.run(5.0)
    connections = send_load(fleet, 1.0)
    fleet.run(TIMEOUT_S)
    assert {fleet.status(connection) for connection in connections} == {"200"}


def inject(fleet, fail, functions, key, monkeypatch):
    """Let a registered function raise errors for a while, under load."""
    function = functions[key]
    failing = [True]

    def run(*args):
        if failing[0] and args[0].local.vm_id == "vm-0":
            fail(function, args, monkeypatch)
        else:
            function(*args)

    run.__name__ = function.__name__
    servers = zip(fleet.registry.servers, BEHAVIOURS, strict=True)
    fleet.behaviour_by_server = dict(servers)
    connections = send_load(fleet, 0.5)
    functions[key] = run
    phases._ordered_systems.cache_clear()
    try:
        connections += send_load(fleet, FAILING_S)
    finally:
        failing[0] = False
        functions[key] = function
        phases._ordered_systems.cache_clear()
    return connections


# An error after the end of an attempt left its request without any answer.
@pytest.mark.parametrize(
    "fail", [raise_at_start, raise_after_first_write, raise_at_end]
)
@pytest.mark.parametrize(("phase", "index"), registered_systems())
def test_every_request_is_answered_though_a_system_raises_errors(
    monkeypatch, phase, index, fail
):
    fleet = start_under_load()
    functions = phases._systems[DIRECT, phase]
    connections = inject(fleet, fail, functions, index, monkeypatch)
    check_all_answered(fleet, connections)
    serve_again(fleet)


@pytest.mark.parametrize(
    "fail", [raise_at_start, raise_after_first_write, raise_at_end]
)
@pytest.mark.parametrize("kind", sorted(timing.timer_handlers))
def test_every_request_is_answered_though_a_timer_raises_errors(
    monkeypatch, kind, fail
):
    fleet = start_under_load()
    handlers = timing.timer_handlers._entries
    connections = inject(fleet, fail, handlers, kind, monkeypatch)
    check_all_answered(fleet, connections)
    serve_again(fleet)
