"""Life cycle of an entry VM in a membership view."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.vms import VmStatus


class VmInputs(Protocol):
    """Events that change the status of one incarnation of an entry VM.

    This VM detects them itself or learns of them by gossip.
    """

    def suspect(self) -> VmStatus:
        """The VM acknowledged neither direct nor indirect probes."""

    def refute(self) -> VmStatus:
        """The VM overrode a suspicion with a higher refutation counter."""

    def leave(self) -> VmStatus:
        """The VM announced that it is shutting down."""

    def die(self) -> VmStatus:
        """The VM didn't refute a suspicion in time, or answer a probe while leaving."""


_builder = TypeMachineBuilder(VmInputs, object)
_STATES = {status: _builder.state(status.value) for status in VmStatus}

_TRANSITIONS = (
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

for _state, _input, _next_state in _TRANSITIONS:
    _STATES[_state].upon(_input).to(_STATES[_next_state]).returns(_next_state)

VM_LIFE_CYCLE = derive_life_cycle("entry VM", _builder.build(), _STATES, VmInputs)
