import pytest

from burdockhitch.systems.direct.answered import (
    note_answered,
    take_untold_far,
    take_untold_near,
)
from burdockhitch.systems.direct.belief import SUCCESS, p_failing
from burdockhitch.systems.direct.reports import report_observation
from burdockhitch.tests.direct_fakes import make_route, start_fleet

ZONES = ("a", "b")


def make_busy(fleet):
    """Let each VM know that most slots are taken."""
    fleet.configure(2, make_route(is_idempotent=False))
    fleet.run(1.0)
    for world in fleet.worlds.values():
        fleet.send(world.local.vm_id)
    fleet.run(1.0)
    fleet.modes = {name: "mute" if name != "1" else "ok" for name in fleet.modes}
    for _ in range(30):
        for world in fleet.worlds.values():
            fleet.send(world.local.vm_id)
    fleet.run(1.0)


def probability(fleet, vm_id):
    world = fleet.worlds[vm_id]
    return p_failing(world.beliefs.fetch("1"), world.clock.now())


@pytest.mark.parametrize(
    ("is_busy", "told"),
    [(True, {"vm-1": True, "vm-2": True}), (False, {"vm-1": False, "vm-2": True})],
    ids=["busy", "calm"],
)
def test_a_good_answer_is_told_with_loads_or_heartbeats(is_busy, told):
    fleet = start_fleet(n_vms=4, n_servers=4, zones=ZONES)
    if is_busy:
        make_busy(fleet)
    fleet.run(5.0 if not is_busy else 0.0)
    before = {vm_id: probability(fleet, vm_id) for vm_id in told}
    world = fleet.worlds["vm-0"]
    for _ in range(5):
        report_observation(world, "1", SUCCESS, world.clock.now())
        fleet.send("vm-0")
        fleet.run(0.21)
    for vm_id, is_told in told.items():
        assert (probability(fleet, vm_id) < 0.9 * before[vm_id]) == is_told


@pytest.mark.parametrize(("age_s", "is_told"), [(0.0, True), (0.9, True), (1.1, False)])
def test_only_fresh_good_answers_are_told(age_s, is_told):
    fleet = start_fleet(n_vms=2, n_servers=2)
    world = fleet.worlds["vm-0"]
    note_answered(world, "1", world.clock.now())
    fleet.clock.elapsed_s += age_s
    for take_untold in (take_untold_near, take_untold_far):
        untold = take_untold(world, world.clock.now())
        assert untold == (("1",) if is_told else ())
        assert take_untold(world, world.clock.now()) == ()
