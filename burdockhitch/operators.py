"""Operators' commands on the rules stored on the platform: push, pull and log.

The rules text is an object named by its hash. The head row of the revisions table
names the latest revision, a numbered state of the rules; each revision also has a row
of its own.
"""

import secrets
from typing import Any, NamedTuple

import msgspec
import treq

from burdockhitch.adapters.platform import encode_transaction, object_path, row_path
from burdockhitch.clock import Clock
from burdockhitch.commands import RowCondition, RowWrite, RunTransaction
from burdockhitch.errors import (
    BaseRevisionMissingError,
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)
from burdockhitch.rules.document import hash_rules, parse_rules
from burdockhitch.rules.merge import check_deletion, merge_rules
from burdockhitch.systems.configuration import HEAD_KEY, REVISIONS_TABLE, HeadDocument

BASE_REVISION_PREFIX = "# revision "
HTTP_TIMEOUT_S = 2.0
# Most tries of a push, and of the read that finds out whether a push took effect.
N_PUSH_TRIES = 5
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class Head(NamedTuple):
    """The latest revision of the rules.

    Attributes:
        version: Version of the head row, for conditional writes; 0 if there is none.
        number: Number of the revision; 0 if there is none.
        body_hash: Name of the rules text in the object store.
        text: The rules text.
    """

    version: int
    number: int
    body_hash: str
    text: str


class PushResult(NamedTuple):
    """The outcome of a push.

    Attributes:
        number: Revision that contains the pushed rules.
        is_merged: Whether changes of other operators were merged in.
        is_changed: Whether the push created a new revision.
    """

    number: int
    is_merged: bool
    is_changed: bool


class PlatformClient:
    """HTTP client of the platform's table service and object store.

    Its methods raise ``PlatformNotFoundError`` on 404, ``PlatformConflictError`` on
    409, and ``PlatformUnavailableError`` on any other failure.

    Args:
        address: ``ip:port`` of the platform.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> bytes:
        try:
            answer = await treq.request(
                method,
                self._url + path,
                data=body,
                timeout=HTTP_TIMEOUT_S,
                persistent=False,
            )
            content: bytes = await treq.content(answer)
        except Exception as error:
            raise PlatformUnavailableError(str(error)) from None
        if answer.code == STATUS_OK:
            return content
        if answer.code == STATUS_NOT_FOUND:
            raise PlatformNotFoundError(path)
        if answer.code == STATUS_CONFLICT:
            raise PlatformConflictError(path)
        raise PlatformUnavailableError(path)

    async def read_row(self, table: str, key: str) -> Any:
        """Return a row as a document with ``value`` and ``version``."""
        return msgspec.json.decode(await self._request("GET", row_path(table, key)))

    async def read_table(self, table: str) -> Any:
        """Return all rows of a table, by key."""
        return msgspec.json.decode(await self._request("GET", f"/tables/{table}/rows"))

    async def read_object(self, name: str) -> bytes:
        """Return the content of an object."""
        return await self._request("GET", object_path(name))

    async def write_object(self, name: str, body: bytes) -> None:
        """Create or replace an object."""
        await self._request("PUT", object_path(name), body)

    async def run_transaction(self, command: RunTransaction) -> None:
        """Write all rows of a transaction if all its conditions are met.

        Raises:
            PlatformConflictError: If a condition is not met.
            PlatformUnavailableError: If it is unknown whether the rows were written.
        """
        await self._request("POST", "/transactions", encode_transaction(command))


async def read_head(client: PlatformClient) -> Head:
    """Return the latest revision with its text.

    Raises:
        PlatformUnavailableError: If the platform sends no usable answer.
    """
    try:
        row = await client.read_row(REVISIONS_TABLE, HEAD_KEY)
    except PlatformNotFoundError:
        return Head(0, 0, "", "")
    value: HeadDocument = row["value"]
    body = await client.read_object(value["body_hash"])
    return Head(row["version"], value["number"], value["body_hash"], body.decode())


def add_base_revision(head: Head) -> str:
    """Return the text of a pulled file: the rules after a line naming the revision."""
    return f"{BASE_REVISION_PREFIX}{head.number} {head.body_hash}\n{head.text}"


def split_base_revision(text: str) -> tuple[str, str]:
    """Return the hash of the revision that a file is based on, and its rules.

    The hash is empty if the first line of the file does not name a revision.
    """
    first_line, _, rules = text.partition("\n")
    if not first_line.startswith(BASE_REVISION_PREFIX):
        return "", text
    return first_line.rpartition(" ")[2], rules


async def _merge_with_head(
    client: PlatformClient, head: Head, base_hash: str, ours: str
) -> tuple[str, bool]:
    """Return the rules to push, and whether they were merged with the head.

    Args:
        client: Client of the platform.
        head: Latest revision.
        base_hash: Hash of the revision that the operator's file is based on, or empty.
        ours: Rules of the operator's file.
    """
    if head.number == 0 or base_hash == head.body_hash:
        return ours, False
    if not base_hash:
        raise BaseRevisionMissingError(head.number)
    base = (await client.read_object(base_hash)).decode()
    return merge_rules(base, ours, head.text), True


async def _commit_revision(
    client: PlatformClient, head: Head, body: bytes, operator: str, clock: Clock
) -> bool:
    """Store a new revision; return False if another push stored its revision first.

    Raises:
        PlatformUnavailableError: If it is unknown whether the revision was stored.
    """
    operation_id = secrets.token_hex(16)
    document: Any = HeadDocument(
        number=head.number + 1,
        body_hash=hash_rules(body),
        parent_hash=head.body_hash,
        operation_id=operation_id,
        pushed_by=operator,
        pushed_at=clock.now().utc.isoformat(),
    )
    revision_key = str(document["number"])
    command = RunTransaction(
        operation_id,
        (
            RowCondition(REVISIONS_TABLE, HEAD_KEY, head.version),
            RowCondition(REVISIONS_TABLE, revision_key, 0),
        ),
        (
            RowWrite(REVISIONS_TABLE, HEAD_KEY, document),
            RowWrite(REVISIONS_TABLE, revision_key, document),
        ),
    )
    try:
        await client.run_transaction(command)
    except PlatformConflictError:
        return False
    except PlatformUnavailableError:
        return await _is_committed(client, revision_key, operation_id)
    return True


async def _is_committed(
    client: PlatformClient, revision_key: str, operation_id: str
) -> bool:
    """Return whether a transaction without a usable answer took effect.

    It did if the row of the revision holds the operation id of the transaction.
    """
    for attempt in range(N_PUSH_TRIES):
        try:
            row = await client.read_row(REVISIONS_TABLE, revision_key)
        except PlatformNotFoundError:
            return False
        except PlatformUnavailableError:
            if attempt == N_PUSH_TRIES - 1:
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
    """Check a rules file, merge it with the latest revision and store the result.

    If another revision is stored meanwhile, the merge starts over from that one.

    Args:
        client: Client of the platform.
        text: Content of the operator's file.
        operator: Name of the operator, stored with the revision.
        clock: Source of time.
        is_deletion_allowed: Whether the push may delete more than half of the rules.

    Raises:
        RulesFileError: If the rules, or the merged rules, are invalid.
        MergeConflictError: If another operator changed the same rule differently.
        LargeDeletionError: If more than half of the rules would be deleted and
            ``is_deletion_allowed`` is False.
        BaseRevisionMissingError: If the file does not name the revision it is based on.
        PlatformNotFoundError: If the platform does not have the revision that the
            file is based on.
        PlatformConflictError: If other operators' pushes came first on every try.
        PlatformUnavailableError: If it is unknown whether the revision was stored.
    """
    base_hash, ours = split_base_revision(text)
    parse_rules(ours.encode())
    for _ in range(N_PUSH_TRIES):
        head = await read_head(client)
        merged, is_merged = await _merge_with_head(client, head, base_hash, ours)
        body = merged.encode()
        parse_rules(body)
        if merged == head.text:
            return PushResult(head.number, is_merged, False)
        if not is_deletion_allowed:
            check_deletion(head.text, merged)
        await client.write_object(hash_rules(body), body)
        if await _commit_revision(client, head, body, operator, clock):
            return PushResult(head.number + 1, is_merged, True)
    raise PlatformConflictError(
        "other operators pushed at the same time; run the push again"
    )


async def read_log(client: PlatformClient) -> list[HeadDocument]:
    """Return the documents of all revisions, newest first."""
    rows = await client.read_table(REVISIONS_TABLE)
    documents = [row["value"] for key, row in rows.items() if key != HEAD_KEY]
    return sorted(documents, key=lambda document: -document["number"])
