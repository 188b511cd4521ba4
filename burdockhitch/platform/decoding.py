"""Converts documents of the platform to table rows, and back."""

import base64
import binascii
import ipaddress
import re
from typing import Any, NamedTuple

import msgspec

from burdockhitch import log
from burdockhitch.errors import DocumentError
from burdockhitch.platform import names
from burdockhitch.platform.documents import (
    NUMBER_MAX,
    AccountKey,
    WireAccount,
    WireConfiguration,
    WireRoute,
    WireRow,
    WireRows,
    WireServer,
)
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.client_accounts import (
    ClientAccountRow,
    digest_key,
    pack_digests,
    split_digests,
)
from burdockhitch.tables.prefix_routes import PrefixRouteRow, RouteTarget
from burdockhitch.tables.registry_views import ConfigurationDocument
from burdockhitch.tables.vms import VmRow

_configuration_decoder = msgspec.json.Decoder(WireConfiguration)
_server_decoder = msgspec.json.Decoder(WireServer)
_vm_decoder = msgspec.json.Decoder(VmRow)
_rows_decoder = msgspec.json.Decoder(WireRows)
# What a header can hold as a value.
SERVER_ID = re.compile(r"[!-~]{1,200}")
PORT = re.compile(r"[0-9]{1,5}")
PORT_MAX = 65535
WARM_UP_MAX_S = 3600.0
OPTIONAL_ACCOUNT_FIELDS = sorted(WireAccount.__optional_keys__)
# Oddities of accounts that one log line names.
ODDITIES_MAX = 20


class AccountOddity(NamedTuple):
    """A part of an account that was left out because it is malformed.

    Attributes:
        account: Name of the account, or its place in the list if that is malformed.
        field: Field that was left out.
    """

    account: str
    field: str


def _decode(decoder: Any, body: bytes, subject: str) -> Any:
    """Decode a document.

    Raises:
        DocumentError: If the document is malformed or too deeply nested.
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(subject, str(error)) from None


def decode_rows(body: bytes) -> WireRows:
    """Decode the store's answer to a read or a watch.

    Raises:
        DocumentError: If the answer is malformed.
    """
    return _decode(_rows_decoder, body, "store answer")


def decode_row_value(row: WireRow) -> bytes:
    """Return the base64-decoded value of a store row, empty if absent.

    Raises:
        DocumentError: If the value is not valid base64.
    """
    try:
        return base64.b64decode(row.get("value", ""), validate=True)
    except (binascii.Error, ValueError) as error:
        raise DocumentError(row["key"], str(error)) from None


def _decode_targets(route: WireRoute) -> tuple[RouteTarget, ...]:
    split = route.get("trafficSplit")
    if split:
        return tuple(RouteTarget(share["service"], share["weight"]) for share in split)
    return (RouteTarget(route.get("service", ""), 1.0),)


def _decode_route(route: WireRoute) -> PrefixRouteRow:
    return PrefixRouteRow(
        route_id=route["name"],
        host=route["host"].lower(),
        prefix=route["prefix"],
        targets=_decode_targets(route),
        is_idempotent=route["kind"] == names.ROUTE_KIND_SAFE,
        timeout_s=route["timeoutS"],
        latency_objective_s=route["targetLatencyS"],
        n_tries_max=route["maxAttempts"],
        priority=route["priority"],
        is_public=route.get("public") is True,
    )


def _is_of_type(value: Any, wire_type: Any) -> bool:
    try:
        msgspec.convert(value, wire_type)
    except msgspec.ValidationError:
        return False
    return True


def _decode_account(
    entry: Any, place: int, oddities: list[AccountOddity]
) -> ClientAccountRow | None:
    """Decode an account without its malformed fields and keys.

    Args:
        entry: The account.
        place: Its place in the list.
        oddities: List to which what is left out is added.

    Returns:
        The account, or None if it has no usable name.
    """
    present = entry if isinstance(entry, dict) else {}
    is_whole = _is_of_type(present, WireAccount)
    if not is_whole and not _is_of_type({"name": present.get("name")}, WireAccount):
        oddities.append(AccountOddity(f"number {place}", "name"))
        return None
    account = WireAccount(name=present["name"])
    for field in OPTIONAL_ACCOUNT_FIELDS:
        value = present.get(field)
        if value is None:
            continue
        if is_whole or _is_of_type(
            {"name": account["name"], field: value}, WireAccount
        ):
            account[field] = value  # type: ignore[literal-required]
        else:
            oddities.append(AccountOddity(account["name"], field))
    keys = account.get("apiKeys", [])
    if not _is_of_type(keys, list[AccountKey]):
        oddities.append(AccountOddity(account["name"], "apiKeys"))
        keys = [key for key in keys if _is_of_type(key, AccountKey)]
    return ClientAccountRow(
        account=account["name"],
        key_digests=pack_digests(digest_key(key.encode()) for key in keys),
        priority=account.get("priority"),
        rate_per_s=float(account.get("ratePerS", 0.0)),
        burst=float(account.get("burst", 0.0)),
    )


def _merge_accounts(first: ClientAccountRow, again: ClientAccountRow) -> Any:
    """Return an account that is listed twice: with the keys of both entries."""
    digests = {*split_digests(first.key_digests), *split_digests(again.key_digests)}
    return first._replace(key_digests=pack_digests(d.hex() for d in digests))


def _decode_accounts(entries: list[Any], version: int) -> tuple[ClientAccountRow, ...]:
    """Decode accounts; log which parts are malformed, without their values."""
    accounts: dict[str, ClientAccountRow] = {}
    oddities: list[AccountOddity] = []
    for place, entry in enumerate(entries):
        row = _decode_account(entry, place, oddities)
        if row is not None and row.account in accounts:
            oddities.append(AccountOddity(row.account, "name"))
            row = _merge_accounts(accounts[row.account], row)
        if row is not None:
            accounts[row.account] = row
    if oddities:
        fields = {
            "configuration": version,
            "n_parts": len(oddities),
            "parts": [f"{part.account}: {part.field}" for part in oddities][
                :ODDITIES_MAX
            ],
        }
        log.write_event("ERROR", "account_parts_rejected", fields)
    return tuple(accounts.values())


def decode_configuration(body: bytes) -> ConfigurationDocument:
    """Decode a configuration.

    A malformed part of an account is left out and logged. A key that is left out is
    refused; a limit that is left out doesn't apply, since a mistake in one number must
    not turn a customer away.

    Raises:
        DocumentError: If anything else in the document is malformed.
    """
    document: WireConfiguration = _decode(_configuration_decoder, body, "configuration")
    limits = document["limits"]
    entries = document.get("tenants")
    return ConfigurationDocument(
        version=document["version"],
        routes=tuple(_decode_route(route) for route in document["routes"]),
        body_max_bytes=limits["maxBodyBytes"],
        header_max_bytes=limits["maxHeaderBytes"],
        idle_timeout_s=limits["idleTimeoutS"],
        header_timeout_s=limits["headerTimeoutS"],
        connections_max={
            service["name"]: service["maxConnections"]
            for service in document["services"]
        },
        has_accounts=entries is not None,
        accounts=_decode_accounts(entries or [], document["version"]),
    )


def _is_ip_address_with_port(address: str) -> bool:
    host, _, port = address.rpartition(":")
    if PORT.fullmatch(port) is None or not 0 < int(port) <= PORT_MAX:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return True


def _check_server(server_id: str, document: WireServer) -> None:
    if document["state"] not in (names.SERVER_STATE_READY, names.SERVER_STATE_DRAINING):
        raise DocumentError(server_id, f"unknown state {document['state']!r}")
    if not _is_ip_address_with_port(document["address"]):
        raise DocumentError(
            server_id, f"address is not ip:port: {document['address']!r}"
        )


def decode_server(server_id: str, body: bytes) -> BackendServerRow:
    """Decode the registry entry of a backend server.

    Raises:
        DocumentError: If the id or the entry is malformed.
    """
    if SERVER_ID.fullmatch(server_id) is None:
        raise DocumentError(repr(server_id), "no id of a server")
    document: WireServer = _decode(_server_decoder, body, server_id)
    _check_server(server_id, document)
    return BackendServerRow(
        server_id=server_id,
        service=document["service"],
        address=document["address"],
        zone=document["zone"],
        n_slots=document["concurrency"],
        n_connections_max=0,
        is_draining=document["state"] == names.SERVER_STATE_DRAINING,
        requester="",
        line=0,
        warm_up_remaining_s=min(
            WARM_UP_MAX_S, max(0.0, document.get("warmupLeftS", 0.0))
        ),
        process_started_ms=document.get("born", 0),
        sequence=document["sequence"],
    )


def decode_vm(vm_id: str, body: bytes) -> VmRow:
    """Decode the row that a VM wrote to the registry.

    Raises:
        DocumentError: If the document is malformed or of another VM.
    """
    row: VmRow = _decode(_vm_decoder, body, vm_id)
    numbers = [value for value in row if isinstance(value, int)]
    if row.vm_id != vm_id or not all(0 <= n <= NUMBER_MAX for n in numbers):
        raise DocumentError(vm_id, "not a row that a VM writes")
    return row


def encode_vm(row: VmRow) -> str:
    """Encode a VM's row for the registry, with ``platform_answer_age_s`` reset to 0."""
    stable_row = row._replace(platform_answer_age_s=0.0)
    return base64.b64encode(msgspec.json.encode(stable_row)).decode("ascii")
