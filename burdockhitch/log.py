"""Structured lines on standard error, written by loguru."""

import sys
import traceback
from typing import Any

import msgspec
from loguru import logger


def _write(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["traceback"] = "".join(traceback.format_exception(record["exception"][1]))
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")


def configure_log(level: str, vm_id: str) -> None:
    """Write lines of a level and above as JSON, one per event.

    Args:
        level: Name of a loguru level.
        vm_id: Name of the VM or process, put on each line.
    """
    logger.remove()
    logger.configure(extra={"vm": vm_id})
    logger.add(_write, level=level, enqueue=False)


def write_event(level: str, event: str, fields: dict[str, Any]) -> None:
    """Write one line.

    Args:
        level: Name of a loguru level.
        event: Name of the event.
        fields: Names and values.
    """
    logger.bind(**fields).log(level, event)
