"""Exchanges revisions of the rules between VMs; a VM never returns to an older one.

A revision is a numbered text of the rules. VMs pull or push it whole when they notice
that one of them has an older one, and gossip each change of it as a delta.
"""

import os.path
import zlib
from typing import Any

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import MessageFormatError, RulesFileError
from burdockhitch.messages import RevisionDelta, RevisionPull, RevisionPush
from burdockhitch.rules.document import RulesDocument, hash_rules, parse_rules
from burdockhitch.systems.confirmation import record_confirmation
from burdockhitch.systems.gossip import sample_peers
from burdockhitch.systems.timing import message_handlers
from burdockhitch.tables.revisions import RevisionRow
from burdockhitch.tables.table import Table
from burdockhitch.world import (
    World,
    count,
    current_revision,
    log_event,
    post_event,
    send,
    send_message,
)

IN_FORCE = "in_force"
COMPARE_CHUNK_BYTES = 4096
# A longer text is cut off when it is decompressed, so that its hash doesn't match.
RULES_TEXT_MAX_BYTES = 64 * 1024 * 1024


def sync_revision(world: World, vm_id: str, number: int) -> None:
    """Compare another VM's revision with the one in force here.

    If the other VM's is newer, it is pulled; if older, the one in force is pushed.
    """
    record_confirmation(world, vm_id, number)
    current = current_revision(world)
    if number > current:
        send_message(world, vm_id, RevisionPull(current))
    elif number < current:
        push_revision(world, vm_id)


def push_revision(world: World, vm_id: str) -> None:
    """Send a VM the whole revision in force, if there is one."""
    row = world.revisions.get(IN_FORCE)
    if row is not None:
        message = RevisionPush(row.number, row.body_hash, row.text)
        send_message(world, vm_id, message)


@message_handlers("revision_pull")
def handle_revision_pull(
    world: World, sender: str, message: RevisionPull, now: Instant
) -> None:
    """Push the revision in force to the sender if it is newer than the sender's."""
    if current_revision(world) > message.known_revision:
        push_revision(world, sender)


def is_newer(world: World, number: int) -> bool:
    """Return whether a revision is newer than the one in force, so may replace it."""
    return number > current_revision(world)


@message_handlers("revision_push")
def handle_revision_push(
    world: World, sender: str, message: RevisionPush, now: Instant
) -> None:
    """Apply a revision that the sender pushed whole, and drop one that isn't newer."""
    if not is_newer(world, message.number):
        count(world, "revisions_dropped", "reason", "old")
        return
    body = _decompress(message.text)
    _apply_if_hash_matches(world, message.number, message.body_hash, body, now)


def _apply_if_hash_matches(
    world: World, number: int, body_hash: str, body: bytes, now: Instant
) -> None:
    """Apply a rules text if it has the hash in its message, else drop it."""
    if hash_rules(body) == body_hash:
        apply_revision(world, number, body, now)
    else:
        count(world, "revisions_dropped", "reason", "hash")


@message_handlers("revision_delta")
def handle_revision_delta(
    world: World, sender: str, message: RevisionDelta, now: Instant
) -> None:
    """Apply a newer revision that the sender sent as a delta to the one in force.

    If the delta is to another revision, pull the whole text from the sender.
    """
    row = world.revisions.get(IN_FORCE)
    if not is_newer(world, message.number):
        count(world, "revisions_dropped", "reason", "old")
    elif row is None or row.body_hash != message.parent_hash:
        send_message(world, sender, RevisionPull(current_revision(world)))
    else:
        body = apply_delta(_decompress(row.text), message)
        _apply_if_hash_matches(world, message.number, message.body_hash, body, now)


def _decompress(compressed: bytes) -> bytes:
    """Return the first ``RULES_TEXT_MAX_BYTES`` of a text compressed with zlib."""
    try:
        return zlib.decompressobj().decompress(compressed, RULES_TEXT_MAX_BYTES)
    except zlib.error as error:
        raise MessageFormatError(str(error)) from None


def apply_delta(parent: bytes, delta: RevisionDelta) -> bytes:
    """Return the text that results from applying a delta to its parent."""
    replacement = _decompress(delta.replacement)
    return parent[: delta.start] + replacement + parent[delta.end :]


def common_prefix_length(first: bytes, second: bytes) -> int:
    """Return the length in bytes of the common prefix of two texts."""
    start = 0
    while start < min(len(first), len(second)):
        end = start + COMPARE_CHUNK_BYTES
        chunks = [first[start:end], second[start:end]]
        if chunks[0] != chunks[1]:
            return start + len(os.path.commonprefix(chunks))
        start = end
    return min(len(first), len(second))


def make_delta(number: int, parent: bytes, body: bytes) -> RevisionDelta:
    """Return the delta that replaces the one range in which the body differs."""
    start = common_prefix_length(parent, body)
    n_suffix_bytes_max = min(len(parent), len(body)) - start
    reversed_ends = [
        parent[len(parent) - n_suffix_bytes_max :][::-1],
        body[len(body) - n_suffix_bytes_max :][::-1],
    ]
    n_suffix_bytes = common_prefix_length(*reversed_ends)
    return RevisionDelta(
        number=number,
        parent_hash=hash_rules(parent),
        body_hash=hash_rules(body),
        start=start,
        end=len(parent) - n_suffix_bytes,
        replacement=zlib.compress(body[start : len(body) - n_suffix_bytes]),
    )


def _replace_rows(table: Table[Any], rows: tuple[Any, ...]) -> None:
    """Make a table hold exactly the given rows; their first field is the key."""
    keys = {row[0] for row in rows}
    for old in table:
        if old[0] not in keys:
            table.remove(old[0])
    for row in rows:
        table.put(row)


def _store_rules(world: World, document: RulesDocument) -> None:
    _replace_rows(world.services, document.services)
    _replace_rows(world.backend_servers, document.servers)
    _replace_rows(world.routes, document.routes)
    _replace_rows(world.rate_limits, document.limits)
    _replace_rows(world.windows, document.windows)


def apply_revision(world: World, number: int, body: bytes, now: Instant) -> bool:
    """Put a revision in force if it is newer than the current one, and gossip it.

    Random peers get the delta to the previous revision, or the whole text if there
    was none. A text with an error is logged and dropped.

    Args:
        world: Tables of this VM.
        number: Number of the revision.
        body: Rules text, not compressed.
        now: Time of the tick.

    Returns:
        Whether it came into force.
    """
    if not is_newer(world, number):
        return False
    try:
        document = parse_rules(body)
    except RulesFileError as error:
        log_event(
            world, "ERROR", "revision_unusable", revision=number, error=str(error)
        )
        count(world, "revisions_dropped", "reason", "unusable")
        return False
    old = world.revisions.get(IN_FORCE)
    _store_rules(world, document)
    compressed = zlib.compress(body)
    row = RevisionRow(IN_FORCE, number, hash_rules(body), compressed, now.monotonic_s)
    world.revisions.put(row)
    log_event(world, "INFO", "revision_in_force", revision=number)
    post_event(world, events.RevisionApplied(number))
    message: RevisionPush | RevisionDelta
    if old is None:
        message = RevisionPush(number, row.body_hash, compressed)
    else:
        message = make_delta(number, _decompress(old.text), body)
    for peer in sample_peers(world, world.settings.membership.fanout):
        send(world, commands.SendMessage(peer.vm_id, peer.message_address, message))
    return True
