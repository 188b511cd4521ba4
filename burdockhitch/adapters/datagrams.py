"""Messages between VMs as UDP datagrams.

ZeroMQ over TCP is not used here: after a partition heals, its connections stay
silent until TCP retransmits, seconds later, and the reports queued on them are
outdated by then. A lost datagram costs little, since every heartbeat repeats the
current state.
"""

import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from burdockhitch import commands, events
from burdockhitch.adapters.codec import decode_message, encode_message
from burdockhitch.direct_messages import TokenReply, TokenRequest
from burdockhitch.errors import MessageError, MessageFormatError, error_name
from burdockhitch.settings import BYTES_PER_MBIT
from burdockhitch.systems.direct.quotas.admission import needs_prompt_messages
from burdockhitch.world import World, count, post_event

DATAGRAM_MAX_BYTES = 60_000
# Fraction of the link for messages; the rest is for requests.
LINK_FRACTION = 0.5
# Most that is sent at once.
BURST_MAX_BYTES = 16 * 1024
BURST_PAUSE_S = 0.015
# Messages up to this size are sent before larger ones.
SMALL_MAX_BYTES = 1024
# Larger ones that would wait for longer than this are dropped: a newer one follows.
BULK_WAIT_MAX_S = 0.3
# Larger datagrams are compressed.
PLAIN_MAX_BYTES = 1024
COMPRESSION_LEVEL = 1
# First byte of compressed datagrams; others begin with a list in MessagePack.
ZLIB_FIRST_BYTE = 0x78
# Requests of callers wait for these, so they are handled at once.
PROMPT_MESSAGES = (TokenRequest, TokenReply)
_decoder = msgspec.msgpack.Decoder(list[bytes])


def pack_message(fleet: str, sender_vm_id: str, message: Any) -> bytes:
    """Encode a message as one datagram, compressed if it is large."""
    datagram = msgspec.msgpack.encode(encode_message(fleet, sender_vm_id, message))
    if len(datagram) <= PLAIN_MAX_BYTES:
        return datagram
    return zlib.compress(datagram, COMPRESSION_LEVEL)


def _decompress(datagram: bytes) -> bytes:
    """Return the content of a compressed datagram, up to ``DATAGRAM_MAX_BYTES``.

    Raises:
        MessageFormatError: If it is not compressed correctly.
    """
    try:
        return zlib.decompressobj().decompress(datagram, DATAGRAM_MAX_BYTES)
    except zlib.error as error:
        raise MessageFormatError(str(error)) from None


def unpack_frames(datagram: bytes) -> list[bytes]:
    """Return the frames that a datagram contains.

    Raises:
        MessageFormatError: If the payload is not a list of frames.
    """
    if datagram[:1] == bytes([ZLIB_FIRST_BYTE]):
        datagram = _decompress(datagram)
    try:
        return _decoder.decode(datagram)
    except msgspec.MsgspecError as error:
        raise MessageFormatError(str(error)) from None


class Datagrams(DatagramProtocol):
    """UDP socket for messages from and to other VMs.

    Bursts are spread over time: a message of a few kilobytes to all VMs of a zone
    exceeds what a narrow link queues, and the rest of the burst would be lost.

    Args:
        world: Tables of this VM, for counters, settings and the clock, and for the
            messages that request no tick.
        post: Puts an event into the inbox and requests a tick.
        reactor: Twisted reactor.
    """

    def __init__(self, world: World, post: Callable[[Any], None], reactor: Any) -> None:
        self._world = world
        self._post = post
        self._reactor = reactor
        self._port: Any = None
        link_mbps = world.settings.direct.link_mbps
        self._bytes_per_s = LINK_FRACTION * link_mbps * BYTES_PER_MBIT
        self._unsent_small: deque[tuple[bytes, str]] = deque()
        self._unsent_bulk: deque[tuple[bytes, str]] = deque()
        self._n_bulk_bytes = 0
        self._n_burst_bytes = float(BURST_MAX_BYTES)
        self._refilled_at_s = 0.0
        self._is_pausing = False
        self._is_prompt = False

    def listen(self, address: str) -> None:
        """Bind the socket; datagrams stay in its buffer until ``read_pending``.

        Waking the reactor for each datagram would cost more than all other work of
        a VM.
        """
        host, _, port = address.rpartition(":")
        self._port = self._reactor.listenUDP(
            int(port), self, interface=host, maxPacketSize=DATAGRAM_MAX_BYTES
        )
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
        self._choose_reading()

    def _choose_reading(self) -> None:
        """Let datagrams wake the reactor only while requests may wait for a message.

        It then costs a read of each datagram, but a tick for those messages only.
        """
        is_prompt = needs_prompt_messages(self._world)
        if is_prompt == self._is_prompt:
            return
        self._is_prompt = is_prompt
        if is_prompt:
            self._port.startReading()
        else:
            self._port.stopReading()

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
        event = events.VmMessageArrived(envelope.sender_vm_id, envelope.message)
        if self._is_prompt and not isinstance(envelope.message, PROMPT_MESSAGES):
            post_event(self._world, event)
        else:
            self._post(event)

    def send(self, command: commands.BroadcastMessage) -> None:
        """Send one message to several addresses; count each failure as dropped."""
        settings = self._world.settings
        datagram = pack_message(settings.fleet.name, settings.vm.vm_id, command.message)
        if len(datagram) > DATAGRAM_MAX_BYTES or self.transport is None:
            count(self._world, "messages_dropped", "reason", "unsendable")
            return
        unsent = [(datagram, address) for address in command.message_addresses]
        if len(datagram) <= SMALL_MAX_BYTES:
            self._unsent_small.extend(unsent)
        elif self._n_bulk_bytes > BULK_WAIT_MAX_S * self._bytes_per_s:
            count(self._world, "messages_dropped", "reason", "congested")
            return
        else:
            self._unsent_bulk.extend(unsent)
            self._n_bulk_bytes += len(datagram) * len(unsent)
        if not self._is_pausing:
            self._send_burst()

    def _pop_unsent(self) -> tuple[bytes, str] | None:
        """Remove and return the next datagram and its address, if any is left."""
        if self._unsent_small:
            return self._unsent_small.popleft()
        if not self._unsent_bulk:
            return None
        datagram, address = self._unsent_bulk.popleft()
        self._n_bulk_bytes -= len(datagram)
        return datagram, address

    def _send_burst(self) -> None:
        """Send what the allowance permits, and the rest after a pause."""
        self._refill_allowance()
        while self._n_burst_bytes > 0 and (unsent := self._pop_unsent()) is not None:
            self._n_burst_bytes -= len(unsent[0])
            self._write(*unsent)
        self._is_pausing = bool(self._unsent_small or self._unsent_bulk)
        if self._is_pausing:
            self._reactor.callLater(BURST_PAUSE_S, self._send_burst)

    def _refill_allowance(self) -> None:
        now_s = self._world.clock.now().monotonic_s
        n_refilled = (now_s - self._refilled_at_s) * self._bytes_per_s
        self._n_burst_bytes = min(BURST_MAX_BYTES, self._n_burst_bytes + n_refilled)
        self._refilled_at_s = now_s

    def _write(self, datagram: bytes, address: str) -> None:
        transport: Any = self.transport
        host, _, port = address.rpartition(":")
        # ValueError: a malformed address, which another VM may have sent.
        try:
            transport.write(datagram, (host, int(port)))
        except (OSError, ValueError) as error:
            count(self._world, "messages_dropped", "reason", type(error).__name__)
            return
        count(self._world, "message_bytes_sent", n_events=len(datagram))
