"""Hands a backend server over if its owner can't reach it but another VM can.

The owner, the only VM that sends requests to the server, then disowns it: it sends
all VMs the message that it must not own the server for ``DISOWN_DURATION_S``.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.messages import Disown, ReachAnswer, ReachQuery
from burdockhitch.systems.gossip import list_peers
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import message_handlers
from burdockhitch.tables.server_health import ReachQueryRow, ServerHealthRow
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    log_event,
    pop_events,
    post_event,
    send,
    send_message,
)

# VMs queried about a server.
N_QUERIED_PEERS = 2
# Failures to connect in a row after which other VMs are queried.
CONNECT_FAILURES_MIN = 3
# Time for which an ejection is withheld to wait for answers.
QUERY_TIMEOUT_S = 0.5
# Shortest time between two queries about a server.
QUERY_INTERVAL_MIN_S = 5.0
# Time for which a VM must not own a server that it handed over.
DISOWN_DURATION_S = 60.0


def _choose_query_peers(world: World) -> list[VmRow]:
    """Return up to ``N_QUERIED_PEERS`` random live VMs, those of other zones first."""
    alive = [vm for vm in list_peers(world) if vm.status is VmStatus.ALIVE]
    world.rng.shuffle(alive)
    alive.sort(key=lambda vm: vm.zone == world.local.zone)
    return alive[:N_QUERIED_PEERS]


def query_server_reachability(world: World, row: ServerHealthRow, now: Instant) -> bool:
    """Ask other VMs whether they reach a server that this VM can't connect to.

    The server is handed over if one of them reaches it.

    Returns:
        Whether to withhold the ejection, because answers may still arrive or
        because the server was handed over.
    """
    if row.n_connect_failures < CONNECT_FAILURES_MIN:
        return False
    query = world.reach_queries.get(row.server_id)
    if query is None or now.monotonic_s - query.queried_at_s > QUERY_INTERVAL_MIN_S:
        return _query_peers(world, row, now)
    if query.is_reachable:
        _hand_over_server(world, row)
        return True
    return now.monotonic_s - query.queried_at_s < QUERY_TIMEOUT_S


def _query_peers(world: World, row: ServerHealthRow, now: Instant) -> bool:
    """Send queries about a server; return whether there is any VM to query."""
    peers = _choose_query_peers(world)
    world.reach_queries.put(ReachQueryRow(row.server_id, now.monotonic_s, False))
    for vm in peers:
        send_message(world, vm.vm_id, ReachQuery(row.server_id))
    return bool(peers)


def _hand_over_server(world: World, row: ServerHealthRow) -> None:
    """Disown a server, here and on all other VMs."""
    world.reach_queries.remove(row.server_id)
    count(world, "servers_handed_over")
    log_event(world, "WARNING", "server_handed_over", server=row.server_id)
    for vm in list_peers(world):
        send_message(world, vm.vm_id, Disown(row.server_id, DISOWN_DURATION_S))
    own_id = world.local.vm_id
    post_event(world, events.ServerDisowned(row.server_id, own_id, DISOWN_DURATION_S))


@message_handlers("reach_query")
def handle_reach_query(
    world: World, sender: str, message: ReachQuery, now: Instant
) -> None:
    """Probe a backend server on behalf of the sender."""
    server = world.backend_servers.get(message.server_id)
    if server is not None:
        timeout_s = world.settings.backend_servers.probe_timeout_s
        command = commands.ProbeForPeer(
            sender, server.server_id, server.address, timeout_s
        )
        send(world, command)


@system(Phase.HEALTH)
def answer_reach_queries(world: World, now: Instant) -> None:
    """Send the results of finished probes to the VMs that queried."""
    for event in pop_events(world, events.ServerProbedForPeer):
        answer = ReachAnswer(event.server_id, event.is_ok)
        send_message(world, event.requesting_vm_id, answer)


@message_handlers("reach_answer")
def handle_reach_answer(
    world: World, sender: str, message: ReachAnswer, now: Instant
) -> None:
    """Record that the sender reaches the server, if its probe succeeded."""
    row = world.reach_queries.get(message.server_id)
    if row is not None and message.is_ok:
        world.reach_queries.replace(row._replace(is_reachable=True))


@message_handlers("disown")
def handle_disown(world: World, sender: str, message: Disown, now: Instant) -> None:
    """Post an event: the sender must not own a server for a while."""
    event = events.ServerDisowned(message.server_id, sender, message.duration_s)
    post_event(world, event)
