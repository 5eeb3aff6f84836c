"""Fits cost against size by a power law with an intercept, ``y = intercept + slope * x ** exponent``.

Residuals are relative: each measurement is weighted by the inverse of its value, because noise grows with
the cost. Costs are never negative, so intercept and slope are at least zero. The confidence interval of the
exponent comes from the profile likelihood: it contains all exponents whose residuals are not significantly
larger than those of the best one.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]

EXPONENTS = np.arange(0.02, 3.0 + 1e-9, 0.02)
MIN_SIZES = 3  # the number of parameters of the power law
NORMAL_QUANTILE = 1.96  # two-sided 95% interval
MIN_RELATIVE_RESIDUAL = 1e-9  # a smaller relative residual counts as an exact fit
MIN_SUPERLINEAR_EXPONENT = 1.1
"""Growth is superlinear if the whole interval of the exponent lies above this. Over a factor of ten in size,
an exponent of 1.1 adds a quarter to a linear prediction, and a quarter is the largest error that a prediction
may have."""


class UnfitError(ValueError):
    """Too few sizes were measured for a fit."""


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the ``cost`` of a resource at a ``size``."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted power law. ``interval`` is the 95% confidence interval of the exponent. If it contains 1,
    ``exponent`` is 1, because the linear law is the simplest one that the measurements allow. ``exponent`` is
    0 if the cost does not grow."""

    intercept: float
    slope: float
    exponent: float
    interval: tuple[float, float]

    def cost_at(self, size: float) -> float:
        """The fitted cost at a size."""
        return float(self.intercept + self.slope * size**self.exponent)

    @property
    def superlinear(self) -> bool:
        """Whether the cost grows significantly faster than the size."""
        return self.interval[0] > MIN_SUPERLINEAR_EXPONENT


@dataclass(frozen=True, slots=True)
class _PowerLaw:
    """The least-squares fit for one fixed exponent, with the sum of its squared relative residuals."""

    intercept: float
    slope: float
    residual: float


def fit(points: Sequence[Point]) -> Fit:
    """Fit a power law to measurements; ``UnfitError`` for fewer than ``MIN_SIZES`` different sizes."""
    if len({point.size for point in points}) < MIN_SIZES:
        raise UnfitError(f"found {len({p.size for p in points})} sizes, expected at least {MIN_SIZES}")
    sizes = np.array([point.size for point in points])
    costs = np.array([point.cost for point in points])
    if not np.any(costs):
        return Fit(0.0, 0.0, 1.0, (float(EXPONENTS[0]), float(EXPONENTS[-1])))
    laws = {float(exponent): _weighted_fit(sizes, costs, float(exponent)) for exponent in EXPONENTS}
    interval = _interval(laws, len(points))
    best = min(laws, key=lambda exponent: laws[exponent].residual)
    if interval[0] <= 1.0 <= interval[1]:
        best = min(laws, key=lambda exponent: abs(exponent - 1.0))
    law = laws[best]
    return Fit(law.intercept, law.slope, round(best, 2) if law.slope else 0.0, interval)


def _weighted_fit(sizes: Floats, costs: Floats, exponent: float) -> _PowerLaw:
    """Weighted least squares for one exponent, with intercept and slope at least zero."""
    weights = 1.0 / np.maximum(np.abs(costs), 1e-3 * np.abs(costs).max())
    target = costs * weights
    constant = weights
    growth = sizes**exponent * weights
    (intercept, slope), *_ = np.linalg.lstsq(np.column_stack([constant, growth]), target, rcond=None)
    if intercept < 0:
        intercept = 0.0
        slope = max(0.0, float(growth @ target) / float(growth @ growth))
    elif slope < 0:
        intercept = max(0.0, float(constant @ target) / float(constant @ constant))
        slope = 0.0
    residuals = target - intercept * constant - slope * growth
    return _PowerLaw(float(intercept), float(slope), float(residuals @ residuals))


def _interval(laws: Mapping[float, _PowerLaw], points: int) -> tuple[float, float]:
    """The range of the exponents whose residuals are not significantly larger than the smallest one."""
    degrees_of_freedom = max(1, points - MIN_SIZES)
    smallest = max(min(law.residual for law in laws.values()), points * MIN_RELATIVE_RESIDUAL**2)
    bound = smallest * (1.0 + _student_quantile(degrees_of_freedom) ** 2 / degrees_of_freedom)
    within = [exponent for exponent, law in laws.items() if law.residual <= bound]
    return round(min(within), 2), round(max(within), 2)


def _student_quantile(degrees_of_freedom: int) -> float:
    """The two-sided 95% quantile of Student's distribution, by the Cornish-Fisher expansion; its error is
    within 2% from three degrees of freedom on."""
    z = NORMAL_QUANTILE
    first = (z**3 + z) / 4
    second = (5 * z**5 + 16 * z**3 + 3 * z) / 96
    return z + first / degrees_of_freedom + second / degrees_of_freedom**2


def prediction_error(points: Sequence[Point]) -> float:
    """The relative error of predicting the cost at the largest size from a fit of the sizes up to half of it.
    Infinite if too few sizes are that small, or if the measured cost is zero and the predicted one is not."""
    largest = max(point.size for point in points)
    measured = float(np.median([point.cost for point in points if point.size == largest]))
    try:
        predicted = fit([point for point in points if point.size <= largest / 2]).cost_at(largest)
    except UnfitError:
        return math.inf
    if not measured:
        return math.inf if predicted else 0.0
    return abs(predicted - measured) / abs(measured)
