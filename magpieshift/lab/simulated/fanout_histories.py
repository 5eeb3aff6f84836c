"""Random histories of faults in a simulated fan-out tier. The same seed gives the same history."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from magpieshift.lab.simulated.fanout import SECOND_US, SimulatedFanout
from magpieshift.lab.simulated.fanout_checks import check_bounds, unsettled
from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_layout import FanoutSize

FAULT_PERIOD_S = 45  # duration of the phase in which faults occur
# Time limits for recovery after the last fault. It takes longer with several running sources: all but one end
# only when relays return to the source that they prefer, and report the highest epoch there.
SETTLE_TIMEOUT_S = 45
TWO_SOURCES_SETTLE_TIMEOUT_S = 140
BURST_RATE_FACTOR = 10  # rate of purges in a burst, as a multiple of ``PURGES_PER_S``
BURST_DURATION_S = 5
PURGES_PER_S = 2.0
PAUSE_WITHIN_LEASE_S = 5.0  # shorter than a lease; other pauses are much shorter, or longer than a lease
RESTARTED_FRACTION = 0.1  # fraction of routers restarted during a burst


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a history that broke no rule."""

    purges: int
    attempts: int
    unbounded_attempts: int  # attempts that accepted copies of any age
    faults: int
    epochs: int
    snapshots: int  # snapshots sent
    settled_s: float  # time from the end of all faults until the tier had settled


class History:
    """One history: faults at random times, which may overlap, and a phase without faults at its end."""

    def __init__(self, seed: int, size: FanoutSize | None = None) -> None:
        self.rand = random.Random(f"history {seed}")
        size = size or FanoutSize(seed=seed, log_entries=self.rand.choice((16, 64, 1000)))
        self.tier = SimulatedFanout(size)
        self.faults = 0
        self.event_log: list[str] = []  # events with their times (s); added to the error if a rule is broken
        self._rate = PURGES_PER_S
        self._faults_have_ended = False
        self._fault_weights: dict[Callable[[], str], float] = {
            self._kill: 3.0,
            self._kill_source: 1.5,
            self._second_source: 0.7,
            self._pause: 3.0,
            self._one_way_cut: 2.5,
            self._cut_regions: 0.7,
            self._break_streams: 2.0,
            self._slow_reader: 1.0,
            self._cut_change_log: 1.0,
            self._burst: 0.7,
        }

    def run(self) -> Outcome:
        """Run the history. Raises ``RuleBrokenError`` with the events so far as a note."""
        tier = self.tier
        try:
            tier.time.after(0, self._load)
            tier.time.after(0, self._supervise)
            tier.run(self.rand.randrange(5, 12) * SECOND_US)
            gap_s = self.rand.choice((1.0, 3.0, 8.0))
            tier.time.after(0, lambda: self._inject_fault(gap_s))
            for _ in range(FAULT_PERIOD_S):
                tier.run(SECOND_US)
                check_bounds(tier)
            settled_s = self._settle()
        except RuleBrokenError as error:
            error.add_note("; ".join(self.event_log))
            raise
        checker = tier.checker
        return Outcome(
            purges=len(checker.purges),
            attempts=checker.attempts,
            unbounded_attempts=checker.unbounded_attempts,
            faults=self.faults,
            epochs=len(checker.logs),
            snapshots=sum(tier.snapshots_sent.values()),
            settled_s=settled_s,
        )

    def _settle(self) -> float:
        """End all faults and run until the tier has settled; return how long it took (s)."""
        tier = self.tier
        self._faults_have_ended = True
        tier.repair_all()
        self._record("all faults ended")
        timeout_s = SETTLE_TIMEOUT_S if len(tier.sources()) == 1 else TWO_SOURCES_SETTLE_TIMEOUT_S
        started_us = tier.time.now_us
        while (problem := unsettled(tier)) and tier.time.now_us < started_us + timeout_s * SECOND_US:
            tier.run(SECOND_US // 2)
        if problem:
            raise RuleBrokenError(f"settling: not settled {timeout_s} s after the last fault: {problem}")
        return (tier.time.now_us - started_us) / SECOND_US

    def _record(self, event: str) -> None:
        self.event_log.append(f"{(self.tier.time.now_us - self.tier.time.start_us) / SECOND_US:.2f} {event}")

    # --- load

    def _load(self) -> None:
        if self._faults_have_ended:
            return
        tier = self.tier
        rand = self.rand
        draw = rand.random()
        if draw < 0.03:
            tier.change_log.change_endpoint_list()
        elif draw < 0.08:
            tier.change_log.change_configuration()
        elif draw < 0.2:
            tier.purge(f"often{rand.randrange(3)}")
        else:
            tier.purge()
        tier.time.after(rand.expovariate(self._rate) * SECOND_US, self._load)

    def _supervise(self) -> None:
        """Start a source if none runs, and schedule the next check."""
        if not self.tier.sources():
            name = self.rand.choice(("S1", "S2"))
            self._record(f"start {name}")
            self.tier.start(name)
        self.tier.time.after(self.rand.uniform(0.5, 4.0) * SECOND_US, self._supervise)

    # --- faults

    def _inject_fault(self, gap_s: float) -> None:
        if self._faults_have_ended:
            return
        fault = self.rand.choices(list(self._fault_weights), list(self._fault_weights.values()))[0]
        self.faults += 1
        self._record(fault())
        self.tier.time.after(self.rand.expovariate(1 / gap_s) * SECOND_US, lambda: self._inject_fault(gap_s))

    def _schedule_until_end(self, max_delay_s: float, call: Callable[[], object]) -> None:
        """Schedule a call at a random time within ``max_delay_s``; it is dropped if all faults have ended."""
        self.tier.time.after(
            self.rand.uniform(0.05, max_delay_s) * SECOND_US,
            lambda: None if self._faults_have_ended else call(),
        )

    def _random_process(self, kinds: str = "SRE") -> str:
        """A random running process of these kinds; a kind that is given twice counts twice."""
        running = [name for kind in kinds for name in self.tier.running(kind)]
        return self.rand.choice(running) if running else "R0.1"

    def _kill(self) -> str:
        name = self._random_process("RRE")
        silently = self.rand.random() < 0.5
        self.tier.kill(name, silently)
        self._schedule_until_end(15.0, lambda: self.tier.start(name))
        return f"kill {name} {silently=}"

    def _kill_source(self) -> str:
        name = self._random_process("S")
        silently = self.rand.random() < 0.5
        self.tier.kill(name, silently)
        return f"kill {name} {silently=}"

    def _second_source(self) -> str:
        for name in ("S1", "S2"):
            self.tier.start(name)
        return "start S1 and S2"

    def _pause(self) -> str:
        name = self._random_process()
        for_s = self.rand.choice((0.5, PAUSE_WITHIN_LEASE_S, 9.0, 12.0))
        self.tier.pause(name, int(for_s * SECOND_US))
        return f"pause {name} {for_s} s"

    def _one_way_cut(self) -> str:
        ends = [self._random_process(), self.rand.choice((self._random_process(), "*"))]
        self.rand.shuffle(ends)
        self.tier.network.cut(ends[0], ends[1])
        self._schedule_until_end(20.0, self.tier.network.heal)
        return f"cut {ends[0]} to {ends[1]}"

    def _cut_regions(self) -> str:
        self.tier.network.cut("region/0", "region/1")
        self.tier.network.cut("region/1", "region/0")
        self._schedule_until_end(20.0, self.tier.network.heal)
        return "cut regions"

    def _break_streams(self) -> str:
        name = self._random_process()
        for stream in self.tier.network.streams_of(self.tier.network.hosts[name]):
            stream.disconnect()
        return f"break streams of {name}"

    def _slow_reader(self) -> str:
        name = self._random_process("RE")
        interval_s = self.rand.choice((0.3, 1.5))
        self.tier.read_slowly(name, int(interval_s * SECOND_US))
        self._schedule_until_end(20.0, lambda: self.tier.read_slowly(name, 0))
        return f"{name} reads each {interval_s} s"

    def _cut_change_log(self) -> str:
        for reader in self.tier.change_log_readers.values():
            reader.is_cut = True
        self._schedule_until_end(15.0, self._heal_change_log)
        return "cut the change log"

    def _heal_change_log(self) -> None:
        for reader in self.tier.change_log_readers.values():
            reader.is_cut = False

    def _burst(self) -> str:
        self._rate = PURGES_PER_S * BURST_RATE_FACTOR
        self.tier.time.after(BURST_DURATION_S * SECOND_US, self._end_burst)
        routers = self.tier.running("E")
        restarted = math.ceil(len(routers) * RESTARTED_FRACTION)
        for name in self.rand.sample(routers, restarted):
            self.tier.kill(name)
            self._schedule_until_end(3.0, partial(self.tier.start, name))
        return "burst"

    def _end_burst(self) -> None:
        self._rate = PURGES_PER_S
