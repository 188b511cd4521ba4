"""Type of benchmark results and the registry of benchmarks."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from burdockhitch.registry import Registry


class Result(NamedTuple):
    """One measured value.

    Attributes:
        benchmark: Name of the benchmark.
        case: What was measured.
        value: Measured value.
        unit: Unit of the value.
        target: Design target for the value, as text; empty if there is none.
    """

    benchmark: str
    case: str
    value: float
    unit: str
    target: str = ""


Benchmark = Callable[[], Iterable[Result]]
benchmarks: Registry[Benchmark] = Registry("benchmark")
