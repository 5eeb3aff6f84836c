"""Measures roles in turns over their sizes, and works out a row for each role and resource."""

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

MAX_PREDICTION_ERROR = 0.25  # of a prediction; above it nothing is extrapolated
MAX_EXTRAPOLATION_FACTOR = 64.0
"""Nothing is extrapolated to more than this many times the largest size measured: the prediction that a fit
has to pass reaches over a factor of two, and an error of a quarter in it is one of four times over six such
steps."""
MEASURED = "measured"
FITTED = "fitted"
SIMULATED = "simulated"
UNMEASURED = "unmeasured at target"

FULL_OBSERVATION_S = 1.5  # for which a started process is observed
QUICK_OBSERVATION_S = 0.4  # the same in a trial
MAX_PARALLEL_MEASUREMENTS = 3  # of a trial

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Row:
    """What one resource of one role costs; costs in ``unit``, None where nothing can be said."""

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
    ratio: float | None  # at the target, to the budget
    intercept: float | None
    slope: float | None
    exponent: float | None
    interval: tuple[float, float] | None
    superlinear: bool
    prediction_error: float | None  # None where too few sizes were measured for a prediction
    how: str  # MEASURED, FITTED, SIMULATED or UNMEASURED, at the target
    measurements: int
    command: str


@dataclass(slots=True)
class Measurements:
    """The outcome of all measurements: samples by a role's place in the list, and the failures, a line
    each."""

    samples: dict[int, list[Sample]]
    failures: list[str] = field(default_factory=list)


def measure_roles(roles: Sequence[Role], seed: int, quick: bool, progress: Progress) -> Measurements:
    """Every round measures every size of every role once, in an order drawn from the seed, so that a slow
    minute of the machine affects all alike. A measurement that fails is reported and left out. A trial
    (``quick``) is one round, of fewer sizes and several measurements at once."""
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
    """One measurement to take."""

    role_index: int
    role: Role
    size: float
    seed: int
    duration_s: float

    def __str__(self) -> str:
        return f"{self.role.name} at {self.size:g} {self.role.quantity}"


def _outcome(measurement: _Measurement) -> Sample | str:
    """The sample, or why there is none."""
    try:
        return measurement.role.measure(measurement.size, measurement.seed, measurement.duration_s)
    except (OSError, RuntimeError) as err:  # a timeout is an OSError
        return f"{type(err).__name__}: {err}".removesuffix(": ")


def _outcomes_in_parallel(order: Sequence[_Measurement]) -> Iterator[Sample | str]:
    """Outcomes from several processes, in this order."""
    with ProcessPoolExecutor(
        MAX_PARALLEL_MEASUREMENTS, mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        yield from pool.map(_outcome, order)


def show_progress(line: str) -> None:
    """A progress line, if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)


def rows(role: Role, samples: Sequence[Sample]) -> list[Row]:
    """A row for each resource of a role; none where no measurement came through."""
    return [row(role, resource, samples) for resource in role.resources] if samples else []


def row(role: Role, resource: Resource, samples: Sequence[Sample]) -> Row:
    """The row of one resource, from these samples."""
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
    """The cost at a size: the median where it was measured, by the law where one is trusted."""
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
    """Three significant digits: no measurement here is better."""
    return float(f"{value:.3g}") if value is not None else None
