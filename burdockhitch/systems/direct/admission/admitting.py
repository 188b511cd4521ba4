"""Applies the admission policy to queued requests while capacity is scarce.

A held request stays queued: each tick decides on all queued requests again, the most
urgent first, and a timer sees to it that there is a tick in time.
"""

from burdockhitch.clock import Instant
from burdockhitch.errors import OverloadedError
from burdockhitch.systems.direct.admission.decisions import (
    Decision,
    Situation,
    Verdict,
    admission_policies,
)
from burdockhitch.systems.direct.admission.demands import (
    demand_ratio,
    record_backlog,
    record_demand,
    record_refusal,
)
from burdockhitch.systems.direct.admission.policies import LEAST_LOSS, admission_name
from burdockhitch.systems.direct.budget import urgency_rank
from burdockhitch.systems.direct.evidence.run_times import mean_run_time_s
from burdockhitch.systems.direct.return_times import retry_after_s
from burdockhitch.systems.direct.selection import Candidate
from burdockhitch.systems.endings import make_refusal, refuse_request
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import RequestRow, RequestState, queue_order
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, log_event, start_timer

# Most requests that a VM holds at a time: each tick decides on all of them.
HELD_MAX = 64


def dispatch_order(world: World, row: RequestRow, now: Instant) -> tuple[float, ...]:
    """Return the sort key of queued requests for the admission policy in force.

    By priority; then those that can still meet their objective; then those of accounts
    with less demand; then the oldest.
    """
    priority, accepted_at_s = queue_order(row)
    if admission_name(world) != LEAST_LOSS:
        return priority, accepted_at_s
    objective_at_s = row.accepted_at_s + row.latency_objective_s
    is_late = row.latency_objective_s > 0 and objective_at_s <= now.monotonic_s
    ratio = demand_ratio(world, row.service, row.account, now)
    return priority, is_late, round(max(1.0, ratio)), accepted_at_s


def decide(
    world: World,
    row: RequestRow,
    choice: Candidate | None,
    wait_s: float,
    now: Instant,
) -> Decision:
    """Return the decision of the policy in force on a request.

    Args:
        world: Tables of this VM.
        row: Queued request.
        choice: Server selected for it; None if none can answer in time.
        wait_s: Shortest expected wait at the servers that it may be sent to.
        now: Time of the tick.
    """
    is_new = row.state_changed_at_s == now.monotonic_s and not row.n_tries
    if is_new and row.account:
        record_demand(world, row.service, row.account, now)
    record_backlog(world, row.service, wait_s, now)
    situation = Situation(
        row,
        now.monotonic_s,
        choice,
        wait_s,
        choice.run_s if choice else mean_run_time_s(world, row.service),
        urgency_rank(world, row.service, row.priority, now),
        demand_ratio(world, row.service, row.account, now),
        world.requests.count("state", RequestState.QUEUED) <= HELD_MAX,
    )
    decision = admission_policies[admission_name(world)](situation)
    if decision.verdict is not Verdict.SEND:
        is_logged = is_new or decision.verdict is Verdict.REFUSE
        _record(world, situation, decision, is_logged, now)
    return decision


def _load_age_s(world: World, service: str, now: Instant) -> float:
    """Return the age of this VM's last observation of any server of a service."""
    rows = world.server_estimates.select("service", service)
    updated_at_s = max((row.updated_at_s for row in rows), default=0.0)
    return now.monotonic_s - updated_at_s


def _record(
    world: World,
    situation: Situation,
    decision: Decision,
    is_logged: bool,
    now: Instant,
) -> None:
    """Count and log a request that is held or refused."""
    row = situation.row
    if not is_logged:
        return
    name = "admission_refusals" if decision.verdict is Verdict.REFUSE else "holds"
    value = f"{row.service}/{row.priority}/{decision.reason}"
    count(world, name, "reason", value)
    if decision.verdict is Verdict.REFUSE:
        record_refusal(world, row.account)
    log_event(
        world,
        "INFO",
        "request_held" if decision.verdict is Verdict.HOLD else "request_not_admitted",
        request_id=row.caller_request_id,
        service=row.service,
        account=row.account,
        priority=row.priority,
        reason=decision.reason,
        wait_s=round(situation.wait_s, 3),
        limit_s=round(decision.limit_s, 3),
        run_s=round(situation.run_s, 3),
        remaining_s=round(row.deadline_s - now.monotonic_s, 3),
        elapsed_s=round(now.monotonic_s - row.accepted_at_s, 3),
        demand_ratio=round(situation.demand_ratio, 2),
        belief_age_s=round(_load_age_s(world, row.service, now), 3),
    )


def hold(world: World, row: RequestRow, until_s: float) -> None:
    """Keep a request queued, and see to a tick at the given monotonic time."""
    start_timer(world, TimerKind.ADMISSION_HOLD, row.request_id, until_s)


@timer_handlers(TimerKind.ADMISSION_HOLD)
def end_hold(world: World, _request_id: str, now: Instant) -> None:
    """Do nothing: the tick of the timer decides on all queued requests."""


def refuse_overloaded(
    world: World, row: RequestRow, decision: Decision, wait_s: float, now: Instant
) -> None:
    """Refuse a request, to return once the backlog is below its limit."""
    detail = f"{row.service} would answer after {wait_s:.3f} s of waiting"
    after_s = decision.excess_s
    backlog = world.service_backlogs.get(row.service)
    if admission_name(world) == LEAST_LOSS and backlog is not None:
        # A growing backlog lasts longer than the time in which it would be run now.
        after_s *= 1.0 + backlog.growth
    returns_s = retry_after_s(world, row, after_s, now)
    refuse_request(world, row, make_refusal(OverloadedError, detail, returns_s), now)
