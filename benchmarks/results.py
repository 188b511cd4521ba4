"""Rows of the benchmark table and the registry of benchmarks."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from burdockhitch.registry import Registry


class Result(NamedTuple):
    """One figure.

    Attributes:
        benchmark: Name of the benchmark.
        case: What was measured.
        value: Figure.
        unit: Unit of the figure.
        target: Figure that was aimed at, as text.
    """

    benchmark: str
    case: str
    value: float
    unit: str
    target: str = ""


Benchmark = Callable[[], Iterable[Result]]
benchmarks: Registry[Benchmark] = Registry("benchmark")
