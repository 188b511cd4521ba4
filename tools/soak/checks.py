"""Registry of the checks, each a function from a history to what breaks it.

Bounds are those that the fleet is started with, or that the design states, plus
``MARGIN_S`` for the delays of a busy machine.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from burdockhitch.registry import Registry
from tools.soak.records import (
    PUBLIC_ROUTE,
    STORE,
    CallRow,
    DisturbanceRow,
    History,
    Violation,
    WithdrawalRow,
)

MARGIN_S = 1.0
# Bound for configurations (configApplyS), from their acknowledgement by the store.
CONFIGURATION_BOUND_S = 2.5
# Bound for draining servers, as in the settings of the VMs (bounds.drainS).
DRAIN_BOUND_S = 2.0
# Longest time that a VM that starts waits for reports of newer configurations.
CATCH_UP_BOUND_S = 1.0
# Time that a VM gets to work off what a disturbance left.
SETTLE_S = 1.0
REFUSALS = frozenset({408, 421, 429, 503})
STATUS_OK = 200
Finding = tuple[str, str]
Check = Callable[[History], Iterator[Finding]]

checks: Registry[Check] = Registry("check")


def is_calm(
    disturbances: list[DisturbanceRow], names: set[str], from_s: float, to_s: float
) -> bool:
    """Return whether none of the processes is disturbed in a time."""
    return not any(
        row.process in names and row.from_s < to_s and row.to_s > from_s
        for row in disturbances
    )


def _count_late_s(
    history: History, row: WithdrawalRow, vm: str, at_s: float, bound_s: float
) -> float:
    """Return how much too late a VM uses something; 0 if it may.

    Since the withdrawal and its own last disturbance, the VM must have had the bound
    and the margin at a stretch in which the store was not disturbed.
    """
    from_s = max(
        [row.at_s]
        + [d.to_s for d in history.disturbances if d.process == vm and d.from_s < at_s]
    )
    store_ends_s = [d.to_s for d in history.disturbances if d.process == STORE]
    for start_s in [from_s, *store_ends_s]:
        due_s = start_s + bound_s + MARGIN_S
        is_in_time = from_s <= start_s and due_s <= at_s
        if is_in_time and is_calm(history.disturbances, {STORE}, start_s, due_s):
            return at_s - due_s
    return 0.0


@checks("at_most_once")
def check_at_most_once(history: History) -> Iterator[Finding]:
    """Find requests that aren't idempotent and ran more than once."""
    n_runs = Counter(row.request_id for row in history.runs)
    for call in history.calls:
        if call.method == "POST" and n_runs[call.request_id] > 1:
            yield call.request_id, f"ran {n_runs[call.request_id]} times"


@checks("own_answer")
def check_own_answer(history: History) -> Iterator[Finding]:
    """Find successful answers that aren't whole or belong to another request."""
    for call in history.calls:
        if not call.is_own:
            yield call.request_id, f"got {call.detail!r} from {call.vm}"


@checks("true_refusal")
def check_true_refusal(history: History) -> Iterator[Finding]:
    """Find refused requests that ran, also later."""
    servers = {row.request_id: row.server for row in history.runs}
    for call in history.calls:
        if call.status in REFUSALS and call.request_id in servers:
            text = f"{call.method} got {call.status} from {call.vm}"
            yield call.request_id, f"{text} and ran at {servers[call.request_id]}"


@checks("deadline")
def check_deadline(history: History) -> Iterator[Finding]:
    """Find requests to undisturbed VMs without an answer by the deadline."""
    for call in history.calls:
        due_s = call.started_s + call.deadline_s + MARGIN_S
        if call.status != 0 and call.ended_s <= due_s:
            continue
        from_s = call.started_s - SETTLE_S
        if is_calm(history.disturbances, {call.vm}, from_s, call.ended_s):
            elapsed_s = call.ended_s - call.started_s
            yield (
                call.request_id,
                f"{call.vm}: status {call.status} after {elapsed_s:.3f} s, "
                f"deadline {call.deadline_s} s, {call.detail}",
            )


def _find_uses(
    history: History, kind: str, used_name: Callable[[CallRow], str]
) -> Iterator[Finding]:
    """Find requests that ran or were answered by something withdrawn."""
    ran = {row.request_id for row in history.runs}
    withdrawn = {row.name: row for row in history.withdrawals if row.kind == kind}
    for call in history.calls:
        row = withdrawn.get(used_name(call))
        if row is None or (call.status != STATUS_OK and call.request_id not in ran):
            continue
        late_s = _count_late_s(
            history, row, call.vm, call.started_s, CONFIGURATION_BOUND_S
        )
        if late_s:
            yield call.request_id, f"{call.vm} used {row.name} {late_s:.3f} s too late"


@checks("withdrawn_route")
def check_withdrawn_route(history: History) -> Iterator[Finding]:
    """Find uses of withdrawn routes by undisturbed VMs."""
    yield from _find_uses(history, "route", lambda call: call.route)


@checks("withdrawn_key")
def check_withdrawn_key(history: History) -> Iterator[Finding]:
    """Find uses of withdrawn keys by undisturbed VMs."""
    yield from _find_uses(history, "key", lambda call: call.key)


@checks("hidden_key")
def check_hidden_key(history: History) -> Iterator[Finding]:
    """Find keys that reached a backend server."""
    for run in history.runs:
        if run.key_headers:
            yield run.request_id, f"{run.server} got a key in {run.key_headers}"


def _may_catch_up(history: History, call: CallRow) -> bool:
    """Return whether a VM may serve a request without the account of its key.

    Until a VM has caught up after its start, it accepts requests on public routes
    without an account (docs/design/accounts.md).
    """
    from_s = call.started_s - CATCH_UP_BOUND_S - MARGIN_S
    is_settled = is_calm(history.disturbances, {call.vm}, from_s, call.ended_s)
    return call.route == PUBLIC_ROUTE and not is_settled


@checks("own_account")
def check_own_account(history: History) -> Iterator[Finding]:
    """Find runs for another account than that of the caller's key."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs if history.accounts else []:
        call = calls.get(run.request_id)
        if call is None:
            continue
        expected = [history.accounts[call.key]] if call.key else []
        if not run.accounts and _may_catch_up(history, call):
            continue
        if run.accounts != expected:
            text = f"{run.server} got {run.accounts} in place of {expected}"
            yield run.request_id, text


@checks("drained_server")
def check_drained_server(history: History) -> Iterator[Finding]:
    """Find runs of drained servers that undisturbed VMs sent."""
    calls = {call.request_id: call for call in history.calls}
    drained = {row.name: row for row in history.withdrawals if row.kind == "server"}
    for run in history.runs:
        call, row = calls.get(run.request_id), drained.get(run.server)
        if call is None or row is None:
            continue
        late_s = _count_late_s(history, row, call.vm, run.at_s, DRAIN_BOUND_S)
        if late_s:
            yield run.request_id, f"{call.vm} to {run.server} {late_s:.3f} s too late"


@checks("asked_end")
def check_asked_end(history: History) -> Iterator[Finding]:
    """Find processes that ended by themselves."""
    for end in history.ends:
        if not end.was_asked:
            yield end.process, f"ended at {end.at_s:.3f} s with {end.exit_code}"


@checks("memory")
def check_memory(history: History) -> Iterator[Finding]:
    """Find VMs that used more memory than they may."""
    for row in history.memory:
        if row.resident_mb > row.limit_mb:
            yield row.process, f"{row.resident_mb:.0f} MB at {row.at_s:.3f} s"


def judge(history: History) -> list[Violation]:
    """Return all violations of all checks."""
    return [
        Violation(name, subject, detail)
        for name in checks
        for subject, detail in checks[name](history)
    ]
