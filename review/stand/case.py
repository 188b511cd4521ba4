"""What the scripts of the cases share: the switch, the record and the exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand.fleet import CaseError

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Result:
    """What a case saw: lines for its record, and whether the rule was broken."""

    def __init__(self, lines, is_broken):
        self.lines = [f"trouble: {HAS_TROUBLE}", *lines]
        self.lines.append(f"result: {'broken' if is_broken else 'held'}")
        self.is_broken = is_broken


def run_case(script: str, play: Callable[[], Awaitable[Result]]) -> None:
    """Play a case, write ``record.txt`` beside its script, and exit.

    Args:
        script: Path of the script.
        play: Plays the case and ends its processes.
    """
    # Ends the processes too when the script's time is over.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        result = asyncio.run(play())
    except CaseError as error:
        print(f"the case could not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    except Exception:
        # The exit code of an uncaught error would mean that the rule was broken.
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)
    text = "\n".join(result.lines) + "\n"
    Path(script).with_name("record.txt").write_text(text)
    print(text, end="")
    sys.exit(EXIT_BROKEN if result.is_broken else EXIT_HELD)
