"""Turns documents of the platform into the product's rows, and back."""

import base64
import binascii

import msgspec

from burdockhitch.errors import DocumentError
from burdockhitch.platform import names
from burdockhitch.platform.documents import (
    WireConfiguration,
    WireRoute,
    WireRow,
    WireRows,
    WireServer,
)
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.prefix_routes import PrefixRouteRow, RouteTarget
from burdockhitch.tables.registry_views import ConfigurationDocument
from burdockhitch.tables.vms import VmRow

_configuration = msgspec.json.Decoder(WireConfiguration)
_server = msgspec.json.Decoder(WireServer)
_vm = msgspec.json.Decoder(VmRow)
_rows = msgspec.json.Decoder(WireRows)


def decode_rows(body: bytes) -> WireRows:
    """Return the answer of a read or a watch.

    Raises:
        DocumentError: If it is not one.
    """
    try:
        return _rows.decode(body)
    except msgspec.MsgspecError as error:
        raise DocumentError("answer of the store", str(error)) from None


def row_content(row: WireRow) -> bytes:
    """Return the content of a row.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        return base64.b64decode(row.get("value", ""), validate=True)
    except (binascii.Error, ValueError) as error:
        raise DocumentError(row["key"], str(error)) from None


def _targets(route: WireRoute) -> tuple[RouteTarget, ...]:
    parts = route.get("trafficSplit")
    if parts:
        return tuple(RouteTarget(part["service"], part["weight"]) for part in parts)
    return (RouteTarget(route.get("service", ""), 1.0),)


def _decode_route(route: WireRoute) -> PrefixRouteRow:
    return PrefixRouteRow(
        route_id=route["name"],
        host=route["host"].lower(),
        prefix=route["prefix"],
        targets=_targets(route),
        is_idempotent=route["kind"] == names.KIND_SAFE,
        timeout_s=route["timeoutS"],
        objective_s=route["targetLatencyS"],
        n_tries_max=route["maxAttempts"],
        priority=route["priority"],
    )


def decode_configuration(body: bytes) -> ConfigurationDocument:
    """Return a configuration.

    Raises:
        DocumentError: If it is malformed.
    """
    try:
        document = _configuration.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DocumentError("configuration", str(error)) from None
    limits = document["limits"]
    return ConfigurationDocument(
        version=document["version"],
        routes=tuple(_decode_route(route) for route in document["routes"]),
        body_max_bytes=limits["maxBodyBytes"],
        header_max_bytes=limits["maxHeaderBytes"],
        idle_timeout_s=limits["idleTimeoutS"],
        connections_max={
            service["name"]: service["maxConnections"]
            for service in document["services"]
        },
    )


def _check_server(server_id: str, document: WireServer) -> None:
    if document["state"] not in (names.STATE_READY, names.STATE_DRAINING):
        raise DocumentError(server_id, f"state {document['state']!r}")
    host, _, port = document["address"].rpartition(":")
    if not host or not port.isdecimal():
        raise DocumentError(server_id, f"address {document['address']!r}")
    if document["concurrency"] < 1:
        raise DocumentError(server_id, "no slots")


def decode_server(server_id: str, body: bytes) -> BackendServerRow:
    """Return a backend server.

    Raises:
        DocumentError: If its entry is malformed.
    """
    try:
        document = _server.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DocumentError(server_id, str(error)) from None
    _check_server(server_id, document)
    return BackendServerRow(
        server_id=server_id,
        service=document["service"],
        address=document["address"],
        zone=document["zone"],
        n_slots=document["concurrency"],
        n_connections_max=0,
        is_draining=document["state"] == names.STATE_DRAINING,
        requester="",
        line=0,
        warm_up_s=document.get("warmupLeftS", 0.0),
        born_ms=document.get("born", 0),
    )


def decode_vm(vm_id: str, body: bytes) -> VmRow:
    """Return a VM's row as that VM wrote it.

    Raises:
        DocumentError: If it is malformed.
    """
    try:
        return _vm.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DocumentError(vm_id, str(error)) from None


def encode_vm(row: VmRow) -> str:
    """Return the content of a VM's row."""
    static = row._replace(platform_age_s=0.0)
    return base64.b64encode(msgspec.json.encode(static)).decode("ascii")
