"""Signals of the operating system, handed to the loop."""

import signal
from collections.abc import Callable, Mapping
from typing import Any

SignalHandlers = Mapping[int, Callable[[], None]]


def handle_signals(reactor: Any, handlers: SignalHandlers) -> None:
    """Call a function within the loop for each signal.

    A signal handler runs on the loop's own thread, between two instructions;
    ``callFromThread`` is the call that also wakes the loop from its wait.

    Args:
        reactor: Twisted reactor.
        handlers: Function by number of the signal.
    """

    def handle(number: int, _frame: Any) -> None:
        reactor.callFromThread(handlers[number])

    for number in handlers:
        signal.signal(number, handle)
