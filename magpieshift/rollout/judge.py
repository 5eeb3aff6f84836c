"""Whether the new side does worse than the old, beside it, at the same time. Told figures and the time; no
I/O.

Each look gives, for each zone and class, what either side was asked and served since the last. The
difference of the two shares is weighted as in Mantel and Haenszel's test, so that zones and moments of
different load count by what they can tell, and what strikes both sides alike at a moment drops out. The sum
of weighted differences has an interval that holds at all times at once (the normal mixture of Robbins): it
may be looked at after each look without lying more often than the plan allows. The larger of the variance
that single requests have and the one that was seen between looks counts: requests that fail together tell
less.

Processor time a request is compared look by look, memory by the slope of each process's own line, and
processes that go away or take no requests by how many did on either side."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from magpieshift.rollout.figures import Figures, Gain, gain
from magpieshift.rollout.plan import Worse

LEAST_ASKED = 200  # of a class on the new side, before anything is known of it
RARE = 0.05  # share of all requests: a class below that holds nothing up, but stops what is clearly worse
PRIOR = 20.0  # requests at the usual share, that a moment's share is drawn to
FADE = 0.8  # what lately was, from one look to the next
LEAST_VARIANCE = 0.01  # of one request: that none has failed yet does not say that none will
MIX = 20_000.0  # weight about which the interval is narrowest
# of processor time
BLOCK_US = 5_000_000
LEAST_BLOCKS = 8
CPU_SIGMAS = 4.5  # looked at over and over: far beyond a single look's bound
# of memory: what a start takes, and the shortest line
SETTLE_US = 30_000_000
LEAST_SLOPE_US = 60_000_000
SLOPE_SIGMAS = 4.0
MOST_SAMPLES = 600  # of memory, of one process
# a side that takes so little of the other's requests a router
IDLE_US = 10_000_000
IDLE_SHARE = 0.1
AWAY_US = 10_000_000  # without an answer at the door: it has gone
GONE_CARE = 0.1  # of what may be stopped wrongly: it is looked at again with each process that goes
LONG_US = 60_000_000  # so long without any process of the new side: it does not come back
TROUBLE = 0.8  # of what the old side usually serves: something strikes all


class Verdict(Enum):
    """What is known."""

    UNKNOWN = "not known yet"
    FINE = "no worse"
    WORSE = "worse"
    TROUBLE = "trouble on both sides"


@dataclass
class Sum:
    """Of one class: differences of the shares, new less old, each weighted by what it can tell: the requests
    of both sides, over the variance that one request lately had. So times at which all do badly, when chance
    is largest, count least. A weight goes by what came before it alone: one that knew its own outcome would
    bend the sum."""

    total: float = 0.0
    weight: float = 0.0  # and the variance of the total, if single requests fail by themselves
    squares: float = 0.0  # of the parts, with weights, and of weights: what was seen from look to look
    crossed: float = 0.0
    weights: float = 0.0
    asked_new: int = 0
    asked_old: int = 0
    served_new: int = 0
    served_old: int = 0
    lately_asked: float = 0.0
    lately_served: float = 0.0

    def add(self, asked_new: int, served_new: int, asked_old: int, served_old: int) -> None:
        """What both sides did in one zone since the last look."""
        ever = self.asked_new + self.asked_old
        usual = (self.served_new + self.served_old) / ever if ever else 1.0
        share = (self.lately_served + PRIOR * usual) / (self.lately_asked + PRIOR)
        variance = max(share * (1 - share), LEAST_VARIANCE)
        self.lately_asked = FADE * self.lately_asked + asked_new + asked_old
        self.lately_served = FADE * self.lately_served + served_new + served_old
        self.asked_new = self.asked_new + asked_new
        self.asked_old = self.asked_old + asked_old
        self.served_new = self.served_new + served_new
        self.served_old = self.served_old + served_old
        if not (asked_new and asked_old):
            return
        weight = asked_new * asked_old / (asked_new + asked_old) / variance
        part = weight * (served_new / asked_new - served_old / asked_old)
        self.total += part
        self.weight += weight
        self.squares += part * part
        self.crossed += weight * part
        self.weights += weight * weight

    def between(self, wrongly: float) -> tuple[float, float]:
        """The difference of the shares, at least and at most: right at all times at once, but for a part
        ``wrongly`` of all comparisons."""
        if not self.weight:
            return -1.0, 1.0
        mean = self.total / self.weight
        seen = self.squares - 2 * mean * self.crossed + mean * mean * self.weights
        variance = max(self.weight, seen)
        mix = MIX * variance / self.weight
        radius = math.sqrt((variance + mix) * math.log((variance + mix) / (mix * wrongly * wrongly)))
        return mean - radius / self.weight, mean + radius / self.weight


@dataclass
class _Line:
    """A process's memory over its time, for the slope."""

    samples: list[tuple[float, float]] = field(default_factory=list)  # minutes, MB

    def add(self, up_us: int, rss_kb: int) -> None:
        if rss_kb and up_us >= SETTLE_US:
            self.samples.append((up_us / 60e6, rss_kb / 1024))
            if len(self.samples) > MOST_SAMPLES:
                self.samples = self.samples[::2]

    def slope(self) -> tuple[float, float] | None:
        """MB a minute and how sure that is (its standard error, counted from eight parts, since neighbouring
        samples tell the same); None while it is too short."""
        if len(self.samples) < 16 or self.samples[-1][0] - self.samples[0][0] < LEAST_SLOPE_US / 60e6:
            return None
        size = len(self.samples) // 8
        rows = [self.samples[i * size : (i + 1) * size] for i in range(8)]
        xs = [sum(x for x, _ in row) / len(row) for row in rows]
        ys = [sum(y for _, y in row) / len(row) for row in rows]
        mx = sum(xs) / 8
        my = sum(ys) / 8
        across = sum((x - mx) ** 2 for x in xs)
        slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys, strict=True)) / across
        left = sum((y - my - slope * (x - mx)) ** 2 for x, y in zip(xs, ys, strict=True))
        return slope, math.sqrt(left / 6 / across)


@dataclass
class _Seen:
    """The last look at one router."""

    figures: Figures | None = None
    side: str = ""
    heard_us: int = 0
    gone: bool = False


class Judge:
    """Compares two sides, by label, through one stage."""

    def __init__(self, worse: Worse, new: str, old: str, zones: Mapping[str, str], now_us: int) -> None:
        self.worse = worse
        self.new = new
        self.old = old
        self.zones = zones
        self.sums: dict[str, Sum] = {}
        self.usual = 0.0  # share the old side serves, smoothed
        self.lately = 0.0
        self.lost = {new: 0, old: 0}  # processes that went away or began anew by themselves
        self.time_us = {new: 0, old: 0}  # of all processes
        self.why = ""
        self._routers: dict[str, _Seen] = {}
        self._lines: dict[tuple[str, str], _Line] = {}  # by side and incarnation
        self._blocks: list[float] = []  # ratio of processor time a request, new to old
        self._block: dict[str, list[float]] = {new: [0.0, 0.0], old: [0.0, 0.0]}  # time, requests
        self._block_us = now_us
        self._asked_each = {new: [0.0, 0.0], old: [0.0, 0.0]}  # requests, and seconds of all processes

    # --- what is seen

    def expect(self, router: str) -> None:
        """This router's process is being replaced: that it goes is no failure of its side."""
        self._routers.pop(router, None)

    def look(self, now_us: int, answers: Mapping[str, Figures | None]) -> None:
        """One round of looks at all routers; None where nobody answered."""
        gains: dict[tuple[str, str], list[Gain]] = {}
        for router, figures in answers.items():
            seen = self._routers.setdefault(router, _Seen(heard_us=now_us))
            if figures is None:
                if seen.side and not seen.gone and now_us - seen.heard_us >= AWAY_US:
                    seen.gone = True
                    self.lost[seen.side] += 1
                continue
            if figures.label not in (self.new, self.old):
                continue
            before = seen.figures
            side = figures.label
            same = before is not None and before.label == side
            if same and before is not None and before.incarnation != figures.incarnation and not seen.gone:
                self.lost[side] += 1
            if same and before is not None:
                gained = gain(before, figures)
                if gained.whole:
                    gains.setdefault((self.zones.get(router, "-"), side), []).append(gained)
                    self.time_us[side] += gained.for_us
            seen.figures = figures
            seen.side = side
            seen.heard_us = now_us
            seen.gone = False
            line = self._lines.setdefault((side, figures.incarnation), _Line())
            line.add(figures.up_us, figures.rss_kb)
        self._sum(gains)
        self._processor(now_us, gains)

    def _sum(self, gains: Mapping[tuple[str, str], list[Gain]]) -> None:
        asked_old = 0
        served_old = 0
        for zone in sorted({zone for zone, _ in gains}):  # sums of floats depend on the order
            sides = [gains.get((zone, side), []) for side in (self.new, self.old)]
            for name in sorted({c for each in sides for g in each for c in g.classes}):
                rows = [[g.classes[name] for g in each if name in g.classes] for each in sides]
                new, old = ((sum(r["asked"] for r in row), sum(r["served"] for r in row)) for row in rows)
                self.sums.setdefault(name, Sum()).add(*new, *old)
                asked_old = asked_old + old[0]
                served_old = served_old + old[1]
        for (_, side), each in gains.items():
            tally = self._asked_each[side]
            tally[0] += sum(g.asked for g in each)
            tally[1] += sum(g.for_us for g in each) / 1e6
        if asked_old >= 10:
            self.lately = served_old / asked_old
            weight = 0.05 if self.lately < self.usual else 0.2  # what is usual is learnt from good moments
            self.usual += weight * (self.lately - self.usual) if self.usual else self.lately

    def _processor(self, now_us: int, gains: Mapping[tuple[str, str], list[Gain]]) -> None:
        for (_, side), each in gains.items():
            self._block[side][0] += sum(g.cpu_us for g in each)
            self._block[side][1] += sum(g.asked for g in each)
        if now_us - self._block_us < BLOCK_US:
            return
        new = self._block[self.new]
        old = self._block[self.old]
        if min(new[1], old[1]) >= 20 and old[0] > 0:
            self._blocks.append((new[0] / new[1]) / (old[0] / old[1]))
            del self._blocks[:-MOST_SAMPLES]
        self._block = {self.new: [0.0, 0.0], self.old: [0.0, 0.0]}
        self._block_us = now_us

    # --- what follows from it

    def verdict(self, now_us: int, next_share: float = 1.0) -> Verdict:
        """What is known by now; ``why`` says it in words. ``next_share`` is the part of the fleet that will
        be new in the next stage: before a few routers change less must be known than before all do, as the
        same loss there costs the fleet less."""
        for found in (self._lost(now_us), self._idle(now_us), self._served(), self._slower(), self._leaks()):
            if found:
                self.why = found
                return Verdict.WORSE
        if self.usual and self.lately < TROUBLE * self.usual:
            self.why = f"the old side itself serves {self.lately:.3f}, usually {self.usual:.3f}"
            return Verdict.TROUBLE
        unknown = self._unknown(next_share)
        self.why = unknown or "no class worse by more than the plan allows"
        return Verdict.UNKNOWN if unknown else Verdict.FINE

    def _wrongly(self) -> float:
        """What each of the classes may be wrong by: together they keep to the plan."""
        return self.worse.wrongly / max(1, len(self.sums)) / 2

    def _served(self) -> str:
        for name, each in sorted(self.sums.items()):
            least, most = each.between(self._wrongly())
            if each.asked_new >= LEAST_ASKED and most < -self.worse.served:
                return (
                    f"{name}: served in time {each.served_new / each.asked_new:.4f} of {each.asked_new}, "
                    f"the old side {each.served_old / each.asked_old:.4f}; "
                    f"worse by {-most:.4f} to {-least:.4f}"
                )
        return ""

    def _unknown(self, next_share: float) -> str:
        whole = sum(each.asked_new + each.asked_old for each in self.sums.values())
        if not whole:
            return "nothing was asked"
        for name, each in sorted(self.sums.items()):
            if each.asked_new + each.asked_old < RARE * whole:
                continue
            least, _ = each.between(self._wrongly())
            if each.asked_new < LEAST_ASKED:
                return f"{name}: {each.asked_new} requests on the new side, {LEAST_ASKED} are needed"
            allowed = self.worse.served / max(next_share, 1e-6)
            if least < -allowed:
                return f"{name}: may be worse by {-least:.4f}, allowed is {allowed:.4f}"
        return ""

    def _lost(self, now_us: int) -> str:
        """Processes that went away: by how long each side ran, would chance lay so many on the new one?"""
        new = self.lost[self.new]
        old = self.lost[self.old]
        if not new:
            return ""
        here = [seen for seen in self._routers.values() if seen.side == self.new]
        if here and all(seen.gone and now_us - seen.heard_us >= LONG_US for seen in here):
            return f"all {len(here)} new processes have gone, and none came back"
        share = self.time_us[self.new] / max(1, sum(self.time_us.values()))
        both = new + old
        tail = sum(math.comb(both, k) * share**k * (1 - share) ** (both - k) for k in range(new, both + 1))
        if tail < self.worse.wrongly * GONE_CARE and new > 1:
            return f"{new} new processes have gone by themselves, {old} old ones"
        return ""

    def _idle(self, now_us: int) -> str:
        (asked_new, new_s) = self._asked_each[self.new]
        (asked_old, old_s) = self._asked_each[self.old]
        if new_s < IDLE_US / 1e6 or old_s < IDLE_US / 1e6 or asked_old < LEAST_ASKED:
            return ""
        rate_new = asked_new / new_s
        rate_old = asked_old / old_s
        if rate_new < IDLE_SHARE * rate_old and rate_old * new_s >= 50:
            return f"new processes end {rate_new:.1f} requests a second each, old ones {rate_old:.1f}"
        return ""

    def _slower(self) -> str:
        blocks = self._blocks
        if len(blocks) < LEAST_BLOCKS:
            return ""
        mean = sum(blocks) / len(blocks)
        error = math.sqrt(sum((b - mean) ** 2 for b in blocks) / (len(blocks) - 1) / len(blocks))
        if mean - CPU_SIGMAS * error > 1 + self.worse.processor:
            return f"processor time a request is {mean:.2f} times the old side's ({len(blocks)} blocks)"
        return ""

    def _leaks(self) -> str:
        slopes: dict[str, list[tuple[float, float]]] = {self.new: [], self.old: []}
        for (side, _), line in self._lines.items():
            if (slope := line.slope()) is not None:
                slopes[side].append(slope)
        if not slopes[self.new]:
            return ""
        old = sorted(slope for slope, _ in slopes[self.old])
        usual = old[len(old) // 2] if old else 0.0
        sure = [
            s
            for s, error in slopes[self.new]
            if s - SLOPE_SIGMAS * error > usual + self.worse.memory_mb_per_min
        ]
        if 2 * len(sure) > len(slopes[self.new]):
            return f"memory of new processes grows by {max(sure):.2f} MB a minute, of old ones by {usual:.2f}"
        return ""

    def row(self) -> dict[str, object]:
        """Figures side by side, for people and the journal."""
        classes = {
            name: {
                "new": [each.served_new, each.asked_new],
                "old": [each.served_old, each.asked_old],
                "between": [round(edge, 4) for edge in each.between(self._wrongly())],
            }
            for name, each in sorted(self.sums.items())
        }
        blocks = self._blocks
        return {
            "classes": classes,
            "lost": [self.lost[self.new], self.lost[self.old]],
            "processor": round(sum(blocks) / len(blocks), 3) if blocks else None,
            "why": self.why,
        }
