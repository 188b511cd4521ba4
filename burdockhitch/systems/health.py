"""Detects failing backend servers by their answers to requests.

Each detector is a sequential test over the ended attempts. ``cusum`` sums the log
likelihood ratios of "failing" to "healthy" up to a threshold; see E. S. Page,
"Continuous Inspection Schemes", Biometrika 41 (1954).
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.lifecycles.backend_server import SERVER_LIFE_CYCLE
from burdockhitch.registry import Registry
from burdockhitch.systems.phases import Phase, system
from burdockhitch.tables.server_health import (
    ServerHealthRow,
    ServerState,
    ServerWithEvidenceRow,
)
from burdockhitch.tables.services import ServiceReportRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    pop_events,
    send,
    start_timer,
    stop_timer,
)

MEDIAN_STEP_RATIO = 0.05
REFERENCE_LATENCY_MIN_S = 0.005
# Weights in the choice of a server, where a healthy server has 1.
SUSPECT_WEIGHT = 0.1
EVIDENCE_WEIGHT = 0.3
RECOVERY_SAMPLES_PER_SLOT = 4


class HealthProfile(NamedTuple):
    """Parameters of the sequential tests and of repetitions.

    Attributes:
        base_ratio: Expected share of bad answers of a healthy server.
        bad_ratio: Share of bad answers that justifies an ejection.
        threshold: Evidence in nats at which a server becomes suspect.
        late_latency_ratio: Multiple of the reference latency above which an answer
            is late.
        n_consecutive: Failures in a row at which ``consecutive_failures``
            suspects a server.
        repetition_pause_s: Pause before a safe request is repeated to a server with
            evidence against it.
    """

    base_ratio: float
    bad_ratio: float
    threshold: float
    late_latency_ratio: float
    n_consecutive: int
    repetition_pause_s: float


class Sample(NamedTuple):
    """The result of one ended attempt.

    Attributes:
        is_error: Whether the answer was missing, incomplete or an error.
        is_late: Whether it took longer than the health profile allows.
    """

    is_error: bool
    is_late: bool


Detector = Callable[[ServerHealthRow, Sample, HealthProfile], ServerHealthRow]
detectors: Registry[Detector] = Registry("detector")
health_profiles: Registry[HealthProfile] = Registry("health profile")

health_profiles("detection_first")(
    HealthProfile(
        base_ratio=0.02,
        bad_ratio=0.3,
        threshold=10.7,
        late_latency_ratio=1.8,
        n_consecutive=3,
        repetition_pause_s=0.1,
    )
)
health_profiles("few_false_ejections")(
    HealthProfile(
        base_ratio=0.02,
        bad_ratio=0.4,
        threshold=14.78,
        late_latency_ratio=1.9,
        n_consecutive=5,
        repetition_pause_s=0.25,
    )
)


def add_evidence(evidence: float, is_bad: bool, profile: HealthProfile) -> float:
    """Return the cumulative sum after one more answer.

    It is capped one bad answer above the threshold, so that a server that could
    not be ejected is cleared soon after it has recovered.
    """
    log_ratio_if_bad = math.log(profile.bad_ratio / profile.base_ratio)
    if is_bad:
        return min(profile.threshold + log_ratio_if_bad, evidence + log_ratio_if_bad)
    log_ratio_if_good = math.log((1 - profile.bad_ratio) / (1 - profile.base_ratio))
    return max(0.0, evidence + log_ratio_if_good)


@detectors("cusum")
def detect_by_cusum(
    row: ServerHealthRow, sample: Sample, profile: HealthProfile
) -> ServerHealthRow:
    """Update the sums by one ended attempt, separately for errors and for lateness."""
    return row._replace(
        error_evidence=add_evidence(row.error_evidence, sample.is_error, profile),
        latency_evidence=add_evidence(row.latency_evidence, sample.is_late, profile),
    )


@detectors("consecutive_failures")
def detect_by_consecutive_failures(
    row: ServerHealthRow, sample: Sample, profile: HealthProfile
) -> ServerHealthRow:
    """Count failures in a row, as many proxies do; a baseline for comparison."""
    is_error = sample.is_error
    n_failures = row.n_consecutive_failures + 1 if is_error else 0
    is_failing = n_failures >= profile.n_consecutive
    return row._replace(
        n_consecutive_failures=n_failures,
        error_evidence=profile.threshold if is_failing else 0.0,
    )


def health_profile_of(world: World, service: str) -> HealthProfile:
    """Return the health profile that the rule of a service names, or the default."""
    row = world.services.get(service)
    return health_profiles[row.health_profile if row else "detection_first"]


def has_evidence(row: ServerHealthRow) -> bool:
    """Return whether there is any evidence against a backend server."""
    return row.error_evidence > 0 or row.latency_evidence > 0


def server_weight(world: World, server_id: str) -> float:
    """Return the weight of a server in the choice of one for a request."""
    row = world.server_health.get(server_id)
    if row is None:
        return 1.0
    if row.state is ServerState.SUSPECT:
        return SUSPECT_WEIGHT
    if not has_evidence(row):
        return 1.0
    threshold = health_profile_of(world, row.service).threshold
    evidence = max(row.error_evidence, row.latency_evidence)
    return EVIDENCE_WEIGHT if evidence > threshold / 2 else 1.0


def _update_median(world: World, service: str, latency_s: float) -> None:
    """Move this VM's running median by ``MEDIAN_STEP_RATIO`` towards a latency."""
    key = (service, world.local.vm_id)
    row = world.service_reports.get(key)
    if row is None or not row.median_s:
        row = row or ServiceReportRow(key, service, 0.0)
        world.service_reports.put(row._replace(median_s=latency_s))
        return
    step_s = row.median_s * MEDIAN_STEP_RATIO
    step_s = step_s if latency_s > row.median_s else -step_s
    world.service_reports.replace(row._replace(median_s=row.median_s + step_s))


def reference_latency_s(world: World, service: str) -> float:
    """Return the median over all VMs of their median latencies of a service.

    It is at least ``REFERENCE_LATENCY_MIN_S``, and infinite while no VM has measured
    any.
    """
    rows = world.service_reports.select("service", service)
    medians_s = sorted(row.median_s for row in rows if row.median_s)
    if not medians_s:
        return math.inf
    return max(REFERENCE_LATENCY_MIN_S, medians_s[(len(medians_s) - 1) // 2])


def _is_late(world: World, row: ServerHealthRow, latency_s: float) -> bool:
    multiple = health_profile_of(world, row.service).late_latency_ratio
    return latency_s > multiple * reference_latency_s(world, row.service)


def change_server_state(
    world: World, row: ServerHealthRow, event: str, now: Instant, cause: str = ""
) -> ServerHealthRow:
    """Apply an event to a server's life cycle, then store, count and log it."""
    state = SERVER_LIFE_CYCLE.next_state(row.state, event)
    count(world, "server_changes", "state", state)
    server = world.backend_servers.get(row.server_id)
    log_event(
        world,
        "WARNING" if state in (ServerState.SUSPECT, ServerState.EJECTED) else "INFO",
        "server_changed",
        server=row.server_id,
        before=row.state.value,
        after=state.value,
        cause=cause,
        rule_line=server.line if server else 0,
        requester=server.requester if server else "",
    )
    row = row._replace(state=state, cause=cause, state_changed_at_s=now.monotonic_s)
    world.server_health.put(row)
    record_suspect_count(world, row.service)
    return row


def _find_cause(row: ServerHealthRow, profile: HealthProfile) -> str:
    """Return the kind of evidence that has reached the threshold, empty for none."""
    if row.error_evidence >= profile.threshold:
        return "errors"
    if row.latency_evidence >= profile.threshold:
        return "lateness"
    return ""


def _ramp_up(world: World, row: ServerHealthRow, now: Instant) -> ServerHealthRow:
    """Raise the usable slots of a recovering server; clear it once all are usable.

    One slot is added for every ``RECOVERY_SAMPLES_PER_SLOT`` ended attempts.
    """
    usage = world.slot_usages.get(row.server_id)
    server = world.backend_servers.get(row.server_id)
    if usage is None or server is None:
        return row
    n_usable = 1 + row.n_samples // RECOVERY_SAMPLES_PER_SLOT
    n_usable = min(server.n_slots, n_usable)
    world.slot_usages.replace(usage._replace(n_usable=n_usable))
    if n_usable == server.n_slots:
        return change_server_state(world, row, "clear", now)
    return row


def _apply_sample(
    world: World, row: ServerHealthRow, event: events.AttemptMeasured, now: Instant
) -> None:
    """Apply one ended attempt to the evidence and the state of its server."""
    profile = health_profile_of(world, row.service)
    detector = detectors[world.settings.policies.detector]
    sample = Sample(event.is_error, _is_late(world, row, event.latency_s))
    row = detector(row, sample, profile)._replace(
        n_samples=row.n_samples + 1,
        n_connect_failures=row.n_connect_failures + 1 if event.is_unreachable else 0,
    )
    world.server_health.replace(row)
    if has_evidence(row):
        world.servers_with_evidence.put(ServerWithEvidenceRow(row.server_id))
    cause = _find_cause(row, profile)
    if cause and SERVER_LIFE_CYCLE.has_transition(row.state, "suspect"):
        change_server_state(world, row, "suspect", now, cause)
    elif not cause and row.state is ServerState.SUSPECT:
        change_server_state(world, row, "clear", now)
    elif row.state is ServerState.RECOVERING:
        _ramp_up(world, row, now)


def record_suspect_count(world: World, service: str) -> None:
    """Store how many servers of this VM are suspect or ejected, for pings to report."""
    rows = world.server_health.select("service", service)
    suspect_states = (ServerState.SUSPECT, ServerState.EJECTED)
    n_suspect = sum(1 for row in rows if row.state in suspect_states)
    key = (service, world.local.vm_id)
    row = world.service_reports.get(key) or ServiceReportRow(key, service, 0.0)
    world.service_reports.put(row._replace(n_owned=len(rows), n_suspect=n_suspect))


@system(Phase.HEALTH)
def evaluate_attempts(world: World, now: Instant) -> None:
    """Apply each ended attempt to the running median and to its server's evidence."""
    for event in pop_events(world, events.AttemptMeasured):
        row = world.server_health.get(event.server_id)
        if row is None:
            continue
        if not event.is_error:
            _update_median(world, row.service, event.latency_s)
        _apply_sample(world, row, event, now)


@system(Phase.HEALTH)
def handle_probe_results(world: World, now: Instant) -> None:
    """Readmit ejected servers whose probe succeeded; schedule a probe of the others."""
    for event in pop_events(world, events.ServerProbed):
        row = world.server_health.get(event.server_id)
        if row is None or row.state is not ServerState.EJECTED:
            continue
        if event.is_ok:
            readmit_server(world, row, now)
        else:
            schedule_probe(world, row, now)


def schedule_probe(world: World, row: ServerHealthRow, now: Instant) -> None:
    """Schedule the next probe of an ejected server, one probe timeout from now."""
    due_s = now.monotonic_s + world.settings.backend_servers.probe_timeout_s
    start_timer(world, TimerKind.SERVER_PROBE, row.server_id, due_s)


def request_probe(world: World, server_id: str) -> None:
    """Send a health probe to a backend server."""
    server = world.backend_servers.get(server_id)
    if server is not None:
        timeout_s = world.settings.backend_servers.probe_timeout_s
        send(world, commands.ProbeServer(server_id, server.address, timeout_s))


def readmit_server(world: World, row: ServerHealthRow, now: Instant) -> None:
    """Start the recovery of an ejected server, and free the slots its ejection used.

    The server starts with one usable slot and with evidence of half the threshold.
    """
    world.permitted_ejections.discard(row.server_id)
    for kind in (TimerKind.EJECTION_HOLD_END, TimerKind.SERVER_PROBE):
        stop_timer(world, kind, row.server_id)
    evidence = health_profile_of(world, row.service).threshold / 2
    row = row._replace(error_evidence=evidence, latency_evidence=0.0, n_samples=0)
    change_server_state(world, row, "readmit", now)
    world.servers_with_evidence.put(ServerWithEvidenceRow(row.server_id))
    usage = world.slot_usages.get(row.server_id)
    if usage is not None:
        world.slot_usages.replace(usage._replace(n_usable=1))
