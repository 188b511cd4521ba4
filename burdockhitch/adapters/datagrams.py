"""Messages between VMs as UDP datagrams.

ZeroMQ over TCP is not used here: after a partition heals, its connections stay
silent until TCP retransmits, seconds later, and the reports queued on them are
outdated by then. A lost datagram costs little, since every heartbeat repeats the
current state.
"""

from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from burdockhitch import commands, events
from burdockhitch.adapters.codec import decode_message, encode_message
from burdockhitch.errors import MessageError, MessageFormatError, error_name
from burdockhitch.world import World, count

DATAGRAM_MAX_BYTES = 60_000
_decoder = msgspec.msgpack.Decoder(list[bytes])


def pack_message(fleet: str, sender_vm_id: str, message: Any) -> bytes:
    """Encode a message as one datagram."""
    return msgspec.msgpack.encode(encode_message(fleet, sender_vm_id, message))


def unpack_frames(datagram: bytes) -> list[bytes]:
    """Return the frames that a datagram contains.

    Raises:
        MessageFormatError: If the payload is not a list of frames.
    """
    try:
        return _decoder.decode(datagram)
    except msgspec.MsgspecError as error:
        raise MessageFormatError(str(error)) from None


class Datagrams(DatagramProtocol):
    """UDP socket for messages from and to other VMs.

    Args:
        world: Tables of this VM, for counters and settings.
        post: Puts an event into the inbox and requests a tick.
    """

    def __init__(self, world: World, post: Any) -> None:
        self._world = world
        self._post = post
        self._port: Any = None

    def listen(self, reactor: Any, address: str) -> None:
        """Bind the socket; datagrams stay in its buffer until ``read_pending``.

        Waking the reactor for each datagram would cost more than all other work of
        a VM.
        """
        host, _, port = address.rpartition(":")
        self._port = reactor.listenUDP(int(port), self, interface=host)
        self._port.stopReading()

    def read_pending(self) -> None:
        """Read the datagrams in the socket's buffer and post their messages."""
        if self._port is None:
            return
        try:
            self._port.doRead()
        except OSError as error:
            reason = type(error).__name__
            count(self._world, "messages_dropped", "reason", reason)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Decode a datagram and post its message, or count it as dropped."""
        fleet = self._world.settings.fleet.name
        try:
            frames = unpack_frames(datagram)
            envelope = decode_message(fleet, frames, DATAGRAM_MAX_BYTES)
        except MessageError as error:
            count(self._world, "messages_dropped", "reason", error_name(error))
            return
        count(self._world, "messages_received", "kind", frames[3].decode())
        self._post(events.VmMessageArrived(envelope.sender_vm_id, envelope.message))

    def send(self, command: commands.BroadcastMessage) -> None:
        """Send one message to several addresses; count each failure as dropped."""
        settings = self._world.settings
        datagram = pack_message(settings.fleet.name, settings.vm.vm_id, command.message)
        if len(datagram) > DATAGRAM_MAX_BYTES or self.transport is None:
            count(self._world, "messages_dropped", "reason", "unsendable")
            return
        transport: Any = self.transport
        for address in command.message_addresses:
            host, _, port = address.rpartition(":")
            try:
                transport.write(datagram, (host, int(port)))
            except OSError as error:
                reason = type(error).__name__
                count(self._world, "messages_dropped", "reason", reason)
                continue
            n_bytes = len(datagram)
            count(self._world, "message_bytes_sent", n_events=n_bytes)
