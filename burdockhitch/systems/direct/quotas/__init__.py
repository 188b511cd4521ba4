"""Quotas of client accounts, which all VMs together keep."""

from burdockhitch.systems.direct.quotas import (
    admission,
    home,
    lending,
    own_share,
    refresh,
)

__all__ = ["admission", "home", "lending", "own_share", "refresh"]
