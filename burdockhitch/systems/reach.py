"""Hands a backend server over if its owner can't reach it but another VM can."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.messages import Disown, ReachAnswer, ReachQuery
from burdockhitch.systems.gossip import other_vms
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import message_handlers
from burdockhitch.tables.health_signals import HealthRow, ReachRow
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    log_event,
    post_event,
    send,
    send_message,
    take_events,
)

# VMs queried about a server.
N_ASKED = 2
# Failures to connect in a row after which other VMs are queried.
N_UNREACHABLE = 3
ANSWER_TIMEOUT_S = 0.5
# Shortest time between two queries about a server.
ASK_PERIOD_S = 5.0
DISOWN_S = 60.0


def _choose_query_peers(world: World) -> list[VmRow]:
    """Return up to ``N_ASKED`` random live VMs, those of other zones first."""
    alive = [vm for vm in other_vms(world) if vm.status is VmStatus.ALIVE]
    world.rng.shuffle(alive)
    alive.sort(key=lambda vm: vm.zone == world.local.zone)
    return alive[:N_ASKED]


def is_handed_over(world: World, row: HealthRow, now: Instant) -> bool:
    """Query other VMs about a server that this VM can't connect to.

    The server is handed over if one of them reaches it.

    Returns:
        Whether to withhold the ejection, because answers may still arrive or
        because the server was handed over.
    """
    if row.n_connect_failures < N_UNREACHABLE:
        return False
    query = world.reaches.get(row.server_id)
    if query is None or now.monotonic_s - query.asked_at_s > ASK_PERIOD_S:
        return _query_peers(world, row, now)
    if query.is_ok:
        _hand_over(world, row)
        return True
    return now.monotonic_s - query.asked_at_s < ANSWER_TIMEOUT_S


def _query_peers(world: World, row: HealthRow, now: Instant) -> bool:
    """Send the queries; return whether there is any VM to query."""
    peers = _choose_query_peers(world)
    world.reaches.put(ReachRow(row.server_id, now.monotonic_s, False))
    for vm in peers:
        send_message(world, vm.vm_id, ReachQuery(row.server_id))
    return bool(peers)


def _hand_over(world: World, row: HealthRow) -> None:
    world.reaches.remove(row.server_id)
    count(world, "servers_handed_over")
    log_event(world, "WARNING", "server_handed_over", server=row.server_id)
    for vm in other_vms(world):
        send_message(world, vm.vm_id, Disown(row.server_id, DISOWN_S))
    own_id = world.local.vm_id
    post_event(world, events.ServerDisowned(row.server_id, own_id, DISOWN_S))


@message_handlers("reach_query")
def take_query(world: World, sender: str, message: ReachQuery, now: Instant) -> None:
    """Probe a backend server on behalf of the sender."""
    server = world.backend_servers.get(message.server_id)
    if server is not None:
        timeout_s = world.settings.backend_servers.probe_timeout_s
        command = commands.ProbeForPeer(
            sender, server.server_id, server.address, timeout_s
        )
        send(world, command)


@system(Phase.HEALTH)
def answer_queries(world: World, now: Instant) -> None:
    """Send the results of finished probes to the VMs that requested them."""
    for event in take_events(world, events.ServerProbedForPeer):
        answer = ReachAnswer(event.server_id, event.is_ok)
        send_message(world, event.requesting_vm_id, answer)


@message_handlers("reach_answer")
def take_answer(world: World, sender: str, message: ReachAnswer, now: Instant) -> None:
    """Record that another VM can reach the server."""
    row = world.reaches.get(message.server_id)
    if row is not None and message.is_ok:
        world.reaches.replace(row._replace(is_ok=True))


@message_handlers("disown")
def take_disown(world: World, sender: str, message: Disown, now: Instant) -> None:
    """Post the event that the sender must not own a server for a while."""
    event = events.ServerDisowned(message.server_id, sender, message.duration_s)
    post_event(world, event)
