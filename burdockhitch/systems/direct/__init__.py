"""Systems for VMs that each send to all backend servers and share observations."""

# Systems of one phase run in the order of these imports.
# isort: off
from burdockhitch.systems.direct import (
    addresses,
    recent_successes,
    answers,
    server_estimates,
    budget,
    message_ticks,
    configuration,
    connecting,
    dispatch,
    intake,
    draining,
    membership,
    overload,
    registry_changes,
    registry_reads,
    reports,
    run_times,
    selection,
    servers,
    snapshots,
    starting,
    zone_reports,
)
# isort: on

__all__ = [
    "addresses",
    "recent_successes",
    "answers",
    "server_estimates",
    "budget",
    "message_ticks",
    "configuration",
    "connecting",
    "dispatch",
    "intake",
    "draining",
    "membership",
    "overload",
    "registry_changes",
    "registry_reads",
    "reports",
    "run_times",
    "selection",
    "servers",
    "snapshots",
    "starting",
    "zone_reports",
]
