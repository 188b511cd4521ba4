"""Life cycle of an entry VM in a membership view."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.vms import VmStatus


class VmInputs(Protocol):
    """What can happen to an entry VM of one incarnation."""

    def suspect(self) -> VmStatus:
        """Probes were not answered."""

    def refute(self) -> VmStatus:
        """The VM was heard of with a higher refutation."""

    def leave(self) -> VmStatus:
        """The VM said that it is leaving."""

    def die(self) -> VmStatus:
        """The suspicion was not refuted in time."""


_builder = TypeMachineBuilder(VmInputs, object)
_STATES = {status: _builder.state(status.value) for status in VmStatus}

_MOVES = (
    (VmStatus.ALIVE, VmInputs.suspect, VmStatus.SUSPECT),
    (VmStatus.SUSPECT, VmInputs.refute, VmStatus.ALIVE),
    (VmStatus.DEAD, VmInputs.refute, VmStatus.ALIVE),
    (VmStatus.ALIVE, VmInputs.refute, VmStatus.ALIVE),
    (VmStatus.ALIVE, VmInputs.leave, VmStatus.LEAVING),
    (VmStatus.SUSPECT, VmInputs.leave, VmStatus.LEAVING),
    (VmStatus.ALIVE, VmInputs.die, VmStatus.DEAD),
    (VmStatus.SUSPECT, VmInputs.die, VmStatus.DEAD),
    (VmStatus.LEAVING, VmInputs.die, VmStatus.DEAD),
)

for _state, _input, _end in _MOVES:
    _STATES[_state].upon(_input).to(_STATES[_end]).returns(_end)

VM_LIFE_CYCLE = derive_life_cycle("entry VM", _builder.build(), _STATES, VmInputs)
