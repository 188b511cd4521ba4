"""The kinds of rules, each registered with the function that parses it.

The floor of a service is its minimum of healthy slots; a window is hours in which a
service has another floor.
"""

import re
import zoneinfo
from collections.abc import Callable
from typing import Any

from burdockhitch.registry import Registry
from burdockhitch.rules import options
from burdockhitch.rules.lines import RuleLine, Word
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.routes import RateLimitRow, RouteRow, WindowRow
from burdockhitch.tables.services import ServiceRow

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
HEALTH_PROFILES = ("detection_first", "few_false_ejections")
# How a route keeps a request from being executed twice: not at all, by a record of its
# idempotency key in the memory of one VM (the home of the key), or by a claim, a record
# of the key on the platform.
ONCE_POLICIES = ("none", "home", "claim")
MINUTES_PER_DAY = 24 * 60
_HOURS = re.compile(r"([01]\d|2[0-3]):([0-5]\d)-([01]\d|2[0-3]):([0-5]\d)")

RuleReader = Callable[[RuleLine], Any]
rule_kinds: Registry[RuleReader] = Registry("kind of rule")


@rule_kinds("service")
def read_service(rule: RuleLine) -> ServiceRow:
    """Parse ``service NAME floor=8slots health=... queue=300ms``."""
    rule_options = options.split_options(rule, 2, ("floor", "health", "queue"))
    profile = rule_options.get_optional("health", "detection_first")
    queue = rule_options.get_optional("queue", "300ms")
    return ServiceRow(
        service=options.read_name(rule.line, rule.words[1]),
        floor_slots=options.read_slots(
            rule.line, rule_options.get_required("floor", "8slots")
        ),
        health_profile=options.read_choice(rule.line, profile, HEALTH_PROFILES),
        queue_timeout_s=options.read_duration_s(rule.line, queue),
        requester=rule.requester,
        line=rule.line,
    )


@rule_kinds("server")
def read_server(rule: RuleLine) -> BackendServerRow:
    """Parse ``server SERVICE IP:PORT zone=... slots=4 connections=400 state=...``."""
    option_names = ("zone", "slots", "connections", "state")
    rule_options = options.split_options(rule, 3, option_names)
    service = options.read_name(rule.line, rule.words[1])
    address = options.read_address(rule.line, rule.words[2])
    connections = rule_options.get_optional("connections", "400")
    state = rule_options.get_optional("state", "serving")
    return BackendServerRow(
        server_id=f"{service}/{address}",
        service=service,
        address=address,
        zone=options.read_name(rule.line, rule_options.get_required("zone", "a")),
        n_slots=options.read_count(rule.line, rule_options.get_required("slots", "4")),
        n_connections_max=options.read_count(rule.line, connections),
        is_draining=options.read_choice(rule.line, state, ("serving", "draining"))
        == "draining",
        requester=rule.requester,
        line=rule.line,
    )


def _parse_path(line: int, word: Word) -> str:
    path = word.text
    is_prefix = path.endswith("/*")
    if not path.startswith("/") or ("*" in path and not is_prefix):
        raise options.unexpected_word(line, word, "a path as /a/b or a prefix as /a/*")
    return path


@rule_kinds("route")
def read_route(rule: RuleLine) -> RouteRow:
    """Parse ``route SERVICE METHOD PATH idempotent=... once=... timeout=2s``."""
    option_names = ("idempotent", "once", "timeout", "priority")
    rule_options = options.split_options(rule, 4, option_names)
    method = options.read_choice(rule.line, rule.words[2], METHODS)
    path = _parse_path(rule.line, rule.words[3])
    default_idempotent = "yes" if method in IDEMPOTENT_METHODS else "no"
    idempotent = rule_options.get_optional("idempotent", default_idempotent)
    is_idempotent = options.read_choice(rule.line, idempotent, ("yes", "no")) == "yes"
    once = options.read_choice(
        rule.line, rule_options.get_optional("once", "none"), ONCE_POLICIES
    )
    if is_idempotent and once != "none":
        word = rule_options.values["once"]
        raise options.unexpected_word(
            rule.line, word, "once=none on an idempotent route"
        )
    timeout = rule_options.get_optional("timeout", "10s")
    priority = rule_options.get_optional("priority", "5" if is_idempotent else "1")
    return RouteRow(
        route_id=f"{method} {path}",
        service=options.read_name(rule.line, rule.words[1]),
        method=method,
        path=path,
        is_idempotent=is_idempotent,
        once=once,
        timeout_s=options.read_duration_s(rule.line, timeout),
        priority=options.read_count(rule.line, priority),
        requester=rule.requester,
        line=rule.line,
    )


@rule_kinds("limit")
def read_limit(rule: RuleLine) -> RateLimitRow:
    """Parse ``limit ACCOUNT rate=20/s burst=40``."""
    rule_options = options.split_options(rule, 2, ("rate", "burst"))
    account = rule.words[1]
    if account.text != "*":
        options.read_name(rule.line, account)
    return RateLimitRow(
        account=account.text,
        rate_per_s=options.read_rate_per_s(
            rule.line, rule_options.get_required("rate", "20/s")
        ),
        burst=options.read_count(rule.line, rule_options.get_required("burst", "40")),
        requester=rule.requester,
        line=rule.line,
    )


@rule_kinds("window")
def read_window(rule: RuleLine) -> WindowRow:
    """Parse ``window SERVICE 17:30-21:00 tz=... floor=16slots load=40/s``."""
    rule_options = options.split_options(rule, 3, ("tz", "floor", "load"))
    service = options.read_name(rule.line, rule.words[1])
    hours = rule.words[2]
    match = _HOURS.fullmatch(hours.text)
    if match is None:
        raise options.unexpected_word(rule.line, hours, "hours, as in 17:30-21:00")
    time_zone = rule_options.get_required("tz", "Europe/Stockholm")
    time_zone_names = zoneinfo.available_timezones()
    if time_zone.text not in time_zone_names:
        expected = "a time zone, as in Europe/Stockholm"
        raise options.unexpected_word(
            rule.line, time_zone, expected, sorted(time_zone_names)
        )
    start_minute, end_minute = (
        int(match[group]) * 60 + int(match[group + 1]) for group in (1, 3)
    )
    return WindowRow(
        window_id=f"{service} {hours.text}",
        service=service,
        start_minute=start_minute,
        end_minute=end_minute,
        time_zone=time_zone.text,
        floor_slots=options.read_slots(
            rule.line, rule_options.get_required("floor", "16slots")
        ),
        load_requests_per_s=options.read_rate_per_s(
            rule.line, rule_options.get_required("load", "40/s")
        ),
        requester=rule.requester,
        line=rule.line,
    )
