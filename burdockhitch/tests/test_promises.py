"""Each guarantee under a failure: violated without its mechanism, upheld with it."""

import pytest

from burdockhitch.tests.scenarios import cases, count_broken


@pytest.mark.parametrize("name", cases.names())
def test_guarantee_is_violated_without_its_mechanism(name):
    assert count_broken(cases[name], has_mechanism=False) > 0


@pytest.mark.parametrize("name", cases.names())
def test_guarantee_holds_with_its_mechanism(name):
    assert count_broken(cases[name], has_mechanism=True) == 0
