"""Settings of a process, read from an INI file and validated at startup."""

import configparser
import difflib
import ipaddress
import re
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from burdockhitch.errors import InvalidValueError, SettingsError
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
DEFAULT_OPEN_ANSWERS_MAX_BYTES = 32 * 1024 * 1024
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
DEFAULT_RETURNS = "by_backlog"
DEFAULT_ADMISSION = "auto"
DEFAULT_ADDRESS = ""
DEFAULT_DRAIN_S = 2.0
DEFAULT_GRACE_S = 6.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_S = 10.0
DEFAULT_RETRY_SLACK = 64.0
DEFAULT_QUOTA_WINDOW_S = 5.0
DEFAULT_QUOTA_OVERAGE = 0.1
DEFAULT_QUOTA_SLACK = 20.0
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_MEMORY_MB = 300.0
BYTES_PER_MBIT = 125_000
DEFAULT_ADDRESS_TTL_S = 3.5

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")

Converter = Callable[[str], Any]
converters: Registry[Converter] = Registry("settings converter")


class VmSettings(NamedTuple):
    """Section ``vm``: identity and listening addresses of this VM.

    Attributes:
        vm_id: Name of the VM, unique in the fleet.
        zone: Availability zone of the VM.
        caller_address: ``ip:port`` for requests of callers.
        message_address: ``ip:port`` for messages of other VMs.
        admin_address: ``ip:port`` of the admin interface.
        region: Region of the VM; only VMs of the same region own backend servers.
    """

    vm_id: str
    zone: str
    caller_address: str
    message_address: str
    admin_address: str
    region: str = DEFAULT_REGION


class FleetSettings(NamedTuple):
    """Section ``fleet``: the fleet that this VM belongs to.

    Attributes:
        name: Name of the fleet; messages of other fleets are rejected.
        curve_public_key: CURVE public key of the fleet in Z85.
        curve_secret_key: CURVE secret key in Z85; empty for no encryption.
    """

    name: str = DEFAULT_FLEET_NAME
    curve_public_key: str = DEFAULT_CURVE_KEY
    curve_secret_key: str = DEFAULT_CURVE_KEY


class PlatformSettings(NamedTuple):
    """Section ``platform``: access to the table service, object store and VM list.

    Attributes:
        address: ``ip:port`` of the platform.
        timeout_s: Timeout of a call to the platform.
        head_read_period_s: Time between reads of the head revision.
        vm_list_period_s: Time between reads of the platform's VM list.
        n_readers: Number of VMs in each availability zone that do these reads.
    """

    address: str
    timeout_s: float = DEFAULT_PLATFORM_TIMEOUT_S
    head_read_period_s: float = DEFAULT_HEAD_READ_PERIOD_S
    vm_list_period_s: float = DEFAULT_VM_LIST_PERIOD_S
    n_readers: int = DEFAULT_N_READERS


class MembershipSettings(NamedTuple):
    """Section ``membership``: how VMs discover each other and detect failures.

    Attributes:
        seeds: Message addresses of the VMs to join the fleet through.
        probe_period_s: Time between probes; each probes one other VM.
        ack_timeout_s: Time without an acknowledgement after which other VMs are
            asked to probe the VM as well.
        suspicion_s: Time for which a VM is suspect before it counts as dead.
        fanout: Number of VMs to which each change is pushed.
        n_indirect: Number of VMs that are asked for an indirect probe.
        message_max_bytes: Maximum size of a message between VMs.
    """

    seeds: tuple[str, ...] = DEFAULT_SEEDS
    probe_period_s: float = DEFAULT_PROBE_PERIOD_S
    ack_timeout_s: float = DEFAULT_ACK_TIMEOUT_S
    suspicion_s: float = DEFAULT_SUSPICION_S
    fanout: int = DEFAULT_FANOUT
    n_indirect: int = DEFAULT_N_INDIRECT
    message_max_bytes: int = DEFAULT_MESSAGE_MAX_BYTES


class CallerSettings(NamedTuple):
    """Section ``callers``: the interface for callers.

    Attributes:
        keep_s: How long callers may cache an address answer; a leaving VM
            keeps its listeners open at least as long.
        body_max_bytes: Maximum size of a request body.
        timeout_s: Accepted in settings files, but not used.
        token_lifetime_s: Time after which the token of an address answer expires.
    """

    keep_s: float = DEFAULT_KEEP_S
    body_max_bytes: int = DEFAULT_BODY_MAX_BYTES
    timeout_s: float = DEFAULT_REQUEST_TIMEOUT_S
    token_lifetime_s: float = DEFAULT_TOKEN_LIFETIME_S


class ServerSettings(NamedTuple):
    """Section ``backend_servers``: connections, probes and ejections.

    Attributes:
        connect_timeout_s: Timeout for opening a connection.
        answer_max_bytes: Maximum size of an answer.
        open_answers_max_bytes: Maximum size of all answers in progress together.
        probe_timeout_s: Timeout of a health probe.
        hold_s: Time from an ejection to the first probe; it doubles with each
            ejection less than ``REPEATED_EJECTION_INTERVAL_MAX_S`` of
            ``systems.ejection`` after the last.
        hold_max_s: Upper bound of that time.
    """

    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    answer_max_bytes: int = DEFAULT_ANSWER_MAX_BYTES
    open_answers_max_bytes: int = DEFAULT_OPEN_ANSWERS_MAX_BYTES
    probe_timeout_s: float = DEFAULT_SERVER_PROBE_TIMEOUT_S
    hold_s: float = DEFAULT_HOLD_S
    hold_max_s: float = DEFAULT_HOLD_MAX_S


class PolicySettings(NamedTuple):
    """Section ``policies``: names of the registered implementations to use.

    Attributes:
        routing: How the VM to which a request goes is chosen among owners.
        detector: How the evidence against a backend server is judged.
        floor_guard: How ejections are kept from breaking a floor, the minimum of
            healthy slots of a service.
        windows: How it is decided which windows (hours with another floor) are in
            force.
        sending: ``owned`` if only the owner of a backend server sends to it,
            ``direct`` if every VM does.
        selection: How a backend server is chosen with direct sending.
        returns: When refused callers are told to return with direct sending.
        admission: Which requests are sent, held or refused with direct sending while
            capacity is scarce; ``auto`` for ``least_loss`` where the configuration has
            client accounts and ``by_wait`` elsewhere.
    """

    routing: str = DEFAULT_ROUTING
    detector: str = DEFAULT_DETECTOR
    floor_guard: str = DEFAULT_FLOOR_GUARD
    windows: str = DEFAULT_WINDOWS
    sending: str = DEFAULT_SENDING
    selection: str = DEFAULT_SELECTION
    returns: str = DEFAULT_RETURNS
    admission: str = DEFAULT_ADMISSION


class DirectSettings(NamedTuple):
    """Section ``direct``: the mode in which every VM sends to every backend server.

    Attributes:
        directory_address: ``ip:port`` where callers request VM addresses.
        readiness_address: ``ip:port`` where the platform checks whether this VM is
            ready.
        drain_s: Time within which a draining backend server must stop getting new
            requests; accepted in settings files, but not used.
        grace_s: Time from a request to stop until the platform kills the process.
        retry_ratio: Retries that the fleet may send per request of a service.
        retry_window_s: Length of the sliding window over which retries are counted.
        retry_slack: Retries that the fleet may send per window beyond the ratio.
        address_ttl_s: How long callers may cache an address answer.
        link_mbps: Capacity of this VM's link, in megabits per second.
        memory_mb: Memory that this VM's process may use, in megabytes.
        quota_window_s: Length of the sliding window in which the quota of a client
            account binds.
        quota_overage: Fraction by which all VMs together may exceed a quota.
        quota_slack: Requests by which they may exceed it further, in each window.
    """

    directory_address: str = DEFAULT_ADDRESS
    readiness_address: str = DEFAULT_ADDRESS
    drain_s: float = DEFAULT_DRAIN_S
    grace_s: float = DEFAULT_GRACE_S
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_window_s: float = DEFAULT_RETRY_WINDOW_S
    retry_slack: float = DEFAULT_RETRY_SLACK
    address_ttl_s: float = DEFAULT_ADDRESS_TTL_S
    link_mbps: float = DEFAULT_LINK_MBPS
    memory_mb: float = DEFAULT_MEMORY_MB
    quota_window_s: float = DEFAULT_QUOTA_WINDOW_S
    quota_overage: float = DEFAULT_QUOTA_OVERAGE
    quota_slack: float = DEFAULT_QUOTA_SLACK


class LogSettings(NamedTuple):
    """Section ``log``: the lowest level that is logged to standard output."""

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


def ini_key(field: str) -> str:
    """Return the INI key of a field: the field name without its unit suffix."""
    for suffix in ("_s", "_bytes"):
        if field.endswith(suffix):
            return field.removesuffix(suffix)
    return field


def _parse_quantity(text: str, units: dict[str, Any], description: str) -> float:
    """Return a positive number with a unit, converted to the base unit."""
    match = _QUANTITY.fullmatch(text)
    expected = f"{description} with a unit ({', '.join(units)})"
    if match is None or match[2] not in units:
        raise InvalidValueError(expected)
    value = float(match[1]) * units[match[2]]
    if value <= 0:
        raise InvalidValueError(f"{description} above zero")
    return value


@converters("duration")
def convert_duration(text: str) -> float:
    """Return a duration in seconds, from text such as ``250ms`` or ``5s``."""
    return _parse_quantity(text, SECONDS_BY_UNIT, "a duration")


@converters("size")
def convert_size(text: str) -> int:
    """Return a size in bytes, from text such as ``8MiB``."""
    return int(_parse_quantity(text, BYTES_BY_UNIT, "a size"))


@converters("count")
def convert_count(text: str) -> int:
    """Return a positive integer."""
    if not text.isdecimal() or int(text) == 0:
        raise InvalidValueError("a whole number above zero")
    return int(text)


@converters("address")
def convert_address(text: str) -> str:
    """Return the text unchanged if it is a valid ``ip:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise InvalidValueError("an address as ip:port") from None
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise InvalidValueError("an address with a port from 1 to 65535")
    return text


@converters("number")
def convert_number(text: str) -> float:
    """Return a non-negative number."""
    if not re.fullmatch(r"\d+(?:\.\d+)?", text):
        raise InvalidValueError("a number of zero or more")
    return float(text)


@converters("addresses")
def convert_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses of a list separated by commas or white space."""
    return tuple(convert_address(part) for part in text.replace(",", " ").split())


@converters("name")
def convert_name(text: str) -> str:
    """Return the text unchanged if it is 1 to 64 letters, digits, ``-`` and ``_``."""
    if not re.fullmatch(r"[A-Za-z0-9_-]{1,64}", text):
        raise InvalidValueError("a name of letters, digits, - and _")
    return text


@converters("level")
def convert_level(text: str) -> str:
    """Return the text unchanged if it is one of ``LOG_LEVELS``."""
    if text not in LOG_LEVELS:
        raise InvalidValueError(f"one of {', '.join(LOG_LEVELS)}")
    return text


@converters("key")
def convert_key(text: str) -> str:
    """Return a CURVE key in Z85; an empty text stands for no key."""
    if text and len(text) != 40:
        raise InvalidValueError("a CURVE key of 40 characters in Z85")
    return text


def _converter_name(field: str) -> str:
    """Return the name of the converter for a field, derived from the field name."""
    name_by_field = {
        "seeds": "addresses",
        "level": "level",
        "fanout": "count",
        "retry_ratio": "number",
        "retry_slack": "number",
        "link_mbps": "number",
        "memory_mb": "number",
        "quota_overage": "number",
        "quota_slack": "number",
    }
    if field in name_by_field:
        return name_by_field[field]
    for suffix, name in (("_s", "duration"), ("_bytes", "size"), ("_key", "key")):
        if field.endswith(suffix):
            return name
    if field.endswith("address"):
        return "address"
    return "count" if field.startswith("n_") else "name"


def _describe_choices(name: str, known: list[str]) -> str:
    """Return the accepted names, with a suggestion if one is close to ``name``."""
    matches = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean {matches[0]}?" if matches else ""
    return f"one of {', '.join(known)}{hint}"


def _read_section(
    path: str, section: str, section_type: Any, items: dict[str, str]
) -> Any:
    field_by_key = {ini_key(field): field for field in section_type._fields}
    values = {}
    for key, text in items.items():
        if key not in field_by_key:
            expected = _describe_choices(key, list(field_by_key))
            raise SettingsError(path, section, key, text, expected)
        field = field_by_key[key]
        try:
            values[field] = converters[_converter_name(field)](text)
        except InvalidValueError as error:
            raise SettingsError(path, section, key, text, str(error)) from None
    for field in section_type._fields:
        if field not in values and field not in section_type._field_defaults:
            key = ini_key(field)
            raise SettingsError(
                path, section, key, "", "a value; this key has no default"
            )
    return section_type(**values)


def _check_consistency(path: str, settings: Settings) -> None:
    """Check the conditions that involve more than one setting.

    Raises:
        SettingsError: If two settings contradict each other.
    """
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
    if servers.answer_max_bytes > servers.open_answers_max_bytes:
        raise SettingsError(
            path,
            "backend_servers",
            "answer_max",
            f"{servers.answer_max_bytes}B",
            f"at most open_answers_max ({servers.open_answers_max_bytes}B)",
        )
    if settings.direct.link_mbps <= 0:
        raise SettingsError(
            path, "direct", "link_mbps", "0", "a capacity above zero, in Mbit/s"
        )
    if settings.direct.memory_mb <= 0:
        raise SettingsError(
            path, "direct", "memory_mb", "0", "an amount of memory above zero, in MB"
        )
    addresses = settings.vm[2:5]
    if len(set(addresses)) < len(addresses):
        raise SettingsError(
            path,
            "vm",
            "caller_address",
            addresses[0],
            "three different addresses for callers, messages and admin",
        )


def parse_settings(text: str, path: str) -> Settings:
    """Parse and validate the content of an INI file.

    Args:
        text: Content of the file.
        path: Path of the file, for error messages.

    Raises:
        SettingsError: If the file has an invalid section, key or value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        raise SettingsError(path, "", "", str(error), "an INI file") from None
    section_types = typing.get_type_hints(Settings)
    for section in parser.sections():
        if section not in section_types:
            raise SettingsError(
                path, section, "", "", _describe_choices(section, list(section_types))
            )
    sections = {
        name: _read_section(
            path, name, section_type, dict(parser[name]) if name in parser else {}
        )
        for name, section_type in section_types.items()
    }
    settings = Settings(**sections)
    _check_consistency(path, settings)
    return settings


def read_settings(path: Path) -> Settings:
    """Read and validate an INI file.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: If the file can't be read, or has an invalid section, key or
            value.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), "", "", str(error), "a text file") from None
    return parse_settings(text, str(path))
