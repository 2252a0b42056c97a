"""Measures processor time and memory, and fits lines by least squares."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

REPEATS = 5


class Line:
    """``y = intercept + slope * x``.

    :ivar worst_deviation: largest deviation of a measurement, as a share of its value.
    """

    __slots__ = ("intercept", "slope", "worst_deviation")

    def __init__(self, points: dict[float, float]):
        xs, ys = list(points), list(points.values())
        self.slope, self.intercept = statistics.linear_regression(xs, ys)
        self.worst_deviation = max(abs(self.at(x) - y) / y for x, y in points.items())

    def at(self, x: float) -> float:
        """Returns the line's value at ``x``."""
        return self.intercept + self.slope * x


def processor_us(function: Callable[[], object], times: int) -> float:
    """Returns the processor time of one call in microseconds.

    The minimum of the repeats is the one that other processes disturbed least.
    """
    results = []
    for _ in range(REPEATS):
        start = time.process_time()
        for _ in range(times):
            function()
        results.append((time.process_time() - start) / times * 1e6)
    return min(results)


def allocated_bytes(build: Callable[[], object]) -> int:
    """Returns the memory that the result of ``build`` holds."""
    gc.collect()
    tracemalloc.start()
    try:
        result = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return size
