"""The command-line interface.

Commands import their modules when they run, so that each loads only what it needs.
"""

import os
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from burdockhitch import __version__
from burdockhitch.clock import SystemClock
from burdockhitch.errors import PlatformUnavailableError, RequestNotLoggedError
from burdockhitch.front_ends import (
    DEFAULT_FRONT_END,
    SETTINGS_FILE_VARIABLE,
    front_ends,
)

HTTP_TIMEOUT_S = 5.0

app = typer.Typer(
    help="Proxy fleet for backend servers with gray failures.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
rules_app = typer.Typer(
    help="Check, push, pull and compare rules.", no_args_is_help=True
)
standin_app = typer.Typer(
    help="Run stand-ins of external services for tests.", no_args_is_help=True
)
app.add_typer(rules_app, name="rules")
app.add_typer(standin_app, name="standin")

FileArgument = Annotated[Path, typer.Argument(help="Rules file.")]
PlatformOption = Annotated[str, typer.Option(help="Address of the platform, ip:port.")]
AdminOption = Annotated[str, typer.Option(help="Admin address of a VM, ip:port.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Write JSON.")]


def _write_json(document: Any) -> None:
    sys.stdout.write(msgspec.json.encode(document, enc_hook=str).decode() + "\n")


def _run_in_reactor(make_coroutine: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in the reactor and return its result or raise its error."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    twisted_reactor: Any = reactor
    results: list[Any] = []

    def finish(result: Any) -> None:
        results.append(result)
        twisted_reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(make_coroutine()).addBoth(finish)

    twisted_reactor.callWhenRunning(start)
    twisted_reactor.run()
    from twisted.python.failure import Failure

    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def serve(
    settings: Annotated[
        Path,
        typer.Option(
            help="INI file with the VM's settings.", envvar=SETTINGS_FILE_VARIABLE
        ),
    ],
    front_end: Annotated[
        str, typer.Option(help="Protocols to use: native or platform.")
    ] = DEFAULT_FRONT_END,
) -> None:
    """Run the daemon of an entry VM."""
    front_ends[front_end](settings)


@app.command("check-settings")
def check_settings(
    path: Annotated[Path, typer.Argument(help="INI file.")],
) -> None:
    """Check a settings file and print all settings with defaults filled in."""
    from burdockhitch.settings import read_settings

    _write_json(read_settings(path)._asdict())


@rules_app.command()
def check(path: FileArgument, as_json: JsonOption = False) -> None:
    """Check a rules file."""
    from burdockhitch.operators import split_base_revision
    from burdockhitch.rules.document import parse_rules

    started_s = time.perf_counter()
    body = path.read_bytes()
    if body.startswith(b"# revision "):
        body = split_base_revision(body.decode())[1].encode()
    document = parse_rules(body)
    n_rules = sum(len(rows) for rows in document)
    elapsed_s = time.perf_counter() - started_s
    if as_json:
        _write_json({"n_rules": n_rules, "elapsed_s": elapsed_s})
    else:
        typer.echo(f"{path}: {n_rules} rules are usable ({elapsed_s:.2f} s)")


@rules_app.command()
def push(
    path: FileArgument,
    platform: PlatformOption,
    operator: Annotated[
        str, typer.Option(help="Name of the operator; $USER if empty.")
    ] = "",
    allow_deletion: Annotated[
        bool, typer.Option(help="Allow the push to delete more than half of the rules.")
    ] = False,
) -> None:
    """Check a rules file, merge it with the rules in force and store the result."""
    from burdockhitch.operators import PlatformClient, push_rules

    client = PlatformClient(platform)
    name = operator or os.environ.get("USER", "unknown")
    text = path.read_text("utf-8")
    result = _run_in_reactor(
        lambda: push_rules(client, text, name, SystemClock(), allow_deletion)
    )
    merge_note = ", merged with other operators' rules" if result.is_merged else ""
    change = "in force" if result.is_changed else "unchanged"
    typer.echo(f"revision {result.number} {change}{merge_note}")


@rules_app.command()
def pull(path: FileArgument, platform: PlatformOption) -> None:
    """Save the rules in force to a file, with the revision they are from."""
    from burdockhitch.operators import PlatformClient, add_base_revision, read_head

    head = _run_in_reactor(lambda: read_head(PlatformClient(platform)))
    path.write_text(add_base_revision(head), "utf-8")
    typer.echo(f"revision {head.number} written to {path}")


@rules_app.command()
def show(platform: PlatformOption) -> None:
    """Print the rules in force."""
    from burdockhitch.operators import PlatformClient, read_head

    head = _run_in_reactor(lambda: read_head(PlatformClient(platform)))
    typer.echo(head.text, nl=False)


@rules_app.command()
def diff(path: FileArgument, platform: PlatformOption) -> None:
    """Print the rules in which a file differs from the rules in force."""
    from burdockhitch.operators import PlatformClient, read_head, split_base_revision
    from burdockhitch.rules.merge import diff_rules

    head = _run_in_reactor(lambda: read_head(PlatformClient(platform)))
    ours = split_base_revision(path.read_text("utf-8"))[1]
    for change in diff_rules(head.text, ours):
        if change.before:
            typer.echo(f"- {change.before}")
        if change.after:
            typer.echo(f"+ {change.after}")


@rules_app.command("log")
def show_log(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print all revisions, newest first."""
    from burdockhitch.operators import PlatformClient, read_log

    documents = _run_in_reactor(lambda: read_log(PlatformClient(platform)))
    if as_json:
        _write_json(documents)
        return
    for document in documents:
        typer.echo(
            f"{document['number']} {document['pushed_at']} "
            f"{document['pushed_by']} {document['body_hash']}"
        )


async def _fetch_admin(address: str, path: str) -> bytes:
    """Return the body of an answer of a VM's admin address.

    Raises:
        PlatformUnavailableError: If the VM sends no complete answer.
    """
    import treq

    try:
        answer = await treq.get(
            f"http://{address}{path}", timeout=HTTP_TIMEOUT_S, persistent=False
        )
        content: bytes = await treq.content(answer)
    except Exception as error:
        raise PlatformUnavailableError(f"{address}: {error}") from None
    return content


@app.command()
def state(admin: AdminOption) -> None:
    """Print the state dump of one VM."""
    typer.echo(_run_in_reactor(lambda: _fetch_admin(admin, "/state")).decode())


@app.command()
def requests(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Print the open and lost requests of one VM and those with unknown outcome."""
    document = msgspec.json.decode(
        _run_in_reactor(lambda: _fetch_admin(admin, "/requests"))
    )
    if as_json:
        _write_json(document)
        return
    for kind, rows in document.items():
        typer.echo(f"{kind}: {len(rows)}")
        for row in rows:
            typer.echo(f"  {row['request_id']} {row['service']} {row['route_id']}")


@app.command()
def windows(admin: AdminOption) -> None:
    """Print the windows: whether each is in force, its load and suggested hours."""
    # A window is a daily period in which a service has another floor, the number of
    # healthy slots that ejections must leave.
    rows = msgspec.json.decode(_run_in_reactor(lambda: _fetch_admin(admin, "/windows")))
    for row in rows:
        # The state is None or a WindowStateRow as an array, which starts with
        # window_id, is_in_force and cause.
        state = row["state"]
        in_force = f"in force by {state[2]}" if state and state[1] else "not in force"
        hours = row["hours"] or "not learned yet"
        typer.echo(
            f"line {row['line']} {row['window_id']} ({row['requester']}): {in_force}, "
            f"load {row['load_requests_per_s']:.1f}/s, suggested hours {hours}, "
            f"drift {row['drift_minutes']} min"
        )


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    paths: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none.")
    ] = None,
) -> None:
    """Describe what happened to one request, from the logs of any number of VMs."""
    from burdockhitch.explain import describe_line, find_lines

    if paths:
        texts = [line for path in paths for line in path.read_text().splitlines()]
    else:
        texts = sys.stdin.read().splitlines()
    lines = find_lines(texts, request_id)
    if not lines:
        raise RequestNotLoggedError(request_id)
    for line in lines:
        typer.echo(describe_line(line))


@standin_app.command("platform")
def standin_platform(
    address: Annotated[str, typer.Option(help="Address to listen on, ip:port.")],
) -> None:
    """Run the stand-in of the platform."""
    from burdockhitch.standins.run import run_platform

    run_platform(address)


@standin_app.command("store")
def standin_store(
    address: Annotated[str, typer.Option(help="Address to listen on, ip:port.")],
) -> None:
    """Run the stand-in of the platform's row store."""
    from burdockhitch.standins.run import run_store

    run_store(address)


@standin_app.command("servers")
def standin_servers(
    address: Annotated[list[str], typer.Option(help="Addresses, ip:port.")],
    slots: Annotated[int, typer.Option(help="Request slots of each server.")] = 4,
    seed: Annotated[int, typer.Option(help="Seed of the random faults.")] = 1,
) -> None:
    """Run stand-ins of backend servers, one per address."""
    from burdockhitch.standins.run import run_servers

    run_servers(address, slots, seed)
