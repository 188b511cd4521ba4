"""Messages between VMs over ZeroMQ sockets, driven by the Twisted reactor."""

from typing import Any

import zmq

from burdockhitch import commands, events
from burdockhitch.adapters.codec import decode_message, encode_message
from burdockhitch.adapters.process import Process, command_handlers
from burdockhitch.errors import MessageError, error_name
from burdockhitch.settings import Settings
from burdockhitch.world import World, count

# Messages that a socket queues per connection, in each direction.
HIGH_WATER_MARK = 10_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
RECEIVE_BATCH_SIZE = 200


class Links:
    """One listening ZeroMQ socket, and one sending socket per peer address.

    Args:
        world: Tables of this VM, for counters and settings.
        reactor: Twisted reactor.
        post: Puts an event into the inbox and requests a tick.
    """

    def __init__(self, world: World, reactor: Any, post: Any) -> None:
        self._world = world
        self._reactor = reactor
        self._post = post
        self._context = zmq.Context()
        self._sockets: dict[str, Any] = {}
        self._listener = self._make_socket(zmq.PULL, is_server=True)
        self._is_closed = False

    def listen(self) -> None:
        """Listen on the message address of the settings."""
        settings = self._world.settings
        max_bytes = settings.membership.message_max_bytes
        self._listener.setsockopt(zmq.MAXMSGSIZE, max_bytes)
        self._listener.bind(f"tcp://{settings.vm.message_address}")
        self._reactor.addReader(self)
        self._reactor.callLater(0, self.doRead)

    def close(self) -> None:
        """Close all sockets.

        Queued messages are still sent, for at most ``RECONNECT_MAX_MS``.
        """
        self._is_closed = True
        self._reactor.removeReader(self)
        for socket in self._sockets.values():
            socket.close(linger=RECONNECT_MAX_MS)
        self._listener.close(linger=0)

    def fileno(self) -> int:
        """Return the descriptor that signals socket events (IReadDescriptor)."""
        return int(self._listener.getsockopt(zmq.FD))

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name that Twisted logs (IReadDescriptor)."""
        return "links"

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        """Do nothing; ZeroMQ reconnects by itself (IReadDescriptor)."""

    def doRead(self) -> None:  # noqa: N802
        """Receive all waiting messages (IReadDescriptor).

        The descriptor is edge-triggered, so the socket is read until it is empty.
        After ``RECEIVE_BATCH_SIZE`` messages, reading continues in the next turn of
        the reactor.
        """
        for _ in range(RECEIVE_BATCH_SIZE):
            if self._is_closed:
                return
            try:
                frames = self._listener.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_frames(frames)
        self._reactor.callLater(0, self.doRead)

    def send(self, command: commands.SendMessage) -> None:
        """Send a message; count it as dropped if the send queue is full."""
        settings = self._world.settings
        frames = encode_message(settings.fleet.name, settings.vm.vm_id, command.message)
        socket = self._sockets.get(command.message_address)
        if socket is None:
            socket = self._connect(command.message_address)
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            count(self._world, "messages_dropped", "reason", "full")
            return
        count(self._world, "messages_sent", "kind", frames[3].decode())
        n_bytes = sum(len(frame) for frame in frames)
        count(self._world, "message_bytes_sent", n_events=n_bytes)

    def disconnect(self, address: str) -> None:
        """Close the sending socket to an address, if any, and drop its queue."""
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close(linger=0)

    def _handle_frames(self, frames: list[bytes]) -> None:
        settings = self._world.settings
        max_bytes = settings.membership.message_max_bytes
        try:
            envelope = decode_message(settings.fleet.name, frames, max_bytes)
        except MessageError as error:
            count(self._world, "messages_dropped", "reason", error_name(error))
            return
        count(self._world, "messages_received", "kind", frames[3].decode())
        self._post(events.VmMessageArrived(envelope.sender_vm_id, envelope.message))

    def _connect(self, address: str) -> Any:
        socket = self._make_socket(zmq.PUSH, is_server=False)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(f"tcp://{address}")
        self._sockets[address] = socket
        return socket

    def _make_socket(self, kind: int, is_server: bool) -> Any:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.LINGER, 0)
        _set_curve_keys(socket, self._world.settings, is_server)
        return socket


def _set_curve_keys(socket: Any, settings: Settings, is_server: bool) -> None:
    """Encrypt the socket with the key pair that all VMs of the fleet share, if set."""
    fleet = settings.fleet
    if not fleet.curve_secret_key:
        return
    socket.curve_publickey = fleet.curve_public_key.encode("ascii")
    socket.curve_secretkey = fleet.curve_secret_key.encode("ascii")
    if is_server:
        socket.curve_server = True
    else:
        socket.curve_serverkey = fleet.curve_public_key.encode("ascii")


@command_handlers("SendMessage")
def send_message(process: Process, command: commands.SendMessage) -> None:
    """Send a message to another VM."""
    process.links.send(command)


@command_handlers("CloseLink")
def close_link(process: Process, command: commands.CloseLink) -> None:
    """Close the sending socket to a VM that left or died."""
    process.links.disconnect(command.message_address)
