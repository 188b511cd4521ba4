"""Passes operating system signals to the reactor."""

import signal
from collections.abc import Callable, Mapping
from typing import Any

SignalHandlers = Mapping[int, Callable[[], None]]


def install_signal_handlers(reactor: Any, handlers: SignalHandlers) -> None:
    """Install signal handlers that call a function in the reactor's loop.

    Python runs a signal handler on the main thread, between two bytecode
    instructions; ``callFromThread`` also wakes the reactor if it is waiting.

    Args:
        reactor: Twisted reactor.
        handlers: Function to call, by signal number.
    """

    def handle(number: int, _frame: Any) -> None:
        reactor.callFromThread(handlers[number])

    for number in handlers:
        signal.signal(number, handle)
