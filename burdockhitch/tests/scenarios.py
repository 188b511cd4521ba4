"""Imports every module of cases, whose decorators fill the registry ``cases``."""

from burdockhitch.tests import cases_fleet, cases_health, cases_requests
from burdockhitch.tests.cases import Case, cases, count_broken

MODULES = (cases_fleet, cases_health, cases_requests)

__all__ = ["MODULES", "Case", "cases", "count_broken"]
