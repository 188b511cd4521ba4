"""The stand-in of a backend server, with faults of its answers and timed records.

Each request that runs is written to a file before anything else happens, so that
the record outlives the process.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from burdockhitch.adapters.listening import listen
from burdockhitch.clock import SystemClock
from burdockhitch.platform import names
from burdockhitch.registry import Registry
from burdockhitch.standins.server import ServerStandin
from tools.soak.records import RunRow

# All keys of a run begin so; a header with it holds a key.
KEY_PREFIX = "soak-key-"
Answer = Callable[[Any, bytes], None]
broken_answers: Registry[Answer] = Registry("broken answer")


@broken_answers("truncated")
def send_truncated_answer(request: Any, content: bytes) -> None:
    """Send half of an answer and close the connection."""
    request.setHeader("content-length", str(len(content)))
    request.setHeader(names.BACKEND_SIGNATURE, "soak")
    request.write(content[: len(content) // 2])
    request.transport.loseConnection()


@broken_answers("garbled")
def send_garbled_answer(request: Any, content: bytes) -> None:
    """Send bytes that are no HTTP answer."""
    request.channel.transport.write(b"\x00\xffHTP/9 2\r\n" + content[::-1])
    request.channel.transport.loseConnection()


@broken_answers("lost")
def lose_answer(request: Any, content: bytes) -> None:
    """Close the connection without an answer."""
    request.channel.transport.abortConnection()


@broken_answers("mute")
def send_no_answer(request: Any, content: bytes) -> None:
    """Keep the connection open without an answer."""


class SoakBackend(ServerStandin):
    """A backend server whose behaviour also names a broken answer and its share.

    The behaviour has two more fields: ``broken``, a name in ``broken_answers`` or
    empty, and ``broken_ratio``, the share of requests answered so.

    Args:
        reactor: Twisted reactor.
        clock: Source of time.
        n_slots: Requests that it runs at once.
        server_id: Id of the server.
        seed: Seed of the random faults.
        path: File to which the records are added, one JSON document a line.
    """

    def __init__(
        self,
        reactor: Any,
        clock: SystemClock,
        n_slots: int,
        server_id: str,
        seed: int,
        path: Path,
    ) -> None:
        super().__init__(reactor, clock, n_slots, server_id, seed)
        self._file = path.open("ab", buffering=0)

    def _record_request(self, request: Any, body: bytes) -> None:
        all_headers = request.requestHeaders.getAllRawHeaders()
        row = RunRow(
            server=self._name,
            request_id=request.getHeader(names.REQUEST_ID) or "",
            at_s=self._clock.now().monotonic_s,
            accounts=request.requestHeaders.getRawHeaders(names.ACCOUNT, []),
            key_headers=[
                name.decode()
                for name, values in all_headers
                if any(KEY_PREFIX.encode() in value for value in values)
            ],
        )
        self._file.write(msgspec.json.encode(row) + b"\n")

    def _answer(self, request: Any, body: bytes, answer: Deferred[bytes]) -> None:
        behaviour: dict[str, Any] = dict(self.behaviour)
        if self._rng.random() < behaviour.get("broken_ratio", 0.0):
            content = msgspec.json.encode({"server": self._name, "path": "x" * 400})
            broken_answers[behaviour["broken"]](request, content)
            return
        super()._answer(request, body, answer)


def main(
    address: Annotated[str, typer.Option(help="ip:port.")],
    server_id: Annotated[str, typer.Option("--id", help="Id of the server.")],
    path: Annotated[Path, typer.Option("--records", help="File of the records.")],
    n_slots: Annotated[int, typer.Option("--slots", help="Requests at once.")],
    seed: Annotated[int, typer.Option("--seed", help="Seed of random faults.")],
) -> None:
    """Run one backend server until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    standin = SoakBackend(loop, SystemClock(), n_slots, server_id, seed, path)
    listen(loop, address, Site(standin.app.resource()), [])
    loop.run()


if __name__ == "__main__":
    typer.run(main)
