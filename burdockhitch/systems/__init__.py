"""Systems: functions that read and update the tables, in phases on each tick.

A tick is one run of all systems over the tables. Importing a module registers its
systems, handlers and policies. Within a phase, systems run in the order in which
they were registered.
"""

# Systems of one phase run in the order of these imports.
# isort: off
from burdockhitch.systems import (
    addresses,
    admission,
    answers,
    claims,
    configuration,
    confirmation,
    deadlines,
    dispatch,
    draining,
    ejection,
    expiry,
    forwards,
    gossip,
    health,
    home,
    intake,
    membership,
    ownership,
    permits,
    reachability,
    repetition,
    retries,
    routing,
    revision_exchange,
    timing,
    windows,
    witness,
)
# isort: on

__all__ = [
    "addresses",
    "admission",
    "answers",
    "claims",
    "configuration",
    "confirmation",
    "deadlines",
    "dispatch",
    "draining",
    "ejection",
    "expiry",
    "forwards",
    "gossip",
    "health",
    "home",
    "intake",
    "membership",
    "ownership",
    "permits",
    "reachability",
    "repetition",
    "retries",
    "routing",
    "revision_exchange",
    "timing",
    "windows",
    "witness",
]
