"""Tests that a server that sends bytes without end costs a VM bounded memory and time.

Its connection is closed at once, its attempt ends with one result, and other answers
are not affected.
"""

import fcntl
import socket
import struct
import termios
import time
import tracemalloc

import pytest
from twisted.internet.testing import MemoryReactorClock

from burdockhitch.adapters.answer_limits import (
    FRAMING_MAX_BYTES,
    HEAD_MAX_BYTES,
    RECEIVE_BUFFER_BYTES,
    AnswerLimits,
    OpenAnswers,
)
from burdockhitch.adapters.connections import ConnectionPool
from burdockhitch.adapters.exchange import HttpRequest
from burdockhitch.settings import (
    DEFAULT_ANSWER_MAX_BYTES,
    DEFAULT_OPEN_ANSWERS_MAX_BYTES,
)
from burdockhitch.tests.test_connections import ADDRESS, TIMEOUT_S, connect
from burdockhitch.tests.test_exchange import (
    BROKEN,
    COMPLETE,
    CONTINUE,
    HEAD,
    OTHER_ANSWER,
    Conversation,
    Transport,
)

BODY_MAX_BYTES = 64 * 1024
READ_MAX_BYTES = 64 * 1024
# A head, a body with its framing, and the last bytes read.
RECEIVED_MAX_BYTES = (
    HEAD_MAX_BYTES
    + FRAMING_MAX_BYTES
    + BODY_MAX_BYTES
    + BODY_MAX_BYTES // 4
    + READ_MAX_BYTES
)
# Bytes are copied while they are parsed.
HELD_MAX_BYTES = 4 * (HEAD_MAX_BYTES + BODY_MAX_BYTES)
HELD_AFTER_CLOSE_MAX_BYTES = 16 * 1024
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = AnswerLimits(BODY_MAX_BYTES, 2 * BODY_MAX_BYTES)

# Method of the request, first bytes, and the bytes that follow without end.
ENDLESS_ANSWERS = {
    "header_line": ("GET", HEAD + b"X: ", b"a"),
    "header_name": ("GET", HEAD, b"a"),
    "header_lines": ("GET", HEAD, b"X-A: b\r\n"),
    "folded_header_lines": ("GET", HEAD + b"X: a\r\n", b" a\r\n"),
    "status_line": ("GET", b"HTTP/1.1 200 ", b"O"),
    "blank_lines": ("GET", b"", b"\r\n"),
    "bare_line_feeds": ("GET", b"", b"\n"),
    "no_http": ("GET", b"", b"\xff"),
    "interim_answers": ("GET", b"", CONTINUE),
    "interim_answers_with_headers": (
        "GET",
        b"",
        b"HTTP/1.1 103 Early\r\n" + b"X: " + b"a" * 5000 + b"\r\n\r\n",
    ),
    "one_chunk": ("GET", CHUNKED_HEAD + b"ffffffffff\r\n", b"a"),
    "chunks": ("GET", CHUNKED_HEAD, b"100\r\n" + b"a" * 256 + b"\r\n"),
    "chunks_of_two_bytes": ("GET", CHUNKED_HEAD, b"2\r\nab\r\n"),
    "chunk_size_line": ("GET", CHUNKED_HEAD + b"1;", b"a"),
    "chunk_extensions": (
        "GET",
        CHUNKED_HEAD,
        b"1;" + b"x" * 5000 + b"\r\na\r\n",
    ),
    "trailers": ("GET", CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n"),
    "announced_length": (
        "GET",
        HEAD + b"Content-Length: 99999999999999999999\r\n\r\n",
        b"a",
    ),
    "no_length": ("GET", HEAD + b"\r\n", b"a"),
    "late_answers": ("GET", b"", OTHER_ANSWER),
    "late_answers_to_a_post": ("POST", b"", OTHER_ANSWER),
    "switched_protocol": ("CONNECT", HEAD + b"\r\n", b"a"),
}


def feed(conversation, first_bytes, endless_bytes, size, n_bytes_max):
    """Feed pieces of a size until the VM closes the connection.

    Returns:
        Bytes fed; above ``n_bytes_max`` if the VM did not close in time.
    """
    data = first_bytes + endless_bytes * (2 * size // len(endless_bytes) + 1)
    n_fed = 0
    while not conversation.transport.disconnecting and n_fed <= n_bytes_max:
        conversation.connection.dataReceived(data[:size])
        n_fed += size
        data = data[size:]
        while len(data) < size:
            data += endless_bytes
    return n_fed


@pytest.mark.parametrize("size", [100, 1460, READ_MAX_BYTES])
@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_an_endless_answer_is_broken_off_within_its_limits(name, size):
    method, first_bytes, endless_bytes = ENDLESS_ANSWERS[name]
    conversation = Conversation(method, b"", open_answers=OpenAnswers(LIMITS))
    tracemalloc.start()
    try:
        n_fed = feed(conversation, first_bytes, endless_bytes, size, RECEIVED_MAX_BYTES)
        n_held_after_close, n_held_max = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert n_fed <= RECEIVED_MAX_BYTES
    assert conversation.outcome() is BROKEN
    assert conversation.transport.disconnecting
    assert not conversation.idle_timeouts_s
    assert n_held_max <= HELD_MAX_BYTES
    assert n_held_after_close <= HELD_AFTER_CLOSE_MAX_BYTES


@pytest.mark.parametrize("size", [100, READ_MAX_BYTES])
@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_a_broken_off_answer_leaves_nothing_in_the_open_answers(name, size):
    method, first_bytes, endless_bytes = ENDLESS_ANSWERS[name]
    open_answers = OpenAnswers(LIMITS)
    conversation = Conversation(method, b"", open_answers=open_answers)
    feed(conversation, first_bytes, endless_bytes, size, RECEIVED_MAX_BYTES)
    assert open_answers.n_bytes == 0


@pytest.mark.parametrize("size", [10, READ_MAX_BYTES])
@pytest.mark.parametrize("extra", [b"a", b"\r\n", COMPLETE, OTHER_ANSWER, CONTINUE])
def test_endless_bytes_after_a_whole_answer_close_the_kept_connection(extra, size):
    conversation = Conversation(open_answers=OpenAnswers(LIMITS))
    n_fed = feed(conversation, COMPLETE, extra, size, READ_MAX_BYTES)
    assert conversation.outcome() == (200, b"ab")
    assert n_fed <= len(COMPLETE) + 2 * size
    assert conversation.transport.disconnecting


@pytest.mark.parametrize("n_bytes", [1, READ_MAX_BYTES])
def test_a_connection_closed_for_stray_bytes_is_not_reused_before_it_is_lost(n_bytes):
    reactor = MemoryReactorClock()
    pool = ConnectionPool(reactor, reactor.seconds, TIMEOUT_S, LIMITS)
    pool.connect(ADDRESS, lambda _connection: None, lambda _is_refused: None)
    connection = connect(reactor)
    request = HttpRequest("GET", "/", (("host", "h"),), b"", "mine")
    connection.send_request(request, lambda _result: None)
    connection.dataReceived(COMPLETE)
    connection.dataReceived(b"x" * n_bytes)
    assert connection.transport.disconnecting
    assert pool.acquire(ADDRESS) is None


@pytest.mark.parametrize(
    ("method", "data", "end"),
    [
        ("HEAD", HEAD + b"Content-Length: 9999999\r\n\r\n", (200, b"")),
        (
            "GET",
            b"HTTP/1.1 304 Same\r\nContent-Length: 9999999\r\n\r\n",
            (304, b""),
        ),
        (
            "GET",
            HEAD + b"Content-Length: 65536\r\n\r\n" + b"a" * BODY_MAX_BYTES,
            (200, b"a" * BODY_MAX_BYTES),
        ),
        (
            "GET",
            CHUNKED_HEAD + b"1\r\na\r\n" * 10_000 + b"0\r\n\r\n",
            (200, b"a" * 10_000),
        ),
        (
            "GET",
            HEAD + b"X: " + b"a" * 60_000 + b"\r\nContent-Length: 2\r\n\r\nab",
            (200, b"ab"),
        ),
        ("GET", CONTINUE * 16 + COMPLETE, (200, b"ab")),
        ("GET", OTHER_ANSWER * 4 + COMPLETE, (200, b"ab")),
    ],
)
@pytest.mark.parametrize("size", [100, 10_000_000])
def test_answers_at_the_limits_are_still_whole(method, data, end, size):
    conversation = Conversation(method, b"", open_answers=OpenAnswers(LIMITS))
    for start in range(0, len(data), size):
        conversation.connection.dataReceived(data[start : start + size])
    assert conversation.outcome() == end


@pytest.mark.parametrize("n_endless", [3, 50])
def test_many_endless_answers_together_stay_within_the_limit_of_open_answers(n_endless):
    open_answers = OpenAnswers(LIMITS)
    whole = Conversation(open_answers=open_answers)
    whole.connection.dataReceived(COMPLETE[:-1])
    endless = [Conversation(open_answers=open_answers) for _ in range(n_endless)]
    for conversation in endless:
        conversation.connection.dataReceived(HEAD + b"\r\n")
    tracemalloc.start()
    try:
        for _ in range(BODY_MAX_BYTES // 1000 + 1):
            for conversation in endless:
                if not conversation.transport.disconnecting:
                    conversation.connection.dataReceived(b"a" * 1000)
        n_held_max = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    whole.connection.dataReceived(COMPLETE[-1:])
    assert [conversation.outcome() for conversation in endless] == [BROKEN] * n_endless
    assert whole.outcome() == (200, b"ab")
    assert n_held_max <= 4 * LIMITS.open_max_bytes
    assert open_answers.n_bytes == 0


# A head of 64,000 bytes in lines of four, of an answer whose body doesn't arrive.
SHORT_LINES_HEAD = HEAD + b"a:\r\n" * 16_000 + b"Content-Length: 2\r\n\r\n"
N_SHORT_LINES_ANSWERS = 150
DEFAULT_LIMITS = AnswerLimits(DEFAULT_ANSWER_MAX_BYTES, DEFAULT_OPEN_ANSWERS_MAX_BYTES)


def test_heads_of_many_short_lines_count_in_the_open_answers():
    # Guards against heads, each within its limit, that together take the VM's memory.
    open_answers = OpenAnswers(DEFAULT_LIMITS)
    conversations = []
    tracemalloc.start()
    try:
        for _ in range(N_SHORT_LINES_ANSWERS):
            conversation = Conversation(open_answers=open_answers)
            conversation.connection.dataReceived(SHORT_LINES_HEAD)
            conversations.append(conversation)
        n_held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    # The bound of the process in test_endless_processes.py.
    assert n_held_bytes <= 3 * DEFAULT_OPEN_ANSWERS_MAX_BYTES
    newest = conversations[-1]
    newest.connection.dataReceived(b"ab")
    assert newest.outcome() == (200, b"ab")


class SocketTransport(Transport):
    """A string transport with the options of a real socket."""

    def __init__(self, handle):
        super().__init__()
        self._handle = handle

    def getHandle(self):  # noqa: N802
        return self._handle


def send_until_full(server_socket, client_socket, n_read):
    """Send without end; read ``n_read`` bytes, then none until no more can be sent."""
    server_socket.setblocking(False)
    n_unread = n_read
    full_since_s = time.monotonic()
    while time.monotonic() - full_since_s < 0.2:
        try:
            server_socket.send(b"a" * READ_MAX_BYTES)
            full_since_s = time.monotonic()
        except BlockingIOError:
            if n_unread > 0:
                n_unread -= len(client_socket.recv(READ_MAX_BYTES))
                full_since_s = time.monotonic()


@pytest.mark.parametrize("n_read", [0, 16 * 1024 * 1024])
def test_the_kernel_holds_few_unread_bytes_of_a_server_that_sends_without_end(n_read):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client_socket = socket.create_connection(listener.getsockname())
        server_socket, _ = listener.accept()
    with client_socket, server_socket:
        connection = Conversation(open_answers=OpenAnswers(LIMITS)).connection
        connection.makeConnection(SocketTransport(client_socket))
        send_until_full(server_socket, client_socket, n_read)
        answer = fcntl.ioctl(client_socket, termios.FIONREAD, b"\0" * 4)
        (n_unread,) = struct.unpack("i", answer)
    assert n_unread <= 2 * RECEIVE_BUFFER_BYTES
