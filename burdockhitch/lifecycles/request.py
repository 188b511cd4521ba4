"""Life cycle of a request on one VM."""

from typing import Protocol

from automat import TypeMachineBuilder

from burdockhitch.lifecycles.transitions import derive_life_cycle
from burdockhitch.tables.requests import RequestState


class RequestInputs(Protocol):
    """What can happen to a request."""

    def claim(self) -> RequestState:
        """The platform is asked to record the key."""

    def admit(self) -> RequestState:
        """The request may be routed."""

    def send_home(self) -> RequestState:
        """The request goes to the VM that holds the record of its key."""

    def forward(self) -> RequestState:
        """The request goes to the owner of a backend server."""

    def queue(self) -> RequestState:
        """The request waits for a slot of this VM's backend servers."""

    def dispatch(self) -> RequestState:
        """The request goes to a backend server."""

    def retry(self) -> RequestState:
        """The request is routed again."""

    def requeue(self) -> RequestState:
        """The request waits for another slot of this VM's backend servers."""

    def answer(self) -> RequestState:
        """A whole answer came."""

    def refuse(self) -> RequestState:
        """The request was refused and was not run."""

    def lose(self) -> RequestState:
        """The outcome is unknown."""

    def abandon(self) -> RequestState:
        """The caller is gone."""


_builder = TypeMachineBuilder(RequestInputs, object)
_STATES = {state: _builder.state(state.value) for state in RequestState}

_OPEN = (
    RequestState.ACCEPTED,
    RequestState.CLAIMING,
    RequestState.ADMITTED,
    RequestState.AT_HOME,
    RequestState.FORWARDED,
    RequestState.QUEUED,
    RequestState.DISPATCHED,
)

_MOVES = (
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

for _state in _OPEN:
    for _input, _end in (
        (RequestInputs.answer, RequestState.ANSWERED),
        (RequestInputs.refuse, RequestState.REFUSED),
        (RequestInputs.lose, RequestState.UNKNOWN),
        (RequestInputs.abandon, RequestState.CALLER_GONE),
    ):
        _STATES[_state].upon(_input).to(_STATES[_end]).returns(_end)

for _state, _input, _end in _MOVES:
    _STATES[_state].upon(_input).to(_STATES[_end]).returns(_end)

REQUEST_LIFE_CYCLE = derive_life_cycle(
    "request", _builder.build(), _STATES, RequestInputs
)
