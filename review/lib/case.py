"""What all scripts share: the record, the configuration and the exit code."""

import asyncio
import json
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

from .fleet import Fleet
from .store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "tours.example"
# Ends a script that hangs, so that its processes are ended too.
PLAY_MAX_S = 100.0


def make_configuration(version, routes, services, **limits):
    """Return a configuration.

    Args:
        version: Its version.
        routes: Name, prefix, kind, service and timeout of each route.
        services: Names of the services.
        limits: Limits that differ from the usual ones.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "prefix": prefix,
                "kind": kind,
                "timeoutS": timeout_s,
                "targetLatencyS": 0.8,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            for name, prefix, kind, service, timeout_s in routes
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 390,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
            **limits,
        },
    }


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self.events = []
        self.started_at = time.time()

    def __call__(self, event):
        """Record an event, with the time if it has none."""
        event.setdefault("at", time.time())
        self.events.append(event)
        shown = {**event, "at": round(event["at"] - self.started_at, 3)}
        self._file.write(json.dumps(shown) + "\n")

    def note(self, text):
        """Record a line and print it."""
        self({"what": "note", "text": text})
        print(text, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


def run_case(folder, zones, play):
    """Run a case and end the program with its exit code.

    Args:
        folder: Folder of the case.
        zones: Number of entry VMs by zone.
        play: Coroutine function with the record, the store and the fleet; it returns
            whether the rule was broken.
    """
    record = Record(Path(folder))
    code = 2

    async def main():
        store = Store()
        await store.start()
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            fleet = Fleet(store, Path(name), zones)
            try:
                async with asyncio.timeout(PLAY_MAX_S):
                    is_broken = await play(record, store, fleet)
                record.note("the rule was broken" if is_broken else "the rule held")
                return 1 if is_broken else 0
            finally:
                fleet.end()
                if os.environ.get("KEEP_LOGS"):
                    for vm in fleet.vms:
                        target = Path(os.environ["KEEP_LOGS"]) / vm.log.name
                        target.write_bytes(vm.log.read_bytes())

    try:
        code = asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        record.note("the case couldn't run:\n" + traceback.format_exc())
    record.close()
    sys.exit(code)
