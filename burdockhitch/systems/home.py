"""Runs a request with an idempotency key only through the home of the key.

The home is the VM incarnation that the key names by its first part, the home token.
Callers get the token with the address of a VM. Only the home has the record of the
key, in its memory. Once the home is gone, the outcome is unknown and the request is
not run again.
"""

import hashlib
from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.errors import (
    ClaimHeldError,
    HomeGoneError,
    HomeTokenRequiredError,
    KeyReusedError,
)
from burdockhitch.messages import RequestMessage
from burdockhitch.systems.admission import at_most_once_policies
from burdockhitch.systems.endings import (
    Ending,
    advance_request,
    answer_request,
    end_with_unknown_outcome,
    ending_hooks,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.expiry import HOME_RECORDS, schedule_expiry
from burdockhitch.systems.routing import send_forward
from burdockhitch.tables.requests import HomeRecordRow, RequestRow, RequestState
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World

CLOCK_SKEW_MAX_S = 60.0
# Retry delay that refusals suggest.
RETRY_AFTER_S = 1.0


class HomeToken(NamedTuple):
    """The first part of an idempotency key, which names its home.

    Attributes:
        vm_id: Home VM.
        incarnation: Incarnation of the home VM.
        issued_s: Wall-clock time at which the token was issued, in seconds since
            1970.
    """

    vm_id: str
    incarnation: int
    issued_s: int


def issue_home_token(vm: VmRow, now: Instant) -> str:
    """Return the home token that callers get with the address of a VM."""
    return f"{vm.vm_id}.{vm.incarnation}.{int(now.utc.timestamp())}"


def parse_home_token(key: str) -> HomeToken | None:
    """Return the home token of an idempotency key, or None if it has none."""
    token, _, unique = key.partition("/")
    parts = token.split(".")
    if not unique or len(parts) != 3:
        return None
    vm_id, incarnation, issued = parts
    if not (incarnation.isdecimal() and issued.isdecimal()):
        return None
    return HomeToken(vm_id, int(incarnation), int(issued))


def hash_request(request: RequestMessage) -> str:
    """Return a hash of method, path and body, to detect reuse of a key."""
    text = f"{request.method} {request.path}\n".encode()
    return hashlib.blake2b(text + request.body, digest_size=16).hexdigest()


def record_id(row: RequestRow) -> str:
    """Return the primary key of the home record or the claim of a request."""
    return f"{row.service}/{row.message.account}/{row.key}"


def _expires_at_s(world: World, token: HomeToken, now: Instant) -> float:
    """Return the monotonic time at which a home token expires."""
    age_s = now.utc.timestamp() - token.issued_s
    return now.monotonic_s + world.settings.callers.token_lifetime_s - age_s


@at_most_once_policies("home")
def admit_by_home_record(world: World, row: RequestRow, now: Instant) -> None:
    """Admit or end a request at its home, forward it there, or refuse it."""
    token = parse_home_token(row.key)
    if token is None:
        detail = "Idempotency-Key must be TOKEN/UNIQUE, TOKEN from an address answer"
        refuse_request(world, row, make_refusal(HomeTokenRequiredError, detail), now)
    elif (token.vm_id, token.incarnation) == world.local[:2]:
        _admit_at_home(world, row, token, now)
    else:
        _forward_to_home(world, row, token, now)


def _admit_at_home(
    world: World, row: RequestRow, token: HomeToken, now: Instant
) -> None:
    remaining_s = _expires_at_s(world, token, now) - now.monotonic_s
    lifetime_s = world.settings.callers.token_lifetime_s
    if not 0 < remaining_s <= lifetime_s + CLOCK_SKEW_MAX_S:
        detail = "the token of the key has expired"
        end_with_unknown_outcome(world, row, make_refusal(HomeGoneError, detail), now)
        return
    record = world.home_records.get(record_id(row))
    if record is not None:
        _end_by_record(world, row, record, now)
        return
    expires_at_s = now.monotonic_s + remaining_s
    record = HomeRecordRow(
        record_id(row),
        hash_request(row.message),
        row.request_id,
        None,
        None,
        True,
        expires_at_s,
    )
    world.home_records.insert(record)
    schedule_expiry(world, HOME_RECORDS)
    advance_request(world, row, "admit", now)


def _end_by_record(
    world: World, row: RequestRow, record: HomeRecordRow, now: Instant
) -> None:
    """End a request whose key has a record already, by that record."""
    if record.fingerprint != hash_request(row.message):
        detail = "the key was used for another request"
        refuse_request(world, row, make_refusal(KeyReusedError, detail), now)
    elif record.answer is not None:
        answer_request(world, row, record.answer, now)
    elif record.refusal is not None:
        end_with_unknown_outcome(world, row, record.refusal, now)
    else:
        detail = "an earlier request with this key is in progress"
        refusal = make_refusal(ClaimHeldError, detail, RETRY_AFTER_S)
        end_with_unknown_outcome(world, row, refusal, now)


def _forward_to_home(
    world: World, row: RequestRow, token: HomeToken, now: Instant
) -> None:
    vm = world.vms.get(token.vm_id)
    is_gone = (
        vm is None
        or vm.incarnation != token.incarnation
        or vm.status is VmStatus.DEAD
        or not row.is_forwardable
    )
    if is_gone:
        detail = "the VM that holds the record of this key is gone"
        end_with_unknown_outcome(world, row, make_refusal(HomeGoneError, detail), now)
        return
    row = row._replace(owner_vm_id=token.vm_id, owner_incarnation=token.incarnation)
    row = advance_request(world, row, "send_home", now)
    send_forward(world, row, now)


@ending_hooks("home")
def record_home_outcome(
    world: World, row: RequestRow, ending: Ending, now: Instant
) -> None:
    """Record the outcome for retries; remove the record if it was not run."""
    if row.once != "home" or not row.key:
        return
    record = world.home_records.get(record_id(row))
    if record is None or record.request_id != row.request_id:
        return
    if _is_proven_not_run(row, ending):
        world.home_records.remove(record.record_id)
        return
    refusal = ending.refusal
    if ending.answer is None and refusal is None:
        detail = "the caller was gone before the answer came"
        refusal = make_refusal(HomeGoneError, detail)
    world.home_records.replace(
        record._replace(answer=ending.answer, refusal=refusal, is_open=False)
    )


def _is_proven_not_run(row: RequestRow, ending: Ending) -> bool:
    if ending.state is RequestState.REFUSED:
        return True
    unsent_states = (RequestState.ADMITTED, RequestState.QUEUED)
    return ending.state is RequestState.CALLER_GONE and row.state in unsent_states
