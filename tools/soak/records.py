"""Tables of a run: its plan, and what was seen of the processes.

Times are seconds since the start of the run, on the clock that all processes share.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec

PLAN_FILE = "plan.json"
HISTORY_FILE = "history.json"
VIOLATIONS_FILE = "violations.json"
NOT_ENDED_S = 1e9
STORE = "store"
PUBLIC_ROUTE = "open"


class PlanStep(NamedTuple):
    """A fault that starts at ``at_s``.

    Attributes:
        fault: Name in the registry of faults.
        target: Number of the VM or server; drawn for every fault, not used by all.
        length_s: Time until the fault ends.
    """

    at_s: float
    fault: str
    target: int
    length_s: float


class Plan(NamedTuple):
    """All that is fixed before a run.

    Attributes:
        has_accounts: Whether the configuration has client accounts.
    """

    seed: int
    duration_s: float
    has_accounts: bool
    steps: list[PlanStep]


class CallRow(NamedTuple):
    """A request of a caller and what came back.

    Attributes:
        request_id: Unique in the run.
        vm: Name of the VM that got it.
        method: HTTP method; POST requests may run only once.
        route: Name of the route.
        key: Key that the request carried, empty for none.
        started_s: When it was sent.
        ended_s: When its outcome was known.
        deadline_s: Time that the caller allowed.
        status: Status of the whole answer, 0 if there was none.
        is_own: Whether a successful answer is whole and belongs to the request.
        detail: Error without an answer, or the beginning of another answer's body.
    """

    request_id: str
    vm: str
    method: str
    route: str
    key: str
    started_s: float
    ended_s: float
    deadline_s: float
    status: int
    is_own: bool
    detail: str


class RunRow(NamedTuple):
    """A request that a backend server ran.

    Attributes:
        server: Id of the server.
        request_id: Id that the request carried.
        at_s: When it arrived.
        accounts: Values of the header that names the account.
        key_headers: Names of the headers that held a key.
    """

    server: str
    request_id: str
    at_s: float
    accounts: list[str]
    key_headers: list[str]


class DisturbanceRow(NamedTuple):
    """Time in which a fault keeps a process from working as usual."""

    process: str
    fault: str
    from_s: float
    to_s: float


class WithdrawalRow(NamedTuple):
    """Something that may not be used any more after a time.

    Attributes:
        kind: ``route``, ``key`` or ``server``.
        name: Name of the route, the key, or id of the server.
        at_s: When the store acknowledged it.
    """

    kind: str
    name: str
    at_s: float


class EndRow(NamedTuple):
    """A process that ended."""

    process: str
    at_s: float
    exit_code: int
    was_asked: bool


class MemoryRow(NamedTuple):
    """Memory of a VM."""

    process: str
    at_s: float
    resident_mb: float
    limit_mb: float


class History(NamedTuple):
    """What was seen in a run; rows are added while it runs.

    Attributes:
        accounts: Account of each key that was ever valid; empty without accounts.
    """

    accounts: dict[str, str]
    calls: list[CallRow]
    runs: list[RunRow]
    disturbances: list[DisturbanceRow]
    withdrawals: list[WithdrawalRow]
    ends: list[EndRow]
    memory: list[MemoryRow]


class Violation(NamedTuple):
    """A check that a row of the history breaks."""

    check: str
    subject: str
    detail: str


def make_history() -> History:
    """Return a history without rows."""
    return History({}, [], [], [], [], [], [])


def write_document(path: Path, document: object) -> None:
    """Write a document as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))


def read_plan(path: Path) -> Plan:
    """Read a plan.

    Raises:
        msgspec.MsgspecError: If the file holds no plan.
    """
    return msgspec.json.decode(path.read_bytes(), type=Plan)
