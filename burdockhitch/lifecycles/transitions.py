"""Derives a transition table from an Automat machine."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from automat import NoTransition, TypeMachine

from burdockhitch.errors import TransitionError


class LifeCycle(NamedTuple):
    """The transitions of one machine.

    Attributes:
        name: Name of the life cycle.
        next_states: New state by ``(state, input)``.
    """

    name: str
    next_states: Mapping[tuple[str, str], Any]

    def advance(self, state: str, event: str) -> Any:
        """Return the state that follows.

        Raises:
            TransitionError: If the machine has no such transition.
        """
        try:
            return self.next_states[state, event]
        except KeyError:
            raise TransitionError(self.name, state, event) from None

    def can_advance(self, state: str, event: str) -> bool:
        """Return whether the machine has this transition."""
        return (state, event) in self.next_states


def derive_life_cycle(
    name: str,
    machine: TypeMachine[Any, Any],
    states: Mapping[Any, Any],
    inputs: type[Any],
    make_core: Callable[[], Any] = object,
) -> LifeCycle:
    """Run every input in every state once and note the outcome.

    Args:
        name: Name of the life cycle.
        machine: Built machine whose inputs return the new state.
        states: Automat state by column value.
        inputs: Protocol class of the inputs.
        make_core: Returns a core for the machine.
    """
    next_states = {}
    names = [name for name in vars(inputs) if not name.startswith("_")]
    for state, typed_state in states.items():
        for input_name in names:
            instance = machine(make_core(), typed_state)
            try:
                new_state = getattr(instance, input_name)()
            except NoTransition:
                continue
            next_states[state, input_name] = new_state
    return LifeCycle(name, next_states)
