"""Measures roles at all their sizes in random order, and derives one row for each role and resource."""

from __future__ import annotations

import multiprocessing
import random
import statistics
import sys
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from magpieshift.lab.capacity.fit import Fit, Point, UnfitError, fit, prediction_error
from magpieshift.lab.capacity.role import Resource, Role, Sample

MAX_PREDICTION_ERROR = 0.25  # relative error at the largest size above which nothing is extrapolated
MAX_EXTRAPOLATION_FACTOR = 64.0
"""Largest extrapolation, as a multiple of the largest measured size. A fit is checked by a prediction over a
factor of two; an error of a quarter there becomes a factor of about four over the six doublings up to 64."""
MEASURED = "measured"
FITTED = "fitted"
SIMULATED = "simulated"
UNMEASURED = "unmeasured at target"

FULL_OBSERVATION_S = 1.5  # observation time of a started process in a full run
QUICK_OBSERVATION_S = 0.4  # observation time of a started process in a trial
MAX_PARALLEL_MEASUREMENTS = 3  # measurements at once in a trial; a full run takes one at a time

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Row:
    """The cost of one resource of one role. Costs are in ``unit``; None if neither measured nor
    predictable."""

    role: str
    resource: str
    by: str
    unit: str
    target: float
    measured_to: float
    at_half: float | None
    at_target: float | None
    at_twice: float | None
    budget: float | None
    derivation: str
    ratio: float | None  # cost at the target, divided by the budget
    intercept: float | None
    slope: float | None
    exponent: float | None
    interval: tuple[float, float] | None
    superlinear: bool
    prediction_error: float | None  # relative; None if too few sizes were measured for a prediction
    how: str  # where the cost at the target is from: MEASURED, FITTED, SIMULATED or UNMEASURED
    measurements: int
    command: str


@dataclass(slots=True)
class Measurements:
    """The outcome of all measurements: samples by the index of the role in the list, and one line for each
    measurement that failed."""

    samples: dict[int, list[Sample]]
    failures: list[str] = field(default_factory=list)


def measure_roles(roles: Sequence[Role], seed: int, quick: bool, progress: Progress) -> Measurements:
    """Measure all roles. Each round measures every size of every role once, in a random order derived from
    the seed, so that a slow period of the machine does not affect one role more than others. A failed
    measurement is reported and left out. A trial (``quick``) is one round of fewer sizes, with several
    measurements at once."""
    rng = random.Random(seed)
    measurements = Measurements({role_index: [] for role_index in range(len(roles))})
    rounds = 1 if quick else max(role.repeats for role in roles)
    for round_ in range(rounds):
        order = [
            _Measurement(
                role_index,
                role,
                size,
                rng.getrandbits(32),
                QUICK_OBSERVATION_S if quick else FULL_OBSERVATION_S,
            )
            for role_index, role in enumerate(roles)
            if quick or round_ < role.repeats
            for size in (role.quick_sizes if quick else role.sizes)
        ]
        rng.shuffle(order)
        outcomes = _outcomes_in_parallel(order) if quick else map(_outcome, order)
        for measurement, outcome in zip(order, outcomes, strict=True):
            progress(f"round {round_ + 1} of {rounds}: {measurement}")
            if isinstance(outcome, Sample):
                measurements.samples[measurement.role_index].append(outcome)
            else:
                measurements.failures.append(f"{measurement}: {outcome}")
    return measurements


@dataclass(frozen=True, slots=True)
class _Measurement:
    """A scheduled measurement of one role at one size."""

    role_index: int
    role: Role
    size: float
    seed: int
    duration_s: float

    def __str__(self) -> str:
        return f"{self.role.name} at {self.size:g} {self.role.quantity}"


def _outcome(measurement: _Measurement) -> Sample | str:
    """Take a measurement; returns the sample, or the reason for the failure."""
    try:
        return measurement.role.measure(measurement.size, measurement.seed, measurement.duration_s)
    except (OSError, RuntimeError) as err:  # TimeoutError is an OSError
        return f"{type(err).__name__}: {err}".removesuffix(": ")


def _outcomes_in_parallel(order: Sequence[_Measurement]) -> Iterator[Sample | str]:
    """Take the measurements in several processes; yields the outcomes in the given order."""
    with ProcessPoolExecutor(
        MAX_PARALLEL_MEASUREMENTS, mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        yield from pool.map(_outcome, order)


def show_progress(line: str) -> None:
    """Replace the progress line on standard error, if that is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)


def rows(role: Role, samples: Sequence[Sample]) -> list[Row]:
    """A row for each resource of a role; empty if all its measurements failed."""
    return [row(role, resource, samples) for resource in role.resources] if samples else []


def row(role: Role, resource: Resource, samples: Sequence[Sample]) -> Row:
    """The row of one resource, derived from the samples of its role."""
    points = [Point(sample.size, sample.costs[resource.name]) for sample in samples]
    law = _fit_or_none(points)
    error = prediction_error(points)
    trusted = law if error <= MAX_PREDICTION_ERROR else None
    largest = max(point.size for point in points)
    at_half, at_target, at_twice = (
        _cost(points, trusted if size <= MAX_EXTRAPOLATION_FACTOR * largest else None, size)
        for size in (role.target / 2, role.target, role.target * 2)
    )
    budget = resource.budget
    ratio = at_target / budget.limit if budget is not None and at_target is not None else None
    return Row(
        role=role.name,
        resource=resource.name,
        by=role.quantity,
        unit=resource.unit,
        target=role.target,
        measured_to=largest,
        at_half=_three_digits(at_half),
        at_target=_three_digits(at_target),
        at_twice=_three_digits(at_twice),
        budget=_three_digits(budget.limit) if budget is not None else None,
        derivation=budget.derivation if budget is not None else "",
        ratio=_three_digits(ratio),
        intercept=_three_digits(law.intercept) if law else None,
        slope=_three_digits(law.slope) if law else None,
        exponent=law.exponent if law else None,
        interval=law.interval if law else None,
        superlinear=law.superlinear if law else False,
        prediction_error=_three_digits(error) if error != float("inf") else None,
        how=_how(role, points, at_target),
        measurements=len(points),
        command=f"magpieshift lab capacity --json --role '{role.name}'",
    )


def _fit_or_none(points: Sequence[Point]) -> Fit | None:
    try:
        return fit(points)
    except UnfitError:
        return None


def _cost(points: Sequence[Point], law: Fit | None, size: float) -> float | None:
    """The cost at a size: the median of its measurements, otherwise the fitted cost, otherwise None."""
    measured = [point.cost for point in points if point.size == size]
    if measured:
        return statistics.median(measured)
    return law.cost_at(size) if law is not None else None


def _how(role: Role, points: Sequence[Point], at_target: float | None) -> str:
    if at_target is None:
        return UNMEASURED
    if role.simulated:
        return SIMULATED
    return MEASURED if any(point.size == role.target for point in points) else FITTED


def _three_digits(value: float | None) -> float | None:
    """Round to three significant digits; no measurement here is more precise."""
    return float(f"{value:.3g}") if value is not None else None
