"""Cases of at-most-once execution, refusals as not run and unknown outcomes.

The home of an idempotency key is the VM that keeps its record. A key of a route with
``once=claim`` is claimed by a row in the platform's table service instead.
"""

from collections.abc import Callable
from typing import Any

from burdockhitch import events
from burdockhitch.errors import OverloadedError
from burdockhitch.systems import (
    answers,
    claims,
    endings,
    forwards,
    home,
)
from burdockhitch.tests import fleets
from burdockhitch.tests.cases import DisabledMechanism, always, case
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import VASTKUST


def _retry_through_all_vms(path: str, make_key: Callable[[FakeFleet], str]) -> int:
    """Send one keyed request through every VM and return the repeated executions.

    The backend connections break after the server executed the request.
    """
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "breaking"
    key = make_key(fleet)
    for vm_id in sorted(fleet.worlds):
        fleet.call(vm_id, "POST", path, b"seat", key)
        fleet.run(3.0)
    return fleets.count_repeated_executions(fleet)


def _admit_unchecked(world: Any, row: Any, _argument: Any, now: Any) -> None:
    """Admit a request without a check whether its key was used before."""
    endings.advance_request(world, row, "admit", now)


@case(
    "retry_home",
    "a request runs at most once",
    "a caller retries through other VMs after backend connections broke",
    DisabledMechanism(home, "_forward_to_home", _admit_unchecked),
    DisabledMechanism(home, "_admit_at_home", _admit_unchecked),
)
def home_key_runs_once() -> int:
    return _retry_through_all_vms(
        "/home", lambda fleet: fleet.home_token("vk-a-0") + "/seat"
    )


@case(
    "retry_claim",
    "a request runs at most once",
    "the same failure for a key that is claimed in the platform",
    DisabledMechanism(claims, "_write_open_claim", _admit_unchecked),
)
def claimed_key_runs_once() -> int:
    return _retry_through_all_vms("/claim", lambda fleet: "seat")


@case(
    "home_killed",
    "a request runs at most once",
    "the home VM dies after it ran the request and restarts without records",
    DisabledMechanism(home, "_forward_to_home", _admit_unchecked),
)
def home_key_runs_once_after_restart() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    key = fleet.home_token("vk-a-0") + "/seat"
    fleet.call("vk-a-0", "POST", "/home", b"seat", key)
    fleet.run(1.0)
    fleet.kill("vk-a-0")
    fleet.run(0.5)
    fleet.add_vm("vk-a-0", "vk-a")
    fleet.run(5.0)
    for vm_id in sorted(fleet.worlds):
        fleet.call(vm_id, "POST", "/home", b"seat", key)
        fleet.run(3.0)
    return fleets.count_repeated_executions(fleet)


def _record_nothing(
    _world: Any, request_id: str, answer: Any, refusal: Any, _now: Any
) -> Any:
    """Return the outcome of a forwarded request without storing it."""
    return endings.ForwardOutcomeRow(request_id, answer, refusal, 0.0)


@case(
    "repeated_message",
    "a request runs at most once",
    "the network delivers each message between VMs again up to 0.5 s later",
    DisabledMechanism(forwards, "record_forward_outcome", _record_nothing),
    DisabledMechanism(endings, "record_forward_outcome", _record_nothing),
)
def repeated_message_runs_once() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.duplication_ratio = 1.0
    for number in range(300):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
        fleet.run(0.001)
    fleet.run(5.0)
    return fleets.count_repeated_executions(fleet)


@case(
    "delayed_message",
    "a request runs at most once",
    "a message arrives again after the record of its outcome expired",
    DisabledMechanism(forwards, "is_at_or_below_watermark", always(False)),
)
def delayed_message_runs_once() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for number in range(40):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
    fleet.run(1.0)
    fleet.run(endings.FORWARD_OUTCOME_RETENTION_S + 5.0)
    for vm_id, event in fleet.delivered_messages:
        if type(event.message).__name__ == "ForwardRequest":
            fleet.post(vm_id, event)
    fleet.run(5.0)
    return fleets.count_repeated_executions(fleet)


@case(
    "broken_after_send",
    "a request runs at most once",
    "backend connections break after the request was sent",
    DisabledMechanism(answers, "NOT_RUN_FAILURES", frozenset(events.AttemptFailure)),
)
def sent_request_is_not_sent_again() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "breaking"
    for number in range(20):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
        fleet.run(0.1)
    return fleets.count_repeated_executions(fleet)


def _refuse_as_not_run(world: Any, row: Any, _refusal: Any, now: Any) -> None:
    """Refuse a request as not run, although its outcome is unknown."""
    refusal = endings.make_refusal(OverloadedError, "")
    endings._end_request(world, row, "refuse", now, refusal=refusal)


@case(
    "not_run_refusal",
    "a request refused as not run was not run",
    "one server breaks connections, all others shed",
    DisabledMechanism(endings, "end_with_unknown_outcome", _refuse_as_not_run),
)
def executed_request_is_not_refused_as_not_run() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "shedding"
    fleet.servers["10.1.0.1:80"].mode = "breaking"
    for _ in range(30):
        fleet.call("vk-a-0", "GET", "/look")
        fleet.run(0.1)
    fleet.run(5.0)
    return fleets.count_false_not_run_refusals(fleet)


@case(
    "unknown_listed",
    "requests of unknown outcome are listed",
    "backend connections break after non-idempotent requests were sent",
    DisabledMechanism(endings, "_record_unknown_outcome", always(None)),
)
def unknown_outcomes_are_listed_for_operators() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "breaking"
    for number in range(8):
        fleet.call("vk-a-0", "POST", "/plain", b"seat %d" % number)
    fleet.run(3.0)
    unknown_rows = list(fleet.worlds["vk-a-0"].unknown_outcomes)
    return 8 - sum(row.requester == "Jonas" for row in unknown_rows)
