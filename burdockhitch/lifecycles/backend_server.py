"""Life cycle of a backend server on its owner VM."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.server_health import ServerState


class ServerInputs(Protocol):
    """Events that change the state of a backend server."""

    def suspect(self) -> ServerState:
        """Evidence against it reached the threshold, or its last owner suspected it."""

    def clear(self) -> ServerState:
        """The evidence fell below the threshold, or all its slots are usable again."""

    def eject(self) -> ServerState:
        """The floor guard, which keeps enough slots healthy, allowed the ejection."""

    def readmit(self) -> ServerState:
        """It gets requests again: a probe succeeded or the ejection permit shrank."""

    def drain(self) -> ServerState:
        """The rules mark it as draining."""

    def undrain(self) -> ServerState:
        """The rules no longer mark it as draining."""


_builder = TypeMachineBuilder(ServerInputs, object)
_STATES = {state: _builder.state(state.value) for state in ServerState}

_TRANSITIONS = (
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

for _state, _input, _next_state in _TRANSITIONS:
    _STATES[_state].upon(_input).to(_STATES[_next_state]).returns(_next_state)

SERVER_LIFE_CYCLE = derive_life_cycle(
    "backend server", _builder.build(), _STATES, ServerInputs
)
