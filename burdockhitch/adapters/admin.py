"""HTTP interface for operators: metrics, state dump, requests and windows.

A window is a range of hours in which a service has another floor, which is its
minimum of healthy slots.
"""

from typing import Any

import msgspec
from aioprometheus import Counter, Gauge, Registry, render
from klein import Klein

from burdockhitch.adapters.state import dump_table, encode_state
from burdockhitch.systems.windows import fleet_load, suggest_hours
from burdockhitch.world import World, current_revision

METRIC_PREFIX = "burdockhitch_"
JSON_TYPE = "application/json"


def _collect_counters(world: World, registry: Registry) -> None:
    counters: dict[str, Counter] = {}
    for row in world.counters:
        name, label, value = row.key
        if name not in counters:
            metric = f"{METRIC_PREFIX}{name}_total"
            counters[name] = Counter(metric, name.replace("_", " "), registry=registry)
        labels = {label: str(value)} if label else {}
        counters[name].set(labels, row.value)


def _collect_gauges(world: World, registry: Registry) -> None:
    values = {
        "requests_open": len(world.requests),
        "requests_witnessed": len(world.witnessed_requests),
        "revision": current_revision(world),
        "home_records": len(world.home_records),
        "caller_connections": len(world.caller_connections),
        "caller_held_bytes": sum(
            row.n_held_bytes + row.held.large_body for row in world.caller_connections
        ),
    }
    for name, value in values.items():
        gauge = Gauge(METRIC_PREFIX + name, name.replace("_", " "), registry=registry)
        gauge.set({}, value)


def collect_metrics(world: World) -> Registry:
    """Return a registry filled with the current counters and gauges."""
    registry = Registry()
    _collect_counters(world, registry)
    _collect_gauges(world, registry)
    return registry


class AdminApp:
    """Serves the HTTP endpoints for operators.

    Args:
        world: Tables of this VM.
    """

    app = Klein()

    def __init__(self, world: World) -> None:
        self._world = world

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Any) -> bytes:
        """Return the metrics in the format that the ``Accept`` header selects."""
        accepts = request.requestHeaders.getRawHeaders("accept", [])
        body, headers = render(collect_metrics(self._world), accepts)
        for name, value in headers.items():
            request.setHeader(name, value)
        return bytes(body)

    @app.route("/state", methods=["GET"])
    def state(self, request: Any) -> bytes:
        """Return all tables of this VM as JSON."""
        request.setHeader("content-type", JSON_TYPE)
        return encode_state(self._world)

    @app.route("/requests", methods=["GET"])
    def requests(self, request: Any) -> bytes:
        """Return open requests, lost requests and those with an unknown outcome."""
        request.setHeader("content-type", JSON_TYPE)
        document = {
            "open": dump_table(self._world.requests),
            "lost": dump_table(self._world.lost_requests),
            "outcome unknown": dump_table(self._world.unknown_outcomes),
        }
        return msgspec.json.encode(document, enc_hook=str)

    @app.route("/windows", methods=["GET"])
    def windows(self, request: Any) -> bytes:
        """Return each window's state, current load and suggested hours."""
        request.setHeader("content-type", JSON_TYPE)
        document = [
            {
                **suggest_hours(self._world, window)._asdict(),
                "state": self._world.window_states.get(window.window_id),
                "load_requests_per_s": fleet_load(self._world, window.service),
            }
            for window in self._world.windows
        ]
        return msgspec.json.encode(document)

    @app.route("/health", methods=["GET"])
    def health(self, request: Any) -> bytes:
        """Return the number of the configuration revision in force."""
        request.setHeader("content-type", JSON_TYPE)
        return msgspec.json.encode({"revision": current_revision(self._world)})
