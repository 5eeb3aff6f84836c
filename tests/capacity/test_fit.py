"""The fit: exponents of known power laws, superlinear growth, predictions, and the rows derived from them."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

import numpy as np

from magpieshift.lab.capacity import measure
from magpieshift.lab.capacity.fit import Point, UnfitError, fit, prediction_error
from magpieshift.lab.capacity.measure import MAX_EXTRAPOLATION_FACTOR, Row
from magpieshift.lab.capacity.role import Budget, Resource, Sample

SIZES = (1.0, 3.0, 10.0, 30.0, 100.0, 300.0)
SEEDS = range(30)


def noisy(intercept: float, slope: float, exponent: float, seed: int, noise: float = 0.03) -> list[Point]:
    """Three measurements at each size of a known power law, with relative noise."""
    rng = np.random.default_rng(seed)
    return [
        Point(size, (intercept + slope * size**exponent) * float(rng.normal(1.0, noise)))
        for size in SIZES
        for _ in range(3)
    ]


class KnownLaws(unittest.TestCase):
    def test_the_interval_contains_the_exponent(self) -> None:
        for exponent in (0.5, 1.0, 1.5, 2.0):
            fits = [fit(noisy(5.0, 0.7, exponent, seed)) for seed in SEEDS]
            held = sum(f.interval[0] - 0.011 <= exponent <= f.interval[1] + 0.011 for f in fits)
            self.assertGreaterEqual(held, 0.85 * len(fits), f"exponent {exponent}: {held} of {len(fits)}")

    def test_superlinear_growth_is_flagged_and_linear_growth_is_not(self) -> None:
        self.assertTrue(all(fit(noisy(5.0, 0.7, 1.5, seed)).superlinear for seed in SEEDS))
        self.assertFalse(any(fit(noisy(5.0, 0.7, 1.0, seed)).superlinear for seed in SEEDS))

    def test_an_exact_law_is_found_exactly(self) -> None:
        found = fit(noisy(4.0, 2.0, 2.0, 0, noise=0.0))
        self.assertEqual((round(found.intercept, 6), round(found.slope, 6)), (4.0, 2.0))
        self.assertEqual((found.exponent, found.interval), (2.0, (2.0, 2.0)))

    def test_constant_cost_is_predicted_and_not_superlinear(self) -> None:
        found = fit(noisy(5.0, 0.0, 1.0, 0, noise=0.0))
        self.assertAlmostEqual(found.cost_at(1e6), 5.0, places=3)
        self.assertFalse(found.superlinear)

    def test_costs_never_go_below_zero(self) -> None:
        falling = [Point(size, 10.0 - size / 50) for size in SIZES]
        found = fit(falling)
        self.assertGreaterEqual(min(found.intercept, found.slope), 0.0)

    def test_fewer_than_three_sizes_raise_unfit_error(self) -> None:
        with self.assertRaises(UnfitError):
            fit([Point(1, 1), Point(2, 2), Point(2, 2)])


class Predictions(unittest.TestCase):
    def test_a_linear_law_predicts_the_largest_size(self) -> None:
        self.assertTrue(all(prediction_error(noisy(5.0, 0.7, 1.0, seed)) < 0.25 for seed in SEEDS))

    def test_a_step_above_half_of_the_largest_size_is_not_predicted(self) -> None:
        points = [Point(size, 1.0 if size <= 100 else 3.0) for size in SIZES]
        self.assertAlmostEqual(prediction_error(points), 2 / 3, places=2)

    def test_too_few_sizes_up_to_half_give_an_infinite_error(self) -> None:
        self.assertEqual(prediction_error([Point(1, 1), Point(2, 2), Point(3, 3)]), float("inf"))


@dataclass
class PlannedRole:
    """A role with the cost that ``plan`` gives for each size; sizes in ``failing`` raise ``TimeoutError``."""

    plan: dict[float, float]
    target: float
    simulated: bool = False
    name: str = "planned"
    quantity: str = "things"
    repeats: int = 2
    resources: tuple[Resource, ...] = (Resource("processor", "ms", Budget(10.0, "set by the test")),)
    measured: list[float] = field(default_factory=list)
    failing: frozenset[float] = frozenset()

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(self.plan)

    quick_sizes = sizes

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        self.measured.append(size)
        if size in self.failing:
            raise TimeoutError("no answer")
        return Sample(size, {"processor": self.plan[size]})


def measured_row(role: PlannedRole, seed: int = 1) -> Row:
    measurements = measure.measure_roles([role], seed, False, lambda line: None)
    (row,) = measure.rows(role, measurements.samples[0])
    return row


class Rows(unittest.TestCase):
    def test_a_predictable_cost_is_extrapolated(self) -> None:
        row = measured_row(PlannedRole({size: 2 * size for size in SIZES}, 1000.0))
        self.assertEqual((row.at_half, row.at_target, row.at_twice), (1000.0, 2000.0, 4000.0))
        self.assertEqual((row.how, row.ratio, row.measured_to), (measure.FITTED, 200.0, 300.0))

    def test_an_unpredictable_cost_is_unmeasured_at_the_target(self) -> None:
        plan = {size: 1.0 if size <= 100 else 3.0 for size in SIZES}
        row = measured_row(PlannedRole(plan, 1000.0))
        self.assertEqual((row.how, row.at_target, row.ratio), (measure.UNMEASURED, None, None))

    def test_a_cost_measured_at_the_target_is_used_without_a_trusted_fit(self) -> None:
        plan = {size: 1.0 if size <= 100 else 3.0 for size in SIZES}
        row = measured_row(PlannedRole(plan, 300.0))
        self.assertEqual((row.how, row.at_target, row.at_twice), (measure.MEASURED, 3.0, None))

    def test_extrapolation_stops_at_the_maximum_factor(self) -> None:
        plan = {size: 2 * size for size in SIZES}
        self.assertEqual(
            measured_row(PlannedRole(plan, 300 * MAX_EXTRAPOLATION_FACTOR + 1)).how, measure.UNMEASURED
        )
        self.assertEqual(measured_row(PlannedRole(plan, 300 * MAX_EXTRAPOLATION_FACTOR)).how, measure.FITTED)

    def test_a_cost_of_a_simulation_is_marked_as_simulated(self) -> None:
        self.assertEqual(
            measured_row(PlannedRole({s: s for s in SIZES}, 100.0, simulated=True)).how, measure.SIMULATED
        )

    def test_a_failed_measurement_is_reported_and_left_out(self) -> None:
        role = PlannedRole({size: size for size in SIZES}, 100.0, failing=frozenset({10.0}))
        measurements = measure.measure_roles([role], 1, False, lambda line: None)
        self.assertEqual(len(measurements.samples[0]), (len(SIZES) - 1) * role.repeats)
        self.assertEqual(measurements.failures, ["planned at 10 things: TimeoutError: no answer"] * 2)

    def test_the_measurement_order_is_derived_from_the_seed(self) -> None:
        orders = []
        for seed in (1, 1, 2):
            role = PlannedRole({size: size for size in SIZES}, 100.0)
            measured_row(role, seed)
            self.assertEqual(sorted(role.measured), sorted(SIZES * role.repeats))
            orders.append(role.measured)
        self.assertEqual(orders[0], orders[1])
        self.assertNotEqual(orders[0], orders[2])
