"""Checks the users' bounds on what servers get after they stated something.

The checks read what a fleet recorded: the requests that reached servers, and the
statements that VMs got with answers.
"""

from typing import NamedTuple

# Nothing reaches a server later than this after it stated that it leaves.
DRAIN_S = 2.0
# At most so many requests from this time after a refusal to the end of its pause.
PAUSE_FROM_S = 0.5
IN_PAUSE_MAX = 2
# In any window, from some time after the first statement, a server gets at most this
# multiple of its limit and some more, from VMs that have known it for a while.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_FROM_S = 3.0
LIMIT_KNOWN_S = 0.5


class Statement(NamedTuple):
    """What a server stated in an answer to a VM.

    Attributes:
        vm: ID and incarnation of the VM.
        server: ID and number of the process of the server.
        at_s: Time of the answer on the fake clock.
        limit_per_s: Requests a second that it accepts; None if it stated no limit.
        is_leaving: Whether it stated that it leaves.
        rest_s: Pause that it asked for; 0 for none.
    """

    vm: tuple[str, int]
    server: tuple[str, int]
    at_s: float
    limit_per_s: float | None
    is_leaving: bool
    rest_s: float


def find_sends_to_leaving(sent, statements):
    """Return the requests that reached a server long after it stated that it leaves."""
    first_s = {}
    for statement in statements:
        if statement.is_leaving:
            first_s.setdefault((statement.vm, statement.server), statement.at_s)
    return [
        attempt
        for attempt in sent
        if attempt.at_s > first_s.get((attempt.vm, attempt.server), 1e9) + DRAIN_S
    ]


def find_broken_pauses(sent, statements):
    """Return the statements whose pause wasn't kept by the VM that got them."""
    times_s = {}
    for attempt in sent:
        times_s.setdefault((attempt.vm, attempt.server), []).append(attempt.at_s)
    broken = []
    for statement in statements:
        begins_s = statement.at_s + PAUSE_FROM_S
        ends_s = statement.at_s + statement.rest_s
        in_pause = [
            at_s
            for at_s in times_s.get((statement.vm, statement.server), [])
            if begins_s < at_s < ends_s
        ]
        if len(in_pause) > IN_PAUSE_MAX:
            broken.append(statement)
    return broken


def _known_since(statements):
    """Return when each VM first learned each server's limit, by answers to itself.

    A VM that got an answer without the limit since knows of none.
    """
    known_s = {}
    for statement in statements:
        key = (statement.vm, statement.server)
        if statement.limit_per_s is None:
            known_s.pop(key, None)
        else:
            known_s.setdefault(key, statement.at_s)
    return known_s


def find_exceeded_limits(sent, statements, excused_vm_ids=frozenset()):
    """Return the servers that got more than they accept, with the number.

    Args:
        sent: Requests that reached servers, in order of time.
        statements: Statements in order of time. A server counts only if it never ended
            or changed its limit.
        excused_vm_ids: VMs whose requests don't count.
    """
    limits = {}
    for statement in statements:
        limits.setdefault(statement.server, set()).add(statement.limit_per_s)
    known_s = _known_since(statements)
    exceeded = {}
    for server, stated in limits.items():
        if len(stated) != 1 or None in stated:
            continue
        [limit_per_s] = stated
        first_s = min(s.at_s for s in statements if s.server == server)
        times_s = [
            attempt.at_s
            for attempt in sent
            if attempt.server == server
            and attempt.at_s >= first_s + LIMIT_FROM_S
            and attempt.vm[0] not in excused_vm_ids
            and attempt.at_s >= known_s.get((attempt.vm, server), 1e9) + LIMIT_KNOWN_S
        ]
        most = most_in_window(times_s)
        if most > LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK:
            exceeded[server] = most
    return exceeded


def most_in_window(times_s):
    """Return the most of these ascending times that lie in any window."""
    most = 0
    first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > LIMIT_WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
