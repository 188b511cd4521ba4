"""Copies the registry between VMs over HTTP on the admin address."""

import zlib
from collections import deque
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from twisted.python.failure import Failure
from twisted.web.resource import Resource

from burdockhitch import commands, events
from burdockhitch.adapters.connections import (
    make_internal_request,
    send_internal_request,
)
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.direct_messages import Snapshot
from burdockhitch.errors import SnapshotBusyError, SnapshotError
from burdockhitch.platform import names
from burdockhitch.platform.process import PlatformProcess, command_handlers
from burdockhitch.systems.direct.snapshots import (
    is_sending_copies,
    make_snapshot,
    record_sent_copy,
)
from burdockhitch.world import World, count

SNAPSHOT_TIMEOUT_S = 1.0
# The VMs of a zone mostly hold the same versions, or the versions before.
ENCODED_SNAPSHOTS_MAX = 4
STATUS_OK = 200
STATUS_BUSY = 503
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class EncodedSnapshot(NamedTuple):
    """A snapshot and the body of an answer with it."""

    snapshot: Snapshot
    body: bytes


class PeerResource(Resource):
    """Serves registry snapshots to other VMs, and the operators' endpoints.

    Args:
        world: Tables of this VM.
    """

    isLeaf = True

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self._admin_resource: Any = None
        self._encoded_snapshots: deque[EncodedSnapshot] = deque(
            maxlen=ENCODED_SNAPSHOTS_MAX
        )

    def render(self, request: Any) -> Any:
        """Serve a snapshot, or pass the request to the operators' interface."""
        if request.path == names.SNAPSHOT_PATH.encode():
            return self._render_snapshot(request)
        if self._admin_resource is None:
            self._admin_resource = _make_admin_resource(self._world)
        return self._admin_resource.render(request)

    def _render_snapshot(self, request: Any) -> bytes:
        """Return what changed since the versions in the query, unless busy."""
        now = self._world.clock.now()
        if is_sending_copies(self._world, now):
            count(self._world, "snapshots_refused")
            request.setResponseCode(STATUS_BUSY)
            return b""
        snapshot = make_snapshot(
            self._world,
            _query_number(request, b"configuration"),
            _query_number(request, b"servers"),
            _query_number(request, b"vms"),
            now,
        )
        body = self._encode(snapshot)
        record_sent_copy(self._world, len(body), now)
        count(self._world, "snapshots_served")
        count(self._world, "snapshot_bytes_sent", n_events=len(body))
        return body

    def _encode(self, snapshot: Snapshot) -> bytes:
        """Encode a snapshot, or return the body of an equal one from before."""
        for encoded in self._encoded_snapshots:
            if encoded.snapshot == snapshot:
                return encoded.body
        body = encode_snapshot(snapshot)
        self._encoded_snapshots.append(EncodedSnapshot(snapshot, body))
        return body


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the body of an answer with a snapshot."""
    return zlib.compress(_encoder.encode(snapshot))


def decode_snapshot(body: bytes) -> Snapshot:
    """Return the snapshot of an answer's body.

    Raises:
        SnapshotError: If the body is malformed.
    """
    try:
        return _decoder.decode(zlib.decompress(body))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise SnapshotError(str(error)) from None


def _make_admin_resource(world: World) -> Any:
    # Imported on first use: these libraries take a fifth of the start time, and few
    # VMs get requests from operators.
    from burdockhitch.adapters.admin import AdminApp

    return AdminApp(world).app.resource()


def _query_number(request: Any, name: bytes) -> int:
    text = (request.args.get(name) or [b"0"])[0]
    return int(text) if text.isdigit() else 0


@command_handlers("ReadSnapshot")
def read_snapshot(process: PlatformProcess, command: commands.ReadSnapshot) -> None:
    """Read the registry from another VM and post its snapshot or the error."""
    query = urlencode(
        {
            "configuration": command.configuration_version,
            "servers": command.servers_version,
            "vms": command.n_vms,
        }
    )
    path = f"{names.SNAPSHOT_PATH}?{query}"
    request = make_internal_request(command.admin_address, "GET", path)

    def post_snapshot(answer: HttpAnswer) -> None:
        if answer.status == STATUS_BUSY:
            raise SnapshotBusyError(command.admin_address)
        if answer.status != STATUS_OK:
            raise SnapshotError(str(answer.status))
        snapshot = decode_snapshot(answer.body)
        event = events.SnapshotRead(
            command.operation_id, None, snapshot, len(answer.body)
        )
        process.ticker.post(event)

    def post_failure(failure: Failure) -> None:
        process.ticker.post(events.SnapshotRead(command.operation_id, failure.type))

    answer_deferred = send_internal_request(
        process.reactor, command.admin_address, request, SNAPSHOT_TIMEOUT_S
    )
    answer_deferred.addCallback(post_snapshot).addErrback(post_failure)
