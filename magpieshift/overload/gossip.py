"""What one router says to others of failing stores and of itself, and what it makes of what they say. A
state machine told digests and the time; no I/O.

Nothing is said while nothing fails and nobody is pressed. What is new of a store goes to a few at random at
once and for some turns, and from them on; what is merely renewed goes to one a turn. A router that is
pressed tells its neighbours, and they tell it how they are."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from magpieshift.overload.codec import Digest
from magpieshift.overload.failure_reports import FailureReports
from magpieshift.overload.offloading import FRESH_US, LOW, Neighbour, Offloading
from magpieshift.overload.probe_election import ProbeElection, Seen
from magpieshift.policy.health_override import HealthOverride

TURN_US = 200_000  # between two turns
# others told of what is new in a turn, and for how many turns
FANOUT = 4
URGENT_TURNS = 4
# neighbours told by a pressed router, and every how many turns
MATES = 8
MATES_TURNS = 2
MOST_A_TURN = 64  # digests taken between two turns, over all senders; more are dropped


@dataclass(frozen=True, slots=True)
class Turn:
    """What came of a turn: what the module is to heed, and who is to be told what."""

    acts: list[HealthOverride]
    sends: list[tuple[str, Digest]]
    offloading_changed: bool = False


class Gossip:
    """One router's talk."""

    def __init__(self, own: str, rand: random.Random, now_us: int = 0) -> None:
        self.own = own
        self._random = rand
        self.reports = FailureReports(own)
        self.trials = ProbeElection(own, rand)
        self.offloading = Offloading(now_us)
        self.sent = 0
        self.taken = 0
        self.flooded = 0
        self._urgent = 0
        self._turns = 0
        self._taken_now = 0
        self._verdicts: dict[str, tuple[bool, bool]] = {}
        self._pressed_us: int | None = None  # when a neighbour last said that it is

    def receive(self, now_us: int, sender: str, digest: Digest, mate: bool) -> None:
        """Take in what a member says; ``mate`` where it stands in this router's own place."""
        self._taken_now += 1
        if self._taken_now > MOST_A_TURN:
            self.flooded += 1
            return
        self.taken += 1
        self.reports.take(digest.reports, now_us)
        if mate and (digest.pressure or digest.rate):
            self.offloading.heard(sender, Neighbour(digest.pressure, digest.rate, digest.over, now_us))
            if digest.pressure >= LOW or digest.over:
                self._pressed_us = now_us

    def turn(
        self,
        now_us: int,
        seen: Mapping[str, Seen],
        here: Sequence[str],
        mates: Collection[str] = (),
        pressure: float = 0.0,
        rate: float = 0.0,
    ) -> Turn:
        """To be called every ``TURN_US``: ``here`` are all who are there and not suspected, this router
        included,
        ``mates`` those of its own place."""
        self._turns += 1
        self._taken_now = 0
        self.reports.forget(now_us)
        for store, its in seen.items():
            self.reports.saw(store, its.failing, its.failed_us if its.failing else its.good_us, now_us)
        verdicts = {
            store: (bool(self.reports.failing(store, now_us) - {self.own}), self.reports.well(store, now_us))
            for store in self.reports.stores()
        }
        if verdicts != self._verdicts:
            self._verdicts = verdicts
            self._urgent = URGENT_TURNS
        acts = self.trials.judge(now_us, self.reports, here, seen)
        changed = self.offloading.turn(now_us, pressure, rate, dict.fromkeys(mates))
        sends: list[tuple[str, Digest]] = []
        others = [name for name in here if name != self.own]
        if verdicts and others:
            digest = Digest(self.reports.told(now_us))
            many = min(len(others), FANOUT if self._urgent > 0 else 1)
            sends += [(name, digest) for name in self._random.sample(others, many)]
        self._urgent = max(0, self._urgent - 1)
        asked = self._pressed_us is not None and now_us - self._pressed_us < FRESH_US
        if (pressure >= LOW or self.offloading.over or asked) and self._turns % MATES_TURNS == 0:
            own = Digest((), pressure, rate, self.offloading.over)
            near = sorted(name for name in mates if name != self.own)
            sends += [(name, own) for name in self._random.sample(near, min(len(near), MATES))]
        self.sent += len(sends)
        return Turn(acts, sends, changed)
