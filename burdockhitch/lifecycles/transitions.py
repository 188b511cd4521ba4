"""Derives a table of transitions from an Automat state machine.

The state of an entity is a column of its row, so systems look up the next state here
instead of keeping a machine for each row.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from automat import NoTransition, TypeMachine

from burdockhitch.errors import TransitionError


class LifeCycle(NamedTuple):
    """The transitions of one state machine.

    Attributes:
        name: Kind of entity whose life cycle it is, for error messages.
        next_states: Next state by ``(state, name of the input)``.
    """

    name: str
    next_states: Mapping[tuple[str, str], Any]

    def next_state(self, state: str, input_name: str) -> Any:
        """Return the state that follows an input.

        Raises:
            TransitionError: If the state does not accept this input.
        """
        try:
            return self.next_states[state, input_name]
        except KeyError:
            raise TransitionError(self.name, state, input_name) from None

    def has_transition(self, state: str, input_name: str) -> bool:
        """Return whether the state accepts this input."""
        return (state, input_name) in self.next_states


def derive_life_cycle(
    name: str,
    machine: TypeMachine[Any, Any],
    states: Mapping[Any, Any],
    inputs: type[Any],
    make_core: Callable[[], Any] = object,
) -> LifeCycle:
    """Return the transitions of a machine, found by trying each input in each state.

    Args:
        name: Kind of entity whose life cycle it is, for error messages.
        machine: Built machine whose inputs return the next state.
        states: Automat state by value of the state column.
        inputs: Protocol class whose public methods are the inputs.
        make_core: Returns the core object that Automat needs for an instance.
    """
    next_states = {}
    input_names = [key for key in vars(inputs) if not key.startswith("_")]
    for state, automat_state in states.items():
        for input_name in input_names:
            instance = machine(make_core(), automat_state)
            try:
                next_state = getattr(instance, input_name)()
            except NoTransition:
                continue
            next_states[state, input_name] = next_state
    return LifeCycle(name, next_states)
