"""Cost of quotas by size of the fleet, and what is refused below and above them."""

import time
from collections.abc import Callable, Iterator
from typing import Any

from benchmarks.results import Result, benchmarks
from burdockhitch.adapters.datagrams import pack_message
from burdockhitch.direct_messages import TokenLoan, TokenReply, TokenRequest, TokenWant
from burdockhitch.systems.direct.quotas.home import (
    count_groups,
    counted_fraction,
    own_cession,
    update_fleet_view,
)
from burdockhitch.systems.direct.quotas.lending import lend_tokens
from burdockhitch.tests.quota_sequences import QuotaSequence, find_home

FLEET_SIZES = (12, 48, 115)
N_CALLS = 300
LIMIT_PER_S = 78.0
N_VMS = 48
DURATION_S = 12.0
ASK_ID = "front-skaftafell-12.1777896000000000.12345"
VM_ID = "front-skaftafell-12"


def _mean_us(call: Callable[[], Any]) -> float:
    started_s = time.perf_counter()
    for _ in range(N_CALLS):
        call()
    return (time.perf_counter() - started_s) / N_CALLS * 1e6


def _measure_costs(n_vms: int) -> Iterator[Result]:
    sequence = QuotaSequence(1, n_vms=n_vms)
    sequence.set_limit(1000.0, 1000.0)
    sequence.fleet.run(4.0)
    world = sequence.fleet.worlds[find_home(sequence)]
    now = sequence.fleet.clock.now()
    account = world.client_accounts.fetch(sequence.account)
    want = TokenWant(sequence.account, 1, 0)
    calls: dict[str, Callable[[], Any]] = {
        "lend a token": lambda: lend_tokens(world, account, want, now),
        "count shares": lambda: counted_fraction(
            world, count_groups(world, now), sequence.account
        ),
        "update the view": lambda: update_fleet_view(world, now),
        "make a statement": lambda: own_cession(world, now),
    }
    for name, call in calls.items():
        yield Result("quotas", f"{name}, {n_vms} VMs", _mean_us(call), "us")


def _measure_refused(factor: float, loss_ratio: float) -> Result:
    """Return the part of an account's requests that is refused, in percent."""
    sequence = QuotaSequence(1, n_vms=N_VMS)
    sequence.set_limit(LIMIT_PER_S, LIMIT_PER_S)
    sequence.fleet.run(2.0)
    sequence.fleet.loss_ratio = loss_ratio
    sequence.demand_per_s = factor * LIMIT_PER_S
    sequence.run(DURATION_S)
    sequence.demand_per_s = 0.0
    sequence.run(1.0)
    case = f"refused at {factor} of the rate, {loss_ratio:.1%} of messages lost"
    return Result("quotas", case, 100.0 * sequence.refused_ratio(), "%")


@benchmarks("quotas")
def measure_quotas() -> Iterator[Result]:
    """Measure decisions, messages, and refusals below and above the quota."""
    for n_vms in FLEET_SIZES:
        yield from _measure_costs(n_vms)
    request = TokenRequest(ASK_ID, (TokenWant("account-12", 1, 0),))
    loan = TokenLoan("account-12", 1, 0.0, True, 77.123456, 0.98)
    for name, message in (
        ("request for a token", request),
        ("reply", TokenReply(ASK_ID, (loan,))),
    ):
        n_bytes = len(pack_message("burdockhitch", VM_ID, message))
        yield Result("quotas", name, float(n_bytes), "bytes")
    for factor, loss_ratio in ((0.8, 0.0), (0.95, 0.0), (0.95, 0.025), (0.95, 0.33)):
        yield _measure_refused(factor, loss_ratio)
    yield _measure_refused(7.5, 0.0)
