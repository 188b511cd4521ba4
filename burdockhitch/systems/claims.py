"""Records idempotency keys that callers choose as claims on the platform.

Before a request is sent anywhere, its claim is inserted into the platform's table
service, on condition that the key has no claim yet. If the insert fails or its
reply is lost, the claim is read back to find out which request holds the key.
"""

import base64
from typing import Any, TypedDict

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    ClaimHeldError,
    KeyRequiredError,
    KeyReusedError,
    PlatformClaimError,
    PlatformConflictError,
    PlatformNotFoundError,
)
from burdockhitch.messages import Answer
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
from burdockhitch.systems.home import hash_request, record_id
from burdockhitch.systems.timing import reply_handlers
from burdockhitch.tables.operations import PlatformOperationRow
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.world import World, count, send, start_platform_operation

CLAIMS_TABLE = "claims"
RECORDED_BODY_MAX_BYTES = 16 * 1024
# Retry delay that refusals suggest.
RETRY_AFTER_S = 1.0


class ClaimDocument(TypedDict):
    """The claim of one idempotency key, as stored in the table service.

    Attributes:
        request_id: Request that holds the key.
        fingerprint: Hash of method, path and body of that request.
        state: ``open``, ``answered``, ``unknown`` or ``not_run``.
        status: HTTP status of the answer; 0 unless answered.
        headers: Headers of the answer; empty unless answered.
        body: Body of the answer in Base64; empty unless answered.
    """

    request_id: str
    fingerprint: str
    state: str
    status: int
    headers: list[list[str]]
    body: str


def _make_open_claim(row: RequestRow) -> ClaimDocument:
    return ClaimDocument(
        request_id=row.request_id,
        fingerprint=hash_request(row.message),
        state="open",
        status=0,
        headers=[],
        body="",
    )


def _write_open_claim(
    world: World, row: RequestRow, version: int, now: Instant
) -> None:
    """Write an open claim, if the stored one still has ``version``; 0 for none."""
    world.requests.replace(row._replace(claim_version=version + 1))
    operation_id = start_platform_operation(world, "claim_insert", row.request_id, now)
    condition = commands.RowCondition(CLAIMS_TABLE, record_id(row), version)
    value: Any = _make_open_claim(row)
    write = commands.RowWrite(CLAIMS_TABLE, record_id(row), value)
    send(world, commands.RunTransaction(operation_id, (condition,), (write,)))


def _read_claim(world: World, row: RequestRow, now: Instant) -> None:
    operation_id = start_platform_operation(world, "claim_read", row.request_id, now)
    send(world, commands.ReadRow(operation_id, CLAIMS_TABLE, record_id(row)))


@at_most_once_policies("claim")
def admit_by_claim(world: World, row: RequestRow, now: Instant) -> None:
    """Insert a claim for the key of a request; refuse a request without a key."""
    if not row.key:
        detail = "the route needs an Idempotency-Key"
        refuse_request(world, row, make_refusal(KeyRequiredError, detail), now)
        return
    row = advance_request(world, row, "claim", now)
    _write_open_claim(world, row, 0, now)


def _get_claiming_request(
    world: World, operation: PlatformOperationRow
) -> RequestRow | None:
    """Return the request of an operation, None if it no longer waits for a claim."""
    row = world.requests.get(operation.subject)
    if row is None or row.state is not RequestState.CLAIMING:
        return None
    return row


@reply_handlers("claim_insert")
def handle_claim_insert_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Admit the request if the insert succeeded, else read the claim back."""
    row = _get_claiming_request(world, operation)
    if row is None:
        return
    if event.error is None:
        advance_request(world, row, "admit", now)
        return
    if event.error is not PlatformConflictError:
        count(world, "claim_replies_lost")
    _read_claim(world, row, now)


@reply_handlers("claim_read")
def handle_claim_read_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Resolve the claim read back, or insert it again if there is none.

    The request is refused if the claim can't be read.
    """
    row = _get_claiming_request(world, operation)
    if row is None:
        return
    if event.error is PlatformNotFoundError:
        _write_open_claim(world, row, 0, now)
    elif event.error is not None:
        detail = "the platform can't record the key"
        refusal = make_refusal(PlatformClaimError, detail, RETRY_AFTER_S)
        refuse_request(world, row, refusal, now)
    else:
        claim: ClaimDocument = event.document["value"]
        _resolve_claim(world, row, claim, event.document["version"], now)


def _resolve_claim(
    world: World, row: RequestRow, claim: ClaimDocument, version: int, now: Instant
) -> None:
    """Admit, answer or end a request by the claim that is stored for its key.

    A request that holds the key itself is admitted. Otherwise another request
    holds it, and this one:

    * is refused if it differs from that request;
    * replaces its claim if that request was not run;
    * gets its answer if that was recorded;
    * ends with an unknown outcome in all other cases.
    """
    if claim["request_id"] == row.request_id:
        row = row._replace(claim_version=version)
        advance_request(world, row, "admit", now)
    elif claim["fingerprint"] != hash_request(row.message):
        detail = "the key was used for another request"
        row = row._replace(claim_version=0)
        refuse_request(world, row, make_refusal(KeyReusedError, detail), now)
    elif claim["state"] == "not_run":
        _write_open_claim(world, row, version, now)
    elif claim["state"] == "answered":
        row = row._replace(claim_version=0)
        answer_request(world, row, _decode_answer(claim), now)
    else:
        detail = f"request {claim['request_id']} holds the key"
        refusal = make_refusal(ClaimHeldError, detail, RETRY_AFTER_S)
        end_with_unknown_outcome(world, row._replace(claim_version=0), refusal, now)


def _decode_answer(claim: ClaimDocument) -> Answer:
    headers = tuple((name, value) for name, value in claim["headers"])
    return Answer(claim["status"], headers, base64.b64decode(claim["body"]))


@ending_hooks("claim")
def record_claim_outcome(
    world: World, row: RequestRow, ending: Ending, now: Instant
) -> None:
    """Write the outcome of a request to its claim, for retries by the caller.

    An answer with a body too large to record is written as ``unknown``.
    """
    if not row.claim_version:
        return
    claim = _make_open_claim(row)
    answer = ending.answer
    if answer is not None and len(answer.body) <= RECORDED_BODY_MAX_BYTES:
        claim["state"] = "answered"
        claim["status"] = answer.status
        claim["headers"] = [list(header) for header in answer.headers]
        claim["body"] = base64.b64encode(answer.body).decode("ascii")
    elif ending.state is RequestState.REFUSED:
        claim["state"] = "not_run"
    else:
        claim["state"] = "unknown"
    operation_id = start_platform_operation(world, "claim_outcome", row.request_id, now)
    key = record_id(row)
    value: Any = claim
    condition = commands.RowCondition(CLAIMS_TABLE, key, row.claim_version)
    write = commands.RowWrite(CLAIMS_TABLE, key, value)
    send(world, commands.RunTransaction(operation_id, (condition,), (write,)))


@reply_handlers("claim_outcome")
def handle_claim_outcome_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Count an outcome whose write failed or got no reply; its claim may stay open."""
    if event.error is not None:
        count(world, "claim_outcomes_lost")
