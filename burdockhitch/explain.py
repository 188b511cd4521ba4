"""Describes what happened to one request, from the logs of any number of VMs."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from burdockhitch.registry import Registry

EventDescriber = Callable[[dict[str, Any]], str]
event_describers: Registry[EventDescriber] = Registry("story of a log event")
_fields_decoder = msgspec.json.Decoder(dict[str, Any])


class LogLine(NamedTuple):
    """A parsed log line.

    Attributes:
        time: Wall-clock time in ISO 8601. Lines are sorted by this text, so the logs
            must have the same UTC offset.
        vm: VM that wrote the line.
        event: Name of the event.
        fields: All fields of the line.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, Any]


@event_describers("request_sent")
def describe_sent(fields: dict[str, Any]) -> str:
    """Describe a sent attempt and the estimates for the chosen backend server."""
    return (
        f"attempt {fields['n_tries']} sent to {fields['server']}: "
        f"{100 * fields['p_failing']:.0f}% failure probability from observations "
        f"{fields['belief_age_s']} s old, expected wait {fields['wait_s']} s, "
        f"{fields['remaining_s']} s to the deadline "
        f"(servers {fields['servers_version']}, "
        f"configuration {fields['configuration_version']})"
    )


@event_describers("server_error")
def describe_server_error(fields: dict[str, Any]) -> str:
    """Describe an error answer of a backend server."""
    permission = "may" if fields["is_idempotent"] else "must not"
    return (
        f"{fields['server']} answered {fields['status']}; "
        f"the request {permission} be executed again"
    )


@event_describers("server_ended")
def describe_server_end(fields: dict[str, Any]) -> str:
    """Describe the end of a backend server's process under the request."""
    return (
        f"{fields['server']} ended while it ran the request "
        f"(digest {fields['digest']}, {fields['n_ends']} ends known)"
    )


@event_describers("request_retried")
def describe_retried(fields: dict[str, Any]) -> str:
    """Describe why a request is sent to another backend server."""
    tried = ", ".join(fields["tried"])
    return f"sent to another server ({fields['reason']}); tried so far: {tried}"


@event_describers("request_answered")
def describe_answered(fields: dict[str, Any]) -> str:
    """Describe the answer that the caller received."""
    return (
        f"caller got {fields['status']} of {fields['server']} "
        f"after {fields['elapsed_s']} s"
    )


@event_describers("request_refused")
def describe_refused(fields: dict[str, Any]) -> str:
    """Describe why a VM refused the request, and the outcome in its refusal."""
    outcome = fields.get("outcome", "refused")
    tried = ", ".join(fields.get("tried", ())) or "none"
    return f"{outcome} ({fields['error']}): {fields['detail']}; tried: {tried}"


def _describe_scarcity(fields: dict[str, Any]) -> str:
    account = f", account {fields['account']}" if fields["account"] else ""
    return (
        f"{fields['reason']}, expected wait {fields['wait_s']} s, limit "
        f"{fields['limit_s']} s, run {fields['run_s']} s, {fields['remaining_s']} s to "
        f"the deadline, priority {fields['priority']}{account} with "
        f"{fields['demand_ratio']} times the mean demand; last observation "
        f"{fields['belief_age_s']} s old"
    )


@event_describers("request_held")
def describe_held(fields: dict[str, Any]) -> str:
    """Describe why a request is held for a moment while capacity is scarce."""
    return f"held: {_describe_scarcity(fields)}"


@event_describers("request_not_admitted")
def describe_not_admitted(fields: dict[str, Any]) -> str:
    """Describe why a request is refused for lack of capacity."""
    return f"not admitted after {fields['elapsed_s']} s: {_describe_scarcity(fields)}"


def parse_line(text: str) -> LogLine | None:
    """Parse a log line, ignoring text before its JSON; return None for other text."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = _fields_decoder.decode(text[start:].strip())
        return LogLine(fields["time"], fields["vm"], fields["event"], fields)
    except (msgspec.MsgspecError, KeyError):
        return None


def find_lines(texts: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the log lines of a request, oldest first.

    Args:
        texts: Log lines of any VMs, in any order; other text is ignored.
        request_id: Id of the request.
    """
    lines = [
        line
        for text in texts
        if request_id in text
        for line in [parse_line(text)]
        if line is not None and line.fields.get("request_id") == request_id
    ]
    return sorted(lines, key=lambda line: line.time)


def describe_line(line: LogLine) -> str:
    """Return a readable description of a log line."""
    if line.event not in event_describers:
        return f"{line.time} {line.vm}: {line.event}"
    return f"{line.time} {line.vm}: {event_describers[line.event](line.fields)}"
