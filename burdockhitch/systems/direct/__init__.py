"""Systems of VMs that each send to all backend servers and share evidence."""

from burdockhitch.systems.direct import (
    addresses,
    answers,
    belief,
    budget,
    collecting,
    configuration,
    dispatch,
    intake,
    leaving,
    membership,
    reading,
    reports,
    selection,
    servers,
    snapshots,
)

__all__ = [
    "addresses",
    "answers",
    "belief",
    "budget",
    "collecting",
    "configuration",
    "dispatch",
    "intake",
    "leaving",
    "membership",
    "reading",
    "reports",
    "selection",
    "servers",
    "snapshots",
]
