"""Life cycle of a backend server at its owner."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.health_signals import ServerState


class ServerInputs(Protocol):
    """What can happen to a backend server."""

    def suspect(self) -> ServerState:
        """The evidence passed the threshold."""

    def clear(self) -> ServerState:
        """The evidence is gone."""

    def eject(self) -> ServerState:
        """A permit was used to take it out of service."""

    def readmit(self) -> ServerState:
        """A probe succeeded after the hold."""

    def drain(self) -> ServerState:
        """The rules say that it is leaving."""

    def undrain(self) -> ServerState:
        """The rules no longer say that it is leaving."""


_builder = TypeMachineBuilder(ServerInputs, object)
_STATES = {state: _builder.state(state.value) for state in ServerState}

_MOVES = (
    (ServerState.HEALTHY, ServerInputs.suspect, ServerState.SUSPECT),
    (ServerState.RECOVERING, ServerInputs.suspect, ServerState.SUSPECT),
    (ServerState.RECOVERING, ServerInputs.clear, ServerState.HEALTHY),
    (ServerState.SUSPECT, ServerInputs.clear, ServerState.HEALTHY),
    (ServerState.SUSPECT, ServerInputs.eject, ServerState.EJECTED),
    (ServerState.EJECTED, ServerInputs.readmit, ServerState.RECOVERING),
    (ServerState.HEALTHY, ServerInputs.drain, ServerState.DRAINING),
    (ServerState.SUSPECT, ServerInputs.drain, ServerState.DRAINING),
    (ServerState.EJECTED, ServerInputs.drain, ServerState.DRAINING),
    (ServerState.RECOVERING, ServerInputs.drain, ServerState.DRAINING),
    (ServerState.DRAINING, ServerInputs.undrain, ServerState.RECOVERING),
)

for _state, _input, _end in _MOVES:
    _STATES[_state].upon(_input).to(_STATES[_end]).returns(_end)

SERVER_LIFE_CYCLE = derive_life_cycle(
    "backend server", _builder.build(), _STATES, ServerInputs
)
