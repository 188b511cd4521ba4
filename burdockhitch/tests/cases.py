"""The registry of cases: a guarantee, a failure, and the mechanism that upholds it.

A case runs twice: with its mechanism the guarantee holds, and without it the same
failure violates the guarantee, which shows that the case depends on the mechanism.
"""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest.mock import patch

from burdockhitch.registry import Registry


class DisabledMechanism(NamedTuple):
    """An attribute to replace, which disables a mechanism.

    Attributes:
        owner: Object that has the attribute.
        name: Name of the attribute.
        replacement: Value while the mechanism is disabled.
    """

    owner: Any
    name: str
    replacement: Any


class Case(NamedTuple):
    """One guarantee under one failure.

    Attributes:
        guarantee: Text of the guarantee that is checked.
        failure: Failure that the scenario causes.
        scenario: Returns the number of violations of the guarantee.
        disabled_mechanisms: Mechanisms to disable for the counter-check.
    """

    guarantee: str
    failure: str
    scenario: Callable[[], int]
    disabled_mechanisms: tuple[DisabledMechanism, ...]


cases: Registry[Case] = Registry("case")


def count_broken(case: Case, has_mechanism: bool) -> int:
    """Run a case with or without its mechanism and return the number of violations."""
    with ExitStack() as stack:
        for disabled in () if has_mechanism else case.disabled_mechanisms:
            stack.enter_context(patch.object(*disabled))
        return case.scenario()


def case(
    name: str, guarantee: str, failure: str, *disabled_mechanisms: DisabledMechanism
) -> Callable[[Callable[[], int]], Callable[[], int]]:
    """Return a decorator that registers a scenario as the case ``name``."""

    def register(scenario: Callable[[], int]) -> Callable[[], int]:
        cases(name)(Case(guarantee, failure, scenario, disabled_mechanisms))
        return scenario

    return register


def always(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments and returns a value."""
    return lambda *_args, **_kwargs: value
