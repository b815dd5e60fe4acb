"""Linear fits of measurements at several sizes."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Point:
    """A value measured at a size."""

    size: float
    value: float


@dataclass(frozen=True)
class Slope:
    """The line ``base + per_unit * size`` through measured points.

    `worst_error` is the largest distance of a point from the line, as a fraction
    of the largest value; if it is large, the cost does not grow linearly.
    """

    points: tuple[Point, ...]
    base: float
    per_unit: float
    worst_error: float

    def at(self, size: float) -> float:
        """Return the value on the line at a size.

        Examples
        --------
        >>> fit([Point(1, 3.0), Point(2, 5.0), Point(3, 7.0)]).at(10)
        21.0
        """
        return self.base + self.per_unit * size


def fit(points: Sequence[Point]) -> Slope:
    """Return the least-squares line through at least three points."""
    if len(points) < 3:
        raise ValueError("a linear fit needs at least three points")
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    errors = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return Slope(tuple(points), line.intercept, line.slope, max(errors) / largest)
