"""Who tries a store that fails: a few of all the routers that could, and the others go by what those find.
A state machine told reports and the time; no I/O.

The order is a hash of store and router, the same everywhere, over those who are there. A router that is not
among the first leaves the store alone as long as it hears that it fails, and comes back at its own moment
once it is said to be well. Reports alone are bounded in what they can do: it takes two witnesses, they are
not heeded by who has just had a good answer, and they never take away more than half of the stores of one
kind and place. Where nothing is heard, nothing is heeded: each router then goes by what it sees itself."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from magpieshift.overload.failure_reports import HOLDS_US, FailureReports
from magpieshift.policy.health_override import Eject, HealthOverride, Readmit

TRIERS = 2  # of all routers that could, at a time
TRY_US = 1_000_000  # a trier's pause after a failure, however long its own has grown
LEAVE_US = 1_500_000  # left alone for so long by each report; renewed while it lasts
RAMP_US = 1_000_000  # within which all others come back to a store that is well
WITNESSES = 2  # without own evidence
OWN_US = 1_000_000  # a good answer so short ago counts for more than any report


@dataclass(frozen=True, slots=True)
class Seen:
    """What this router itself holds of a store: its number in the module, of what kind and place it is,
    whether it is passed over here for its failures, and how long ago it failed and was of use (None:
    never)."""

    number: int
    group: tuple[int, int]
    shunned: bool
    failed_us: int | None
    good_us: int | None

    @property
    def failing(self) -> bool:
        """Whether it fails by what was seen here lately, and nothing good came since."""
        failed = self.failed_us
        good = self.good_us
        return self.shunned and failed is not None and failed < HOLDS_US and (good is None or good > failed)


def place(store: str, router: str) -> int:
    """Where a router stands in a store's order, the same everywhere."""
    return int.from_bytes(hashlib.blake2b(f"{store} {router}".encode(), digest_size=8).digest(), "big")


class ProbeElection:
    """One router's part in trying failing stores."""

    def __init__(self, own: str, rand: random.Random) -> None:
        self.own = own
        self._random = rand
        self._left: set[str] = set()  # stores left alone by report
        # how often each was judged, for people
        self.tries = 0
        self.leaves = 0

    def among_first(self, store: str, here: Collection[str]) -> bool:
        """Whether this router is one of the store's triers, of those who are there."""
        mine = place(store, self.own)
        return sum(place(store, name) > mine for name in here if name != self.own) < TRIERS

    def judge(
        self, now_us: int, reports: FailureReports, here: Collection[str], seen: Mapping[str, Seen]
    ) -> list[HealthOverride]:
        """What to do about each store that anybody has reported; ``here`` are the routers that are there and
        not suspected, this one included, ``seen`` the stores this router may ask."""
        out: list[HealthOverride] = []
        room = self._room(seen)
        for store in sorted(reports.stores()):
            its = seen.get(store)
            if its is None:
                continue
            said = reports.failing(store, now_us)
            if not said:
                if store in self._left and reports.well(store, now_us):
                    out.append(Readmit(its.number, int(self._random.random() * RAMP_US), 0))
                self._left.discard(store)
                continue
            others = len(said - {self.own})
            by_report = not its.failing
            answered = its.good_us is not None and its.good_us < OWN_US
            if by_report and (others < WITNESSES or answered):
                continue
            if not by_report and others == 0:
                continue  # nobody else has seen it: its own pauses will do
            if self.among_first(store, here):
                self.tries += 1
                out.append(Readmit(its.number, 0, TRY_US))
                self._left.discard(store)
            elif not by_report or room.get(its.group, 0) > 0:
                room[its.group] = room.get(its.group, 0) - by_report
                self.leaves += 1
                self._left.add(store)
                out.append(Eject(its.number, LEAVE_US))
        self._left.intersection_update(seen)
        return out

    @staticmethod
    def _room(seen: Mapping[str, Seen]) -> dict[tuple[int, int], int]:
        """How many stores of each kind and place may be left alone by report: half of them, less those that
        fail by what this router has seen."""
        count: dict[tuple[int, int], int] = {}
        failing: dict[tuple[int, int], int] = {}
        for its in seen.values():
            count[its.group] = count.get(its.group, 0) + 1
            failing[its.group] = failing.get(its.group, 0) + its.failing
        return {group: many // 2 - failing[group] for group, many in count.items()}
