"""Shares run times between VMs, so that a VM knows services that it seldom calls.

It handles fleets of more than a hundred VMs that each see one request of a service in
several seconds. A VM sends its own run times in its heartbeats, and the first VM of a
zone sends the zone's sum with the list of its VMs. Receivers keep the last summary of
each source, so that no run counts twice.
"""

import math

from burdockhitch.clock import Instant
from burdockhitch.direct_messages import RunTimeSummary
from burdockhitch.systems.direct.evidence.distributions import add_sums
from burdockhitch.systems.direct.evidence.run_times import (
    DECAY_S,
    N_RUNS_MIN,
    NO_RUNS,
    decay_factor,
    update_totals,
)
from burdockhitch.tables.run_times import N_BUCKETS, RunTimeRow, RunTimeSums
from burdockhitch.world import World

# Most summaries of one message, so that a heartbeat fits into a datagram without
# fragmentation: a summary takes about 70 bytes. VMs with more of them send the others
# in their next messages.
SUMMARIES_MAX = 6
# Runs are sent in hundredths, as whole numbers take fewer bytes.
COUNT_SCALE = 100
# Age beyond which a summary isn't sent: its runs have lost nine tenths of their weight.
AGE_MAX_S = 2.3 * DECAY_S


def _summarise(
    service: str, route_id: str, sums: RunTimeSums, age_s: float
) -> RunTimeSummary:
    counts = [round(COUNT_SCALE * n_runs) for n_runs in sums.counts]
    used = [number for number, n_runs in enumerate(counts) if n_runs]
    first, last = (used[0], used[-1] + 1) if used else (0, 0)
    mean_s = sums.sum_s / sums.n_runs
    variance = max(0.0, sums.sum_squares / sums.n_runs - mean_s**2)
    return RunTimeSummary(
        service,
        route_id,
        first,
        tuple(counts[first:last]),
        round(mean_s, 5),
        round(math.sqrt(variance), 5),
        round(age_s, 2),
    )


def _restore(summary: RunTimeSummary) -> RunTimeSums:
    """Return the sums of a summary; buckets that this VM doesn't have are left out."""
    counts = [0.0] * N_BUCKETS
    for offset, n_runs in enumerate(summary.counts):
        number = summary.first_bucket + offset
        if 0 <= number < N_BUCKETS:
            counts[number] = max(0, n_runs) / COUNT_SCALE
    total = float(sum(counts))
    squares = summary.spread_s**2 + summary.mean_s**2
    return RunTimeSums(total, total * summary.mean_s, total * squares, tuple(counts))


def _select_in_turn(
    world: World, summaries: list[RunTimeSummary], now: Instant
) -> tuple[RunTimeSummary, ...]:
    """Return as many summaries as a message holds, others each second."""
    if len(summaries) <= SUMMARIES_MAX:
        return tuple(summaries)
    summaries.sort(key=lambda summary: (summary.service, summary.route_id))
    start = int(now.monotonic_s) * SUMMARIES_MAX % len(summaries)
    return tuple((summaries[start:] + summaries[:start])[:SUMMARIES_MAX])


def own_summaries(world: World, now: Instant) -> tuple[RunTimeSummary, ...]:
    """Return this VM's own run times, for the VMs of its zone."""
    summaries = []
    for row in world.run_times.select("source", world.local.vm_id):
        age_s = now.monotonic_s - row.updated_at_s
        if age_s <= AGE_MAX_S:
            summaries.append(_summarise(row.service, row.route_id, row.sums, age_s))
    return _select_in_turn(world, summaries, now)


def zone_summaries(world: World, now: Instant) -> tuple[RunTimeSummary, ...]:
    """Return the run times that the VMs of this zone observed, for other zones."""
    sums_by_subject: dict[tuple[str, str], RunTimeSums] = {}
    for vm in world.vms.select("zone", world.local.zone):
        for row in world.run_times.select("source", vm.vm_id):
            factor = decay_factor(row.updated_at_s, now.monotonic_s)
            subject = (row.service, row.route_id)
            held = sums_by_subject.get(subject, NO_RUNS)
            sums_by_subject[subject] = add_sums(held, row.sums, factor)
    summaries = [
        _summarise(*subject, sums, 0.0)
        for subject, sums in sums_by_subject.items()
        if sums.n_runs >= N_RUNS_MIN
    ]
    return _select_in_turn(world, summaries, now)


def zone_source(zone: str) -> str:
    """Return the source under which the run times of another zone are stored."""
    return f"zone {zone}"


def record_summaries(
    world: World, source: str, summaries: tuple[RunTimeSummary, ...], now: Instant
) -> None:
    """Replace what is known of the run times of a VM or another zone.

    The totals are updated with the next heartbeat of this VM, not for each message;
    at once only for a service of which nothing was known.
    """
    is_first = False
    for summary in summaries:
        sums = _restore(summary)
        if sums.n_runs < N_RUNS_MIN:
            continue
        key = (source, summary.service, summary.route_id)
        as_of_s = now.monotonic_s - max(0.0, summary.age_s)
        world.run_times.put(RunTimeRow(key, *key, sums, as_of_s))
        is_first = is_first or key[1:] not in world.run_time_totals
    if is_first:
        update_totals(world, now)
