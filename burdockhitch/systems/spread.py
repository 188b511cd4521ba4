"""Passes revisions of the configuration from VM to VM, never backwards."""

import zlib
from typing import Any

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import RulesFileError
from burdockhitch.messages import RevisionPull, RevisionPush
from burdockhitch.rules.document import RulesDocument, hash_rules, parse_rules
from burdockhitch.systems.confirmation import confirm
from burdockhitch.systems.gossip import choose_peers
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
TEXT_MAX_BYTES = 64 * 1024 * 1024


def note_revision(world: World, vm_id: str, number: int) -> None:
    """Exchange revisions with a VM that has another one."""
    confirm(world, vm_id, number)
    current = current_revision(world)
    if number > current:
        send_message(world, vm_id, RevisionPull(current))
    elif number < current:
        push_revision(world, vm_id)


def push_revision(world: World, vm_id: str) -> None:
    """Send the revision in force to a VM."""
    row = world.revisions.get(IN_FORCE)
    if row is not None:
        message = RevisionPush(row.number, row.body_hash, row.text)
        send_message(world, vm_id, message)


@message_handlers("revision_pull")
def take_pull(world: World, sender: str, message: RevisionPull, now: Instant) -> None:
    """Send the revision in force to a VM that asks for a newer one."""
    if current_revision(world) > message.above:
        push_revision(world, sender)


def is_newer(world: World, number: int) -> bool:
    """Return whether a revision may replace the one in force."""
    return number > current_revision(world)


@message_handlers("revision_push")
def take_push(world: World, sender: str, message: RevisionPush, now: Instant) -> None:
    """Take over a newer revision from another VM."""
    if not is_newer(world, message.number):
        count(world, "revisions_dropped", "reason", "old")
        return
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(message.text, TEXT_MAX_BYTES)
    if hash_rules(body) != message.body_hash:
        count(world, "revisions_dropped", "reason", "hash")
        return
    apply_revision(world, message.number, body, now)


def _replace_rows(table: Table[Any], rows: tuple[Any, ...]) -> None:
    keys = {row[0] for row in rows}
    for old in table:
        if old[0] not in keys:
            table.remove(old[0])
    for row in rows:
        table.put(row)


def _store_document(world: World, document: RulesDocument) -> None:
    _replace_rows(world.services, document.services)
    _replace_rows(world.backend_servers, document.servers)
    _replace_rows(world.routes, document.routes)
    _replace_rows(world.limits, document.limits)
    _replace_rows(world.windows, document.windows)


def apply_revision(world: World, number: int, body: bytes, now: Instant) -> bool:
    """Put a revision in force if it is newer than the current one.

    Args:
        world: Tables of this VM.
        number: Number of the revision.
        body: Rules text.
        now: Time of the tick.

    Returns:
        Whether it came in force.
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
    _store_document(world, document)
    text = zlib.compress(body)
    row = RevisionRow(IN_FORCE, number, hash_rules(body), text, now.monotonic_s)
    world.revisions.put(row)
    log_event(world, "INFO", "revision_in_force", revision=number)
    post_event(world, events.RevisionApplied(number))
    for peer in choose_peers(world, world.settings.membership.fanout):
        message = RevisionPush(number, row.body_hash, text)
        send(world, commands.SendMessage(peer.vm_id, peer.message_address, message))
    return True
