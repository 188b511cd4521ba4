"""Each promise under a failure: broken without its mechanism, held with it."""

import pytest

from burdockhitch.tests.scenarios import cases, count_broken


@pytest.mark.parametrize("name", cases.names())
def test_promise_is_broken_without_its_mechanism(name):
    assert count_broken(cases[name], has_mechanism=False) > 0


@pytest.mark.parametrize("name", cases.names())
def test_promise_holds_with_its_mechanism(name):
    assert count_broken(cases[name], has_mechanism=True) == 0
