"""Life cycle of a request on one VM."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.requests import RequestState


class RequestInputs(Protocol):
    """Events that change the state of a request."""

    def claim(self) -> RequestState:
        """It waits for the platform to record its idempotency key."""

    def admit(self) -> RequestState:
        """It may be routed to a backend server."""

    def send_home(self) -> RequestState:
        """It is forwarded to the home VM, which keeps the record of its key."""

    def forward(self) -> RequestState:
        """It is forwarded to a VM that owns backend servers of its service."""

    def queue(self) -> RequestState:
        """It waits on this VM until it can be sent to a backend server."""

    def dispatch(self) -> RequestState:
        """This VM sends it to a backend server."""

    def retry(self) -> RequestState:
        """A try failed, and it is routed again."""

    def requeue(self) -> RequestState:
        """A try failed, and it waits on this VM for another backend server."""

    def answer(self) -> RequestState:
        """A complete answer arrived, or one recorded for its key is repeated."""

    def refuse(self) -> RequestState:
        """It was refused, and no backend server ran it."""

    def lose(self) -> RequestState:
        """Its outcome is unknown: a backend server may have run it."""

    def abandon(self) -> RequestState:
        """The caller, or the VM that forwarded it, no longer waits for the outcome."""


_builder = TypeMachineBuilder(RequestInputs, object)
_STATES = {state: _builder.state(state.value) for state in RequestState}

_OPEN_STATES = (
    RequestState.ACCEPTED,
    RequestState.CLAIMING,
    RequestState.ADMITTED,
    RequestState.AT_HOME,
    RequestState.FORWARDED,
    RequestState.QUEUED,
    RequestState.DISPATCHED,
)

_TRANSITIONS = (
    (RequestState.ACCEPTED, RequestInputs.claim, RequestState.CLAIMING),
    (RequestState.ACCEPTED, RequestInputs.admit, RequestState.ADMITTED),
    (RequestState.CLAIMING, RequestInputs.admit, RequestState.ADMITTED),
    (RequestState.ACCEPTED, RequestInputs.send_home, RequestState.AT_HOME),
    (RequestState.ADMITTED, RequestInputs.forward, RequestState.FORWARDED),
    (RequestState.ADMITTED, RequestInputs.queue, RequestState.QUEUED),
    (RequestState.QUEUED, RequestInputs.dispatch, RequestState.DISPATCHED),
    (RequestState.FORWARDED, RequestInputs.retry, RequestState.ADMITTED),
    (RequestState.QUEUED, RequestInputs.retry, RequestState.ADMITTED),
    (RequestState.DISPATCHED, RequestInputs.retry, RequestState.ADMITTED),
    (RequestState.DISPATCHED, RequestInputs.requeue, RequestState.QUEUED),
)

for _state in _OPEN_STATES:
    for _input, _next_state in (
        (RequestInputs.answer, RequestState.ANSWERED),
        (RequestInputs.refuse, RequestState.REFUSED),
        (RequestInputs.lose, RequestState.UNKNOWN),
        (RequestInputs.abandon, RequestState.CALLER_GONE),
    ):
        _STATES[_state].upon(_input).to(_STATES[_next_state]).returns(_next_state)

for _state, _input, _next_state in _TRANSITIONS:
    _STATES[_state].upon(_input).to(_STATES[_next_state]).returns(_next_state)

REQUEST_LIFE_CYCLE = derive_life_cycle(
    "request", _builder.build(), _STATES, RequestInputs
)
