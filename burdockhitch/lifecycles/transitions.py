"""Derives a table of transitions from an Automat state machine.

The state of each row is a column, so systems look up the next state here instead
of keeping a machine for each row.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from automat import NoTransition, TypeMachine

from burdockhitch.errors import TransitionError


class LifeCycle(NamedTuple):
    """The transitions of one state machine.

    Attributes:
        name: What the machine describes, for error messages.
        next_states: Next state by ``(state, name of the input)``.
    """

    name: str
    next_states: Mapping[tuple[str, str], Any]

    def next_state(self, state: str, event: str) -> Any:
        """Return the state that follows an input.

        Raises:
            TransitionError: If the state does not accept this input.
        """
        try:
            return self.next_states[state, event]
        except KeyError:
            raise TransitionError(self.name, state, event) from None

    def has_transition(self, state: str, event: str) -> bool:
        """Return whether the state accepts this input."""
        return (state, event) in self.next_states


def derive_life_cycle(
    name: str,
    machine: TypeMachine[Any, Any],
    states: Mapping[Any, Any],
    inputs: type[Any],
    make_core: Callable[[], Any] = object,
) -> LifeCycle:
    """Return the transitions of a machine, found by trying each input in each state.

    Args:
        name: What the machine describes, for error messages.
        machine: Built machine whose inputs return the next state.
        states: Automat state by value of the state column.
        inputs: Protocol class whose public methods are the inputs.
        make_core: Returns a core object, which Automat needs for an instance.
    """
    next_states = {}
    input_names = [name for name in vars(inputs) if not name.startswith("_")]
    for state, automat_state in states.items():
        for input_name in input_names:
            instance = machine(make_core(), automat_state)
            try:
                next_state = getattr(instance, input_name)()
            except NoTransition:
                continue
            next_states[state, input_name] = next_state
    return LifeCycle(name, next_states)
