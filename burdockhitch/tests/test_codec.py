"""Tests the encoding of messages between VMs."""

import msgspec
import pytest

from burdockhitch.adapters.codec import decode_message, encode_message
from burdockhitch.errors import (
    MessageFleetError,
    MessageFormatError,
    MessageSizeError,
    MessageVersionError,
)
from burdockhitch.messages import (
    Answer,
    CancelRequest,
    ForwardAnswer,
    FreeSlotsReport,
    RevisionPush,
)

MAX_BYTES = 1000
MESSAGES = [
    CancelRequest("a:1:2"),
    RevisionPush(3, "hash", b"\0\xff"),
    ForwardAnswer(
        "a:1:2", Answer(200, (("x", "y"),), b"body"), None, FreeSlotsReport("s", -1)
    ),
]
# Frames: protocol version, fleet, sender, kind of message, encoded message.
FRAMES = encode_message("fleet", "a1", MESSAGES[0])


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_a_decoded_message_equals_the_encoded_one(message):
    frames = encode_message("fleet", "a1", message)
    assert decode_message("fleet", frames, MAX_BYTES) == ("a1", message)


@pytest.mark.parametrize(
    ("frames", "error"),
    [
        (FRAMES[:4], MessageFormatError),
        ([*FRAMES, b""], MessageFormatError),
        ([b"9", *FRAMES[1:]], MessageVersionError),
        ([FRAMES[0], b"other", *FRAMES[2:]], MessageFleetError),
        ([*FRAMES[:2], b"\xff", *FRAMES[3:]], MessageFormatError),
        ([*FRAMES[:3], b"unknown", FRAMES[4]], MessageFormatError),
        ([*FRAMES[:4], b"\xc1"], MessageFormatError),
        ([*FRAMES[:4], msgspec.msgpack.encode([1])], MessageFormatError),
        ([*FRAMES[:4], b"x" * MAX_BYTES], MessageSizeError),
    ],
)
def test_an_invalid_message_raises_the_error_of_its_fault(frames, error):
    with pytest.raises(error):
        decode_message("fleet", frames, MAX_BYTES)
