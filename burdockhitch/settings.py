"""Settings of a process, read from an INI file and checked once."""

import configparser
import difflib
import ipaddress
import re
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from burdockhitch.errors import SettingsError, UnacceptableTextError
from burdockhitch.registry import Registry

DEFAULT_REGION = "local"
DEFAULT_FLEET_NAME = "burdockhitch"
DEFAULT_CURVE_KEY = ""
DEFAULT_PLATFORM_TIMEOUT_S = 1.0
DEFAULT_HEAD_READ_PERIOD_S = 1.0
DEFAULT_VM_LIST_PERIOD_S = 5.0
DEFAULT_N_READERS = 2
DEFAULT_SEEDS: tuple[str, ...] = ()
DEFAULT_PROBE_PERIOD_S = 0.5
DEFAULT_ACK_TIMEOUT_S = 0.25
DEFAULT_SUSPICION_S = 1.5
DEFAULT_FANOUT = 4
DEFAULT_N_INDIRECT = 3
DEFAULT_MESSAGE_MAX_BYTES = 8 * 1024 * 1024
DEFAULT_KEEP_S = 5.0
DEFAULT_BODY_MAX_BYTES = 1024 * 1024
DEFAULT_REQUEST_TIMEOUT_S = 10.0
DEFAULT_TOKEN_LIFETIME_S = 600.0
DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_ANSWER_MAX_BYTES = 4 * 1024 * 1024
DEFAULT_SERVER_PROBE_TIMEOUT_S = 1.0
DEFAULT_HOLD_S = 5.0
DEFAULT_HOLD_MAX_S = 300.0
DEFAULT_ROUTING = "two_choices"
DEFAULT_DETECTOR = "cusum"
DEFAULT_FLOOR_GUARD = "escrow"
DEFAULT_WINDOWS = "hours_or_load"
DEFAULT_LOG_LEVEL = "INFO"
DEFAULT_SENDING = "owned"
DEFAULT_SELECTION = "expected_cost"
DEFAULT_ADDRESS = ""
DEFAULT_DRAIN_S = 2.0
DEFAULT_GRACE_S = 6.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_S = 10.0
DEFAULT_RETRY_SLACK = 64.0
DEFAULT_ADDRESS_TTL_S = 3.5

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")

Converter = Callable[[str], Any]
converters: Registry[Converter] = Registry("settings converter")


class VmSettings(NamedTuple):
    """Section ``vm``: this VM and its addresses."""

    vm_id: str
    zone: str
    caller_address: str
    message_address: str
    admin_address: str
    region: str = DEFAULT_REGION


class FleetSettings(NamedTuple):
    """Section ``fleet``: the fleet this VM belongs to."""

    name: str = DEFAULT_FLEET_NAME
    curve_public_key: str = DEFAULT_CURVE_KEY
    curve_secret_key: str = DEFAULT_CURVE_KEY


class PlatformSettings(NamedTuple):
    """Section ``platform``: the table service, object store and VM list."""

    address: str
    timeout_s: float = DEFAULT_PLATFORM_TIMEOUT_S
    head_read_period_s: float = DEFAULT_HEAD_READ_PERIOD_S
    vm_list_period_s: float = DEFAULT_VM_LIST_PERIOD_S
    n_readers: int = DEFAULT_N_READERS


class MembershipSettings(NamedTuple):
    """Section ``membership``: how VMs find out about each other."""

    seeds: tuple[str, ...] = DEFAULT_SEEDS
    probe_period_s: float = DEFAULT_PROBE_PERIOD_S
    ack_timeout_s: float = DEFAULT_ACK_TIMEOUT_S
    suspicion_s: float = DEFAULT_SUSPICION_S
    fanout: int = DEFAULT_FANOUT
    n_indirect: int = DEFAULT_N_INDIRECT
    message_max_bytes: int = DEFAULT_MESSAGE_MAX_BYTES


class CallerSettings(NamedTuple):
    """Section ``callers``: the front end."""

    keep_s: float = DEFAULT_KEEP_S
    body_max_bytes: int = DEFAULT_BODY_MAX_BYTES
    timeout_s: float = DEFAULT_REQUEST_TIMEOUT_S
    token_lifetime_s: float = DEFAULT_TOKEN_LIFETIME_S


class ServerSettings(NamedTuple):
    """Section ``backend_servers``: connections, probes and ejections."""

    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    answer_max_bytes: int = DEFAULT_ANSWER_MAX_BYTES
    probe_timeout_s: float = DEFAULT_SERVER_PROBE_TIMEOUT_S
    hold_s: float = DEFAULT_HOLD_S
    hold_max_s: float = DEFAULT_HOLD_MAX_S


class PolicySettings(NamedTuple):
    """Section ``policies``: names of registered alternatives."""

    routing: str = DEFAULT_ROUTING
    detector: str = DEFAULT_DETECTOR
    floor_guard: str = DEFAULT_FLOOR_GUARD
    windows: str = DEFAULT_WINDOWS
    sending: str = DEFAULT_SENDING
    selection: str = DEFAULT_SELECTION


class DirectSettings(NamedTuple):
    """Section ``direct``: VMs that all send to all backend servers.

    Attributes:
        directory_address: Where callers ask for addresses.
        readiness_address: Where the platform asks whether this VM is ready.
        drain_s: Time within which a leaving backend server gets no new work.
        grace_s: Time from the request to stop until the process is killed.
        retry_ratio: Retries of the fleet per request of a service.
        retry_window_s: Time over which retries are counted.
        retry_slack: Retries of the fleet in such a time beyond the ratio.
        address_ttl_s: How long callers keep an answer about addresses.
    """

    directory_address: str = DEFAULT_ADDRESS
    readiness_address: str = DEFAULT_ADDRESS
    drain_s: float = DEFAULT_DRAIN_S
    grace_s: float = DEFAULT_GRACE_S
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_window_s: float = DEFAULT_RETRY_WINDOW_S
    retry_slack: float = DEFAULT_RETRY_SLACK
    address_ttl_s: float = DEFAULT_ADDRESS_TTL_S


class LogSettings(NamedTuple):
    """Section ``log``: what is written to standard error."""

    level: str = DEFAULT_LOG_LEVEL


class Settings(NamedTuple):
    """All settings of a process, one field per section."""

    vm: VmSettings
    platform: PlatformSettings
    fleet: FleetSettings = FleetSettings()
    membership: MembershipSettings = MembershipSettings()
    callers: CallerSettings = CallerSettings()
    backend_servers: ServerSettings = ServerSettings()
    policies: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
    direct: DirectSettings = DirectSettings()


def key_of_field(field: str) -> str:
    """Return the INI key of a field: its name without the unit."""
    for suffix in ("_s", "_bytes"):
        if field.endswith(suffix):
            return field.removesuffix(suffix)
    return field


def _quantity(text: str, units: dict[str, Any], what: str) -> float:
    match = _QUANTITY.fullmatch(text)
    expected = f"{what} with a unit ({', '.join(units)})"
    if match is None or match[2] not in units:
        raise UnacceptableTextError(expected)
    value = float(match[1]) * units[match[2]]
    if value <= 0:
        raise UnacceptableTextError(f"{what} above zero")
    return value


@converters("duration")
def convert_duration(text: str) -> float:
    """Return seconds."""
    return _quantity(text, SECONDS_BY_UNIT, "a duration")


@converters("size")
def convert_size(text: str) -> int:
    """Return bytes."""
    return int(_quantity(text, BYTES_BY_UNIT, "a size"))


@converters("count")
def convert_count(text: str) -> int:
    """Return a whole number above zero."""
    if not text.isdecimal() or int(text) == 0:
        raise UnacceptableTextError("a whole number above zero")
    return int(text)


@converters("address")
def convert_address(text: str) -> str:
    """Return ``ip:port`` unchanged once it is known to be one."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise UnacceptableTextError("an address as ip:port") from None
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise UnacceptableTextError("an address with a port from 1 to 65535")
    return text


@converters("number")
def convert_number(text: str) -> float:
    """Return a number that is not below zero."""
    if not re.fullmatch(r"\d+(?:\.\d+)?", text):
        raise UnacceptableTextError("a number, not below zero")
    return float(text)


@converters("addresses")
def convert_addresses(text: str) -> tuple[str, ...]:
    """Return addresses that commas or white space separate."""
    return tuple(convert_address(part) for part in text.replace(",", " ").split())


@converters("name")
def convert_name(text: str) -> str:
    """Return a name of letters, digits, hyphens and underscores."""
    if not re.fullmatch(r"[A-Za-z0-9_-]{1,64}", text):
        raise UnacceptableTextError("a name of letters, digits, - and _")
    return text


@converters("level")
def convert_level(text: str) -> str:
    """Return the name of a log level."""
    if text not in LOG_LEVELS:
        raise UnacceptableTextError(f"one of {', '.join(LOG_LEVELS)}")
    return text


@converters("key")
def convert_key(text: str) -> str:
    """Return a CURVE key in Z85, or nothing."""
    if text and len(text) != 40:
        raise UnacceptableTextError("a CURVE key of 40 characters")
    return text


def _converter_name(field: str) -> str:
    names = {
        "seeds": "addresses",
        "level": "level",
        "fanout": "count",
        "retry_ratio": "number",
        "retry_slack": "number",
    }
    if field in names:
        return names[field]
    for suffix, name in (("_s", "duration"), ("_bytes", "size"), ("_key", "key")):
        if field.endswith(suffix):
            return name
    if field.endswith("address"):
        return "address"
    return "count" if field.startswith("n_") else "name"


def _near(word: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(word, known, n=1)
    hint = f"; did you mean {matches[0]}?" if matches else ""
    return f"one of {', '.join(known)}{hint}"


def _read_section(path: str, section: str, row_type: Any, items: dict[str, str]) -> Any:
    field_by_key = {key_of_field(field): field for field in row_type._fields}
    values = {}
    for key, text in items.items():
        if key not in field_by_key:
            expected = _near(key, list(field_by_key))
            raise SettingsError(path, section, key, text, expected)
        field = field_by_key[key]
        try:
            values[field] = converters[_converter_name(field)](text)
        except UnacceptableTextError as error:
            raise SettingsError(path, section, key, text, str(error)) from None
    for field in row_type._fields:
        if field not in values and field not in row_type._field_defaults:
            key = key_of_field(field)
            raise SettingsError(path, section, key, "", "a value; it has no default")
    return row_type(**values)


def _check_contradictions(path: str, settings: Settings) -> None:
    membership = settings.membership
    if membership.ack_timeout_s >= membership.probe_period_s:
        raise SettingsError(
            path,
            "membership",
            "ack_timeout",
            f"{membership.ack_timeout_s}s",
            f"less than probe_period ({membership.probe_period_s}s)",
        )
    servers = settings.backend_servers
    if servers.hold_s > servers.hold_max_s:
        raise SettingsError(
            path,
            "backend_servers",
            "hold",
            f"{servers.hold_s}s",
            f"at most hold_max ({servers.hold_max_s}s)",
        )
    addresses = settings.vm[2:5]
    if len(set(addresses)) < len(addresses):
        raise SettingsError(
            path, "vm", "caller_address", addresses[0], "three different addresses"
        )


def parse_settings(text: str, path: str) -> Settings:
    """Return checked settings.

    Args:
        text: Content of an INI file.
        path: Name of the file, for errors.

    Raises:
        SettingsError: If anything in the file is unusable.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        raise SettingsError(path, "", "", str(error), "an INI file") from None
    row_types = typing.get_type_hints(Settings)
    for section in parser.sections():
        if section not in row_types:
            raise SettingsError(path, section, "", "", _near(section, list(row_types)))
    sections = {
        name: _read_section(
            path, name, row_type, dict(parser[name]) if name in parser else {}
        )
        for name, row_type in row_types.items()
    }
    settings = Settings(**sections)
    _check_contradictions(path, settings)
    return settings


def read_settings(path: Path) -> Settings:
    """Read and check an INI file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file can't be read or anything in it is unusable.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), "", "", str(error), "a text file") from None
    return parse_settings(text, str(path))
