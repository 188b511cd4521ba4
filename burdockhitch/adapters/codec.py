"""Encodes and decodes messages between VMs.

A message is a list of frames: protocol version, name of the fleet, id of the sender,
kind of the message, and the message itself as MessagePack.
"""

from typing import Any, NamedTuple

import msgspec

from burdockhitch import direct_messages
from burdockhitch.errors import (
    MessageFleetError,
    MessageFormatError,
    MessageSizeError,
    MessageVersionError,
)
from burdockhitch.messages import vm_messages

# Imported because this module registers further message types.
REGISTERED_MODULES = (direct_messages,)
MESSAGE_VERSION = b"1"
N_FRAMES = 5

_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(vm_messages[kind]) for kind in vm_messages}
_kind_by_type = {vm_messages[kind]: kind for kind in vm_messages}


class Envelope(NamedTuple):
    """A decoded message and the id of the VM that sent it."""

    sender_vm_id: str
    message: Any


def encode_message(fleet: str, sender_vm_id: str, message: Any) -> list[bytes]:
    """Encode a message as a list of frames."""
    return [
        MESSAGE_VERSION,
        fleet.encode(),
        sender_vm_id.encode(),
        _kind_by_type[type(message)].encode(),
        _encoder.encode(message),
    ]


def decode_message(fleet: str, frames: list[bytes], max_bytes: int) -> Envelope:
    """Decode the frames of one message.

    Raises:
        MessageVersionError: If the protocol version differs.
        MessageFleetError: If the sender belongs to another fleet.
        MessageSizeError: If the frames exceed ``max_bytes`` in total.
        MessageFormatError: If the frames can't be decoded.
    """
    if sum(len(frame) for frame in frames) > max_bytes:
        raise MessageSizeError()
    if len(frames) != N_FRAMES:
        raise MessageFormatError(f"expected {N_FRAMES} frames, got {len(frames)}")
    version, sender_fleet, sender, kind, payload = frames
    if version != MESSAGE_VERSION:
        raise MessageVersionError(version)
    if sender_fleet != fleet.encode():
        raise MessageFleetError(sender_fleet)
    decoder = _decoders.get(kind.decode("ascii", "replace"))
    if decoder is None:
        raise MessageFormatError(f"unknown message kind {kind!r}")
    try:
        return Envelope(sender.decode(), decoder.decode(payload))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageFormatError(str(error)) from None
