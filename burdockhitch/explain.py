"""Tells the story of one request from the log lines of any number of VMs."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from burdockhitch.registry import Registry

Story = Callable[[dict[str, Any]], str]
stories: Registry[Story] = Registry("story of a log event")
_decoder = msgspec.json.Decoder(dict[str, Any])


class LogLine(NamedTuple):
    """A line of the log that names a request.

    Attributes:
        time: Wall-clock time in ISO 8601, which sorts as text.
        vm: VM that wrote it.
        event: Name of the event.
        fields: All fields of the line.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, Any]


@stories("request_sent")
def tell_sent(fields: dict[str, Any]) -> str:
    """Tell why a server was chosen."""
    return (
        f"try {fields['n_tries']} sent to {fields['server']}: "
        f"{100 * fields['p_failing']:.0f}% likely to fail by evidence "
        f"{fields['belief_age_s']} s old, {fields['wait_s']} s of waiting expected, "
        f"{fields['remaining_s']} s left (servers {fields['servers_version']}, "
        f"configuration {fields['configuration_version']})"
    )


@stories("server_error")
def tell_server_error(fields: dict[str, Any]) -> str:
    """Tell that a server failed."""
    repeat = "may" if fields["is_idempotent"] else "must not"
    return f"{fields['server']} answered {fields['status']}; it {repeat} run again"


@stories("request_retried")
def tell_retried(fields: dict[str, Any]) -> str:
    """Tell why a request is sent again."""
    tried = ", ".join(fields["tried"])
    return f"goes to another server ({fields['reason']}); tried so far: {tried}"


@stories("request_answered")
def tell_answered(fields: dict[str, Any]) -> str:
    """Tell which answer the caller got."""
    return (
        f"caller got {fields['status']} of {fields['server']} "
        f"after {fields['elapsed_s']} s"
    )


@stories("request_refused")
def tell_refused(fields: dict[str, Any]) -> str:
    """Tell why this VM answered by itself."""
    outcome = fields.get("outcome", "refused")
    tried = ", ".join(fields.get("tried", ())) or "none"
    return f"{outcome} ({fields['error']}): {fields['detail']}; tried: {tried}"


def read_line(text: str) -> LogLine | None:
    """Return a line of the log, or None if it is none or names no request."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = _decoder.decode(text[start:].strip())
        return LogLine(fields["time"], fields["vm"], fields["event"], fields)
    except (msgspec.MsgspecError, KeyError):
        return None


def find_lines(texts: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the lines about a request, oldest first.

    Args:
        texts: Lines of logs of any VMs, in any order; other text is passed over.
        request_id: Identity that the caller gave the request.
    """
    lines = [
        line
        for text in texts
        if request_id in text
        for line in [read_line(text)]
        if line is not None and line.fields.get("request_id") == request_id
    ]
    return sorted(lines, key=lambda line: line.time)


def tell_line(line: LogLine) -> str:
    """Return what a line says in words."""
    if line.event not in stories:
        return f"{line.time} {line.vm}: {line.event}"
    return f"{line.time} {line.vm}: {stories[line.event](line.fields)}"
