"""Canary analysis: decides whether the new side is worse than the old side running at the same time. Its
inputs are counters and the time; it does no I/O.

Success rates are compared by ``weighted_difference``, processor time by ``cpu_comparison``, memory by
``memory_trend``, and lost or idle processes by ``process_losses``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from magpieshift.rollout.cpu_comparison import CpuComparison
from magpieshift.rollout.memory_trend import MemoryTrend
from magpieshift.rollout.plan import Tolerances
from magpieshift.rollout.process_counters import CounterDelta, ProcessCounters, counter_delta
from magpieshift.rollout.process_losses import (
    MIN_REQUESTS,
    UNREACHABLE_AFTER_US,
    RouterObservation,
    SideTotals,
    idle_reason,
    losses_reason,
)
from magpieshift.rollout.verdict import Verdict
from magpieshift.rollout.weighted_difference import WeightedDifference

RARE_CLASS_FRACTION = 0.05
"""Fraction of all requests below which a class is rare. A rare class does not delay a stage, but fails it if
it is clearly worse."""
SLOPE_SIGMAS = 4.0
"""Standard errors by which the slope of a process's memory must exceed the allowed growth."""
COMMON_FAULT_FRACTION = 0.8
"""If the old side's success rate falls below this fraction of its usual rate, a fault common to both sides is
assumed."""
MIN_RATE_REQUESTS = 10
"""Minimum requests on the old side in a round for its success rate to be used."""
FALLING_RATE_WEIGHT = 0.05
"""Smoothing weight of a round below the usual rate. Smaller than that of a round above it, so that the usual
rate follows good rounds."""
RISING_RATE_WEIGHT = 0.2
"""Smoothing weight of a round at or above the usual rate."""


class CanaryAnalysis:
    """Compares the new and the old side during one stage."""

    def __init__(
        self, tolerances: Tolerances, new: str, old: str, zones: Mapping[str, str], now_us: int
    ) -> None:
        """``new`` and ``old`` are the labels of the sides, ``zones`` gives the zone of each router."""
        self.differences: dict[str, WeightedDifference] = {}
        """Difference of the success rates by request class."""
        self.reason = ""
        """Reason of the last verdict, shown to operators."""
        self._tolerances = tolerances
        self._new = new
        self._old = old
        self._zones = zones
        # success rate of the old side: smoothed, and that of the last round with enough requests
        self._usual_rate = 0.0
        self._recent_rate = 0.0
        self._totals = {new: SideTotals(), old: SideTotals()}
        self._routers: dict[str, RouterObservation] = {}
        # memory samples by label and incarnation
        self._memory: dict[tuple[str, str], MemoryTrend] = {}
        self._cpu = CpuComparison(new, old, now_us)

    # --- observations

    def expect_restart(self, router: str) -> None:
        """Forget this router's observation, because its process is being replaced: that it ends is not a loss
        of its side."""
        self._routers.pop(router, None)

    def record_round(self, now_us: int, answers: Mapping[str, ProcessCounters | None]) -> None:
        """Add one round of readings of all routers; None for a router that did not answer."""
        deltas: dict[tuple[str, str], list[CounterDelta]] = {}
        for router, counters in answers.items():
            observation = self._routers.setdefault(router, RouterObservation(now_us))
            if counters is None:
                self._record_no_answer(observation, now_us)
            elif counters.label in (self._new, self._old):
                delta = self._record_answer(observation, counters, now_us)
                if delta is not None and delta.same_process:
                    key = (self._zones.get(router, "-"), counters.label)
                    deltas.setdefault(key, []).append(delta)
        self._compare_rates(deltas)
        for (_, side), of_side in deltas.items():
            self._totals[side].add(of_side)
            self._cpu.add(side, of_side)
        self._cpu.close_block(now_us)

    def _record_no_answer(self, observation: RouterObservation, now_us: int) -> None:
        silent_us = now_us - observation.last_heard_us
        if observation.side and not observation.is_lost and silent_us >= UNREACHABLE_AFTER_US:
            observation.is_lost = True
            self._totals[observation.side].losses += 1

    def _record_answer(
        self, observation: RouterObservation, counters: ProcessCounters, now_us: int
    ) -> CounterDelta | None:
        """The router's counters since its last answer; None for the first one, and after a change of
        sides."""
        side = counters.label
        before = observation.counters
        delta = None
        if before is not None and before.label == side:
            delta = counter_delta(before, counters)
            if delta.same_process:
                self._totals[side].time_us += delta.duration_us
            elif not observation.is_lost:
                self._totals[side].losses += 1
        observation.counters = counters
        observation.side = side
        observation.last_heard_us = now_us
        observation.is_lost = False
        trend = self._memory.setdefault((side, counters.incarnation), MemoryTrend())
        trend.add(counters.up_us, counters.rss_kb)
        return delta

    def _compare_rates(self, deltas: Mapping[tuple[str, str], Sequence[CounterDelta]]) -> None:
        """Add a round to the differences of success rates, for each zone and request class."""
        requests_old = 0
        served_old = 0
        for zone in sorted({zone for zone, _ in deltas}):  # in a fixed order, on which float sums depend
            new_deltas = deltas.get((zone, self._new), ())
            old_deltas = deltas.get((zone, self._old), ())
            classes = {name for delta in (*new_deltas, *old_deltas) for name in delta.classes}
            for name in sorted(classes):
                new = _sum_class(new_deltas, name)
                old = _sum_class(old_deltas, name)
                self.differences.setdefault(name, WeightedDifference()).add(*new, *old)
                requests_old += old[0]
                served_old += old[1]
        if requests_old >= MIN_RATE_REQUESTS:
            self._update_usual_rate(served_old / requests_old)

    def _update_usual_rate(self, rate: float) -> None:
        self._recent_rate = rate
        weight = FALLING_RATE_WEIGHT if rate < self._usual_rate else RISING_RATE_WEIGHT
        self._usual_rate += weight * (rate - self._usual_rate) if self._usual_rate else rate

    # --- verdict

    def verdict(self, now_us: int, next_fraction: float = 1.0) -> Verdict:
        """The current verdict; ``reason`` explains it. ``next_fraction`` is the fraction of the fleet that
        runs the new build in the next stage. The tolerance is divided by it when a loss is to be ruled out:
        before a small stage a less certain result suffices, because the same loss affects less of the
        fleet."""
        reason = self._worse_reason(now_us)
        if reason:
            self.reason = reason
            return Verdict.WORSE
        if self._usual_rate and self._recent_rate < COMMON_FAULT_FRACTION * self._usual_rate:
            self.reason = (
                f"the old side itself serves {self._recent_rate:.3f}, usually {self._usual_rate:.3f}"
            )
            return Verdict.COMMON_FAULT
        undecided = self._undecided_reason(next_fraction)
        self.reason = undecided or "no class worse by more than the plan allows"
        return Verdict.UNDECIDED if undecided else Verdict.NO_WORSE

    def _worse_reason(self, now_us: int) -> str:
        """Reason if the new side is significantly worse; else empty."""
        new = self._totals[self._new]
        old = self._totals[self._old]
        new_routers = [router for router in self._routers.values() if router.side == self._new]
        return (
            losses_reason(new, old, new_routers, self._tolerances.false_positive_rate, now_us)
            or idle_reason(new, old)
            or self._rate_reason()
            or self._cpu.worse_reason(self._tolerances.cpu)
            or self._memory_reason()
        )

    def _class_error_rate(self) -> float:
        """Error rate allowed for each class, so that all classes together keep half of the plan's
        false-positive rate."""
        return self._tolerances.false_positive_rate / max(1, len(self.differences)) / 2

    def _rate_reason(self) -> str:
        for name, difference in sorted(self.differences.items()):
            lowest, highest = difference.confidence_interval(self._class_error_rate())
            if difference.requests_new >= MIN_REQUESTS and highest < -self._tolerances.success_rate:
                rate_new = difference.served_new / difference.requests_new
                rate_old = difference.served_old / difference.requests_old
                return (
                    f"{name}: served in time {rate_new:.4f} of {difference.requests_new}, "
                    f"the old side {rate_old:.4f}; "
                    f"worse by {-highest:.4f} to {-lowest:.4f}"
                )
        return ""

    def _undecided_reason(self, next_fraction: float) -> str:
        """Reason if it is not yet known that the new side is no worse; else empty."""
        total = sum(each.requests_new + each.requests_old for each in self.differences.values())
        if not total:
            return "nothing was asked"
        for name, difference in sorted(self.differences.items()):
            if difference.requests_new + difference.requests_old < RARE_CLASS_FRACTION * total:
                continue
            lowest, _ = difference.confidence_interval(self._class_error_rate())
            if difference.requests_new < MIN_REQUESTS:
                return (
                    f"{name}: {difference.requests_new} requests on the new side, {MIN_REQUESTS} are needed"
                )
            allowed = self._tolerances.success_rate / max(next_fraction, 1e-6)
            if lowest < -allowed:
                return f"{name}: may be worse by {-lowest:.4f}, allowed is {allowed:.4f}"
        return ""

    def _memory_reason(self) -> str:
        slopes = {
            label: [
                slope
                for (side, _), trend in self._memory.items()
                if side == label and (slope := trend.slope()) is not None
            ]
            for label in (self._new, self._old)
        }
        new = slopes[self._new]
        if not new:
            return ""
        old = sorted(slope.mb_per_min for slope in slopes[self._old])
        usual = old[len(old) // 2] if old else 0.0
        allowed = usual + self._tolerances.memory_mb_per_min
        leaking = [
            slope.mb_per_min for slope in new if slope.mb_per_min - SLOPE_SIGMAS * slope.error > allowed
        ]
        if 2 * len(leaking) > len(new):
            return (
                f"memory of new processes grows by {max(leaking):.2f} MB a minute, of old ones by {usual:.2f}"
            )
        return ""

    def as_data(self) -> dict[str, object]:
        """Figures of both sides for the status; their keys are defined only here."""
        classes = {
            name: {
                "new": [difference.served_new, difference.requests_new],
                "old": [difference.served_old, difference.requests_old],
                "between": [
                    round(bound, 4) for bound in difference.confidence_interval(self._class_error_rate())
                ],
            }
            for name, difference in sorted(self.differences.items())
        }
        cpu_ratio = self._cpu.mean
        return {
            "classes": classes,
            "lost": [self._totals[self._new].losses, self._totals[self._old].losses],
            "processor": round(cpu_ratio, 3) if cpu_ratio is not None else None,
            "why": self.reason,
        }


def _sum_class(deltas: Sequence[CounterDelta], name: str) -> tuple[int, int]:
    """Sum of a class's requests that ended, and of those served in time."""
    counts = [delta.classes[name] for delta in deltas if name in delta.classes]
    return sum(each.requests for each in counts), sum(each.served for each in counts)
