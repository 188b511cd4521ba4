"""Replays the worst loads before emulated backend servers with slots and queues."""

from collections import Counter
from typing import NamedTuple

import pytest

from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.settings import PolicySettings
from burdockhitch.tests.direct_edges import SERVICE_TIME_S, behaviours
from burdockhitch.tests.direct_fakes import make_route, start_fleet

N_VMS = 4
N_SERVERS = 4
N_SLOTS = 4
QUEUE_MAX = 16
# Requests a second that all slots together serve.
CAPACITY_PER_S = N_SERVERS * N_SLOTS / SERVICE_TIME_S
DEADLINE_S = 6.0
OBJECTIVE_S = 0.4
# By how much a kind may be served less often than a less urgent one.
INVERSION_MAX = 0.05
# Paths and priorities of the kinds of requests.
KINDS = {"/urgent/": 0, "/usual/": 1, "/later/": 2}


def serve_from_queue(fleet, attempt):
    """Serve in the order of arrival with ``N_SLOTS`` slots; reject a full queue."""
    now_s = fleet.clock.elapsed_s
    ends_s = [end_s for end_s in fleet.slot_ends_s[attempt.server_id] if end_s > now_s]
    fleet.slot_ends_s[attempt.server_id] = ends_s
    if len(ends_s) >= N_SLOTS + QUEUE_MAX:
        return 0.001, False, AttemptFailure.SHED
    starts_s = sorted(ends_s)[-N_SLOTS] if len(ends_s) >= N_SLOTS else now_s
    ends_s.append(starts_s + SERVICE_TIME_S)
    return ends_s[-1] - now_s, True, Answer(200, (), b"done")


def reject_half(fleet, attempt):
    """Reject half of the requests at random, and serve the others."""
    if fleet.rng.random() < 0.55:
        return 0.001, False, AttemptFailure.SHED
    return serve_from_queue(fleet, attempt)


@pytest.fixture(autouse=True)
def register_behaviours(monkeypatch):
    """Register the behaviours for these tests only: random sequences draw from all."""
    monkeypatch.setitem(behaviours._entries, "queued", serve_from_queue)
    monkeypatch.setitem(behaviours._entries, "sheds_half", reject_half)


class CallerAttempt(NamedTuple):
    """One attempt of a caller that returns when a refusal tells it to.

    Attributes:
        path: Kind of request.
        started_s: Time of the caller's first attempt.
        n_returns: Returns so far.
    """

    path: str
    started_s: float
    n_returns: int


class Replay:
    """A fleet under load, and what its callers got.

    Attributes:
        is_returning: Whether refused callers return.
        served: All answered requests, by kind.
        sent: Requests without returns, by kind.
        n_returns: Returns of refused callers.
    """

    def __init__(self, returns, behaviour="queued", is_returning=True, seed=1):
        self.is_returning = is_returning
        self.fleet = start_fleet(n_vms=N_VMS, n_servers=N_SERVERS, seed=seed)
        for vm_id, world in list(self.fleet.worlds.items()):
            policies = PolicySettings(sending="direct", returns=returns)
            settings = world.settings._replace(policies=policies)
            self.fleet.worlds[vm_id] = world._replace(settings=settings)
        self.fleet.slot_ends_s = {str(number + 1): [] for number in range(N_SERVERS)}
        for server_id in self.fleet.behaviour_by_server:
            self.fleet.behaviour_by_server[server_id] = behaviour
        routes = [
            make_route(
                path,
                prefix=path,
                priority=priority,
                is_idempotent=False,
                latency_objective_s=OBJECTIVE_S,
                timeout_s=DEADLINE_S,
                n_tries_max=3,
            )
            for path, priority in KINDS.items()
        ]
        self.fleet.configure(2, *routes)
        self.fleet.run(11.0)
        self.served, self.sent = Counter(), Counter()
        self.n_returns = 0
        self._open = {}

    def send(self, attempt):
        vm_id = self.fleet.rng.choice(sorted(self.fleet.worlds))
        remaining_s = attempt.started_s + DEADLINE_S - self.fleet.clock.elapsed_s
        connection = self.fleet.send(vm_id, f"{attempt.path}x", remaining_s)
        self._open[connection] = attempt

    def collect(self):
        """Count the answers since the last call; let refused callers return."""
        for connection, attempt in list(self._open.items()):
            reply = self.fleet.caller_replies.get(connection)
            if reply is None:
                continue
            del self._open[connection]
            refusal = getattr(reply.command, "refusal", None)
            if refusal is None:
                self.served[attempt.path] += 1
                continue
            returns_s = reply.at_s + refusal.retry_after_s
            if self.is_returning and returns_s < attempt.started_s + DEADLINE_S:
                self.n_returns += 1
                later = attempt._replace(n_returns=attempt.n_returns + 1)
                delay_s = max(0.0, returns_s - self.fleet.clock.elapsed_s)
                self.fleet.later(delay_s, lambda later=later: self.send(later))

    def run(self, duration_s, per_s, paths=tuple(KINDS)):
        """Send new requests at a rate, of all kinds in turn."""
        for number in range(round(duration_s * per_s)):
            path = paths[number % len(paths)]
            self.sent[path] += 1
            self.send(CallerAttempt(path, self.fleet.clock.elapsed_s, 0))
            self.fleet.run(1.0 / per_s)
            self.collect()

    def finish(self):
        """Run until the last deadline has passed."""
        for _ in range(round(DEADLINE_S * 20)):
            self.fleet.run(0.05)
            self.collect()

    def served_share(self, paths=tuple(KINDS)):
        return sum(self.served[p] for p in paths) / sum(self.sent[p] for p in paths)


def replay_burst(returns, factor):
    """Return a replay of 2 s of overload between calm times."""
    replay = Replay(returns)
    replay.run(1.0, 0.6 * CAPACITY_PER_S)
    replay.run(2.0, factor * CAPACITY_PER_S)
    replay.run(3.0, 0.6 * CAPACITY_PER_S)
    replay.finish()
    return replay


@pytest.mark.parametrize("factor", [1.4, 3.0])
def test_callers_told_to_return_by_backlog_return_less_often_and_are_served(factor):
    fixed = replay_burst("fixed", factor)
    by_backlog = replay_burst("by_backlog", factor)
    assert by_backlog.n_returns <= fixed.n_returns
    assert by_backlog.served_share() >= fixed.served_share()


@pytest.mark.parametrize("n_kinds", [2, 3])
def test_retries_go_to_urgent_requests_while_all_servers_shed(n_kinds):
    paths = list(KINDS)[:n_kinds]
    served, sent = Counter(), Counter()
    for seed in range(3):
        replay = Replay("by_backlog", "sheds_half", is_returning=False, seed=seed)
        replay.run(8.0, 0.4 * CAPACITY_PER_S, paths)
        replay.finish()
        served.update(replay.served)
        sent.update(replay.sent)
    shares = [served[path] / sent[path] for path in paths]
    for number, share in enumerate(shares):
        assert share >= max(shares[number:]) - INVERSION_MAX
    # Without an order of priorities, all kinds have the same share.
    assert shares[0] >= shares[-1] + 2 * INVERSION_MAX
