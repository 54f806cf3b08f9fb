"""Repeated measurements of a variant and its baseline, and the results as printed."""

import gc
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median
from time import perf_counter

MICROSECONDS = 1e6
REPEATS = 5


@dataclass(frozen=True, slots=True)
class Comparison:
    """A measured value and its baseline from the same run.

    :param value: median over the repeats
    :param baseline: median of the baseline over the repeats
    :param ratio: median over the repeats of baseline divided by value
    """

    name: str
    unit: str
    value: float
    baseline: float
    ratio: float

    def __str__(self) -> str:
        return (
            f"{self.name:<44} {self.value:>12.1f} {self.unit:<14}"
            f" baseline {self.baseline:>12.1f}  ratio {self.ratio:>8.2f}"
        )


def measure_seconds(work: Callable[[], None]) -> float:
    """Return the run time of a function in seconds, with garbage collection disabled."""
    gc.collect()
    gc.disable()
    try:
        started_s = perf_counter()
        work()
        return perf_counter() - started_s
    finally:
        gc.enable()


def compare(
    name: str,
    unit: str,
    scale: float,
    measure_new: Callable[[], float],
    measure_baseline: Callable[[], float],
) -> Comparison:
    """Measure two variants alternately, so that changes of the machine's speed affect both.

    :param scale: factor from seconds to the unit
    :param measure_new: returns one measurement in seconds
    :param measure_baseline: returns one measurement of the baseline in seconds
    """
    pairs = [(measure_new(), measure_baseline()) for _ in range(REPEATS)]
    value = median(a for a, _ in pairs)
    baseline = median(b for _, b in pairs)
    return Comparison(name, unit, value * scale, baseline * scale, median(b / a for a, b in pairs))


def compare_growth(name: str, first: Comparison, last: Comparison) -> Comparison:
    """Return the factors by which value and baseline grow between two comparisons."""
    value = last.value / first.value
    baseline = last.baseline / first.baseline
    return Comparison(name, "times", value, baseline, baseline / value)
