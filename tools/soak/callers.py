"""Callers of a run: send requests drawn from the seed, and record what comes back."""

import json
import random
from typing import Any

import treq
import treq.client
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool

from burdockhitch import log
from burdockhitch.platform import names
from tools import platform_fleet as platform
from tools.soak.fleet import FIRST_KEY, STATUS_OK, SoakFleet
from tools.soak.records import PUBLIC_ROUTE, CallRow

RATE_PER_S = 40.0
DEADLINES_S = (0.5, 1.0, 2.0, 4.0)
# Beyond the deadline and the margin of the checks, a caller waits no longer.
PATIENCE_S = 3.0
LARGE_BODY_BYTES = 100_000
LARGE_RATIO = 0.1
EXTRA_RATIO = 0.3
FORGED_RATIO = 0.2
DETAIL_MAX_CHARACTERS = 200


class Callers:
    """Sends requests to all VMs that run, and adds their outcomes to the history.

    Args:
        fleet: Fleet that gets the requests.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(fleet.plan.seed)
        pool = HTTPConnectionPool(fleet.reactor)
        # A request that the pool sends again would look as if a VM had run it twice.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 50
        agent = Agent(fleet.reactor, connectTimeout=PATIENCE_S, pool=pool)
        self._client = treq.client.HTTPClient(agent)
        self.n_sent = 0
        self.n_open = 0

    def send_due(self, now_s: float) -> None:
        """Send the requests whose time has come."""
        while self.n_sent < now_s * RATE_PER_S:
            self.n_sent += 1
            vms = [vm for vm in self._fleet.vms if self._fleet.is_up(vm)]
            if vms:
                ensureDeferred(self._send(vms[self.n_sent % len(vms)], self.n_sent))

    def _draw_route(self) -> str:
        """Draw a route that was ever configured, also a withdrawn one."""
        withdrawn = [
            row.name
            for row in self._fleet.history.withdrawals[-2:]
            if row.kind == "route"
        ]
        extra_routes = [*self._fleet.routes[3:], *withdrawn]
        if extra_routes and self._rng.random() < EXTRA_RATIO:
            return self._rng.choice(extra_routes)
        return self._rng.choice(self._fleet.routes[:3])

    def _draw_key(self, route: str) -> str:
        """Draw a key that was ever valid, also a withdrawn one; empty without."""
        keys = list(self._fleet.history.accounts)
        if not keys or (route == PUBLIC_ROUTE and self._rng.random() < EXTRA_RATIO):
            return ""
        return (
            FIRST_KEY
            if route == PUBLIC_ROUTE
            else self._rng.choice(keys[:1] + keys[-2:])
        )

    async def _send(self, vm: platform.PlatformVm, number: int) -> None:
        route = self._draw_route()
        method = "POST" if route == "holds" else "GET"
        key = self._draw_key(route)
        deadline_s = self._rng.choice(DEADLINES_S)
        size = LARGE_BODY_BYTES if self._rng.random() < LARGE_RATIO else 0
        request_id = f"soak-{number}"
        path = f"/{route}/{request_id}"
        body = request_id + "x" * size if method == "POST" else ""
        request_headers = {
            "Host": platform.HOST,
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(round(deadline_s * 1000)),
        }
        if key:
            request_headers[names.AUTHORIZATION] = f"{names.KEY_SCHEME} {key}"
        if self._fleet.plan.has_accounts and self._rng.random() < FORGED_RATIO:
            request_headers[names.ACCOUNT] = "forged"
        started_s = self._fleet.now_s()
        self.n_open += 1
        status, is_own, detail = 0, True, ""
        try:
            answer = await self._client.request(
                method,
                f"http://{vm.caller_address}{path}",
                data=body.encode() if body else None,
                headers=request_headers,
                timeout=deadline_s + PATIENCE_S,
            )
            # The time-out of the client ends when the head has arrived.
            content = await treq.content(answer).addTimeout(
                PATIENCE_S, self._fleet.reactor
            )
            status = answer.code
            is_own = status != STATUS_OK or is_own_answer(content, path, body)
            detail = "" if is_own and status == STATUS_OK else content.decode("latin-1")
        except Exception as error:
            # All failures are outcomes of the request; the record keeps them.
            kind = "refused" if isinstance(error, ConnectError) else "broken"
            causes = getattr(error, "reasons", [])
            causes_text = ", ".join(repr(cause.value) for cause in causes)
            detail = f"{kind}: {error!r} {causes_text}"
            log.write_event("DEBUG", "call_failed", {"error": detail})
        self.n_open -= 1
        if self._fleet.is_over:
            return
        self._fleet.history.calls.append(
            CallRow(
                request_id,
                vm.vm_id,
                method,
                route,
                key,
                started_s,
                self._fleet.now_s(),
                deadline_s,
                status,
                is_own,
                detail[:DETAIL_MAX_CHARACTERS],
            )
        )


def is_own_answer(content: bytes, path: str, body: str) -> bool:
    """Return whether an answer is whole and belongs to a request."""
    try:
        document: Any = json.loads(content)
    except ValueError:
        return False
    return (document["path"], document["body"]) == (path, body)
