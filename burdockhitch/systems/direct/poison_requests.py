"""Refuses requests that end the backend servers that run them.

A request is known by a digest of what it asks, since callers repeat it under other
identities. The end of a server's process while the request was open there is evidence,
which all VMs share; after two ends it is refused everywhere. A successful answer shows
that it is harmless: so a request that many callers send isn't refused because it was
open on servers that ended for another reason. After a while one VM sends it again, and
its answer, or another end, decides for all.
"""

import hashlib
import math

from burdockhitch import commands
from burdockhitch.backoff import doubled_delay_s
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import PoisonRequests, RequestEvidence
from burdockhitch.errors import AnswerLostError
from burdockhitch.messages import RequestMessage
from burdockhitch.systems.direct.registry_reads import rank_among_live
from burdockhitch.systems.direct.reports import live_peers
from burdockhitch.systems.direct.zone_reports import (
    is_from_this_zone,
    other_zones,
    receiver_addresses,
)
from burdockhitch.systems.endings import end_with_unknown_outcome, make_refusal
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.poison_requests import (
    AnsweredRequestRow,
    EndedProcess,
    SuspectRequestRow,
    UnreportedRequestRow,
)
from burdockhitch.tables.requests import AttemptRow, RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, count, log_event, send, start_timer

DIGEST_BYTES = 8
# Part of a body that enters the digest, besides its size, so that a large one takes
# little time.
DIGEST_BODY_BYTES = 64 * 1024
# Ends of processes from which a request is refused: one may be a coincidence.
ENDS_MAX = 2
# Longest time for which a failed attempt waits to know whether its server has ended.
CHECK_TIMEOUT_S = 0.1
# Time from the last end until the request is sent again, doubled at each further end.
REFUSAL_S = 30.0
REFUSAL_MAX_S = 600.0
# The same if another request was open on the same servers, and one of them is harmless.
AMBIGUOUS_REFUSAL_S = 1.0
# VMs that may send it again, one after the other, and the time that each has for it.
TRIAL_VMS_MAX = 16
TRIAL_S = 5.0
# Time after the last end at which the request is forgotten.
FORGET_S = 3600.0
# Shortest time after which the caller of a refused request may return.
RETURN_MIN_S = 0.25
# Limits of what is remembered; a row takes about 300 bytes.
SUSPECTS_MAX = 1000
ANSWERED_MAX = 500
# Ends that are kept for each request.
KEPT_ENDS_MAX = 8
# Most requests in one message.
EVIDENCE_MAX = 16
# VMs of a zone, the first in rank, that tell the others again: the first one may be the
# one that doesn't know.
REPEATERS = 2
# Period at which a zone is told again which requests are refused, for VMs that have
# just started, were cut off or lost the message.
REPEAT_PERIOD_S = 1.0
# Subject of the timer.
REPEAT = "repeat"


def digest_request(message: RequestMessage) -> str:
    """Return a digest of what a request asks: the same for each of its repetitions."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (message.method, message.host, message.path, str(len(message.body))):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(message.body[:DIGEST_BODY_BYTES])
    return digest.hexdigest()


def _report_later(world: World, digest: str) -> None:
    world.unreported_requests.put(UnreportedRequestRow(digest))


def _was_answered(world: World, digest: str) -> bool:
    return digest in world.answered_requests


def _remember_answered(world: World, digest: str, now: Instant) -> None:
    world.answered_requests.put(AnsweredRequestRow(digest, now.monotonic_s))
    if len(world.answered_requests) > ANSWERED_MAX:
        oldest = world.answered_requests.first("answered_at_s")
        if oldest is not None:
            world.answered_requests.remove(oldest.digest)


def record_answered_request(world: World, row: RequestRow, now: Instant) -> None:
    """Record that a server ran a request to its end, so that it is harmless.

    An error answer doesn't show that: a failing server may give it without a run.
    """
    digest = digest_request(row.message)
    _remember_answered(world, digest, now)
    if digest in world.suspect_requests:
        world.suspect_requests.remove(digest)
        _report_later(world, digest)
        log_event(
            world,
            "INFO",
            "poison_request_cleared",
            request_id=row.caller_request_id,
            digest=digest,
        )


def start_server_check(world: World, attempt: AttemptRow, row: RequestRow) -> bool:
    """Find out whether the server of a broken attempt has ended.

    Returns:
        Whether the result will be posted: False if the server is no longer listed.
    """
    server = world.backend_servers.get(attempt.server_id)
    if server is None:
        return False
    command = commands.CheckServer(
        row.request_id,
        row.caller_request_id,
        row.message,
        server.server_id,
        server.address,
        attempt.process_started_ms,
        CHECK_TIMEOUT_S,
    )
    send(world, command)
    return True


def record_end(world: World, check: commands.CheckServer, now: Instant) -> None:
    """Record that a server's process ended while this VM's request was open there."""
    digest = digest_request(check.request)
    if _was_answered(world, digest):
        return
    process = EndedProcess(check.server_id, check.process_started_ms)
    if not _add_ends(world, digest, (process,), now.monotonic_s, now):
        return
    _report_later(world, digest)
    log_event(
        world,
        "WARNING",
        "server_ended",
        request_id=check.caller_request_id,
        server=check.server_id,
        digest=digest,
        method=check.request.method,
        path=check.request.path,
        n_ends=len(world.suspect_requests.fetch(digest).ended),
    )


def _make_room(world: World, now: Instant) -> None:
    """Remove rows that are too old and, at the limit, the one with the oldest end."""
    oldest = world.suspect_requests.first("ended_at_s")
    while oldest is not None and (
        now.monotonic_s - oldest.ended_at_s > FORGET_S
        or len(world.suspect_requests) >= SUSPECTS_MAX
    ):
        world.suspect_requests.remove(oldest.digest)
        oldest = world.suspect_requests.first("ended_at_s")


def _add_ends(
    world: World,
    digest: str,
    ended: tuple[EndedProcess, ...],
    ended_at_s: float,
    now: Instant,
) -> bool:
    """Add ended processes to a request; return whether one of them is new."""
    row = world.suspect_requests.get(digest)
    if row is None:
        _make_room(world, now)
        row = SuspectRequestRow(digest, (), -math.inf)
    known = frozenset(row.ended)
    new = tuple(process for process in ended if process not in known)
    if not new:
        return False
    row = row._replace(
        ended=(*row.ended, *new)[-KEPT_ENDS_MAX:],
        ended_at_s=max(row.ended_at_s, ended_at_s),
    )
    world.suspect_requests.put(row)
    if len(row.ended) >= ENDS_MAX:
        start_timer(
            world, TimerKind.POISON_REQUESTS, REPEAT, now.monotonic_s + REPEAT_PERIOD_S
        )
        _end_open_attempts(world, digest, now)
    return True


def _end_open_attempts(world: World, digest: str, now: Instant) -> None:
    """End the open idempotent requests that are the same, before more servers end."""
    detail = f"the same request (digest {digest}) ended other backend servers"
    for row in world.requests.select("state", RequestState.DISPATCHED):
        if row.is_idempotent and digest_request(row.message) == digest:
            count(world, "poison_requests_ended")
            refusal = make_refusal(AnswerLostError, detail)
            end_with_unknown_outcome(world, row, refusal, now)


def _is_ambiguous(world: World, row: SuspectRequestRow) -> bool:
    """Return whether another request was open on each server that ended under one."""
    ended = frozenset(row.ended)
    return len(ended) == ENDS_MAX and any(
        ended <= frozenset(other.ended)
        for other in world.suspect_requests
        if other.digest != row.digest
    )


def _refused_until_s(world: World, row: SuspectRequestRow) -> float:
    """Return until when no VM sends a request that servers ended under."""
    if _is_ambiguous(world, row):
        return row.ended_at_s + AMBIGUOUS_REFUSAL_S
    n_doublings = len(row.ended) - ENDS_MAX
    return row.ended_at_s + doubled_delay_s(REFUSAL_S, n_doublings, REFUSAL_MAX_S)


def _trial_rank(world: World, digest: str) -> int:
    """Return this VM's place in the order in which VMs may send a request again."""

    def place(vm_id: str) -> bytes:
        return hashlib.blake2b(f"{digest}|{vm_id}".encode(), digest_size=8).digest()

    own = place(world.local.vm_id)
    alive = world.vms.select("status", VmStatus.ALIVE)
    return sum(place(vm.vm_id) < own for vm in alive)


def is_refused(world: World, message: RequestMessage) -> bool:
    """Return whether so many servers ended under a request that it isn't retried."""
    if not len(world.suspect_requests):
        return False
    row = world.suspect_requests.get(digest_request(message))
    return row is not None and len(row.ended) >= ENDS_MAX


def refusal_s(world: World, message: RequestMessage, now: Instant) -> float:
    """Return for how long a request is refused; 0 if it may be sent now.

    Of a request that may be harmless again, each VM whose turn it is sends one.
    """
    if not len(world.suspect_requests):
        return 0.0
    digest = digest_request(message)
    row = world.suspect_requests.get(digest)
    if row is None or len(row.ended) < ENDS_MAX:
        return 0.0
    if now.monotonic_s - row.ended_at_s > FORGET_S:
        world.suspect_requests.remove(digest)
        return 0.0
    remaining_s = _refused_until_s(world, row) - now.monotonic_s
    if remaining_s > 0:
        return max(RETURN_MIN_S, remaining_s)
    rank = _trial_rank(world, digest)
    is_trial_open = now.monotonic_s - row.tried_at_s < REFUSAL_S
    if rank >= TRIAL_VMS_MAX or is_trial_open or -remaining_s < rank * TRIAL_S:
        return TRIAL_S
    world.suspect_requests.replace(row._replace(tried_at_s=now.monotonic_s))
    log_event(world, "INFO", "poison_request_tried", digest=digest)
    return 0.0


def _make_evidence(world: World, digest: str, now: Instant) -> RequestEvidence:
    row = world.suspect_requests.get(digest)
    if row is None:
        return RequestEvidence(digest, (), 0.0, True)
    age_s = max(0.0, now.monotonic_s - row.ended_at_s)
    return RequestEvidence(digest, row.ended, age_s, False)


def _zone_addresses(world: World) -> list[str]:
    return [
        vm.message_address for vm in live_peers(world) if vm.zone == world.local.zone
    ]


def _broadcast(world: World, addresses: list[str], message: PoisonRequests) -> None:
    if addresses and message.requests:
        send(world, commands.BroadcastMessage(tuple(addresses), message))


@system(Phase.ACCOUNTING, DIRECT)
def report_request_evidence(world: World, now: Instant) -> None:
    """Report new evidence at once to this zone and to two VMs of each other one."""
    if not len(world.unreported_requests):
        return
    rows = list(world.unreported_requests)[:EVIDENCE_MAX]
    for row in rows:
        world.unreported_requests.remove(row.digest)
    message = PoisonRequests(tuple(_make_evidence(world, r.digest, now) for r in rows))
    addresses = _zone_addresses(world)
    for zone in other_zones(world):
        addresses += receiver_addresses(world, zone)
    _broadcast(world, addresses, message)


@timer_handlers(TimerKind.POISON_REQUESTS)
def repeat_evidence(world: World, _subject: str, now: Instant) -> None:
    """Tell the zone again which requests are refused, if first in rank."""
    refused = [row for row in world.suspect_requests if len(row.ended) >= ENDS_MAX]
    if not refused:
        return
    due_s = now.monotonic_s + REPEAT_PERIOD_S
    start_timer(world, TimerKind.POISON_REQUESTS, REPEAT, due_s)
    if rank_among_live(world, now) < REPEATERS:
        newest = sorted(refused, key=lambda row: row.ended_at_s)[-EVIDENCE_MAX:]
        evidence = tuple(_make_evidence(world, row.digest, now) for row in newest)
        _broadcast(world, _zone_addresses(world), PoisonRequests(evidence))


def _apply_evidence(world: World, evidence: RequestEvidence, now: Instant) -> bool:
    """Apply what another VM told; return whether it was new."""
    if evidence.is_answered:
        is_new = evidence.digest in world.suspect_requests
        _remember_answered(world, evidence.digest, now)
        world.suspect_requests.discard(evidence.digest)
        return is_new
    if _was_answered(world, evidence.digest):
        return False
    ended_at_s = now.monotonic_s - evidence.age_s
    return _add_ends(world, evidence.digest, evidence.ended, ended_at_s, now)


@message_handlers("poison_requests")
def handle_poison_requests(
    world: World, sender_vm_id: str, message: PoisonRequests, now: Instant
) -> None:
    """Apply evidence of another VM, and forward that of another zone in this one."""
    for evidence in message.requests:
        _apply_evidence(world, evidence, now)
    if not is_from_this_zone(world, sender_vm_id):
        _broadcast(world, _zone_addresses(world), message)
