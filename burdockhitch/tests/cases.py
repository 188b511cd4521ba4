"""The registry of cases: promises under failures, with and without a mechanism."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest.mock import patch

from burdockhitch.registry import Registry


class LeaveOut(NamedTuple):
    """A mechanism to replace, so that the failure shows."""

    owner: Any
    name: str
    replacement: Any


class Case(NamedTuple):
    """One promise under one failure.

    Attributes:
        promise: Point of the brief.
        failure: What is brought about.
        scenario: Returns how often the promise was broken.
        leave_out: Mechanisms to leave out.
    """

    promise: str
    failure: str
    scenario: Callable[[], int]
    leave_out: tuple[LeaveOut, ...]


cases: Registry[Case] = Registry("case")


def count_broken(case: Case, has_mechanism: bool) -> int:
    """Run a case with or without its mechanism."""
    with ExitStack() as stack:
        for left_out in () if has_mechanism else case.leave_out:
            stack.enter_context(patch.object(*left_out))
        return case.scenario()


def case(
    name: str, promise: str, failure: str, *leave_out: LeaveOut
) -> Callable[[Callable[[], int]], Callable[[], int]]:
    """Return a decorator that registers a scenario."""

    def register(scenario: Callable[[], int]) -> Callable[[], int]:
        cases(name)(Case(promise, failure, scenario, leave_out))
        return scenario

    return register


def always(value: Any) -> Callable[..., Any]:
    return lambda *_args, **_kwargs: value
