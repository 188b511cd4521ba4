"""Cases of membership, revisions, planned stops and reports of lost requests."""

from burdockhitch import events
from burdockhitch.messages import RevisionPush
from burdockhitch.systems import (
    addresses,
    confirmation,
    draining,
    gossip,
    intake,
    membership,
    ownership,
    revision_exchange,
    witness,
)
from burdockhitch.tests import fleets
from burdockhitch.tests.cases import DisabledMechanism, always, case
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import VASTKUST
from burdockhitch.world import current_revision

# Longest time from the death of a VM until its lost requests are logged.
LOST_REPORT_MAX_S = 10.0
# Longest time from rules that drain a backend server until no VM sends to it.
DRAIN_MAX_S = 3.0
# Longest time until a new revision is in force on every VM.
REVISION_MAX_S = 6.0
# Time from the death of a VM after which no other VM has a row of it.
DEAD_VM_REMOVED_S = gossip.DEAD_RETENTION_S + 60.0
# Longest time from the death of a VM until no other VM has it as alive.
DEAD_MAX_S = 5.0


@case(
    "drain_server",
    "a draining backend server gets no new requests",
    "the rules mark a server as draining under load",
    DisabledMechanism(ownership, "_sync_draining", always(None)),
)
def draining_server_gets_no_requests() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    rules = fleets.make_rules_text(VASTKUST).replace(
        f"{address} zone=vk-a slots=4", f"{address} zone=vk-a slots=4 state=draining"
    )
    fleet.commit_rules(rules)
    n_executed_after_drain = 0
    for step in range(400):
        n_executed_before = len(fleet.executed_requests)
        for vm_id in sorted(fleet.worlds):
            fleet.call(vm_id, "GET", "/look")
        fleet.run(0.02)
        if step * 0.02 > DRAIN_MAX_S:
            n_executed_after_drain += sum(
                request.address == address
                for request in fleet.executed_requests[n_executed_before:]
            )
    return n_executed_after_drain


@case(
    "stop_vm",
    "a planned stop interrupts no request",
    "a VM is told to stop under load while backend servers are slow",
    DisabledMechanism(draining, "is_idle", always(True)),
)
def stopping_vm_answers_every_request() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.service_time_s = 1.5
    fleet.call("vk-a-0", "GET", "/look")
    fleet.post("vk-a-0", events.StopRequested())
    for _ in range(55):
        fleet.run(0.1)
        fleet.call("vk-a-0", "GET", "/look")
        fleet.call("vk-b-0", "GET", "/look")
    fleet.run(20.0)
    assert "vk-a-0" not in fleet.worlds
    return len(fleet.sent_requests.keys() - fleet.caller_replies.keys())


@case(
    "draining_not_offered",
    "a planned stop interrupts no request",
    "callers request addresses while a VM is draining",
    DisabledMechanism(addresses, "accepts_callers", always(True)),
)
def draining_vm_is_not_offered() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    draining_address = fleet.worlds["vk-a-0"].settings.vm.caller_address
    fleet.post("vk-a-0", events.StopRequested())
    fleet.run(0.5)
    connection_numbers = [
        fleet.ask_addresses("vk-b-0", "booking", "vk-a") for _ in range(5)
    ]
    fleet.run(0.1)
    return sum(
        offer.address == draining_address
        for connection_number in connection_numbers
        for offer in fleet.caller_replies[connection_number].command.offers
    )


@case(
    "old_revision",
    "the configuration never reverts",
    "late messages carry older revisions",
    DisabledMechanism(revision_exchange, "is_newer", always(True)),
    DisabledMechanism(revision_exchange, "sample_peers", always([])),
)
def older_revision_is_ignored() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    old_revision = fleet.worlds["vk-a-0"].revisions.fetch("in_force")
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.make_rules_text(VASTKUST, extra=extra))
    fleet.run(REVISION_MAX_S)
    message = RevisionPush(
        old_revision.number, old_revision.body_hash, old_revision.text
    )
    for vm_id in sorted(fleet.worlds):
        fleet.post(vm_id, events.VmMessageArrived("vk-b-0", message))
        fleet.run(0.01)
    return sum(current_revision(world) != 2 for world in fleet.worlds.values())


@case(
    "revision_in_force",
    "a new revision is in force everywhere within seconds",
    "the platform fails right after one VM read the revision",
    DisabledMechanism(revision_exchange, "sample_peers", always([])),
    DisabledMechanism(revision_exchange, "sync_revision", always(None)),
    DisabledMechanism(membership, "sync_revision", always(None)),
)
def revision_spreads_without_platform() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.make_rules_text(VASTKUST, extra=extra))
    worlds = list(fleet.worlds.values())
    while not any(current_revision(world) == 2 for world in worlds):
        fleet.run(0.001)
    fleet.is_platform_down = True
    fleet.loss_ratio = 0.1
    fleet.run(REVISION_MAX_S)
    return sum(current_revision(world) != 2 for world in worlds)


@case(
    "start_in_outage",
    "the configuration never reverts",
    "a VM starts while the platform is down",
    DisabledMechanism(membership, "sync_revision", always(None)),
    DisabledMechanism(revision_exchange, "push_revision", always(None)),
)
def starting_vm_gets_revision_from_peers() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.is_platform_down = True
    world = fleet.add_vm("vk-a-9", "vk-a")
    fleet.run(REVISION_MAX_S)
    return int(current_revision(world) != 1)


@case(
    "lost_reported",
    "lost requests are reported",
    "a VM dies with open non-idempotent requests",
    DisabledMechanism(witness, "_announce", always(None)),
)
def lost_requests_are_logged() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "silent"
    numbers = [fleet.call("vk-a-0", "POST", "/plain", b"seat %d" % n) for n in range(5)]
    fleet.run(0.01)
    fleet.kill("vk-a-0")
    fleet.run(LOST_REPORT_MAX_S)
    reported_ids = {
        command.fields["request_id"]
        for _vm_id, command in fleet.logs
        if command.event == "request_lost" and command.fields["requester"] == "Jonas"
    }
    return len(numbers) - len(reported_ids)


@case(
    "dead_vm",
    "membership views are correct",
    "a VM is killed",
    DisabledMechanism(membership, "change_vm_status", always(None)),
)
def killed_vm_leaves_all_views() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.kill("vk-a-0")
    fleet.run(DEAD_MAX_S)
    return sum("vk-a-0" in fleet.alive_vm_ids(vm_id) for vm_id in fleet.worlds)


@case(
    "one_way_vm",
    "membership views are correct",
    "messages from one VM to another are dropped; both reach all others",
    DisabledMechanism(membership, "sample_peers", always([])),
)
def one_way_partition_suspects_no_vm() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.cut_routes.add(("vk-a-0", "vk-b-0"))
    fleet.run(30.0)
    return sum(
        command.event == "vm_changed" and command.fields["after"] == "suspect"
        for _vm_id, command in fleet.logs
    )


def _commit_without_vm(fleet: FakeFleet, isolated_vm: str) -> None:
    """Put revision 2 in force on every VM but one, which no other VM can reach.

    The platform is down afterwards, so the isolated VM still has revision 1.
    """
    other_vms = set(fleet.worlds) - {isolated_vm}
    for vm_id in other_vms:
        fleet.cut_routes |= {(vm_id, isolated_vm), (isolated_vm, vm_id)}
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.make_rules_text(VASTKUST, extra=extra))
    while not any(current_revision(fleet.worlds[vm_id]) == 2 for vm_id in other_vms):
        fleet.run(0.001)
    fleet.is_platform_down = True
    fleet.run(10.0)
    assert current_revision(fleet.worlds[isolated_vm]) == 1


@case(
    "stale_peer_only",
    "the configuration never reverts",
    "a VM starts in an outage and reaches only a VM with an older revision",
    DisabledMechanism(confirmation, "N_CONFIRMING_PEERS", 1),
)
def starting_vm_serves_no_stale_revision() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _commit_without_vm(fleet, "vk-c-0")
    for vm_id in ("vk-a-0", "vk-b-0"):
        fleet.cut_routes |= {(vm_id, "vk-c-9"), ("vk-c-9", vm_id)}
    fleet.add_vm("vk-c-9", "vk-c")
    n_answered = 0
    for _ in range(20):
        fleet.run(0.5)
        connection_number = fleet.call("vk-c-9", "GET", "/look")
        fleet.run(0.2)
        n_answered += hasattr(fleet.caller_replies[connection_number].command, "answer")
    return n_answered


@case(
    "no_revision_known",
    "the configuration never reverts",
    "all VMs start together in an outage, and none has a revision",
    DisabledMechanism(intake, "is_revision_confirmed", always(True)),
)
def fleet_without_revision_refuses() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    vm_ids = sorted(fleet.worlds)
    fleet.is_platform_down = True
    for vm_id in vm_ids:
        fleet.kill(vm_id)
    for vm_id in vm_ids:
        fleet.add_vm(vm_id, vm_id.rpartition("-")[0])
    fleet.run(5.0)
    connection_numbers = [fleet.call(vm_id, "GET", "/look") for vm_id in vm_ids]
    fleet.run(0.5)
    errors = [
        fleet.caller_replies[connection_number].command.refusal.error
        for connection_number in connection_numbers
    ]
    return sum(error != "NotReady" for error in errors)


@case(
    "dead_vms_removed",
    "membership views are correct",
    "VMs are replaced by VMs with new ids all day",
    DisabledMechanism(gossip, "DEAD_RETENTION_S", 1e9),
)
def replaced_vms_leave_no_rows() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for number in range(5):
        fleet.add_vm(f"vk-a-x{number}", "vk-a")
        fleet.run(5.0)
        fleet.kill(f"vk-a-x{number}")
    fleet.run(DEAD_VM_REMOVED_S)
    return sum(max(0, len(world.vms) - 3) for world in fleet.worlds.values())


@case(
    "long_pause",
    "membership views are correct",
    "a VM resumes after the others removed it from their views as dead",
    DisabledMechanism(gossip, "merge_digest", always(None)),
    DisabledMechanism(membership, "merge_digest", always(None)),
)
def long_paused_vm_rejoins() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.paused.add("vk-a-0")
    fleet.run(DEAD_VM_REMOVED_S)
    fleet.resume("vk-a-0")
    fleet.run(10.0)
    return sum(len(fleet.alive_vm_ids(vm_id)) != 3 for vm_id in fleet.worlds)


@case(
    "witness_changed",
    "lost requests are reported",
    "the witness changes while requests are open; they end, then their VM dies",
    DisabledMechanism(witness, "release_witness", always(None)),
)
def former_witness_reports_no_lost_request() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.service_time_s = 1.9
    numbers = [
        fleet.call("vk-a-0", "POST", "/plain", b"seat %d" % number)
        for number in range(5)
    ]
    fleet.run(0.1)
    for number in range(8):
        fleet.add_vm(f"vk-b-x{number}", "vk-b")
        fleet.run(0.1)
    fleet.run(5.0)
    assert len(fleet.caller_replies.keys() & set(numbers)) == len(numbers)
    fleet.kill("vk-a-0")
    fleet.run(LOST_REPORT_MAX_S)
    return sum(command.event == "request_lost" for _vm_id, command in fleet.logs)
