"""What operators do with the rules on the platform: push, pull and log."""

import secrets
from typing import Any, NamedTuple

import msgspec
import treq

from burdockhitch.adapters.platform import encode_transaction, object_path, row_path
from burdockhitch.clock import Clock
from burdockhitch.commands import Condition, RunTransaction, Write
from burdockhitch.errors import (
    BaseUnknownError,
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)
from burdockhitch.rules.document import hash_rules, parse_rules
from burdockhitch.rules.merge import check_deletion, merge_rules
from burdockhitch.systems.configuration import HEAD_KEY, REVISIONS_TABLE, HeadDocument

BASE_MARK = "# revision "
TIMEOUT_S = 2.0
N_TRIES = 5
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class Head(NamedTuple):
    """The head revision and the version of its row; number 0 for none."""

    version: int
    number: int
    body_hash: str
    text: str


class PushResult(NamedTuple):
    """What a push led to.

    Attributes:
        number: Revision that holds the pushed rules.
        is_merged: Whether rules of another operator were merged in.
        is_changed: Whether a new revision was made.
    """

    number: int
    is_merged: bool
    is_changed: bool


class PlatformClient:
    """The platform as operators' commands use it.

    Args:
        address: ``ip:port`` of the platform.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"

    async def _ask(self, method: str, path: str, body: bytes | None = None) -> bytes:
        try:
            response = await treq.request(
                method,
                self._url + path,
                data=body,
                timeout=TIMEOUT_S,
                persistent=False,
            )
            content: bytes = await treq.content(response)
        except Exception as error:
            raise PlatformUnavailableError(str(error)) from None
        if response.code == STATUS_OK:
            return content
        if response.code == STATUS_NOT_FOUND:
            raise PlatformNotFoundError(path)
        if response.code == STATUS_CONFLICT:
            raise PlatformConflictError(path)
        raise PlatformUnavailableError(path)

    async def read_row(self, table: str, key: str) -> Any:
        """Return a row with its version."""
        return msgspec.json.decode(await self._ask("GET", row_path(table, key)))

    async def read_table(self, table: str) -> Any:
        """Return all rows of a table."""
        return msgspec.json.decode(await self._ask("GET", f"/tables/{table}/rows"))

    async def read_object(self, name: str) -> bytes:
        """Return an object."""
        return await self._ask("GET", object_path(name))

    async def write_object(self, name: str, body: bytes) -> None:
        """Write an object."""
        await self._ask("PUT", object_path(name), body)

    async def run_transaction(self, command: RunTransaction) -> None:
        """Write rows if all conditions hold."""
        await self._ask("POST", "/transactions", encode_transaction(command))


async def read_head(client: PlatformClient) -> Head:
    """Return the head revision with its text.

    Raises:
        PlatformUnavailableError: If the platform gives no answer.
    """
    try:
        row = await client.read_row(REVISIONS_TABLE, HEAD_KEY)
    except PlatformNotFoundError:
        return Head(0, 0, "", "")
    value: HeadDocument = row["value"]
    body = await client.read_object(value["body_hash"])
    return Head(row["version"], value["number"], value["body_hash"], body.decode())


def mark_base(head: Head) -> str:
    """Return the text of a pulled file; its first line names the revision."""
    return f"{BASE_MARK}{head.number} {head.body_hash}\n{head.text}"


def split_base(text: str) -> tuple[str, str]:
    """Return the hash of the revision a file started from, and its rules."""
    first, _, rest = text.partition("\n")
    if not first.startswith(BASE_MARK):
        return "", text
    return first.rpartition(" ")[2], rest


async def _merge(
    client: PlatformClient, head: Head, base_hash: str, ours: str
) -> tuple[str, bool]:
    if head.number == 0 or base_hash == head.body_hash:
        return ours, False
    if not base_hash:
        raise BaseUnknownError(head.number)
    base = (await client.read_object(base_hash)).decode()
    return merge_rules(base, ours, head.text), True


async def _commit(
    client: PlatformClient, head: Head, body: bytes, operator: str, clock: Clock
) -> bool:
    operation_id = secrets.token_hex(16)
    document: Any = HeadDocument(
        number=head.number + 1,
        body_hash=hash_rules(body),
        parent_hash=head.body_hash,
        operation_id=operation_id,
        pushed_by=operator,
        pushed_at=clock.now().utc.isoformat(),
    )
    record_key = str(document["number"])
    command = RunTransaction(
        operation_id,
        (
            Condition(REVISIONS_TABLE, HEAD_KEY, head.version),
            Condition(REVISIONS_TABLE, record_key, 0),
        ),
        (
            Write(REVISIONS_TABLE, HEAD_KEY, document),
            Write(REVISIONS_TABLE, record_key, document),
        ),
    )
    try:
        await client.run_transaction(command)
    except PlatformConflictError:
        return False
    except PlatformUnavailableError:
        return await _settle(client, record_key, operation_id)
    return True


async def _settle(client: PlatformClient, record_key: str, operation_id: str) -> bool:
    """Find out whether a transaction took effect whose answer was lost."""
    for attempt in range(N_TRIES):
        try:
            row = await client.read_row(REVISIONS_TABLE, record_key)
        except PlatformNotFoundError:
            return False
        except PlatformUnavailableError:
            if attempt == N_TRIES - 1:
                raise
            continue
        return bool(row["value"]["operation_id"] == operation_id)
    return False


async def push_rules(
    client: PlatformClient,
    text: str,
    operator: str,
    clock: Clock,
    is_deletion_allowed: bool,
) -> PushResult:
    """Check, merge and commit a rules file.

    Args:
        client: The platform.
        text: Content of the operator's file.
        operator: Who pushes.
        clock: Source of time.
        is_deletion_allowed: Whether most rules may be deleted.

    Raises:
        RulesFileError: If the rules, or the merged rules, are unusable.
        MergeConflictError: If another operator changed the same rule.
        LargeDeletionError: If most rules would go without confirmation.
        BaseUnknownError: If the file does not say which revision it is of.
        PlatformUnavailableError: If the outcome can't be found out.
    """
    base_hash, ours = split_base(text)
    parse_rules(ours.encode())
    for _ in range(N_TRIES):
        head = await read_head(client)
        merged, is_merged = await _merge(client, head, base_hash, ours)
        body = merged.encode()
        parse_rules(body)
        if merged == head.text:
            return PushResult(head.number, is_merged, False)
        if not is_deletion_allowed:
            check_deletion(head.text, merged)
        await client.write_object(hash_rules(body), body)
        if await _commit(client, head, body, operator, clock):
            return PushResult(head.number + 1, is_merged, True)
    raise PlatformConflictError("other operators pushed at the same time")


async def read_log(client: PlatformClient) -> list[HeadDocument]:
    """Return all revisions, newest first."""
    rows = await client.read_table(REVISIONS_TABLE)
    documents = [row["value"] for key, row in rows.items() if key != HEAD_KEY]
    return sorted(documents, key=lambda document: -document["number"])
